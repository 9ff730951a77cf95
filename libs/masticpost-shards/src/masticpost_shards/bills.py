"""Sends bill records to the shard owners until they are committed.

See docs/design/bills.md.
"""

import asyncio
import collections
import collections.abc
import hashlib

import attrs
import mode
from masticpost_common import errors

from masticpost_shards import billreplicas, directory, ops, records

FLUSH_INTERVAL_S = 0.05
OPEN_FLUSH_DELAY_S = 0.0005
SEND_TIMEOUT_S = 2.5
SEND_PAUSE_S = 0.2
MAX_PENDING = 200_000
MAX_PER_REPORT = 2_000
RETRY_AFTER_S = 5.0


def bill_key(customer: str, request_id: str) -> str:
    """Return the key of a request's bill."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{request_id}".encode())
    return digest.hexdigest()


@attrs.define(kw_only=True)
class PendingOpen:
    """An open record that is being sent.

    Attributes
    ----------
    replicated : asyncio.Future
        Completes once the record survives the end of this process.
    """

    record: records.BillOpen
    replicated: asyncio.Future


@attrs.frozen(kw_only=True)
class SentCloses:
    """How many of a shard's closed records its owner has in memory, in which epoch."""

    epoch: int = -1
    count: int = 0


class BillWriter(mode.Service):
    """Queues bill records and sends them to the owners of their shards.

    An open record is queued until a second instance has a copy: the owner of its
    shard, or another instance if this one is the owner. A closed record is queued
    until it is committed.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners.
    replicas : billreplicas.BillReplicas
        Copies the open records of shards owned here to another instance.
    """

    def __init__(
        self, *, shards: directory.Directory, replicas: billreplicas.BillReplicas
    ) -> None:
        super().__init__()
        self.shards = shards
        self.replicas = replicas
        self.pending = 0
        self._opens: dict[int, list[PendingOpen]] = collections.defaultdict(list)
        self._closes: dict[int, list[records.BillClose]] = collections.defaultdict(list)
        self._sent: dict[int, SentCloses] = {}
        self._sending: set[tuple[str, int]] = set()
        self._has_opens = asyncio.Event()

    def check_backlog(self) -> None:
        """Refuse new requests while too many records are queued.

        Raises
        ------
        errors.RefusalError
            ``bill_backlog`` when `MAX_PENDING` records are queued.
        """
        if self.pending >= MAX_PENDING:
            raise errors.refuse(
                503,
                "bill_backlog",
                "Too many bills are waiting to be stored. The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )

    def open(self, opened: records.BillOpen) -> asyncio.Future:
        """Queue the open record of a request that is being dispatched.

        The returned future completes once the record survives the end of this
        process.
        """
        replicated = asyncio.get_running_loop().create_future()
        shard = self.shards.shard_of(opened.key)
        self._opens[shard].append(PendingOpen(record=opened, replicated=replicated))
        self.pending += 1
        self._has_opens.set()
        return replicated

    def close(self, closed: records.BillClose) -> None:
        """Queue the only bill of a request."""
        self._closes[self.shards.shard_of(closed.key)].append(closed)
        self.pending += 1

    @mode.Service.task
    async def open_loop(self) -> None:
        """Send open records, batched over `OPEN_FLUSH_DELAY_S` seconds."""
        while not self.should_stop:
            await self._has_opens.wait()
            await asyncio.sleep(OPEN_FLUSH_DELAY_S)
            self._has_opens.clear()
            self._start_sending("opens", self._opens, self._send_opens)

    @mode.Service.task
    async def flush_loop(self) -> None:
        """Send closed records, and retry open ones that could not be sent."""
        while not self.should_stop:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._start_sending("opens", self._opens, self._send_opens)
            self._start_sending("closes", self._closes, self._send_closes)

    def _start_sending(
        self,
        what: str,
        queues: dict[int, list],
        send: collections.abc.Callable[[int], collections.abc.Awaitable[None]],
    ) -> None:
        """Start a sender for each shard with queued records and no sender yet."""
        for shard in [shard for shard, rows in queues.items() if rows]:
            if (what, shard) not in self._sending:
                self._sending.add((what, shard))
                self.add_future(self._send_shard(what, shard, send))

    async def _send_shard(
        self,
        what: str,
        shard: int,
        send: collections.abc.Callable[[int], collections.abc.Awaitable[None]],
    ) -> None:
        try:
            await send(shard)
        except (directory.ShardUnavailableError, directory.StoreUnavailableError):
            await asyncio.sleep(SEND_PAUSE_S)
        finally:
            self._sending.discard((what, shard))

    async def _send_opens(self, shard: int) -> None:
        """Send open records to the owner; if that is this instance, copy them first."""
        rows = self._opens[shard][:MAX_PER_REPORT]
        opens = [row.record for row in rows]
        member = self.shards.owner_of(shard)
        if member is not None and member.name == self.shards.peers.name:
            await self.replicas.replicate(opens)
        report = ops.BillsReport(shard=shard, opens=opens, held=True)
        await self.shards.call(report, timeout_s=SEND_TIMEOUT_S)
        del self._opens[shard][: len(rows)]
        self.pending -= len(rows)
        for row in rows:
            if not row.replicated.done():
                row.replicated.set_result(None)

    async def _send_closes(self, shard: int) -> None:
        """Send the records the owner does not have yet, then wait until all commit.

        During an outage of the object API the wait fails. The next call then sends
        only new records, as long as the owner's epoch is the same.
        """
        rows = self._closes[shard]
        sent = self._sent.get(shard, SentCloses())
        unsent = rows[sent.count : sent.count + MAX_PER_REPORT]
        if unsent:
            report = ops.BillsReport(shard=shard, closes=unsent, held=True)
            reply = await self.shards.call(report, timeout_s=SEND_TIMEOUT_S)
            if sent.count and reply.epoch != sent.epoch:
                self._sent[shard] = SentCloses()
                return
            sent = SentCloses(epoch=reply.epoch, count=sent.count + len(unsent))
            self._sent[shard] = sent
        barrier = ops.BillsReport(shard=shard)
        done = await self.shards.call(barrier, timeout_s=SEND_TIMEOUT_S)
        self._sent[shard] = SentCloses()
        if done.epoch == sent.epoch:
            del rows[: sent.count]
            self.pending -= sent.count

    async def flush(self, timeout_s: float) -> None:
        """Wait until no record is queued, for at most `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.pending:
                    await asyncio.sleep(FLUSH_INTERVAL_S)
        except TimeoutError:
            return
