"""Permits: a limit on concurrent use of a resource, summed over all instances.

The owner of the resource's shard hands permits out. It does so only while it holds
the shard's lease; a new owner first waits out the old owner's lease, and the time
within which holders renew, so that it knows every permit that is in use. A holder
renews while it uses its permit and stops using it when it could not renew in time.
"""

import asyncio
import collections
import collections.abc
import time
import uuid

import attrs
import mode
from masticpost_peers import hub, messages

from masticpost_shards import directory, ops, owner, records

HOLD_S = 3.0
RENEW_S = 0.7
USE_WITHIN_S = 0.5
ASK_TIMEOUT_S = 0.5
SETTLE_IN_S = owner.LEASE_S + HOLD_S
IDLE_LEASE_S = 30.0


@messages.message("permit-ask")
@attrs.frozen(kw_only=True)
class PermitAsk:
    """Asks for, or renews, a permit for a resource with `limit` permits."""

    shard: int
    resource: str
    limit: int
    nonce: str
    renews: bool = False


@messages.message("permit-reply")
@attrs.frozen(kw_only=True)
class PermitReply:
    """Whether the permit is held for the next `HOLD_S` seconds."""

    granted: bool


@messages.message("permit-return")
@attrs.frozen(kw_only=True)
class PermitReturn:
    """Gives a permit back.

    `is_success` counts towards the `successes` in a row, over at least `seconds`,
    that end a cold start.
    """

    shard: int
    resource: str
    nonce: str
    is_success: bool = False
    successes: int = 0
    seconds: float = 0.0


@attrs.define(kw_only=True)
class Streak:
    """Successes in a row of a resource's uses, and when the first one was."""

    count: int = 0
    since: float = 0.0


