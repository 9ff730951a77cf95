"""Work at each upstream, by all instances, and the prompts that it has read.

Each instance tells the others what it has at work and which prompts it sent where, many
times a second; with its own requests this gives a nearly whole view, without asking
the upstreams.
"""

import asyncio
import collections
import time

import attrs
import mode
from masticpost_peers import messages

from masticpost_gateway import mesh

PERIOD_PER_MEMBER_S = 0.0125
MIN_PERIOD_S = 0.05
TOLD_LASTS_S = 3.0
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
    reading_s: float
    streams: int


@attrs.frozen(kw_only=True)
class Placed:
    """A part of a prompt that an upstream has read for a model; length in tokens."""

    upstream: str
    key: str
    tokens: int


@messages.message("gateway-load")
@attrs.frozen(kw_only=True)
class LoadReport:
    """What an instance has at work, and prompts read since its last report."""

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
        self._told: dict[str, tuple[float, dict[str, Load]]] = {}
        self.room_tokens = DEFAULT_ROOM_TOKENS
        self._kept: dict[str, Kept] = {}
        self._news: list[Placed] = []
        self._last_sent: list[Load] = []
        peers.hub.handle(LoadReport, self._on_report)

    def begin(self, upstream: str, read_s: float) -> Work:
        """Note a request whose prompt takes `read_s` seconds to read."""
        work = Work(upstream=upstream, read_s=read_s, since=time.monotonic())
        self._work[id(work)] = work
        return work

    def end(self, work: Work) -> None:
        """Note that a request is no longer at work."""
        self._work.pop(id(work), None)

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
        own = self._own_load(upstream, now)
        reading_s, streams = own.reading_s, own.streams
        for at, loads in self._told.values():
            load = loads.get(upstream)
            if load is None or now - at > TOLD_LASTS_S:
                continue
            reading_s += max(0.0, load.reading_s - (now - at))
            streams += load.streams
        return Load(upstream=upstream, reading_s=reading_s, streams=streams)

    def keep_only(self, names: set[str]) -> None:
        """Forget what upstreams that are gone have read."""
        for name in self._kept.keys() - names:
            del self._kept[name]

    def forget(self, upstream: str) -> None:
        """Forget what an upstream has read, after a restart."""
        self._kept.pop(upstream, None)

    @mode.Service.task
    async def tell(self) -> None:
        """Report changes to the others until the service stops."""
        while not self.should_stop:
            members = len(self.peers.members.alive())
            await asyncio.sleep(max(MIN_PERIOD_S, PERIOD_PER_MEMBER_S * members))
            now = time.monotonic()
            names = {work.upstream for work in self._work.values()}
            loads = [self._own_load(name, now) for name in sorted(names)]
            if not self._news and loads == self._last_sent:
                continue
            news, self._news = self._news, []
            self._last_sent = loads
            await self.peers.broadcast(LoadReport(loads=loads, placed=news))

    def _own_load(self, upstream: str, now: float) -> Load:
        reading_s, streams = 0.0, 0
        for work in self._work.values():
            if work.upstream != upstream:
                continue
            if work.is_read:
                streams += 1
            else:
                reading_s += work.read_s
        return Load(upstream=upstream, reading_s=round(reading_s, 3), streams=streams)

    async def _on_report(self, envelope: messages.Envelope, body: LoadReport) -> None:
        now = time.monotonic()
        loads = {load.upstream: load for load in body.loads}
        self._told[envelope.sender] = (now, loads)
        for placed in body.placed:
            self._put(placed, now)

    def _put(self, placed: Placed, now: float) -> None:
        kept = self._kept.setdefault(placed.upstream, Kept())
        kept.put(placed.key, placed.tokens, now, self.room_tokens)
