"""Session pins, as the entry sees them."""

import asyncio
import hashlib

import attrs
import mode

from masticpost_shards import directory, ops, owner, records

ASK_TIMEOUT_S = 0.6
DURABLE_TIMEOUT_S = 2.0
MAX_CACHED = 100_000


def session_key(customer: str, service: str, session: str) -> str:
    """Return the key of a session."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{service}\0{session}".encode())
    return digest.hexdigest()


@attrs.frozen(kw_only=True)
class Pinned:
    """A session's version; `durable` completes once the pin is committed.

    `is_certain` is False when no owner could be asked and the version is only the
    one that was proposed.
    """

    version: str
    durable: asyncio.Future | None = None
    is_certain: bool = True


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

    async def pin(self, key: str, proposed: str, replaces: str = "") -> Pinned:
        """Return the version of the session, `proposed` if it has none yet."""
        cached = self._cache.get(key)
        if cached is not None and cached != replaces:
            return Pinned(version=cached)
        ask = self._ask(key, proposed, replaces, durable=False)
        try:
            reply = await self.shards.call(ask, timeout_s=ASK_TIMEOUT_S)
        except (directory.ShardUnavailableError, directory.StoreUnavailableError):
            return Pinned(version=proposed, is_certain=False)
        self._remember(key, reply.version)
        if not reply.is_new:
            return Pinned(version=reply.version)
        fut = asyncio.ensure_future(self._make_durable(key, reply.version))
        return Pinned(version=reply.version, durable=fut)

    async def _make_durable(self, key: str, version: str) -> str:
        """Wait for the commit of the pin; returns the session's version."""
        ask = self._ask(key, version, "", durable=True)
        try:
            reply = await self.shards.call(ask, timeout_s=DURABLE_TIMEOUT_S)
        except (directory.ShardUnavailableError, directory.StoreUnavailableError):
            return version
        self._remember(key, reply.version)
        return reply.version

    def _ask(
        self, key: str, version: str, replaces: str, *, durable: bool
    ) -> ops.PinAsk:
        pin = records.Pin(key=key, version=version, at=owner.wall_ms())
        shard = self.shards.shard_of(key)
        return ops.PinAsk(shard=shard, pin=pin, replaces=replaces, durable=durable)

    def _remember(self, key: str, version: str) -> None:
        if len(self._cache) >= MAX_CACHED:
            self._cache.clear()
        self._cache[key] = version
