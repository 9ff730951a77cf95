"""Which instances are alive: the platform's list plus probes between instances.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002. Each instance probes one other per
period, directly and then through others; news travels on the probes. The cost of an
instance does not depend on the number of instances.
"""

import asyncio
import collections.abc
import math
import random
import time

import attrs
import mode
from loguru import logger

from masticpost_peers import hub, messages, probes

PROBE_PERIOD_S = 0.4
PROBE_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.4
INDIRECT_PROBES = 2
SUSPECT_TIMEOUT_S = 0.6
DEAD_KEPT_S = 60.0
NEWS_PER_MESSAGE = 8
NEWS_REPEATS = 3
PAUSED_AFTER_S = 2.0


@attrs.define(kw_only=True)
class News:
    """A member's news and how often it was passed on."""

    member: probes.Member
    sent: int = 0


Listener = collections.abc.Callable[[probes.Member], None]


class Membership(mode.Service):
    """The members as this instance sees them.

    Parameters
    ----------
    peers : hub.Hub
        Sends the messages.
    domain : str
        Failure domain of this instance.
    advertise : str
        ``host:port`` at which peers reach this instance.
    seed : int
        Seed of the probe order.
    http : str
        ``host:port`` of the callers' side.
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
        self._news: dict[str, News] = {}
        self._changed_at: dict[str, float] = {}
        self._reached_at: dict[str, float] = {}
        self._order: list[str] = []
        self._listeners: list[Listener] = []
        self._last_tick = time.monotonic()
        peers.handle(probes.Probe, self._on_probe, is_urgent=True)
        peers.handle(probes.IndirectProbe, self._on_probe_through, is_urgent=True)
        peers.handle(probes.MembersRequest, self._on_members_ask, is_urgent=True)

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each member whose news changed."""
        self._listeners.append(listener)

    def alive(self) -> list[probes.Member]:
        """Return the members that may own work: alive or suspect, this one too.

        It is the same list until a member changes, and not to be changed.
        """
        if self._alive is None:
            found = self._members.values()
            self._alive = [
                m for m in found if probes.RANK[m.state] < probes.RANK[probes.LEAVING]
            ]
        return self._alive

    def members(self) -> list[probes.Member]:
        """Return every member known, the dead included."""
        return sorted(self._members.values(), key=lambda m: m.name)

    def get(self, name: str) -> probes.Member | None:
        """Return what is known of `name`."""
        return self._members.get(name)

    def is_running(self, name: str, started: int) -> bool:
        """Tell whether that run of that instance is not known to have ended."""
        member = self._members.get(name)
        if member is None or member.started != started:
            return False
        return member.state != probes.DEAD

    def recently_reached(self, within_s: float) -> set[str]:
        """Return the names of those heard from lately, this instance included."""
        since = time.monotonic() - within_s
        lately = {name for name, at in self._reached_at.items() if at > since}
        return lately | {self.me.name}

    def set_generation(self, generation: int) -> None:
        """Tell the others which configuration is in force here."""
        self._update_me(attrs.evolve(self.me, generation=generation))

    async def leave(self) -> None:
        """Tell the others that this instance leaves."""
        self._update_me(attrs.evolve(self.me, state=probes.LEAVING))
        news = self._take_news()
        for member in self.alive():
            await self.peers.send(member.address, probes.Probe(news=[self.me, *news]))

    def add_listed(self, name: str, address: str, domain: str) -> None:
        """Add an instance from the platform's list, unless it is known already."""
        if name in self._members or name == self.me.name:
            return
        member = probes.Member(
            name=name, address=address, domain=domain, incarnation=0, started=0
        )
        self._apply_update(member)

    async def join(self, address: str) -> bool:
        """Ask a peer for its members; False when it does not answer."""
        ask = probes.MembersRequest(news=[self.me])
        try:
            reply = await self.peers.call(address, ask, PROBE_TIMEOUT_S * 2)
        except hub.PeerUnreachableError:
            return False
        self._learn(reply.news)
        return True

    @mode.Service.task
    async def probe_loop(self) -> None:
        """Probe one member each period."""
        while not self.should_stop:
            started = time.monotonic()
            self._note_pause(started)
            self._expire(started)
            target = self._next_target()
            if target is not None:
                self.add_future(self._probe(target))
            await asyncio.sleep(PROBE_PERIOD_S * self.random.uniform(0.9, 1.1))

    def _note_pause(self, now: float) -> None:
        """After a pause of this process, do not blame others for its length."""
        if now - self._last_tick > PAUSED_AFTER_S:
            for name in self._changed_at:
                self._changed_at[name] = now
        self._last_tick = now

    def _next_target(self) -> probes.Member | None:
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.state in (probes.ALIVE, probes.SUSPECT):
                return member
        self._order = [
            m.name
            for m in self._members.values()
            if m.name != self.me.name and m.state in (probes.ALIVE, probes.SUSPECT)
        ]
        self.random.shuffle(self._order)
        if not self._order:
            return None
        return self._members[self._order.pop()]

    async def _probe(self, target: probes.Member) -> None:
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
        news = self._take_news()
        if self.me not in news:
            news.append(self.me)
        known = self._members.get(target.name)
        if known is not None and known.state == probes.SUSPECT:
            news.append(known)
        try:
            ack = await self.peers.call(
                target.address, probes.Probe(news=news), PROBE_TIMEOUT_S
            )
        except hub.PeerUnreachableError:
            return False
        self._learn(ack.news)
        return True

    async def _probe_indirectly(self, target: probes.Member) -> bool:
        helpers = [
            m
            for m in self._members.values()
            if m.state == probes.ALIVE and m.name not in (self.me.name, target.name)
        ]
        chosen = self.random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        tries = [self._probe_through(helper, target) for helper in chosen]
        return any(await asyncio.gather(*tries))

    async def _probe_through(
        self, helper: probes.Member, target: probes.Member
    ) -> bool:
        ask = probes.IndirectProbe(target=target)
        try:
            ack = await self.peers.call(helper.address, ask, INDIRECT_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return False
        return ack.reached

    async def _on_probe(
        self, envelope: messages.Envelope, body: probes.Probe
    ) -> probes.ProbeAck:
        self._reached_at[envelope.sender] = time.monotonic()
        self._learn(body.news)
        news = self._take_news()
        if self.me not in news:
            news.append(self.me)
        known = self._members.get(envelope.sender)
        if known is not None and known.state in (probes.SUSPECT, probes.DEAD):
            news.append(known)
        return probes.ProbeAck(news=news)

    async def _on_probe_through(
        self, envelope: messages.Envelope, body: probes.IndirectProbe
    ) -> probes.ProbeAck:
        return probes.ProbeAck(reached=await self._probe_once(body.target))

    async def _on_members_ask(
        self, envelope: messages.Envelope, body: probes.MembersRequest
    ) -> probes.MembersReply:
        self._learn(body.news)
        return probes.MembersReply(news=self.members())

    def _learn(self, news: list[probes.Member]) -> None:
        for member in news:
            if member.name == self.me.name:
                self._refute(member)
            else:
                self._apply_update(member)

    def _refute(self, claim: probes.Member) -> None:
        """Answer wrong news about this instance with a higher incarnation."""
        if claim.started > self.me.started:
            logger.error("another process runs as instance {}", self.me.name)
            return
        if claim.state == self.me.state:
            return
        if claim.incarnation < self.me.incarnation:
            self._news[self.me.name] = News(member=self.me)
            return
        incarnation = max(claim.incarnation, self.me.incarnation) + 1
        self._update_me(attrs.evolve(self.me, incarnation=incarnation))

    def _update_me(self, me: probes.Member) -> None:
        self.me = me
        self._put(me)
        self._news[me.name] = News(member=me)
        self._notify(me)

    def _apply_update(self, member: probes.Member) -> None:
        known = self._members.get(member.name)
        if known is not None and not member.supersedes(known):
            return
        self._put(member)
        self._changed_at[member.name] = time.monotonic()
        self._news[member.name] = News(member=member)
        if known is None or known.state != member.state:
            self._log(member, is_first=known is None)
        self._notify(member)

    def _put(self, member: probes.Member) -> None:
        self._members[member.name] = member
        self._alive = None

    def _log(self, member: probes.Member, *, is_first: bool) -> None:
        """Tell a change; where many start together, each meets all others at once."""
        is_expected = is_first and member.state == probes.ALIVE
        logger.bind(event="mesh", member=member.name).log(
            "DEBUG" if is_expected else "INFO",
            "instance at {} is {}",
            member.address,
            member.state,
        )

    def _notify(self, member: probes.Member) -> None:
        for listener in self._listeners:
            listener(member)

    def _expire(self, now: float) -> None:
        for member in list(self._members.values()):
            age = now - self._changed_at.get(member.name, now)
            if member.state == probes.SUSPECT and age > SUSPECT_TIMEOUT_S:
                self._apply_update(attrs.evolve(member, state=probes.DEAD))
            if (
                member.name == self.me.name
                or probes.RANK[member.state] < probes.RANK[probes.LEAVING]
            ):
                continue
            if age > DEAD_KEPT_S:
                self._drop(member)

    def _drop(self, member: probes.Member) -> None:
        del self._members[member.name]
        self._alive = None
        self._news.pop(member.name, None)
        self.add_future(self.peers.disconnect(member.address))

    def _take_news(self) -> list[probes.Member]:
        """Return the least repeated news; each is passed on O(log n) times."""
        limit = NEWS_REPEATS * math.ceil(math.log2(len(self._members) + 1))
        chosen = sorted(self._news.values(), key=lambda item: item.sent)
        chosen = chosen[:NEWS_PER_MESSAGE]
        for item in chosen:
            item.sent += 1
            if item.sent >= limit:
                del self._news[item.member.name]
        return [item.member for item in chosen]
