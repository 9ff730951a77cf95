"""Client side of session pins: the version that each session stays on."""

import asyncio
import hashlib
import random
import time

import attrs
import mode
from masticpost_common import clock, errors

from masticpost_shards import directory, ops, records

PIN_TIMEOUT_S = 4.0
DURABLE_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 1.0
RETRY_AFTER_S = 1.0
MAX_CACHED = 100_000


UNAVAILABLE = (directory.ShardUnavailableError, directory.StoreUnavailableError)


def session_key(customer: str, service: str, session: str) -> str:
    """Return the key of a session."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{service}\0{session}".encode())
    return digest.hexdigest()


@attrs.frozen(kw_only=True)
class Pinned:
    """A session's version; `durable` completes once the pin is committed.

    If the commit takes too long, as in an outage of the object API, `durable`
    completes earlier, and the pin is sent again in the background until it is
    committed. `durable` is None for a pin that already existed.
    """

    version: str
    durable: asyncio.Future | None = None


class Sessions(mode.Service):
    """Requests pins from the shard owners and caches them.

    Parameters
    ----------
    shards : directory.Directory
        Routes operations to the shard owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._cache: dict[str, str] = {}

    def clear_cache(self) -> None:
        """Drop all cached pins; called when a new text takes effect."""
        self._cache.clear()

    async def pin(
        self, key: str, proposed: str, deadline: float, replaces: str = ""
    ) -> Pinned:
        """Return the version of the session, `proposed` if it has none yet.

        A pin to the version `replaces` is replaced by `proposed`. Waits while the
        shard has no owner, at most until `deadline` (monotonic seconds).

        Raises
        ------
        errors.RefusalError
            ``session_unavailable`` when no owner answers: using the proposed version
            could move the session to another version.
        """
        cached = self._cache.get(key)
        if cached is not None and cached != replaces:
            return Pinned(version=cached)
        request = self._pin_request(key, proposed, replaces, durable=False)
        timeout_s = min(PIN_TIMEOUT_S, max(0.0, deadline - time.monotonic()))
        try:
            reply = await self.shards.call(request, timeout_s=timeout_s)
        except UNAVAILABLE as exc:
            raise _unavailable() from exc
        self._cache_version(key, reply.version)
        if not reply.is_new:
            return Pinned(version=reply.version)
        fut = asyncio.get_running_loop().create_future()
        self.add_future(self._send_until_durable(key, reply.version, fut))
        return Pinned(version=reply.version, durable=fut)

    async def _send_until_durable(
        self, key: str, version: str, fut: asyncio.Future
    ) -> None:
        """Send the pin until it is committed; `fut` gets the session's version."""
        request = self._pin_request(key, version, "", durable=True)
        while True:
            try:
                reply = await self.shards.call(request, timeout_s=DURABLE_TIMEOUT_S)
            except UNAVAILABLE:
                _complete(fut, version)
                await self._pause()
                continue
            self._cache_version(key, reply.version)
            _complete(fut, reply.version)
            return

    async def _pause(self) -> None:
        """Wait with jitter, and for as long as the object API is down."""
        await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))
        while self.shards.store.is_down:
            await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def _pin_request(
        self, key: str, version: str, replaces: str, *, durable: bool
    ) -> ops.PinRequest:
        pin = records.Pin(key=key, version=version, at=clock.wall_ms())
        shard = self.shards.shard_of(key)
        return ops.PinRequest(shard=shard, pin=pin, replaces=replaces, durable=durable)

    def _cache_version(self, key: str, version: str) -> None:
        if len(self._cache) >= MAX_CACHED:
            self._cache.clear()
        self._cache[key] = version


def _complete(fut: asyncio.Future, version: str) -> None:
    if not fut.done():
        fut.set_result(version)


def _unavailable() -> errors.RefusalError:
    return errors.refuse(
        503,
        "session_unavailable",
        "The version of this session cannot be read now. The request was not run.",
        retry_after_s=RETRY_AFTER_S,
    )
