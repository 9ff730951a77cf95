"""Permits: a limit on concurrent use of a resource, summed over all instances.

The owner of the resource's shard grants permits, and only while it holds the shard's
lease. A new owner first waits for the old owner's lease to end, and then for the time
within which holders renew, so that it knows every permit in use. A holder renews a
permit while using it, and stops using it if it cannot renew in time.
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

PERMIT_LEASE_S = 3.0
RENEW_INTERVAL_S = 0.7
USE_WITHIN_S = 0.5
REQUEST_TIMEOUT_S = 0.5
TAKEOVER_WAIT_S = owner.LEASE_S + PERMIT_LEASE_S
IDLE_LEASE_S = 30.0


@messages.message("permit-ask")
@attrs.frozen(kw_only=True)
class PermitRequest:
    """Requests, or renews, a permit for a resource with `limit` permits."""

    shard: int
    resource: str
    limit: int
    nonce: str
    renews: bool = False


@messages.message("permit-reply")
@attrs.frozen(kw_only=True)
class PermitReply:
    """Whether the permit is granted for the next `PERMIT_LEASE_S` seconds."""

    granted: bool


@messages.message("permit-return")
@attrs.frozen(kw_only=True)
class PermitReturn:
    """Returns a permit.

    `is_success` counts towards the `successes` in a row, over at least `seconds`, that
    end a cold start. With `successes` 0 the use is not counted.
    """

    shard: int
    resource: str
    nonce: str
    is_success: bool = False
    successes: int = 0
    seconds: float = 0.0


@attrs.define(kw_only=True)
class Streak:
    """Number of successful uses of a resource in a row, and the time of the first."""

    count: int = 0
    since: float = 0.0


class PermitIssuer:
    """Grants the permits of the shards that this instance owns.

    Parameters
    ----------
    shards : directory.Directory
        Provides the shard owners of this instance.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        self.shards = shards
        self._leases: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self._epochs: dict[int, int] = {}
        self._used_at: dict[int, float] = {}
        self._streaks: dict[str, Streak] = {}
        self._on_streak: collections.abc.Callable[[str], None] | None = None
        self._on_failure: collections.abc.Callable[[str], None] | None = None
        shards.held_permits = self.permits_in_use
        shards.peers.handle(PermitRequest, self.on_request)
        shards.peers.handle(PermitReturn, self.on_return)

    async def on_request(
        self, envelope: messages.Envelope | None, request: PermitRequest
    ) -> object:
        """Grant, renew or refuse a permit."""
        now = time.monotonic()
        own = self.shards.owners.get(request.shard)
        if own is None or not own.is_serving:
            return ops.NotOwner()
        self._begin_epoch(own)
        own.needs_lease = True
        self._used_at[own.shard] = now
        leases = self._unexpired(request.resource, now)
        if request.renews or request.nonce in leases:
            leases[request.nonce] = now + PERMIT_LEASE_S
            return PermitReply(granted=True)
        if not own.holds_lease or self._is_waiting_after_takeover(own, now):
            return PermitReply(granted=False)
        if len(leases) >= request.limit:
            return PermitReply(granted=False)
        leases[request.nonce] = now + PERMIT_LEASE_S
        return PermitReply(granted=True)

    async def on_return(
        self, envelope: messages.Envelope | None, back: PermitReturn
    ) -> object:
        """Take a permit back; notify the listeners of a full streak or a failure."""
        expires_at = self._leases[back.resource].pop(back.nonce, None)
        if expires_at is None or not back.successes:
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
        if streak.count >= back.successes and is_long and self._on_streak:
            del self._streaks[back.resource]
            self._on_streak(back.resource)
        return ops.Done()

    def listen(
        self,
        on_streak: collections.abc.Callable[[str], None],
        on_failure: collections.abc.Callable[[str], None],
    ) -> None:
        """Set the listeners for resources that complete a streak, and for failures."""
        self._on_streak = on_streak
        self._on_failure = on_failure

    def reset_streak(self, resource: str) -> None:
        """Discard the successes of a resource that is cold again."""
        self._streaks.pop(resource, None)

    def drop_idle_leases(self) -> None:
        """Stop renewing shard leases not used for `IDLE_LEASE_S` seconds."""
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
        for resource in list(self._leases):
            if self.shards.shard_of(resource) == own.shard:
                del self._leases[resource]
        until = time.monotonic() + PERMIT_LEASE_S
        for permit in own.inherited_permits:
            self._leases[permit.resource][permit.nonce] = until

    def permits_in_use(self, shard: int) -> list[records.HeldPermit]:
        """Return the permits of a shard that are in use."""
        now = time.monotonic()
        return [
            records.HeldPermit(resource=resource, nonce=nonce)
            for resource in list(self._leases)
            if self.shards.shard_of(resource) == shard
            for nonce in self._unexpired(resource, now)
        ]

    def _is_waiting_after_takeover(self, own: owner.ShardOwner, now: float) -> bool:
        if own.is_first_owner or own.was_released:
            return False
        return now < own.owned_since + TAKEOVER_WAIT_S

    def _unexpired(self, resource: str, now: float) -> dict[str, float]:
        leases = self._leases[resource]
        for nonce in [nonce for nonce, until in leases.items() if until <= now]:
            del leases[nonce]
        return leases


