"""What this instance knows of each upstream: load, failures, cached prefixes."""

import collections
import math
import time

import attrs

FAILURES_TO_BLOCK = 3
BLOCK_FIRST_S = 0.5
BLOCK_MAX_S = 10.0
RAMP_S = 8.0
RAMP_FLOOR = 0.1
PREFIXES_KEPT = 512
REPORT_MAX_AGE_S = 5.0
LATENCY_WEIGHT = 0.1
SLOW_FACTOR = 6.0
SLOW_FLOOR_S = 1.0
SLOW_SAMPLES = 20
CUTS_KEPT = 256
CRASH_SHARE = 0.5


@attrs.define(kw_only=True)
class UpstreamState:
    """State of one upstream as seen here; times are monotonic seconds."""

    name: str
    usable_since: float = -math.inf
    outstanding: int = 0
    reported: float = 0.0
    reported_at: float = -math.inf
    sent_since_report: int = 0
    consecutive_failures: int = 0
    blocked_until: float = -math.inf
    was_usable: bool = False
    first_token_s: float = 0.0
    samples: int = 0
    prefixes: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    cuts: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=CUTS_KEPT)
    )

    def load(self, now: float) -> float:
        """Return the outstanding work: reported and corrected, or only our own."""
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return float(self.outstanding)
        return max(float(self.outstanding), self.reported + self.sent_since_report)

    def ramp_factor(self, now: float) -> float:
        """Return the share of its weight that a returning upstream gets."""
        progress = (now - self.usable_since) / RAMP_S
        return min(1.0, max(RAMP_FLOOR, progress))

    def is_blocked(self, now: float) -> bool:
        """Tell whether passive detection keeps work away from it."""
        return now < self.blocked_until

    def set_usable(self, usable: bool, now: float) -> None:
        """Begin a ramp when the upstream comes back into use."""
        if usable and not self.was_usable:
            self.usable_since = now
        self.was_usable = usable

    def record_dispatch(self, prefix: str) -> None:
        """Count a request that goes out."""
        self.outstanding += 1
        self.sent_since_report += 1
        if not prefix:
            return
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > PREFIXES_KEPT:
            self.prefixes.popitem(last=False)

    def record_end(self) -> None:
        """Count a request that ended."""
        self.outstanding -= 1

    def record_load_report(self, outstanding: float, now: float) -> None:
        """Take a load report of the upstream."""
        self.reported = outstanding
        self.reported_at = now
        self.sent_since_report = 0

    def record_success(self, first_token_s: float) -> None:
        """Note an answer and the time to its first token, in seconds."""
        self.consecutive_failures = 0
        self.samples += 1
        if self.samples == 1:
            self.first_token_s = first_token_s
        gap = first_token_s - self.first_token_s
        self.first_token_s += LATENCY_WEIGHT * gap

    def is_suddenly_slow(self, first_token_s: float) -> bool:
        """Tell whether a first token came so late that the upstream may be cold."""
        if self.samples < SLOW_SAMPLES or first_token_s < SLOW_FLOOR_S:
            return False
        return first_token_s > SLOW_FACTOR * self.first_token_s

    def record_failure(self, now: float) -> None:
        """Note a failure; several in a row block the upstream for a while."""
        self.consecutive_failures += 1
        extra = self.consecutive_failures - FAILURES_TO_BLOCK
        if extra >= 0:
            pause = min(BLOCK_MAX_S, BLOCK_FIRST_S * 2 ** min(extra, 8))
            self.blocked_until = now + pause

    def record_cut(self, now: float) -> None:
        """Note a connection that was cut while it was in use."""
        self.cuts.append(now)
        self.record_failure(now)

    def may_have_crashed(self, since: float, others: int) -> bool:
        """Tell whether cuts since a time look like a crash and not like one lost line.

        Parameters
        ----------
        since : float
            Monotonic time of the first cut.
        others : int
            Calls that were at work there beside the first one that was cut.
        """
        count = sum(at >= since for at in self.cuts)
        return count >= 1 + CRASH_SHARE * others

    def record_refusal(self, now: float) -> None:
        """Note a refused connection, which blocks the upstream at once."""
        self.consecutive_failures = max(
            self.consecutive_failures, FAILURES_TO_BLOCK - 1
        )
        self.record_failure(now)


class Tracker:
    """The tracks of all upstreams."""

    def __init__(self) -> None:
        self._tracks: dict[str, UpstreamState] = {}

    def get(self, name: str) -> UpstreamState:
        """Return the track of an upstream."""
        track = self._tracks.get(name)
        if track is None:
            track = UpstreamState(name=name)
            self._tracks[name] = track
        return track

    def all(self) -> list[UpstreamState]:
        """Return every track, sorted by name."""
        return [self._tracks[name] for name in sorted(self._tracks)]

    def retain_only(self, names: set[str]) -> None:
        """Forget upstreams that are not in the text any more."""
        for name in set(self._tracks) - names:
            del self._tracks[name]


def now() -> float:
    """Return monotonic seconds."""
    return time.monotonic()
