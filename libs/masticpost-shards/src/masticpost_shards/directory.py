"""Assigns shards to instances, and runs the owners of this instance's shards."""

import asyncio
import time
import typing

import attrs
import mode
from loguru import logger
from masticpost_common import rendezvous
from masticpost_peers import hub, membership, messages, probes
from masticpost_store import client

from masticpost_shards import ops, owner, records, settling

CALL_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.03
HAND_OVER_S = 2.0
OWNER_CHECK_S = 0.25


class ShardUnavailableError(Exception):
    """No owner answered in time; the operation may or may not be committed."""


class StoreUnavailableError(Exception):
    """The owner can commit nothing now; the operation had no effect."""


class Directory(mode.Service):
    """Routes operations to the owners of their shards.

    Parameters
    ----------
    store : client.Client
        The object API.
    peers : hub.Hub
        Sends messages to other instances.
    members : membership.Membership
        Instances that may own shards.
    shard_count : int
        Number of shards of the deployment.
    settle_after_s : float
        Seconds until an open bill of an ended instance is settled.
    """

    def __init__(
        self,
        *,
        store: client.Client,
        peers: hub.Hub,
        members: membership.Membership,
        shard_count: int,
        settle_after_s: float = settling.SETTLE_AFTER_S,
    ) -> None:
        super().__init__()
        self.store = store
        self.peers = peers
        self.members = members
        self.shard_count = shard_count
        self.settle_after_s = settle_after_s
        self.run = records.Run(instance=peers.name, started=peers.incarnation)
        self.owners: dict[int, owner.ShardOwner] = {}
        self.held_permits: owner.HeldPermits = owner.no_permits
        self._leaving = False
        self._handovers: set[asyncio.Task] = set()
        self._may_own = asyncio.Event()
        self._members_changed = asyncio.Event()
        members.listen(lambda member: self._members_changed.set())
        for kind in ops.DECIDERS.names():
            peers.handle(messages.KINDS.get(kind), self._on_op)

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return rendezvous.shard_of(key, self.shard_count)

    def owner_of(self, shard: int) -> probes.Member | None:
        """Return the member that owns the shard, by the members known here."""
        candidates = {m.name: m for m in self.members.alive()}
        if self._leaving:
            candidates.pop(self.peers.name, None)
        name = rendezvous.owner(candidates, f"shard-{shard}")
        return candidates.get(name)

    async def call(self, op: typing.Any, *, timeout_s: float) -> typing.Any:
        """Send `op` to the owner of ``op.shard``; retry for up to `timeout_s` seconds.

        Raises
        ------
        ShardUnavailableError
            No owner answered in time.
        StoreUnavailableError
            The owner refused `op` because the object API is down.
        """
        until = time.monotonic() + timeout_s
        while True:
            left_s = until - time.monotonic()
            reply = await self._call_once(op, min(left_s, CALL_TIMEOUT_S))
            if isinstance(reply, ops.StoreDown):
                raise StoreUnavailableError
            if reply is not None and not isinstance(reply, ops.NotOwner):
                return reply
            if time.monotonic() + RETRY_PAUSE_S >= until:
                raise ShardUnavailableError(f"shard {op.shard}")
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _call_once(self, op: typing.Any, timeout_s: float) -> typing.Any:
        member = self.owner_of(op.shard)
        if member is None:
            return None
        try:
            if member.name == self.peers.name:
                async with asyncio.timeout(timeout_s):
                    return await self._submit_locally(op)
            return await self.peers.call(member.address, op, timeout_s)
        except (hub.PeerUnreachableError, TimeoutError):
            return None

    async def _on_op(self, envelope: messages.Envelope, op: typing.Any) -> object:
        """Decide an operation of a peer, within the time that the peer waits."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._submit_locally(op)
        except TimeoutError:
            return ops.NotOwner()

    async def _submit_locally(self, op: typing.Any) -> object:
        shard_owner = self.owners.get(op.shard)
        if shard_owner is None:
            return ops.NotOwner()
        try:
            return await shard_owner.submit(op)
        except owner.NotOwnerError:
            return ops.NotOwner()
        except owner.StoreDownError:
            return ops.StoreDown()

    def is_running(self, run: records.Run) -> bool:
        """Return whether a run of an instance may still be active."""
        return self.members.is_running(run.instance, run.started)

    def start_owning(self) -> None:
        """Start owning shards; called once the other members are known."""
        self._may_own.set()

    @mode.Service.task
    async def follow_members(self) -> None:
        """Start and stop owners as the members change."""
        await self._may_own.wait()
        while not self.should_stop:
            self._members_changed.clear()
            await self._reconcile_owners()
            try:
                async with asyncio.timeout(OWNER_CHECK_S):
                    await self._members_changed.wait()
            except TimeoutError:
                continue

    async def _reconcile_owners(self) -> None:
        for shard in range(self.shard_count):
            member = self.owner_of(shard)
            is_mine = member is not None and member.name == self.peers.name
            if is_mine and shard not in self.owners:
                await self._start_owner(shard)
            elif not is_mine and shard in self.owners:
                self._begin_hand_over(shard)

    async def _start_owner(self, shard: int) -> None:
        started = owner.ShardOwner(
            store=self.store,
            shard=shard,
            run=self.run,
            is_running=self.is_running,
            settle_after_s=self.settle_after_s,
            held_permits=self.held_permits,
            shard_count=self.shard_count,
        )
        self.owners[shard] = started
        await started.start()

    def _begin_hand_over(self, shard: int) -> None:
        """Hand a shard over in the background."""
        stopped = self.owners.pop(shard)
        task = asyncio.ensure_future(_hand_over(stopped))
        self._handovers.add(task)
        task.add_done_callback(self._handovers.discard)

    async def hand_over(self) -> None:
        """Hand every shard over to the other instances and own none afterwards."""
        self._leaving = True
        for shard in list(self.owners):
            self._begin_hand_over(shard)
        await asyncio.gather(*self._handovers)
        logger.info("shards handed over")

    async def on_stop(self) -> None:
        """Stop the remaining owners."""
        for shard in list(self.owners):
            stopped = self.owners.pop(shard)
            await stopped.stop()


async def _hand_over(stopped: owner.ShardOwner) -> None:
    await stopped.hand_over(HAND_OVER_S)
    await stopped.stop()


@attrs.frozen(kw_only=True)
class ShardStatus:
    """Status of a shard that this instance owns."""

    shard: int
    epoch: int
    seq: int
    is_serving: bool


def statuses(directory: Directory) -> list[ShardStatus]:
    """Return the shards owned by this instance."""
    return [
        ShardStatus(
            shard=shard,
            epoch=own.epoch,
            seq=own.journal.loaded.state.seq if own.journal.loaded else -1,
            is_serving=own.is_serving,
        )
        for shard, own in sorted(directory.owners.items())
    ]
