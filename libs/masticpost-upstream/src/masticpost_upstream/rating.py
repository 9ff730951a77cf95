"""Client of the service that rates answers."""

import ssl

import aiohttp
import attrs
from masticpost_common import codec

RATE_TIMEOUT_S = 2.0


@attrs.frozen(kw_only=True)
class RateRequest:
    """What is rated."""

    service: str
    version: str
    prompt: str
    answer: str


@attrs.frozen(kw_only=True)
class Rating:
    """A score from 0 to 1."""

    score: float


class RatingClient:
    """HTTP client of the rating service.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Used for an https service; None for the system's defaults.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._http: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

    async def rate(self, url: str, req: RateRequest) -> float | None:
        """Return the score, None when the service gives none in time."""
        if self._http is None:
            timeout = aiohttp.ClientTimeout(total=RATE_TIMEOUT_S)
            tls = self._tls if self._tls is not None else True
            connector = aiohttp.TCPConnector(ssl=tls)
            self._http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        try:
            async with self._http.post(
                f"{url}/v1/rate", data=codec.to_json(req)
            ) as resp:
                resp.raise_for_status()
                return codec.from_json(await resp.read(), Rating).score
        except (aiohttp.ClientError, TimeoutError, OSError, codec.DecodeError):
            return None
