"""Session pins, as the entry sees them."""

import asyncio
import hashlib
import random
import time

import attrs
import mode
from masticpost_common import clock, errors

from masticpost_shards import directory, ops, records

ASK_TIMEOUT_S = 4.0
DURABLE_TIMEOUT_S = 2.0
TELL_PAUSE_S = 1.0
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

    Where that takes too long, as in an outage of the object API, `durable` completes
    before, and the pin is told again in the background until it is committed.
    """

    version: str
    durable: asyncio.Future | None = None


class Sessions(mode.Service):
    """Asks the owners for pins and remembers them.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._cache: dict[str, str] = {}

    def forget_all(self) -> None:
        """Ask again for every pin; called when a new text is in force."""
        self._cache.clear()

    async def pin(
        self, key: str, proposed: str, deadline: float, replaces: str = ""
    ) -> Pinned:
        """Return the version of the session, `proposed` if it has none yet.

        Waits while the shard has no owner, at most until `deadline` (monotonic
        seconds).

        Raises
        ------
        errors.RefusalError
            ``session_unavailable`` when no owner could be asked: a guess could move
            the session to another version.
        """
        cached = self._cache.get(key)
        if cached is not None and cached != replaces:
            return Pinned(version=cached)
        ask = self._ask(key, proposed, replaces, durable=False)
        timeout_s = min(ASK_TIMEOUT_S, max(0.0, deadline - time.monotonic()))
        try:
            reply = await self.shards.call(ask, timeout_s=timeout_s)
        except UNAVAILABLE as exc:
            raise _unavailable() from exc
        self._remember(key, reply.version)
        if not reply.is_new:
            return Pinned(version=reply.version)
        fut = asyncio.get_running_loop().create_future()
        self.add_future(self._tell_until_durable(key, reply.version, fut))
        return Pinned(version=reply.version, durable=fut)

    async def _tell_until_durable(
        self, key: str, version: str, fut: asyncio.Future
    ) -> None:
        """Tell the pin until it is committed; `fut` gets the session's version."""
        ask = self._ask(key, version, "", durable=True)
        while True:
            try:
                reply = await self.shards.call(ask, timeout_s=DURABLE_TIMEOUT_S)
            except UNAVAILABLE:
                _complete(fut, version)
                await self._pause()
                continue
            self._remember(key, reply.version)
            _complete(fut, reply.version)
            return

    async def _pause(self) -> None:
        """Wait a drawn time, and for as long as the object API is down."""
        await asyncio.sleep(TELL_PAUSE_S * random.uniform(0.5, 1.5))
        while self.shards.store.is_down:
            await asyncio.sleep(TELL_PAUSE_S * random.uniform(0.5, 1.5))

    def _ask(
        self, key: str, version: str, replaces: str, *, durable: bool
    ) -> ops.PinAsk:
        pin = records.Pin(key=key, version=version, at=clock.wall_ms())
        shard = self.shards.shard_of(key)
        return ops.PinAsk(shard=shard, pin=pin, replaces=replaces, durable=durable)

    def _remember(self, key: str, version: str) -> None:
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
        "The version of this session cannot be read now. It was not run.",
        retry_after_s=RETRY_AFTER_S,
    )
