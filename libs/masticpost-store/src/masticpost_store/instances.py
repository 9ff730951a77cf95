"""Client of the platform's list of instances; the list lags behind their real state.

Source: Kubernetes API reference, EndpointSlice discovery.k8s.io/v1.
"""

import aiohttp
import attrs
import result
from loguru import logger
from masticpost_common import codec, jsonrows

from masticpost_store import objects, wire

CALL_TIMEOUT_S = 2.0
MAX_PORT = 65_535


@attrs.define(kw_only=True)
class Conditions:
    """State of an endpoint."""

    ready: bool = True
    terminating: bool = False


@attrs.define(kw_only=True)
class Reference:
    """The object that an endpoint belongs to."""

    name: str = ""


@attrs.define(kw_only=True)
class Endpoint:
    """One endpoint of a service and its addresses."""

    addresses: list[str]
    conditions: Conditions = attrs.field(factory=Conditions)
    targetRef: Reference = attrs.field(factory=Reference)  # noqa: N815
    zone: str = ""


@attrs.define(kw_only=True)
class Port:
    """A port that all endpoints of a slice have."""

    port: int
    name: str = ""


@attrs.define(kw_only=True)
class EndpointSlice:
    """A slice of a service's endpoints."""

    metadata: wire.Metadata
    endpoints: list[Endpoint] = attrs.field(factory=list)
    ports: list[Port] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class ListedInstance:
    """An instance or upstream in the platform's list; `leaving` once it terminates."""

    name: str
    address: str
    domain: str
    leaving: bool


class InstanceListClient:
    """Client of the platform's instance list.

    Parameters
    ----------
    url : str
        Base URL of the API.
    namespace : str
        Namespace of the deployment.
    """

    def __init__(self, *, url: str, namespace: str) -> None:
        self.url = (
            f"{url.rstrip('/')}/apis/discovery.k8s.io/v1/namespaces/{namespace}"
            "/endpointslices"
        )
        self._http: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()

    async def read(
        self, service: str
    ) -> result.Result[list[ListedInstance], objects.Fault]:
        """Return the endpoints of `service`, including those that terminate."""
        if self._http is None:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            self._http = aiohttp.ClientSession(timeout=timeout)
        params = {"labelSelector": f"kubernetes.io/service-name={service}"}
        try:
            async with self._http.get(self.url, params=params) as resp:
                resp.raise_for_status()
                items = _items(await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            kind = objects.FaultKind.NOT_PROCESSED
            return result.Err(objects.Fault(kind=kind, message=str(exc)))
        return result.Ok([row for item in items for row in _rows(item)])


def _items(data: bytes) -> list[EndpointSlice]:
    """Decode a list; slices that cannot be decoded are left out.

    Raises
    ------
    ValueError
        The data is no list of slices.
    """
    found = []
    for raw in jsonrows.elements(jsonrows.members(data).get("items", b"[]")):
        try:
            found.append(codec.from_json(raw, EndpointSlice))
        except codec.DecodeError as exc:
            logger.warning("left out an endpoint slice that cannot be read: {}", exc)
    return found


def _rows(item: EndpointSlice) -> list[ListedInstance]:
    port = item.ports[0].port if item.ports else 0
    if not 0 < port <= MAX_PORT:
        return []
    return [
        ListedInstance(
            name=endpoint.targetRef.name,
            address=f"{endpoint.addresses[0]}:{port}",
            domain=endpoint.zone,
            leaving=endpoint.conditions.terminating,
        )
        for endpoint in item.endpoints
        if endpoint.addresses and endpoint.targetRef.name
    ]
