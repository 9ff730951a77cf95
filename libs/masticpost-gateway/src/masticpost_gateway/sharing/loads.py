"""Work at each upstream, by all instances, and the prompts that it has read.

Each instance tells the others what it has at work and which prompts it sent where, many
times a second; with its own requests this gives a nearly whole view, without asking
the upstreams. In a large deployment a few instances, the hubs, add up what the others
tell, exchange the sums and pass them back, so that messages grow with the number of
instances and not with its square.
"""

import asyncio
import collections
import math

import attrs
import mode
from masticpost_common import clock, rendezvous
from masticpost_peers import messages, probes

from masticpost_gateway.sharing import loadreports, mesh
from masticpost_gateway.state import model

DIRECT_MEMBERS = 12
MIN_HUBS = 4
DIRECT_PERIOD_S = 0.1
HUB_PERIOD_S = 0.2
RESEND_S = 1.0
PLACED_LASTS_S = 90.0
PLACED_AGAIN_S = 15.0
DEFAULT_ROOM_TOKENS = 200_000
REJECTION_HOLD_OFF_S = 0.3


@attrs.define(kw_only=True)
class Part:
    """A part of a prompt that an upstream has read; times are monotonic seconds."""

    tokens: int
    read_at: float
    told_at: float = -math.inf


@attrs.define(kw_only=True)
class Kept:
    """The parts of prompts that one upstream has probably kept, oldest first."""

    parts: collections.OrderedDict[str, Part] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def put(self, key: str, tokens: int, at: float, room: int) -> Part:
        """Add a part; the oldest ones yield when `room` tokens are exceeded."""
        part = self.parts.pop(key, None) or Part(tokens=0, read_at=at)
        self.tokens += tokens - part.tokens
        part.tokens, part.read_at = tokens, at
        self.parts[key] = part
        while self.parts and self.tokens > room:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped.tokens
        return part


@attrs.define(kw_only=True, eq=False)
class Work:
    """One request at work at an upstream; `read_s` is the time to read its prompt."""

    upstream: str
    read_s: float
    is_read: bool = False


