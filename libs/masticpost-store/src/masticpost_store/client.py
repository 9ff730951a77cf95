"""Client of the object API: get, list, create, conditional update, watch.

Calls return a `result.Result`; failures of the API or the network are not raised, but
for those of a watch. The client does not retry: only its user knows whether a repeated
call is safe.
"""

import collections.abc
import time
import typing

import aiohttp
import attrs
import result
from masticpost_common import codec

from masticpost_store import objects, wire

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
WATCH_TIMEOUT_S = 60
# Consecutive failed calls after which the API counts as down.
DOWN_AFTER_FAILURES = 2
THROTTLED_STATUS = 429

ObjectResult = result.Result[objects.StoredObject, objects.Fault]


@attrs.define(kw_only=True)
class CallCounts:
    """Calls made, by kind; a watch counts as one call, however long it runs."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0


class Client:
    """Client bound to one namespace.

    Parameters
    ----------
    url : str
        Base URL of the API.
    namespace : str
        Namespace of the deployment's objects.
    token : str
        Bearer token; empty for none.
    """

    def __init__(self, *, url: str, namespace: str, token: str = "") -> None:
        self.base = f"{url.rstrip('/')}/api/v1/namespaces/{namespace}/configmaps"
        self.counts = CallCounts()
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._http: aiohttp.ClientSession | None = None
        self._consecutive_failures = 0
        self.last_success = 0.0

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

    @property
    def is_down(self) -> bool:
        """Whether the last `DOWN_AFTER_FAILURES` calls or more all failed."""
        return self._consecutive_failures >= DOWN_AFTER_FAILURES

    async def get(self, name: str) -> ObjectResult:
        """Read one object."""
        self.counts.reads += 1
        answer = await self._call("GET", f"{self.base}/{name}")
        return answer.and_then(_decode_object)

    async def list(
        self, labels: dict[str, str]
    ) -> result.Result[objects.Listing, objects.Fault]:
        """Read all objects with the given labels, as of one resource version."""
        self.counts.reads += 1
        selector = ",".join(f"{k}={v}" for k, v in sorted(labels.items()))
        answer = await self._call("GET", self.base, params={"labelSelector": selector})
        return answer.and_then(_decode_list)

    async def create(
        self, name: str, value: bytes, labels: dict[str, str]
    ) -> ObjectResult:
        """Create an object; `CONFLICT` if the name exists."""
        self.counts.writes += 1
        body = codec.to_json(wire.pack(name, value, labels=labels))
        answer = await self._call("POST", self.base, body=body)
        return answer.and_then(_decode_object)

    async def update(
        self, name: str, value: bytes, version: str, labels: dict[str, str]
    ) -> ObjectResult:
        """Replace the object if its version is still `version`; else `CONFLICT`."""
        self.counts.writes += 1
        body = codec.to_json(wire.pack(name, value, version, labels))
        answer = await self._call("PUT", f"{self.base}/{name}", body=body)
        return answer.and_then(_decode_object)

    async def delete(self, name: str) -> result.Result[None, objects.Fault]:
        """Delete an object; succeeds if the object does not exist."""
        self.counts.writes += 1
        answer = await self._call("DELETE", f"{self.base}/{name}")
        if answer.is_ok():
            return result.Ok(None)
        if answer.unwrap_err().kind is objects.FaultKind.MISSING:
            return result.Ok(None)
        return result.Err(answer.unwrap_err())

    async def watch(
        self, name: str, version: str
    ) -> collections.abc.AsyncIterator[objects.StoredObject]:
        """Yield the object after each change later than `version` until the watch ends.

        Raises
        ------
        aiohttp.ClientError, TimeoutError
            When the connection of the watch fails.
        """
        self.counts.watches += 1
        params = {
            "watch": "1",
            "fieldSelector": f"metadata.name={name}",
            "resourceVersion": version,
            "timeoutSeconds": str(WATCH_TIMEOUT_S),
        }
        timeout = aiohttp.ClientTimeout(
            total=WATCH_TIMEOUT_S + CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
        )
        http = self._session()
        async with http.get(
            self.base, params=params, timeout=timeout, headers=self._headers
        ) as resp:
            resp.raise_for_status()
            while line := await resp.content.readline():
                event = codec.from_json(line, wire.WatchEvent)
                if event.type in ("ADDED", "MODIFIED"):
                    self._record_success()
                    yield wire.unpack(event.object)

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            self._http = aiohttp.ClientSession(
                read_bufsize=4 * objects.MAX_VALUE_BYTES,
                timeout=aiohttp.ClientTimeout(
                    total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
                ),
            )
        return self._http

    async def _call(
        self, method: str, url: str, *, body: bytes | None = None, **kwargs: typing.Any
    ) -> result.Result[bytes, objects.Fault]:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/json"
        http = self._session()
        try:
            async with http.request(
                method, url, data=body, headers=headers, **kwargs
            ) as resp:
                data = await resp.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            return self._record_failure(objects.FaultKind.NOT_PROCESSED, exc)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return self._record_failure(objects.FaultKind.NOT_KNOWN, exc)
        return self._classify(resp.status, data)

    def _classify(
        self, status: int, data: bytes
    ) -> result.Result[bytes, objects.Fault]:
        if status < 300:
            self._record_success()
            return result.Ok(data)
        message = data[:200].decode(errors="replace")
        if status == THROTTLED_STATUS:
            return self._record_failure(objects.FaultKind.NOT_PROCESSED, message)
        if status >= 500:
            return self._record_failure(objects.FaultKind.NOT_KNOWN, message)
        self._record_success()
        kinds = {404: objects.FaultKind.MISSING, 409: objects.FaultKind.CONFLICT}
        kind = kinds.get(status, objects.FaultKind.REJECTED)
        return result.Err(objects.Fault(kind=kind, message=message))

    def _record_failure(
        self, kind: objects.FaultKind, cause: object
    ) -> result.Err[objects.Fault]:
        self._consecutive_failures += 1
        self.counts.failures += 1
        return result.Err(objects.Fault(kind=kind, message=str(cause)))

    def _record_success(self) -> None:
        self._consecutive_failures = 0
        self.last_success = time.monotonic()


def _decode_failure(exc: Exception) -> result.Err[objects.Fault]:
    return result.Err(objects.Fault(kind=objects.FaultKind.NOT_KNOWN, message=str(exc)))


def _decode_object(data: bytes) -> ObjectResult:
    try:
        return result.Ok(wire.unpack(codec.from_json(data, wire.ConfigMap)))
    except (codec.DecodeError, ValueError) as exc:
        return _decode_failure(exc)


def _decode_list(data: bytes) -> result.Result[objects.Listing, objects.Fault]:
    try:
        listed = codec.from_json(data, wire.ConfigMapList)
        found = tuple(wire.unpack(item) for item in listed.items)
    except (codec.DecodeError, ValueError) as exc:
        return _decode_failure(exc)
    return result.Ok(
        objects.Listing(objects=found, version=listed.metadata.resourceVersion)
    )
