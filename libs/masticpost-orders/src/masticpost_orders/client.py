"""Client of the model management API of engines: list, load and unload versions.

Source: vLLM's OpenAI-compatible server, `/v1/models`, `/v1/load_lora_adapter` and
`/v1/unload_lora_adapter`. The fencing token is sent in a header; engines that do not
check it ignore it.
"""

import enum
import ssl

import aiohttp
import attrs
from masticpost_common import codec

FENCING_HEADER = "X-Fencing-Token"
DELIVERY_TIMEOUT_S = 2.0


class Outcome(enum.Enum):
    """Result of an order."""

    DONE = "done"
    FENCED = "refused: old fencing number"
    BUSY = "refused: try later"
    FAILED = "failed or not known"


@attrs.frozen(kw_only=True)
class Order:
    """An order to load or unload a version.

    It names the target state, so that it is idempotent.
    """

    version: str
    is_load: bool
    weights: str = ""


@attrs.define(kw_only=True)
class ModelRow:
    """A loaded version; `parent` is set if an order loaded it."""

    id: str
    parent: str | None = None


@attrs.define(kw_only=True)
class ModelRows:
    """All versions that an engine has loaded."""

    data: list[ModelRow]


@attrs.frozen(kw_only=True)
class LoadBody:
    """Request body of an order."""

    lora_name: str
    lora_path: str = ""


class OrderClient:
    """HTTP client of the engines' model management API.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for https engines; None for the default context.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._http: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            timeout = aiohttp.ClientTimeout(total=DELIVERY_TIMEOUT_S)
            tls = self._tls if self._tls is not None else True
            connector = aiohttp.TCPConnector(ssl=tls)
            self._http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self._http

    async def loaded(self, url: str) -> list[ModelRow] | None:
        """Return the versions that an engine has loaded, None if the call fails."""
        try:
            async with self._session().get(f"{url}/v1/models") as resp:
                resp.raise_for_status()
                rows = codec.from_json(await resp.read(), ModelRows)
        except (aiohttp.ClientError, TimeoutError, OSError, codec.DecodeError):
            return None
        return rows.data

    async def send(self, url: str, order: Order, epoch: int) -> Outcome:
        """Send an order with the fencing token `epoch`."""
        verb = "load" if order.is_load else "unload"
        body = LoadBody(lora_name=order.version, lora_path=order.weights)
        headers = {FENCING_HEADER: str(epoch), "Content-Type": "application/json"}
        try:
            async with self._session().post(
                f"{url}/v1/{verb}_lora_adapter",
                data=codec.to_json(body),
                headers=headers,
            ) as resp:
                status = resp.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome.FAILED
        if status < 300:
            return Outcome.DONE
        if status == 409:
            return Outcome.FENCED
        return Outcome.BUSY if status in (429, 503) else Outcome.FAILED