class Desk:
    """Hands out the permits of the shards that are owned here.

    Parameters
    ----------
    shards : directory.Directory
        The owners that run here.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        self.shards = shards
        self._held: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self._epochs: dict[int, int] = {}
        self._used_at: dict[int, float] = {}
        self._streaks: dict[str, Streak] = {}
        self._on_enough: collections.abc.Callable[[str], None] | None = None
        self._on_failure: collections.abc.Callable[[str], None] | None = None
        shards.held_permits = self.held_of
        shards.peers.handle(PermitAsk, self.on_ask)
        shards.peers.handle(PermitReturn, self.on_return)

    async def on_ask(
        self, envelope: messages.Envelope | None, ask: PermitAsk
    ) -> object:
        """Grant, renew or refuse a permit."""
        now = time.monotonic()
        own = self.shards.owners.get(ask.shard)
        if own is None or not own.is_serving:
            return ops.NotOwner()
        self._begin_epoch(own)
        own.needs_lease = True
        self._used_at[own.shard] = now
        held = self._live(ask.resource, now)
        if ask.renews or ask.nonce in held:
            held[ask.nonce] = now + HOLD_S
            return PermitReply(granted=True)
        if not own.holds_lease or self._is_settling_in(own, now):
            return PermitReply(granted=False)
        if len(held) >= ask.limit:
            return PermitReply(granted=False)
        held[ask.nonce] = now + HOLD_S
        return PermitReply(granted=True)

    async def on_return(
        self, envelope: messages.Envelope | None, back: PermitReturn
    ) -> object:
        """Take a permit back; tell the listener when enough uses succeeded."""
        known = self._held[back.resource].pop(back.nonce, None)
        if known is None or not back.successes:
            return ops.Done()
        if not back.is_success:
            self._streaks.pop(back.resource, None)
            if self._on_failure is not None:
                self._on_failure(back.resource)
            return ops.Done()
        now = time.monotonic()
        streak = self._streaks.setdefault(back.resource, Streak(since=now))
        streak.count += 1
        is_long = now - streak.since >= back.seconds
        if streak.count >= back.successes and is_long and self._on_enough:
            del self._streaks[back.resource]
            self._on_enough(back.resource)
        return ops.Done()

    def listen(
        self,
        on_enough: collections.abc.Callable[[str], None],
        on_failure: collections.abc.Callable[[str], None],
    ) -> None:
        """Tell of resources whose uses succeeded often enough, and of failed uses."""
        self._on_enough = on_enough
        self._on_failure = on_failure

    def begin_streak_anew(self, resource: str) -> None:
        """Forget the successes of a resource that turned out to be cold again."""
        self._streaks.pop(resource, None)

    def drop_idle_leases(self) -> None:
        """Stop renewing the leases of shards without permits for a while."""
        now = time.monotonic()
        for shard, used_at in list(self._used_at.items()):
            own = self.shards.owners.get(shard)
            if own is None or now - used_at > IDLE_LEASE_S:
                del self._used_at[shard]
                if own is not None:
                    own.needs_lease = False

    def _begin_epoch(self, own: owner.ShardOwner) -> None:
        if self._epochs.get(own.shard) == own.epoch:
            return
        self._epochs[own.shard] = own.epoch
        for resource in list(self._held):
            if self.shards.shard_of(resource) == own.shard:
                del self._held[resource]
        until = time.monotonic() + HOLD_S
        for permit in own.inherited:
            self._held[permit.resource][permit.nonce] = until

    def held_of(self, shard: int) -> list[records.HeldPermit]:
        """Return the permits of a shard that are in use."""
        now = time.monotonic()
        return [
            records.HeldPermit(resource=resource, nonce=nonce)
            for resource in list(self._held)
            if self.shards.shard_of(resource) == shard
            for nonce in self._live(resource, now)
        ]

    def _is_settling_in(self, own: owner.ShardOwner, now: float) -> bool:
        if own.is_first_owner or own.was_released:
            return False
        return now < own.owned_since + SETTLE_IN_S

    def _live(self, resource: str, now: float) -> dict[str, float]:
        held = self._held[resource]
        for nonce in [nonce for nonce, until in held.items() if until <= now]:
            del held[nonce]
        return held


@attrs.define(kw_only=True)
class Permit:
    """A permit in use.

    Attributes
    ----------
    use_by : float
        Monotonic time after which the use must not begin any more.
    lost : asyncio.Event
        Set when the permit could not be renewed in time.
    """

    resource: str
    limit: int
    nonce: str
    use_by: float
    held_until: float
    lost: asyncio.Event = attrs.field(factory=asyncio.Event)


class Permits(mode.Service):
    """Acquires and renews permits for this instance.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owner of a resource's shard.
    desk : Desk
        The desk of this instance.
    """

    def __init__(self, *, shards: directory.Directory, desk: Desk) -> None:
        super().__init__()
        self.shards = shards
        self.desk = desk
        self._held: dict[str, Permit] = {}

    async def acquire(self, resource: str, limit: int) -> Permit | None:
        """Return a permit, None when all are in use or no owner can grant one."""
        started = time.monotonic()
        nonce = uuid.uuid4().hex
        if not await self._ask(resource, limit, nonce, renews=False):
            shard = self.shards.shard_of(resource)
            back = PermitReturn(shard=shard, resource=resource, nonce=nonce)
            self.add_future(self._send(shard, back))
            return None
        permit = Permit(
            resource=resource,
            limit=limit,
            nonce=nonce,
            use_by=started + USE_WITHIN_S,
            held_until=started + HOLD_S,
        )
        self._held[nonce] = permit
        return permit

    def release(
        self,
        permit: Permit,
        *,
        is_success: bool = False,
        successes: int = 0,
        seconds: float = 0.0,
    ) -> None:
        """Give a permit back, in the background; see `PermitReturn`."""
        self._held.pop(permit.nonce, None)
        back = PermitReturn(
            shard=self.shards.shard_of(permit.resource),
            resource=permit.resource,
            nonce=permit.nonce,
            is_success=is_success,
            successes=successes,
            seconds=seconds,
        )
        self.add_future(self._send(back.shard, back))

    @mode.Service.task
    async def renew_loop(self) -> None:
        """Renew what is held; mark what could not be renewed as lost."""
        while not self.should_stop:
            await asyncio.sleep(RENEW_S)
            self.desk.drop_idle_leases()
            renewals = [self._renew(permit) for permit in list(self._held.values())]
            await asyncio.gather(*renewals)

    async def _renew(self, permit: Permit) -> None:
        started = time.monotonic()
        if await self._ask(permit.resource, permit.limit, permit.nonce, renews=True):
            permit.held_until = started + HOLD_S
        elif time.monotonic() + RENEW_S >= permit.held_until:
            permit.lost.set()

    async def _ask(
        self, resource: str, limit: int, nonce: str, *, renews: bool
    ) -> bool:
        shard = self.shards.shard_of(resource)
        ask = PermitAsk(
            shard=shard, resource=resource, limit=limit, nonce=nonce, renews=renews
        )
        reply = await self._send(shard, ask)
        return isinstance(reply, PermitReply) and reply.granted

    async def _send(self, shard: int, body: PermitAsk | PermitReturn) -> object:
        member = self.shards.owner_of(shard)
        if member is None:
            return None
        if member.name == self.shards.peers.name:
            is_ask = isinstance(body, PermitAsk)
            serve = self.desk.on_ask if is_ask else self.desk.on_return
            return await serve(None, body)
        try:
            return await self.shards.peers.call(member.address, body, ASK_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return None
