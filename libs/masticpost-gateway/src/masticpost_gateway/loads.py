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
import time

import attrs
import mode
from masticpost_common import rendezvous
from masticpost_peers import membership, messages

from masticpost_gateway import mesh

DIRECT_MEMBERS = 12
MIN_HUBS = 4
DIRECT_PERIOD_S = 0.1
HUB_PERIOD_S = 0.2
TOLD_LASTS_S = 3.0
RESEND_S = 1.0
PLACED_LASTS_S = 90.0
DEFAULT_ROOM_TOKENS = 200_000


@attrs.frozen(kw_only=True)
class Load:
    """What one instance has at work at one upstream.

    Attributes
    ----------
    reading_s : float
        Time that the prompts take that are not read yet.
    streams : int
        Answers being written.
    """

    upstream: str
    reading_s: float = 0.0
    streams: int = 0


@attrs.frozen(kw_only=True)
class Placed:
    """A part of a prompt that an upstream has read for a model; length in tokens."""

    upstream: str
    key: str
    tokens: int


@messages.message("gateway-load")
@attrs.frozen(kw_only=True)
class LoadReport:
    """What an instance has at work, and prompts read since its last report.

    A hub's report to other hubs includes what its members told it.
    """

    loads: list[Load]
    placed: list[Placed]


@messages.message("gateway-load-sums")
@attrs.frozen(kw_only=True)
class LoadSums:
    """A hub's sums over all instances, the receiver included."""

    loads: list[Load]
    placed: list[Placed]


@messages.message("gateway-member-load")
@attrs.frozen(kw_only=True)
class MemberLoad:
    """What an instance tells its hub."""

    loads: list[Load]
    placed: list[Placed]


@attrs.define(kw_only=True)
class Kept:
    """The parts of prompts that one upstream has probably kept, oldest first."""

    parts: collections.OrderedDict[str, tuple[float, int]] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def put(self, key: str, tokens: int, at: float, room: int) -> None:
        """Add a part; the oldest ones yield when `room` tokens are exceeded."""
        _, before = self.parts.pop(key, (at, 0))
        self.parts[key] = (at, tokens)
        self.tokens += tokens - before
        while self.parts and self.tokens > room:
            _, (_, dropped) = self.parts.popitem(last=False)
            self.tokens -= dropped


@attrs.define(kw_only=True)
class Work:
    """One request at work at an upstream; times are monotonic seconds."""

    upstream: str
    read_s: float
    since: float
    is_read: bool = False


