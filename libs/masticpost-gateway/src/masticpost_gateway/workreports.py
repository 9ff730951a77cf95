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
    """

    upstream: str
    reading_s: float = 0.0
    streams: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads of the same upstream."""
        return Load(
            upstream=self.upstream,
            reading_s=round(self.reading_s + other.reading_s, 3),
            streams=self.streams + other.streams,
        )


@attrs.frozen(kw_only=True)
class Placed:
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

    def loads(self) -> list[Load]:
        """Return the loads as rows."""
        rows = zip(self.upstreams, self.reading_ms, self.streams, strict=True)
        return [
            Load(upstream=name, reading_s=ms / MS_PER_S, streams=streams)
            for name, ms, streams in rows
        ]

    def parts(self) -> list[Placed]:
        """Return the parts of prompts as rows."""
        return [
            Placed(upstream=upstream, key=key, tokens=tokens)
            for upstream, parts in self.placed.items()
            for key, tokens in parts.items()
        ]


def columns(loads: list[Load], parts: list[Placed]) -> Columns:
    """Return rows as columns."""
    placed: dict[str, dict[str, int]] = {}
    for part in parts:
        placed.setdefault(part.upstream, {})[part.key] = part.tokens
    return Columns(
        upstreams=[load.upstream for load in loads],
        reading_ms=[round(load.reading_s * MS_PER_S) for load in loads],
        streams=[load.streams for load in loads],
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


class Told:
    """The loads that other instances told, each valid for a few seconds."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[float, dict[str, Load]]] = {}

    def put(
        self, sender: str, loads: collections.abc.Iterable[Load], now: float
    ) -> None:
        """Replace what a sender told."""
        self._rows[sender] = (now, {load.upstream: load for load in loads})

    def of(self, upstream: str, now: float) -> Load:
        """Return the sum of what was told of an upstream."""
        reading_s, streams = 0.0, 0
        for at, loads in self._rows.values():
            load = loads.get(upstream)
            if load is None or now - at > TOLD_LASTS_S:
                continue
            reading_s += load.reading_s
            streams += load.streams
        return Load(upstream=upstream, reading_s=reading_s, streams=streams)

    def names(self, now: float) -> set[str]:
        """Return the upstreams that something valid was told of."""
        for sender in [
            s for s, (at, _) in self._rows.items() if now - at > TOLD_LASTS_S
        ]:
            del self._rows[sender]
        return {name for _, loads in self._rows.values() for name in loads}