class Loads(mode.Service):
    """Work of this instance and of the others.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the reports.
    """

    def __init__(self, *, peers: mesh.Mesh) -> None:
        super().__init__()
        self.peers = peers
        self._own: dict[str, set[Work]] = {}
        self._own_sums: dict[str, loadreports.Load] = {}
        self.cache_tokens = DEFAULT_ROOM_TOKENS
        self._kept: dict[str, Kept] = {}
        self._full_until: dict[str, float] = {}
        self._hubs = loadreports.ReportedLoads()
        self._members = loadreports.ReportedLoads()
        self._sums = loadreports.ReportedLoads()
        self._news: list[loadreports.PartUpdate] = []
        self._news_of_others: list[loadreports.PartUpdate] = []
        self._last_sent: dict[str, loadreports.Load] = {}
        self._last_sent_at = -math.inf
        self._is_dirty = False
        peers.hub.handle(loadreports.LoadReport, self._on_report)
        peers.hub.handle(loadreports.MemberLoad, self._on_member)
        peers.hub.handle(loadreports.LoadSums, self._on_sums)

    def begin(self, upstream: str, read_s: float) -> Work:
        """Note a request whose prompt takes `read_s` seconds to read."""
        work = Work(upstream=upstream, read_s=read_s)
        self._own.setdefault(upstream, set()).add(work)
        self._changed(upstream)
        return work

    def note_prefilled(self, work: Work) -> None:
        """Note that the prompt of a request was read and its answer is written."""
        work.is_read = True
        self._changed(work.upstream)

    def end(self, work: Work) -> None:
        """Note that a request is no longer at work."""
        here = self._own.get(work.upstream, set())
        here.discard(work)
        if not here:
            self._own.pop(work.upstream, None)
        self._changed(work.upstream)

    def _changed(self, upstream: str) -> None:
        self._own_sums.pop(upstream, None)
        self._is_dirty = True

    def note_cached(self, upstream: str, key: str, tokens: int) -> None:
        """Note that an upstream has read a part of a prompt.

        The others are told unless they were a short while ago.
        """
        now = clock.now()
        placed = loadreports.PartUpdate(upstream=upstream, key=key, tokens=tokens)
        part = self._put(placed, now)
        if now - part.told_at > PLACED_AGAIN_S:
            part.told_at = now
            self._news.append(placed)

    def has_cached(self, upstream: str, key: str, now: float) -> bool:
        """Tell whether an upstream has probably kept a part of a prompt."""
        kept = self._kept.get(upstream)
        if kept is None or key not in kept.parts:
            return False
        return now - kept.parts[key].read_at < PLACED_LASTS_S

    def total(self, upstream: str, now: float) -> loadreports.Load:
        """Return the work of all instances at an upstream."""
        own = self._own_load(upstream)
        reading_s, streams, unread = own.reading_s, own.streams, own.unread
        for told in (self._hubs, self._members):
            found = told.sum(upstream, now)
            reading_s += found.reading_s
            streams += found.streams
            unread += found.unread
        sums = self._sums.sum(upstream, now)
        if sums.senders:
            # The sums include what this instance told of itself.
            sent = self._last_sent.get(upstream, loadreports.Load(upstream=upstream))
            reading_s += max(0.0, sums.reading_s - sent.reading_s)
            streams += max(0, sums.streams - sent.streams)
            unread += max(0, sums.unread - sent.unread)
        return loadreports.Load(
            upstream=upstream,
            reading_s=round(reading_s, 3),
            streams=streams,
            unread=unread,
        )

    def note_rejection(self, upstream: str) -> None:
        """Note that an upstream has turned a request away for want of room."""
        self._full_until[upstream] = clock.now() + REJECTION_HOLD_OFF_S

    def has_room(self, upstream: model.Upstream) -> bool:
        """Tell whether an upstream would probably begin one more answer at once."""
        now = clock.now()
        if now < self._full_until.get(upstream.name, -math.inf):
            return False
        return self.total(upstream.name, now).requests < upstream.slots

    def keep_only(self, names: set[str]) -> None:
        """Forget what was known of upstreams that are gone."""
        for name in self._full_until.keys() - names:
            del self._full_until[name]
        for name in self._kept.keys() - names:
            del self._kept[name]
        for name in self._own_sums.keys() - names - self._own.keys():
            del self._own_sums[name]

    def forget(self, upstream: str) -> None:
        """Forget what an upstream has read, after a restart."""
        self._kept.pop(upstream, None)

    @property
    def is_direct(self) -> bool:
        """Whether each instance tells every other, so that the view is hardly old."""
        return len(self.peers.members.alive()) <= DIRECT_MEMBERS

    @mode.Service.task
    async def tell(self) -> None:
        """Report changes until the service stops."""
        while not self.should_stop:
            members = self.peers.members.alive()
            if self.is_direct:
                hubs = members
                await asyncio.sleep(DIRECT_PERIOD_S)
            else:
                count = max(MIN_HUBS, len(members) // DIRECT_MEMBERS)
                hubs = self.peers.chosen("load", count)
                await asyncio.sleep(HUB_PERIOD_S)
            await self._tell(hubs, clock.now())

    async def _tell(self, hubs: list[probes.Member], now: float) -> None:
        me = self.peers.me
        if all(hub.name != me.name for hub in hubs):
            hub = hub_of(me.name, me.domain, hubs)
            await self._tell_hub(hub.address)
            return
        own, loads = self._own_loads(), []
        for name in sorted(own.keys() | self._members.names(now)):
            load = own.get(name, loadreports.Load(upstream=name))
            loads.append(load.plus(self._members.of(name, now)))
        news, self._news = self._news, []
        others = [hub.address for hub in hubs if hub.name != me.name]
        if news or self._is_new(loads):
            report = loadreports.LoadReport(work=loadreports.columns(loads, news))
            await self.peers.hub.broadcast(others, report)
        self._news_of_others += news
        await self._tell_members(hubs, now)

    async def _tell_hub(self, address: str) -> None:
        loads = list(self._own_loads().values())
        if not self._news and not self._is_new(loads):
            return
        news, self._news = self._news, []
        told = loadreports.MemberLoad(work=loadreports.columns(loads, news))
        await self.peers.hub.broadcast([address], told)

    async def _tell_members(self, hubs: list[probes.Member], now: float) -> None:
        names = {hub.name for hub in hubs}
        served = [
            member.address
            for member in self.peers.others()
            if member.name not in names
            and hub_of(member.name, member.domain, hubs).name == self.peers.me.name
        ]
        news, self._news_of_others = self._news_of_others, []
        if not served:
            return
        upstreams = set(self._last_sent) | self._hubs.names(now)
        sums = [self.total(name, now) for name in sorted(upstreams)]
        told = loadreports.LoadSums(work=loadreports.columns(sums, news))
        await self.peers.hub.broadcast(served, told)

    def _is_new(self, loads: list[loadreports.Load]) -> bool:
        """Tell whether loads are to be sent: work changed, or others forget them."""
        now = clock.now()
        is_old = bool(loads) and now - self._last_sent_at > RESEND_S
        if not self._is_dirty and not is_old:
            return False
        self._is_dirty = False
        self._last_sent = {load.upstream: load for load in loads}
        self._last_sent_at = now
        return True

    def _own_loads(self) -> dict[str, loadreports.Load]:
        return {name: self._own_load(name) for name in self._own}

    def _own_load(self, upstream: str) -> loadreports.Load:
        """Return what this instance has at work; a prompt counts until it is read.

        How much of it is read is not known, as it waits behind others' prompts.
        """
        found = self._own_sums.get(upstream)
        if found is not None:
            return found
        here = self._own.get(upstream, ())
        found = loadreports.Load(
            upstream=upstream,
            reading_s=round(sum(work.read_s for work in here if not work.is_read), 3),
            streams=sum(work.is_read for work in here),
            unread=sum(not work.is_read for work in here),
        )
        self._own_sums[upstream] = found
        return found

    async def _on_report(
        self, envelope: messages.Envelope, body: loadreports.LoadReport
    ) -> None:
        self._news_of_others += self._take(self._hubs, envelope.sender, body.work)

    async def _on_member(
        self, envelope: messages.Envelope, body: loadreports.MemberLoad
    ) -> None:
        self._news += self._take(self._members, envelope.sender, body.work)
        self._is_dirty = True

    async def _on_sums(
        self, envelope: messages.Envelope, body: loadreports.LoadSums
    ) -> None:
        self._take(self._sums, "hub", body.work)

    def _take(
        self, told: loadreports.ReportedLoads, sender: str, work: loadreports.Columns
    ) -> list[loadreports.PartUpdate]:
        now = clock.now()
        told.put(sender, work.loads(), now)
        parts = work.parts()
        for placed in parts:
            self._put(placed, now).told_at = now
        return parts

    def _put(self, placed: loadreports.PartUpdate, now: float) -> Part:
        kept = self._kept.setdefault(placed.upstream, Kept())
        return kept.put(placed.key, placed.tokens, now, self.cache_tokens)


def hub_of(name: str, domain: str, hubs: list[probes.Member]) -> probes.Member:
    """Return the hub of an instance: one in its own failure domain if there is one."""
    near = [hub for hub in hubs if hub.domain == domain] or hubs
    by_name = {hub.name: hub for hub in near}
    return by_name[rendezvous.owner(by_name, name)]
