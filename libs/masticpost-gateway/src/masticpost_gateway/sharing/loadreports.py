"""Messages with the load that instances put on the upstreams, and their sums."""

import collections.abc
import math

import attrs
from masticpost_peers import messages

# Time after which a report that was not repeated is dropped.
REPORT_TTL_S = 3.0
MS_PER_S = 1000
# Tokens in flight are reported in blocks of this size, rounded up.
BLOCK_TOKENS = 512


@attrs.frozen(kw_only=True)
class Load:
    """Load that one or more instances put on one upstream.

    Attributes
    ----------
    reading_s : float
        Total prefill time of the prompts that are not read yet, in seconds at the
        usual speed of the service.
    streams : int
        Responses that are being generated.
    unread : int
        Requests whose prompts are not read yet.
    tokens : int
        Tokens of the prompts and of the expected answers.
    """

    upstream: str
    reading_s: float = 0.0
    streams: int = 0
    unread: int = 0
    tokens: int = 0

    @property
    def requests(self) -> int:
        """Number of requests that run at the upstream or wait in its queue."""
        return self.streams + self.unread

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads of the same upstream."""
        return Load(
            upstream=self.upstream,
            reading_s=round(self.reading_s + other.reading_s, 3),
            streams=self.streams + other.streams,
            unread=self.unread + other.unread,
            tokens=self.tokens + other.tokens,
        )


@attrs.frozen(kw_only=True)
class PartUpdate:
    """A part of a prompt that an upstream has read and probably caches.

    Attributes
    ----------
    key : str
        Identifies the model and the prompt up to the end of the part.
    tokens : int
        Length of the part.
    """

    upstream: str
    key: str
    tokens: int


@attrs.frozen(kw_only=True)
class Columns:
    """Loads and cached parts of prompts by column, for a compact encoding.

    Attributes
    ----------
    upstreams : list of str
        Names; the other lists have a value for each.
    placed : dict
        Length in tokens of each cached part, by upstream and key.
    blocks : list of int
        Tokens in flight in blocks of `BLOCK_TOKENS`; empty if all are 0 or unknown.
    speeds : dict
        Numbers of `upstreamspeeds.Evidence` by upstream; empty if not sent with this
        report.
    """

    upstreams: list[str]
    reading_ms: list[int]
    streams: list[int]
    placed: dict[str, dict[str, int]]
    unread: list[int] = attrs.field(factory=list)
    blocks: list[int] = attrs.field(factory=list)
    speeds: dict[str, tuple[int, int, int]] = attrs.field(factory=dict)

    def loads(self) -> list[Load]:
        """Return the loads as rows."""
        # Instances of an earlier version do not send `unread` and `blocks`.
        unread = self.unread or [0] * len(self.upstreams)
        blocks = self.blocks or [0] * len(self.upstreams)
        rows = zip(
            self.upstreams, self.reading_ms, self.streams, unread, blocks, strict=True
        )
        return [
            Load(
                upstream=name,
                reading_s=ms / MS_PER_S,
                streams=streams,
                unread=count,
                tokens=size * BLOCK_TOKENS,
            )
            for name, ms, streams, count, size in rows
        ]

    def parts(self) -> list[PartUpdate]:
        """Return the cached parts of prompts as rows."""
        return [
            PartUpdate(upstream=upstream, key=key, tokens=tokens)
            for upstream, parts in self.placed.items()
            for key, tokens in parts.items()
        ]


def to_columns(
    loads: list[Load],
    parts: list[PartUpdate],
    speeds: dict[str, tuple[int, int, int]] | None = None,
) -> Columns:
    """Convert rows to columns."""
    placed: dict[str, dict[str, int]] = {}
    for part in parts:
        placed.setdefault(part.upstream, {})[part.key] = part.tokens
    blocks = [math.ceil(load.tokens / BLOCK_TOKENS) for load in loads]
    return Columns(
        upstreams=[load.upstream for load in loads],
        reading_ms=[round(load.reading_s * MS_PER_S) for load in loads],
        streams=[load.streams for load in loads],
        unread=[load.unread for load in loads],
        placed=placed,
        blocks=blocks if any(blocks) else [],
        speeds=speeds or {},
    )


@messages.message("gateway-load")
@attrs.frozen(kw_only=True)
class LoadReport:
    """Loads of an instance, and parts of prompts cached since its last report.

    A hub's report to other hubs includes the loads that its members reported.
    """

    work: Columns


@messages.message("gateway-load-sums")
@attrs.frozen(kw_only=True)
class LoadSums:
    """Loads summed over all instances, the receiver included; sent by its hub."""

    work: Columns


@messages.message("gateway-member-load")
@attrs.frozen(kw_only=True)
class MemberLoad:
    """Report of an instance to its hub."""

    work: Columns


@attrs.define(kw_only=True)
class Sum:
    """Sum of several senders' loads at one upstream.

    The sum consists of integers, since repeated additions and subtractions of floats
    would make it drift.
    """

    reading_ms: int = 0
    streams: int = 0
    unread: int = 0
    tokens: int = 0
    senders: int = 0

    @property
    def reading_s(self) -> float:
        """Total prefill time of the prompts that are not read yet, in seconds."""
        return self.reading_ms / MS_PER_S

    def add(self, load: Load, sign: int) -> None:
        """Add a sender's load, or subtract it with `sign` -1."""
        self.reading_ms += sign * round(load.reading_s * MS_PER_S)
        self.streams += sign * load.streams
        self.unread += sign * load.unread
        self.tokens += sign * load.tokens
        self.senders += sign


EMPTY_SUM = Sum()


class ReportedLoads:
    """Loads reported by other instances, each valid for `REPORT_TTL_S`.

    The sums are updated with each report, as they are read far more often than reports
    arrive.
    """

    def __init__(self) -> None:
        # By sender, oldest report first: each new report moves its sender to the end.
        self._rows: dict[str, tuple[float, list[Load]]] = {}
        self._sums: dict[str, Sum] = {}

    def put(
        self, sender: str, loads: collections.abc.Iterable[Load], now: float
    ) -> None:
        """Replace the report of a sender."""
        self._remove(sender)
        rows = list(loads)
        self._rows[sender] = (now, rows)
        for load in rows:
            self._sums.setdefault(load.upstream, Sum()).add(load, 1)

    def sum(self, upstream: str, now: float) -> Sum:
        """Return the sum for an upstream; the caller must not modify it."""
        self._expire(now)
        return self._sums.get(upstream, EMPTY_SUM)

    def total(self, upstream: str, now: float) -> Load:
        """Return the sum for an upstream as a load."""
        load_sum = self.sum(upstream, now)
        return Load(
            upstream=upstream,
            reading_s=load_sum.reading_s,
            streams=load_sum.streams,
            unread=load_sum.unread,
            tokens=load_sum.tokens,
        )

    def upstreams(self, now: float) -> set[str]:
        """Return the names of the upstreams for which there are valid reports."""
        self._expire(now)
        return set(self._sums)

    def _expire(self, now: float) -> None:
        while self._rows:
            sender, (at, _) = next(iter(self._rows.items()))
            if now - at <= REPORT_TTL_S:
                return
            self._remove(sender)

    def _remove(self, sender: str) -> None:
        _, loads = self._rows.pop(sender, (0.0, ()))
        for load in loads:
            load_sum = self._sums[load.upstream]
            load_sum.add(load, -1)
            if not load_sum.senders:
                del self._sums[load.upstream]
