"""Client of the rating service, which scores answers."""

import math
import ssl
import time

import aiohttp
import attrs
from masticpost_common import codec

RATE_TIMEOUT_S = 2.0
# Circuit breaker: consecutive failures that open it, and the time until a probe.
FAILURES_TO_BLOCK = 3
BLOCK_S = 5.0


@attrs.frozen(kw_only=True)
class RateRequest:
    """The answer to rate, and its prompt."""

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
        Context for an https service; None for the default context.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls
        self._consecutive_failures = 0
        self._blocked_until = -math.inf
        self._http: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()
            self._http = None

    @property
    def is_blocked(self) -> bool:
        """Whether the circuit breaker is open: no request is sent now."""
        return time.monotonic() < self._blocked_until

    async def rate(self, url: str, req: RateRequest) -> float | None:
        """Return the score, None if the service does not return one in time.

        After `FAILURES_TO_BLOCK` consecutive failures no request is sent for `BLOCK_S`
        seconds, so that callers do not wait for a service that hangs. Then a single
        request probes the service.
        """
        if self.is_blocked:
            return None
        if self._consecutive_failures >= FAILURES_TO_BLOCK:
            self._blocked_until = time.monotonic() + BLOCK_S
        score = await self._request_score(url, req)
        if score is not None:
            self._consecutive_failures = 0
            self._blocked_until = -math.inf
            return score
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_TO_BLOCK:
            self._blocked_until = time.monotonic() + BLOCK_S
        return None

    async def _request_score(self, url: str, req: RateRequest) -> float | None:
        try:
            async with self._session().post(
                f"{url}/v1/rate", data=codec.to_json(req)
            ) as resp:
                resp.raise_for_status()
                return codec.from_json(await resp.read(), Rating).score
        except (aiohttp.ClientError, TimeoutError, OSError, codec.DecodeError):
            return None

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            timeout = aiohttp.ClientTimeout(total=RATE_TIMEOUT_S)
            tls = self._tls if self._tls is not None else True
            connector = aiohttp.TCPConnector(ssl=tls)
            self._http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self._http
