"""Group membership: which instances are alive, by SWIM probes and gossip.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. Instances are discovered from the
platform's list and from peers. Each instance probes one other instance per period,
directly and then through others; membership updates are piggybacked on the probes. The
cost for an instance does not depend on the number of instances.
"""

import asyncio
import collections.abc
import random
import time

import attrs
import mode
from loguru import logger

from masticpost_peers import gossip, hub, messages, probes

PROBE_PERIOD_S = 0.4
PROBE_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.4
# Instances asked to probe a member that did not answer.
INDIRECT_PROBES = 2
# Time after which a suspect member is declared dead.
SUSPECT_TIMEOUT_S = 0.6
# Time after which a dead or leaving member is removed.
DEAD_RETENTION_S = 60.0
# Time between probe rounds from which on this process counts as having been paused.
PAUSE_THRESHOLD_S = 2.0


Listener = collections.abc.Callable[[probes.Member], None]


class Membership(mode.Service):
    """The members of the deployment, as this instance knows them.

    Parameters
    ----------
    peers : hub.Hub
        Sends and receives the messages.
    domain : str
        Failure domain of this instance.
    advertise : str
        ``host:port`` at which peers reach this instance.
    seed : int
        Seed of the random choices.
    http : str
        ``host:port`` at which this instance serves callers.
    serves_others : bool
        Whether this instance can take on work for the others.
    """

    def __init__(
        self,
        *,
        peers: hub.Hub,
        domain: str,
        advertise: str,
        seed: int,
        http: str = "",
        serves_others: bool = True,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.random = random.Random(seed)
        self.me = probes.Member(
            name=peers.name,
            address=advertise,
            domain=domain,
            incarnation=peers.incarnation,
            started=peers.incarnation,
            http=http,
            serves_others=serves_others,
        )
        self._members: dict[str, probes.Member] = {self.me.name: self.me}
        self._alive: list[probes.Member] | None = None
        self._updates = gossip.UpdateQueue()
        self._changed_at: dict[str, float] = {}
        self._reached_at: dict[str, float] = {}
        self._probe_order: list[str] = []
        self._listeners: list[Listener] = []
        self._last_round_at = time.monotonic()
        peers.handle(probes.Probe, self._on_probe, is_urgent=True)
        peers.handle(probes.IndirectProbe, self._on_indirect_probe, is_urgent=True)
        peers.handle(probes.MembersRequest, self._on_members_request, is_urgent=True)

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each member that is added or changes."""
        self._listeners.append(listener)

    def alive(self) -> list[probes.Member]:
        """Return the members that may own work: alive or suspect, this one included.

        The list is cached until a member changes and must not be modified.
        """
        if self._alive is None:
            found = self._members.values()
            self._alive = [
                m for m in found if probes.RANK[m.state] < probes.RANK[probes.LEAVING]
            ]
        return self._alive

    def members(self) -> list[probes.Member]:
        """Return every known member, including leaving and dead ones, by name."""
        return sorted(self._members.values(), key=lambda m: m.name)

    def expected_count(self) -> int:
        """Return the number of members that are alive or have not been seen to leave.

        A member that is dead here may be alive behind a cut; it counts until it is
        removed.
        """
        return sum(row.state != probes.LEAVING for row in self._members.values())

    def get(self, name: str) -> probes.Member | None:
        """Return the member `name`, None if it is not known."""
        return self._members.get(name)

    def is_running(self, name: str, started: int) -> bool:
        """Return whether a run of an instance may still be alive.

        An instance that is not known, or has another start now, counts as ended.

        Parameters
        ----------
        name : str
            Name of the instance.
        started : int
            Start of its process, in milliseconds.
        """
        member = self._members.get(name)
        if member is None or member.started != started:
            return False
        return member.state != probes.DEAD

    def recently_reached(self, within_s: float) -> set[str]:
        """Return the names of members that were in contact within `within_s` seconds.

        These are members that answered a probe or sent one, and this instance itself.
        """
        since = time.monotonic() - within_s
        recent = {name for name, at in self._reached_at.items() if at > since}
        return recent | {self.me.name}

    def set_generation(self, generation: int) -> None:
        """Announce the generation of the configuration in force here."""
        self._update_me(attrs.evolve(self.me, generation=generation))

    async def leave(self) -> None:
        """Announce to all live members that this instance is leaving."""
        self._update_me(attrs.evolve(self.me, state=probes.LEAVING))
        updates = self._next_updates()
        for member in self.alive():
            await self.peers.send(
                member.address, probes.Probe(news=[self.me, *updates])
            )

    def add_listed(self, name: str, address: str, domain: str) -> None:
        """Add an instance from the platform's list, unless it is already known."""
        if name in self._members or name == self.me.name:
            return
        member = probes.Member(
            name=name, address=address, domain=domain, incarnation=0, started=0
        )
        self._apply_update(member)

    async def join(self, address: str) -> bool:
        """Request the members that a peer knows; returns False without a reply."""
        req = probes.MembersRequest(news=[self.me])
        try:
            reply = await self.peers.call(address, req, PROBE_TIMEOUT_S * 2)
        except hub.PeerUnreachableError:
            return False
        self._apply_updates(reply.news)
        return True

    @mode.Service.task
    async def probe_loop(self) -> None:
        """Probe one member per period until the service stops."""
        while not self.should_stop:
            started = time.monotonic()
            self._reset_ages_after_pause(started)
            self._expire(started)
            target = self._next_target()
            if target is not None:
                self.add_future(self._probe(target))
            await asyncio.sleep(PROBE_PERIOD_S * self.random.uniform(0.9, 1.1))

    def _reset_ages_after_pause(self, now: float) -> None:
        """Restart the timers of all members if this process was paused.

        Otherwise the length of the pause would count against the other members.
        """
        if now - self._last_round_at > PAUSE_THRESHOLD_S:
            for name in self._changed_at:
                self._changed_at[name] = now
        self._last_round_at = now

    def _next_target(self) -> probes.Member | None:
        """Return the next member to probe: all in random order, then all again."""
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state in (probes.ALIVE, probes.SUSPECT):
                return member
        self._probe_order = [
            m.name
            for m in self._members.values()
            if m.name != self.me.name and m.state in (probes.ALIVE, probes.SUSPECT)
        ]
        self.random.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self._members[self._probe_order.pop()]

    async def _probe(self, target: probes.Member) -> None:
        """Probe a member; it becomes suspect if no probe reaches it."""
        if await self._probe_once(target) or await self._probe_indirectly(target):
            self._reached_at[target.name] = time.monotonic()
            return
        current = self._members.get(target.name)
        if current is None or current.state != probes.ALIVE:
            return
        if current.incarnation != target.incarnation:
            return
        self._apply_update(attrs.evolve(current, state=probes.SUSPECT))

    async def _probe_once(self, target: probes.Member) -> bool:
        """Probe a member directly.

        A suspect member is sent its own state, so that it can refute it.
        """
        updates = self._next_updates()
        if self.me not in updates:
            updates.append(self.me)
        current = self._members.get(target.name)
        if current is not None and current.state == probes.SUSPECT:
            updates.append(current)
        try:
            ack = await self.peers.call(
                target.address, probes.Probe(news=updates), PROBE_TIMEOUT_S
            )
        except hub.PeerUnreachableError:
            return False
        self._apply_updates(ack.news)
        return True

    async def _probe_indirectly(self, target: probes.Member) -> bool:
        helpers = [
            m
            for m in self._members.values()
            if m.state == probes.ALIVE and m.name not in (self.me.name, target.name)
        ]
        chosen = self.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        attempts = [self._probe_through(helper, target) for helper in chosen]
        return any(await asyncio.gather(*attempts))

    async def _probe_through(
        self, helper: probes.Member, target: probes.Member
    ) -> bool:
        req = probes.IndirectProbe(target=target)
        try:
            ack = await self.peers.call(helper.address, req, INDIRECT_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return False
        return ack.reached

    async def _on_probe(
        self, envelope: messages.Envelope, body: probes.Probe
    ) -> probes.ProbeAck:
        """Answer a probe.

        A sender that is suspect or dead here is sent its own state, so that it can
        refute it.
        """
        self._reached_at[envelope.sender] = time.monotonic()
        self._apply_updates(body.news)
        updates = self._next_updates()
        if self.me not in updates:
            updates.append(self.me)
        sender = self._members.get(envelope.sender)
        if sender is not None and sender.state in (probes.SUSPECT, probes.DEAD):
            updates.append(sender)
        return probes.ProbeAck(news=updates)

    async def _on_indirect_probe(
        self, envelope: messages.Envelope, body: probes.IndirectProbe
    ) -> probes.ProbeAck:
        return probes.ProbeAck(reached=await self._probe_once(body.target))

    async def _on_members_request(
        self, envelope: messages.Envelope, body: probes.MembersRequest
    ) -> probes.MembersReply:
        self._apply_updates(body.news)
        return probes.MembersReply(news=self.members())

    def _apply_updates(self, updates: list[probes.Member]) -> None:
        for member in updates:
            if member.name == self.me.name:
                self._refute(member)
            else:
                self._apply_update(member)

    def _refute(self, claim: probes.Member) -> None:
        """Refute a wrong state of this instance with a higher incarnation.

        A claim about an earlier incarnation was refuted before: the present state is
        only announced again.
        """
        if claim.started > self.me.started:
            logger.error(
                "another process with a later start runs as instance {}", self.me.name
            )
            return
        if claim.state == self.me.state:
            return
        if claim.incarnation < self.me.incarnation:
            self._updates.add(self.me)
            return
        incarnation = max(claim.incarnation, self.me.incarnation) + 1
        self._update_me(attrs.evolve(self.me, incarnation=incarnation))

    def _update_me(self, me: probes.Member) -> None:
        self.me = me
        self._store(me)
        self._updates.add(me)
        self._notify_listeners(me)

    def _apply_update(self, member: probes.Member) -> None:
        """Store, gossip and log another member's state unless it is outdated."""
        current = self._members.get(member.name)
        if current is not None and not member.supersedes(current):
            return
        self._store(member)
        self._changed_at[member.name] = time.monotonic()
        self._updates.add(member)
        if current is None or current.state != member.state:
            self._log_change(member, is_new=current is None)
        self._notify_listeners(member)

    def _store(self, member: probes.Member) -> None:
        self._members[member.name] = member
        self._alive = None

    def _log_change(self, member: probes.Member, *, is_new: bool) -> None:
        """Log a change of state, new live members at level DEBUG only.

        When many instances start together, each finds all others at once.
        """
        is_expected = is_new and member.state == probes.ALIVE
        logger.bind(event="mesh", member=member.name).log(
            "DEBUG" if is_expected else "INFO",
            "instance at {} is {}",
            member.address,
            member.state,
        )

    def _notify_listeners(self, member: probes.Member) -> None:
        for listener in self._listeners:
            listener(member)

    def _expire(self, now: float) -> None:
        """Declare suspects dead and remove dead or leaving members after a timeout."""
        for member in list(self._members.values()):
            age = now - self._changed_at.get(member.name, now)
            if member.state == probes.SUSPECT and age > SUSPECT_TIMEOUT_S:
                self._apply_update(attrs.evolve(member, state=probes.DEAD))
            if (
                member.name == self.me.name
                or probes.RANK[member.state] < probes.RANK[probes.LEAVING]
            ):
                continue
            if age > DEAD_RETENTION_S:
                self._remove(member)

    def _remove(self, member: probes.Member) -> None:
        del self._members[member.name]
        self._alive = None
        self._updates.discard(member.name)
        self.add_future(self.peers.disconnect(member.address))

    def _next_updates(self) -> list[probes.Member]:
        return self._updates.take(len(self._members))
