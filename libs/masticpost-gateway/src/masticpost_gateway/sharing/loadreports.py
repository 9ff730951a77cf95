"""What instances tell each other of their work at the upstreams."""

import collections.abc

import attrs
from masticpost_peers import messages

TOLD_LASTS_S = 3.0
MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class Load:
    """What one or more instances have at work at one upstream.

    Attributes
    ----------
    reading_s : float
        Time that the prompts take that are not read yet.
    streams : int
        Answers being written.
    unread : int
        Requests whose prompts are not read yet.
    """

    upstream: str
    reading_s: float = 0.0
    streams: int = 0
    unread: int = 0

    @property
    def requests(self) -> int:
        """Requests at work or in the upstream's queue."""
        return self.streams + self.unread

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads of the same upstream."""
        return Load(
            upstream=self.upstream,
            reading_s=round(self.reading_s + other.reading_s, 3),
            streams=self.streams + other.streams,
            unread=self.unread + other.unread,
        )


@attrs.frozen(kw_only=True)
class PartUpdate:
    """A part of a prompt that an upstream has read for a model; length in tokens."""

    upstream: str
    key: str
    tokens: int


@attrs.frozen(kw_only=True)
class Columns:
    """Loads, and parts of prompts by upstream and key, in few bytes."""

    upstreams: list[str]
    reading_ms: list[int]
    streams: list[int]
    placed: dict[str, dict[str, int]]
    unread: list[int] = attrs.field(factory=list)

    def loads(self) -> list[Load]:
        """Return the loads as rows."""
        # An instance of an earlier version does not tell the unread ones.
        unread = self.unread or [0] * len(self.upstreams)
        rows = zip(self.upstreams, self.reading_ms, self.streams, unread, strict=True)
        return [
            Load(upstream=name, reading_s=ms / MS_PER_S, streams=streams, unread=count)
            for name, ms, streams, count in rows
        ]

    def parts(self) -> list[PartUpdate]:
        """Return the parts of prompts as rows."""
        return [
            PartUpdate(upstream=upstream, key=key, tokens=tokens)
            for upstream, parts in self.placed.items()
            for key, tokens in parts.items()
        ]


def columns(loads: list[Load], parts: list[PartUpdate]) -> Columns:
    """Return rows as columns."""
    placed: dict[str, dict[str, int]] = {}
    for part in parts:
        placed.setdefault(part.upstream, {})[part.key] = part.tokens
    return Columns(
        upstreams=[load.upstream for load in loads],
        reading_ms=[round(load.reading_s * MS_PER_S) for load in loads],
        streams=[load.streams for load in loads],
        unread=[load.unread for load in loads],
        placed=placed,
    )


@messages.message("gateway-load")
@attrs.frozen(kw_only=True)
class LoadReport:
    """What an instance has at work, and prompts read since its last report.

    A hub's report to other hubs includes what its members told it.
    """

    work: Columns


@messages.message("gateway-load-sums")
@attrs.frozen(kw_only=True)
class LoadSums:
    """A hub's sums over all instances, the receiver included."""

    work: Columns


@messages.message("gateway-member-load")
@attrs.frozen(kw_only=True)
class MemberLoad:
    """What an instance tells its hub."""

    work: Columns


@attrs.define(kw_only=True)
class Sum:
    """What several senders told of one upstream; whole numbers, so that none drifts."""

    reading_ms: int = 0
    streams: int = 0
    unread: int = 0
    senders: int = 0

    @property
    def reading_s(self) -> float:
        """The time that the prompts take that are not read yet."""
        return self.reading_ms / MS_PER_S

    def add(self, load: Load, sign: int) -> None:
        """Add what a sender told, or take it off again with `sign` -1."""
        self.reading_ms += sign * round(load.reading_s * MS_PER_S)
        self.streams += sign * load.streams
        self.unread += sign * load.unread
        self.senders += sign


NOTHING = Sum()


class ReportedLoads:
    """The loads that other instances told, each valid for a few seconds.

    Sums are kept, as they are asked for far more often than something is told.
    """

    def __init__(self) -> None:
        # Oldest first: what is told is put at the end.
        self._rows: dict[str, tuple[float, list[Load]]] = {}
        self._sums: dict[str, Sum] = {}

    def put(
        self, sender: str, loads: collections.abc.Iterable[Load], now: float
    ) -> None:
        """Replace what a sender told."""
        self._remove(sender)
        rows = list(loads)
        self._rows[sender] = (now, rows)
        for load in rows:
            self._sums.setdefault(load.upstream, Sum()).add(load, 1)

    def sum(self, upstream: str, now: float) -> Sum:
        """Return the sum of what was told of an upstream; it is not to be changed."""
        self._expire(now)
        return self._sums.get(upstream, NOTHING)

    def of(self, upstream: str, now: float) -> Load:
        """Return the sum of what was told of an upstream as a load."""
        found = self.sum(upstream, now)
        return Load(
            upstream=upstream,
            reading_s=found.reading_s,
            streams=found.streams,
            unread=found.unread,
        )

    def names(self, now: float) -> set[str]:
        """Return the upstreams that something valid was told of."""
        self._expire(now)
        return set(self._sums)

    def _expire(self, now: float) -> None:
        while self._rows:
            sender, (at, _) = next(iter(self._rows.items()))
            if now - at <= TOLD_LASTS_S:
                return
            self._remove(sender)

    def _remove(self, sender: str) -> None:
        _, loads = self._rows.pop(sender, (0.0, ()))
        for load in loads:
            found = self._sums[load.upstream]
            found.add(load, -1)
            if not found.senders:
                del self._sums[load.upstream]
