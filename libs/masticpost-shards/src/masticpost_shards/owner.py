"""The owner of one shard: takes it over, decides operations and commits them.

Correctness depends on the fencing of the log, not on clocks: an owner that was paused
finds that another owner has written at its position in the log. It then drops what
was not committed and replies that it is not the owner.
"""

import asyncio
import collections.abc
import copy
import time

import attrs
import mode
import result
from loguru import logger
from masticpost_common import clock
from masticpost_store import client

from masticpost_shards import batches, log, ops, records, settling, state

COMMIT_INTERVAL_S = 0.05
COMMIT_S_PER_SHARD = 0.004
RETRY_PAUSE_S = 0.1
RETRY_MAX_PAUSE_S = 1.0
LOST_PAUSE_S = 0.3
LEASE_S = 4.0
RENEW_AFTER_S = 1.5
SETTLE_CHECK_S = 2.0


class NotOwnerError(Exception):
    """This instance does not own the shard, or lost it before the commit."""


class StoreDownError(Exception):
    """Nothing can be committed at present."""


HeldPermits = collections.abc.Callable[[int], list[records.HeldPermit]]


def commit_interval_s(shard_count: int) -> float:
    """Return the minimum time between two commits of a shard, in seconds.

    It grows with the number of shards, so that all shards together write at most
    1 / `COMMIT_S_PER_SHARD` batches per second.
    """
    return max(COMMIT_INTERVAL_S, COMMIT_S_PER_SHARD * shard_count)


def no_permits(shard: int) -> list[records.HeldPermit]:
    """Return no permits; the default for an owner without a permit issuer."""
    return []