@attrs.define(kw_only=True)
class Permit:
    """A permit in use.

    Attributes
    ----------
    use_by : float
        Monotonic time after which the use must not start.
    held_until : float
        Monotonic time at which the permit expires unless it is renewed.
    lost : asyncio.Event
        Set if the permit cannot be renewed in time.
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
    issuer : PermitIssuer
        The permit issuer of this instance.
    """

    def __init__(self, *, shards: directory.Directory, issuer: PermitIssuer) -> None:
        super().__init__()
        self.shards = shards
        self.issuer = issuer
        self._permits: dict[str, Permit] = {}

    async def acquire(self, resource: str, limit: int) -> Permit | None:
        """Return a permit; None if all are in use or no owner can grant one."""
        started = time.monotonic()
        nonce = uuid.uuid4().hex
        if not await self._request(resource, limit, nonce, renews=False):
            shard = self.shards.shard_of(resource)
            back = PermitReturn(shard=shard, resource=resource, nonce=nonce)
            self.add_future(self._send(shard, back))
            return None
        permit = Permit(
            resource=resource,
            limit=limit,
            nonce=nonce,
            use_by=started + USE_WITHIN_S,
            held_until=started + PERMIT_LEASE_S,
        )
        self._permits[nonce] = permit
        return permit

    def release(
        self,
        permit: Permit,
        *,
        is_success: bool = False,
        successes: int = 0,
        seconds: float = 0.0,
    ) -> None:
        """Return a permit in the background; see `PermitReturn`."""
        self._permits.pop(permit.nonce, None)
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
        """Renew the permits in use; mark those that cannot be renewed as lost."""
        while not self.should_stop:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self.issuer.drop_idle_leases()
            renewals = [self._renew(permit) for permit in list(self._permits.values())]
            await asyncio.gather(*renewals)

    async def _renew(self, permit: Permit) -> None:
        started = time.monotonic()
        if await self._request(
            permit.resource, permit.limit, permit.nonce, renews=True
        ):
            permit.held_until = started + PERMIT_LEASE_S
        elif time.monotonic() + RENEW_INTERVAL_S >= permit.held_until:
            permit.lost.set()

    async def _request(
        self, resource: str, limit: int, nonce: str, *, renews: bool
    ) -> bool:
        shard = self.shards.shard_of(resource)
        request = PermitRequest(
            shard=shard, resource=resource, limit=limit, nonce=nonce, renews=renews
        )
        reply = await self._send(shard, request)
        return isinstance(reply, PermitReply) and reply.granted

    async def _send(self, shard: int, body: PermitRequest | PermitReturn) -> object:
        member = self.shards.owner_of(shard)
        if member is None:
            return None
        if member.name == self.shards.peers.name:
            is_request = isinstance(body, PermitRequest)
            serve = self.issuer.on_request if is_request else self.issuer.on_return
            return await serve(None, body)
        try:
            return await self.shards.peers.call(member.address, body, REQUEST_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return None