class Told:
    """The loads that other instances told, each valid for a few seconds."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[float, dict[str, Load]]] = {}

    def put(self, sender: str, loads: list[Load], now: float) -> None:
        """Replace what a sender told."""
        self._rows[sender] = (now, {load.upstream: load for load in loads})

    def of(self, upstream: str, now: float) -> Load:
        """Return the sum of what was told of an upstream."""
        reading_s, streams = 0.0, 0
        for at, loads in self._rows.values():
            load = loads.get(upstream)
            if load is None or now - at > TOLD_LASTS_S:
                continue
            reading_s += max(0.0, load.reading_s - (now - at))
            streams += load.streams
        return Load(upstream=upstream, reading_s=reading_s, streams=streams)

    def names(self, now: float) -> set[str]:
        """Return the upstreams that something valid was told of."""
        for sender in [
            s for s, (at, _) in self._rows.items() if now - at > TOLD_LASTS_S
        ]:
            del self._rows[sender]
        return {name for _, loads in self._rows.values() for name in loads}


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
        self._work: dict[int, Work] = {}
        self.room_tokens = DEFAULT_ROOM_TOKENS
        self._kept: dict[str, Kept] = {}
        self._hubs = Told()
        self._members = Told()
        self._sums = Told()
        self._news: list[Placed] = []
        self._news_of_others: list[Placed] = []
        self._last_sent: dict[str, Load] = {}
        self._last_sent_at = -math.inf
        self._is_dirty = False
        peers.hub.handle(LoadReport, self._on_report)
        peers.hub.handle(MemberLoad, self._on_member)
        peers.hub.handle(LoadSums, self._on_sums)

    def begin(self, upstream: str, read_s: float) -> Work:
        """Note a request whose prompt takes `read_s` seconds to read."""
        work = Work(upstream=upstream, read_s=read_s, since=time.monotonic())
        self._work[id(work)] = work
        self._is_dirty = True
        return work

    def read(self, work: Work) -> None:
        """Note that the prompt of a request was read and its answer is written."""
        work.is_read = True
        self._is_dirty = True

    def end(self, work: Work) -> None:
        """Note that a request is no longer at work."""
        self._work.pop(id(work), None)
        self._is_dirty = True

    def place(self, upstream: str, key: str, tokens: int) -> None:
        """Note that an upstream has read a part of a prompt."""
        placed = Placed(upstream=upstream, key=key, tokens=tokens)
        self._put(placed, time.monotonic())
        self._news.append(placed)

    def holds(self, upstream: str, key: str, now: float) -> bool:
        """Tell whether an upstream has probably kept a part of a prompt."""
        kept = self._kept.get(upstream)
        if kept is None or key not in kept.parts:
            return False
        at, _ = kept.parts[key]
        return now - at < PLACED_LASTS_S

    def of(self, upstream: str, now: float) -> Load:
        """Return the work of all instances at an upstream."""
        found = self._own_load(upstream, now)
        for told in (self._hubs, self._members):
            found = _sum(found, told.of(upstream, now))
        sums = self._sums.of(upstream, now)
        sent = self._last_sent.get(upstream, Load(upstream=upstream))
        others = Load(
            upstream=upstream,
            reading_s=max(0.0, sums.reading_s - sent.reading_s),
            streams=max(0, sums.streams - sent.streams),
        )
        return _sum(found, others)

    def keep_only(self, names: set[str]) -> None:
        """Forget what upstreams that are gone have read."""
        for name in self._kept.keys() - names:
            del self._kept[name]

    def forget(self, upstream: str) -> None:
        """Forget what an upstream has read, after a restart."""
        self._kept.pop(upstream, None)

    @mode.Service.task
    async def tell(self) -> None:
        """Report changes until the service stops."""
        while not self.should_stop:
            members = self.peers.members.alive()
            if len(members) <= DIRECT_MEMBERS:
                hubs = members
                await asyncio.sleep(DIRECT_PERIOD_S)
            else:
                count = max(MIN_HUBS, len(members) // DIRECT_MEMBERS)
                hubs = self.peers.chosen("load", count)
                await asyncio.sleep(HUB_PERIOD_S)
            await self._tell(hubs, time.monotonic())

    async def _tell(self, hubs: list[membership.Member], now: float) -> None:
        me = self.peers.me.name
        addresses = {member.name: member.address for member in hubs}
        if me not in addresses:
            hub = rendezvous.owner(addresses, me)
            await self._tell_hub(addresses[hub], now)
            return
        own, loads = self._own_loads(now), []
        for name in sorted(own.keys() | self._members.names(now)):
            load = own.get(name, Load(upstream=name))
            loads.append(_sum(load, self._members.of(name, now)))
        news, self._news = self._news, []
        others = [address for name, address in addresses.items() if name != me]
        if news or self._is_new(loads):
            report = LoadReport(loads=loads, placed=news)
            await self.peers.hub.broadcast(others, report)
        self._news_of_others += news
        await self._tell_members(addresses, now)

    async def _tell_hub(self, address: str, now: float) -> None:
        loads = list(self._own_loads(now).values())
        if not self._news and not self._is_new(loads):
            return
        news, self._news = self._news, []
        await self.peers.hub.broadcast([address], MemberLoad(loads=loads, placed=news))

    async def _tell_members(self, addresses: dict[str, str], now: float) -> None:
        me = self.peers.me.name
        served = [
            member.address
            for member in self.peers.others()
            if member.name not in addresses
            and rendezvous.owner(addresses, member.name) == me
        ]
        news, self._news_of_others = self._news_of_others, []
        if not served:
            return
        names = set(self._last_sent) | self._hubs.names(now)
        sums = [self.of(name, now) for name in sorted(names)]
        await self.peers.hub.broadcast(served, LoadSums(loads=sums, placed=news))

    def _is_new(self, loads: list[Load]) -> bool:
        """Tell whether loads are to be sent: work changed, or others forget them.

        Mere progress in reading is no change; receivers take it off by themselves.
        """
        now = time.monotonic()
        is_old = bool(loads) and now - self._last_sent_at > RESEND_S
        if not self._is_dirty and not is_old:
            return False
        self._is_dirty = False
        self._last_sent = {load.upstream: load for load in loads}
        self._last_sent_at = now
        return True

    def _own_loads(self, now: float) -> dict[str, Load]:
        names = {work.upstream for work in self._work.values()}
        return {name: self._own_load(name, now) for name in names}

    def _own_load(self, upstream: str, now: float) -> Load:
        reading_s, streams, oldest = 0.0, 0, now
        for work in self._work.values():
            if work.upstream != upstream:
                continue
            if work.is_read:
                streams += 1
                continue
            reading_s += work.read_s
            oldest = min(oldest, work.since)
        reading_s = max(0.0, reading_s - (now - oldest))
        return Load(upstream=upstream, reading_s=round(reading_s, 3), streams=streams)

    async def _on_report(self, envelope: messages.Envelope, body: LoadReport) -> None:
        self._take(self._hubs, envelope.sender, body)

    async def _on_member(self, envelope: messages.Envelope, body: MemberLoad) -> None:
        self._news += body.placed
        self._is_dirty = True
        self._take(self._members, envelope.sender, body)

    async def _on_sums(self, envelope: messages.Envelope, body: LoadSums) -> None:
        self._take(self._sums, "hub", body)

    def _take(
        self, told: "Told", sender: str, body: LoadReport | MemberLoad | LoadSums
    ) -> None:
        now = time.monotonic()
        told.put(sender, body.loads, now)
        if told is self._hubs:
            self._news_of_others += body.placed
        for placed in body.placed:
            self._put(placed, now)

    def _put(self, placed: Placed, now: float) -> None:
        kept = self._kept.setdefault(placed.upstream, Kept())
        kept.put(placed.key, placed.tokens, now, self.room_tokens)


def _sum(one: Load, other: Load) -> Load:
    return Load(
        upstream=one.upstream,
        reading_s=round(one.reading_s + other.reading_s, 3),
        streams=one.streams + other.streams,
    )
