"""Tells the owners of bills until they are committed; see docs/design/bills.md."""

import asyncio
import collections
import collections.abc
import hashlib

import attrs
import mode
from masticpost_common import errors

from masticpost_shards import directory, holds, ops, records

FLUSH_S = 0.05
OPEN_FLUSH_S = 0.0005
TELL_TIMEOUT_S = 2.5
TELL_PAUSE_S = 0.2
MAX_WAITING = 200_000
MAX_PER_TELL = 2_000
RETRY_AFTER_S = 5.0


def bill_key(customer: str, request_id: str) -> str:
    """Return the key of a request's bill."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{request_id}".encode())
    return digest.hexdigest()


@attrs.define(kw_only=True)
class Opening:
    """An open record on its way; `safe` completes once it outlives this process."""

    record: records.BillOpen
    safe: asyncio.Future


@attrs.frozen(kw_only=True)
class Sent:
    """How many of a shard's closed records its owner holds, and in which epoch."""

    epoch: int = -1
    count: int = 0


class BillWriter(mode.Service):
    """Keeps the records of bills until their shards' owners committed them.

    An open record is safe once another instance holds it too: the owner of its shard,
    or, where that is this instance, another one. A closed one stays here until it is
    committed.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners.
    keeper : holds.Holds
        Has other instances hold the records of own shards.
    """

    def __init__(self, *, shards: directory.Directory, keeper: holds.Holds) -> None:
        super().__init__()
        self.shards = shards
        self.holds = keeper
        self.waiting = 0
        self._opens: dict[int, list[Opening]] = collections.defaultdict(list)
        self._closes: dict[int, list[records.BillClose]] = collections.defaultdict(list)
        self._sent: dict[int, Sent] = {}
        self._telling: set[tuple[str, int]] = set()
        self._has_opens = asyncio.Event()

    def check_room(self) -> None:
        """Refuse new work when too many records wait for the object API."""
        if self.waiting >= MAX_WAITING:
            raise errors.refuse(
                503,
                "bill_backlog",
                "Too many bills wait to be stored. The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )

    def open(self, opened: records.BillOpen) -> asyncio.Future:
        """Tell that a request is dispatched; the future completes when it is safe."""
        safe = asyncio.get_running_loop().create_future()
        shard = self.shards.shard_of(opened.key)
        self._opens[shard].append(Opening(record=opened, safe=safe))
        self.waiting += 1
        self._has_opens.set()
        return safe

    def close(self, closed: records.BillClose) -> None:
        """Tell the one bill of a request."""
        self._closes[self.shards.shard_of(closed.key)].append(closed)
        self.waiting += 1

    @mode.Service.task
    async def open_loop(self) -> None:
        """Send open records on, a few milliseconds' worth at a time."""
        while not self.should_stop:
            await self._has_opens.wait()
            await asyncio.sleep(OPEN_FLUSH_S)
            self._has_opens.clear()
            self._start("opens", self._opens, self._tell_opens)

    @mode.Service.task
    async def flush_loop(self) -> None:
        """Send closed records on, and open ones that could not be sent."""
        while not self.should_stop:
            await asyncio.sleep(FLUSH_S)
            self._start("opens", self._opens, self._tell_opens)
            self._start("closes", self._closes, self._tell_closes)

    def _start(
        self,
        what: str,
        queues: dict[int, list],
        tell: collections.abc.Callable[[int], collections.abc.Awaitable[None]],
    ) -> None:
        """Tell each shard that has records and is not being told."""
        for shard in [shard for shard, rows in queues.items() if rows]:
            if (what, shard) not in self._telling:
                self._telling.add((what, shard))
                self.add_future(self._tell_and_clear(what, shard, tell))

    async def _tell_and_clear(
        self,
        what: str,
        shard: int,
        tell: collections.abc.Callable[[int], collections.abc.Awaitable[None]],
    ) -> None:
        try:
            await tell(shard)
        except (directory.ShardUnavailableError, directory.StoreUnavailableError):
            await asyncio.sleep(TELL_PAUSE_S)
        finally:
            self._telling.discard((what, shard))

    async def _tell_opens(self, shard: int) -> None:
        """Have the owner, or for an own shard another instance, hold the records."""
        rows = self._opens[shard][:MAX_PER_TELL]
        opens = [row.record for row in rows]
        member = self.shards.owner_of(shard)
        if member is not None and member.name == self.shards.peers.name:
            await self.holds.keep_elsewhere(opens)
        tell = ops.BillsTell(shard=shard, opens=opens, held=True)
        await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
        del self._opens[shard][: len(rows)]
        self.waiting -= len(rows)
        for row in rows:
            if not row.safe.done():
                row.safe.set_result(None)

    async def _tell_closes(self, shard: int) -> None:
        """Send what the owner does not hold yet, then wait for the commit of all.

        In an outage of the object API the wait fails and only new records are sent
        the next time, as long as the owner's epoch is the same.
        """
        rows = self._closes[shard]
        sent = self._sent.get(shard, Sent())
        fresh = rows[sent.count : sent.count + MAX_PER_TELL]
        if fresh:
            tell = ops.BillsTell(shard=shard, closes=fresh, held=True)
            held = await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
            if sent.count and held.epoch != sent.epoch:
                self._sent[shard] = Sent()
                return
            sent = Sent(epoch=held.epoch, count=sent.count + len(fresh))
            self._sent[shard] = sent
        barrier = ops.BillsTell(shard=shard)
        done = await self.shards.call(barrier, timeout_s=TELL_TIMEOUT_S)
        self._sent[shard] = Sent()
        if done.epoch == sent.epoch:
            del rows[: sent.count]
            self.waiting -= sent.count

    async def flush(self, timeout_s: float) -> None:
        """Wait until everything is committed, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.waiting:
                    await asyncio.sleep(FLUSH_S)
        except TimeoutError:
            return