class ShardOwner(mode.Service):
    """Serves one shard while this instance is its owner.

    Parameters
    ----------
    store : client.Client
        The object API.
    shard : int
        Number of the shard.
    run : records.Run
        This process.
    is_running : callable
        Returns whether a run of an instance may still be active.
    settle_after_s : float
        Seconds until an open bill of an ended instance is settled.
    held_permits : callable, optional
        Returns the permits of a shard that are in use; they are handed over to the
        next owner.
    shard_count : int
        Number of shards of the deployment, which determines the commit interval.
    """

    def __init__(
        self,
        *,
        store: client.Client,
        shard: int,
        run: records.Run,
        is_running: ops.IsRunning,
        settle_after_s: float = settling.SETTLE_AFTER_S,
        held_permits: HeldPermits | None = None,
        shard_count: int = 1,
    ) -> None:
        super().__init__()
        self.store = store
        self.shard = shard
        self.run = run
        self.is_running = is_running
        self.abandoned_bills = settling.AbandonedBills(
            is_running=is_running, settle_after_s=settle_after_s
        )
        self.held_permits = held_permits or no_permits
        self.interval_s = commit_interval_s(shard_count)
        self.journal = log.Log(store=store, shard=shard, run=run)
        self.working_state: state.State | None = None
        self.epoch = -1
        self.owned_since = 0.0
        self.lease_until = 0.0
        self.needs_lease = False
        self.is_first_owner = False
        self.was_released = False
        self.inherited_permits: list[records.HeldPermit] = []
        self._pending = batches.Queue()
        self._wake = asyncio.Event()
        self._handing_over = False
        self._has_released = False
        self._is_committing = False

    @property
    def is_serving(self) -> bool:
        """Whether the shard was taken over, and neither lost nor being handed over."""
        return self.working_state is not None and not self._handing_over

    @property
    def holds_lease(self) -> bool:
        """Whether the shard's lease is valid; no new owner relies on its expiry yet."""
        return self.is_serving and time.monotonic() < self.lease_until

    async def submit(self, op: object) -> object:
        """Decide an operation and return its reply.

        Raises
        ------
        NotOwnerError
            This instance is not the owner. Records of the operation may or may not be
            in the log. Operations can be repeated.
        StoreDownError
            The object API is down and the operation needs a commit first, or too many
            records wait for a commit.
        """
        if not self.is_serving:
            raise NotOwnerError
        if self.store.is_down and isinstance(op, ops.ClaimRequest):
            return self._decide_without_store(op)
        if self._pending.is_full:
            raise StoreDownError
        decision = ops.decide(self.working_state, op, self.is_running)
        reply = self._with_epoch(decision.reply)
        is_behind = bool(self._pending) or self._is_committing
        if not decision.writes and not (decision.waits_for_commit and is_behind):
            return reply
        fut = asyncio.get_running_loop().create_future()
        self._pending.add(batches.Pending(writes=decision.writes, fut=fut))
        self._wake.set()
        if not decision.waits_for_commit:
            fut.add_done_callback(_ignore_result)
            return reply
        await fut
        return reply

    def _with_epoch(self, reply: object) -> object:
        if isinstance(reply, ops.Done):
            return attrs.evolve(reply, epoch=self.epoch)
        return reply

    def _decide_without_store(self, op: ops.ClaimRequest) -> object:
        """Answer a claim from the working state; a new claim cannot be committed."""
        call = self.working_state.calls.get(op.claim.key)
        if not ops.is_claimed(self.working_state, op.claim.key):
            if not op.grants:
                return ops.ClaimReply(verdict=ops.ABSENT)
            raise StoreDownError
        if call.claim.nonce == op.claim.nonce and call.outcome is None:
            raise StoreDownError
        return ops.decide(self.working_state, op, self.is_running).reply

    async def hand_over(self, timeout_s: float) -> None:
        """Stop deciding operations and commit the pending ones.

        Returns after `timeout_s` seconds at the latest.
        """
        self._handing_over = True
        until = time.monotonic() + timeout_s
        self._wake.set()
        while not self._has_released and time.monotonic() < until:
            await asyncio.sleep(COMMIT_INTERVAL_S / 2)

    async def on_stop(self) -> None:
        """Fail the operations that were not committed."""
        self._drop()

    def _drop(self) -> None:
        self.working_state = None
        self.lease_until = 0.0
        self._pending.fail_all(NotOwnerError)

    @mode.Service.task
    async def serve(self) -> None:
        """Take the shard over and commit; repeat after each loss of the shard."""
        while not self.should_stop and not self._handing_over:
            if not await self._take_over():
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            await self._commit_until_lost()
            self._drop()
            await asyncio.sleep(LOST_PAUSE_S)

    async def _take_over(self) -> bool:
        loaded = await self.journal.load()
        if loaded.is_err():
            return False
        before = self.journal.committed
        self.is_first_owner = before.seq < 0
        self.was_released = before.released
        self.inherited_permits = list(before.permits)
        batch = attrs.evolve(self.journal.next_batch(clock.wall_ms()), takeover=True)
        if not await self._write(batch):
            return False
        self.working_state = copy.deepcopy(self.journal.committed)
        self.epoch = batch.seq
        self.owned_since = time.monotonic()
        logger.info("shard {} taken over at {}", self.shard, batch.seq)
        return True

    async def _commit_until_lost(self) -> None:
        while not self.should_stop:
            await self._wait_for_work()
            if not await self._commit_pending():
                return
            if self._handing_over and not self._pending:
                await self._release()
                return
            if self.journal.snapshot_is_due():
                await self.journal.write_snapshot(clock.wall_ms())
                self.working_state.prune(clock.wall_ms())
            await asyncio.sleep(self.interval_s)

    async def _release(self) -> None:
        """Record in the log that this owner is done, and the permits in use."""
        batch = attrs.evolve(
            self.journal.next_batch(clock.wall_ms()),
            released=True,
            permits=self.held_permits(self.shard),
        )
        await self._write(batch)
        self._has_released = True

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        if self._pending or self._handing_over:
            return
        timeout_s = RENEW_AFTER_S if self.needs_lease else SETTLE_CHECK_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _commit_pending(self) -> bool:
        """Write the pending records as one batch; return False if that fails."""
        items = self._pending.take()
        has_writes = any(item.writes for item in items)
        if has_writes or self._renewal_is_due():
            batch = batches.fill(self.journal.next_batch(clock.wall_ms()), items)
            self._is_committing = True
            is_written = await self._write(batch)
            self._is_committing = False
            self._set_commit_times(batch)
        else:
            is_written = True
        if not is_written:
            for item in items:
                item.fail(NotOwnerError())
            return False
        for item in items:
            item.succeed()
        return True

    def _set_commit_times(self, batch: records.Batch) -> None:
        """Start the retention of a batch's bills at its commit, as the log does."""
        if self.working_state is None:
            return
        for closed in batch.closes:
            self.working_state.closed_bills[closed.key] = batch.at

    def _renewal_is_due(self) -> bool:
        left = self.lease_until - time.monotonic()
        return self.needs_lease and left < LEASE_S - RENEW_AFTER_S

    async def _write(self, batch: records.Batch) -> bool:
        """Retry until the batch is committed.

        Returns False if the shard is lost, the batch is too large or the service
        stops.
        """
        pause = RETRY_PAUSE_S
        has_unknown_result = False
        while not self.should_stop:
            started = time.monotonic()
            written = await self._write_once(batch, has_unknown_result)
            if written.is_ok():
                self.lease_until = started + LEASE_S
                return True
            fault = written.unwrap_err()
            if fault is log.AppendFault.FENCED:
                logger.info(
                    "shard {} lost to another owner at {}", self.shard, batch.seq
                )
                return False
            if fault is log.AppendFault.TOO_LARGE:
                logger.error("shard {}: batch is too large to be written", self.shard)
                return False
            if fault is log.AppendFault.WRAPPED:
                await self.journal.write_snapshot(clock.wall_ms())
            has_unknown_result = (
                has_unknown_result or fault is log.AppendFault.NOT_KNOWN
            )
            await asyncio.sleep(pause)
            pause = min(2 * pause, RETRY_MAX_PAUSE_S)
        return False

    async def _write_once(
        self, batch: records.Batch, has_unknown_result: bool
    ) -> result.Result[records.Batch, log.AppendFault]:
        if has_unknown_result:
            return await self.journal.resolve(batch)
        return await self.journal.append(batch)

    @mode.Service.task
    async def settle_bills(self) -> None:
        """Bill requests whose instance ended before it reported their usage."""
        while not self.should_stop:
            await asyncio.sleep(SETTLE_CHECK_S)
            if not self.is_serving:
                continue
            closes = self.abandoned_bills.due_closes(
                self.working_state, time.monotonic()
            )
            if closes:
                report = ops.BillsReport(shard=self.shard, closes=closes)
                self.add_future(self._settle(report))

    async def _settle(self, report: ops.BillsReport) -> None:
        try:
            await self.submit(report)
        except (NotOwnerError, StoreDownError):
            return
        logger.info("shard {}: settled {} bills", self.shard, len(report.closes))


def _ignore_result(fut: asyncio.Future) -> None:
    if not fut.cancelled():
        fut.exception()
