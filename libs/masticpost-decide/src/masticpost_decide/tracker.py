"""State of each upstream as this instance observes it: load, failures, prefixes."""

import collections
import math
import time

import attrs

# Consecutive failures that block an upstream. The block starts at the first duration
# and doubles with each further failure.
FAILURES_TO_BLOCK = 3
FIRST_BLOCK_S = 0.5
MAX_BLOCK_S = 10.0
# Time in which a returning upstream's share of traffic ramps up, and its lowest factor.
RAMP_UP_S = 8.0
MIN_RAMP_FACTOR = 0.1
MAX_PREFIXES = 512
# Age from which on an upstream's own load report is ignored.
REPORT_MAX_AGE_S = 5.0
# Weight of a new sample in the moving average of the time to the first token.
FIRST_TOKEN_WEIGHT = 0.1
# A first token is suddenly slow if it takes this multiple of the average and at least
# this long; the average needs enough samples.
SLOW_FACTOR = 6.0
MIN_SLOW_S = 1.0
MIN_SLOW_SAMPLES = 20
MAX_CUTS = 256
# Share of the other calls in progress whose connections are cut too in a crash.
CRASH_CUT_SHARE = 0.5


@attrs.define(kw_only=True)
class UpstreamState:
    """State of one upstream as this instance observes it.

    All times are monotonic seconds.

    Attributes
    ----------
    name : str
        Name of the upstream.
    usable_since : float
        When it last became usable.
    outstanding : int
        Requests of this instance in progress there.
    reported_load : float
        Outstanding requests according to the upstream's last report.
    reported_at : float
        Time of that report.
    sent_since_report : int
        Requests that this instance sent after that report.
    consecutive_failures : int
        Failures since the last success.
    blocked_until : float
        Until when no requests are to be sent there.
    was_usable : bool
        Whether it was usable at the last `set_usable`.
    first_token_s : float
        Moving average of the time to the first token, in seconds.
    samples : int
        Number of samples in that average.
    prefixes : collections.OrderedDict
        Prefixes sent there, least recently used first.
    cuts : collections.deque of float
        Times at which connections in use were cut.
    """

    name: str
    usable_since: float = -math.inf
    outstanding: int = 0
    reported_load: float = 0.0
    reported_at: float = -math.inf
    sent_since_report: int = 0
    consecutive_failures: int = 0
    blocked_until: float = -math.inf
    was_usable: bool = False
    first_token_s: float = 0.0
    samples: int = 0
    prefixes: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    cuts: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CUTS)
    )

    def load(self, now: float) -> float:
        """Return the outstanding requests.

        A recent report is corrected for requests sent after it. Without one, only this
        instance's own requests count.
        """
        if now - self.reported_at > REPORT_MAX_AGE_S:
            return float(self.outstanding)
        return max(float(self.outstanding), self.reported_load + self.sent_since_report)

    def ramp_factor(self, now: float) -> float:
        """Return the factor of its capacity, below 1 for a while after a return."""
        progress = (now - self.usable_since) / RAMP_UP_S
        return min(1.0, max(MIN_RAMP_FACTOR, progress))

    def is_blocked(self, now: float) -> bool:
        """Return whether the upstream is blocked because of failures."""
        return now < self.blocked_until

    def set_usable(self, usable: bool, now: float) -> None:
        """Record whether the upstream is usable; a return starts a ramp-up."""
        if usable and not self.was_usable:
            self.usable_since = now
        self.was_usable = usable

    def record_dispatch(self, prefix: str) -> None:
        """Record that a request is sent; `prefix` is empty for none."""
        self.outstanding += 1
        self.sent_since_report += 1
        if not prefix:
            return
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > MAX_PREFIXES:
            self.prefixes.popitem(last=False)

    def record_end(self) -> None:
        """Record that a request ended, in whatever way."""
        self.outstanding -= 1

    def record_load_report(self, outstanding: float, now: float) -> None:
        """Record the upstream's report of its outstanding requests."""
        self.reported_load = outstanding
        self.reported_at = now
        self.sent_since_report = 0

    def record_success(self, first_token_s: float) -> None:
        """Record an answer and its time to the first token, in seconds."""
        self.consecutive_failures = 0
        self.samples += 1
        if self.samples == 1:
            self.first_token_s = first_token_s
        gap = first_token_s - self.first_token_s
        self.first_token_s += FIRST_TOKEN_WEIGHT * gap

    def is_suddenly_slow(self, first_token_s: float) -> bool:
        """Return whether a first token was so late that the upstream may be cold."""
        if self.samples < MIN_SLOW_SAMPLES or first_token_s < MIN_SLOW_S:
            return False
        return first_token_s > SLOW_FACTOR * self.first_token_s

    def record_failure(self, now: float) -> None:
        """Record a failure; several consecutive ones block the upstream for a while."""
        self.consecutive_failures += 1
        extra = self.consecutive_failures - FAILURES_TO_BLOCK
        if extra >= 0:
            pause = min(MAX_BLOCK_S, FIRST_BLOCK_S * 2 ** min(extra, 8))
            self.blocked_until = now + pause

    def record_cut(self, now: float) -> None:
        """Record a connection that was cut while in use; it counts as a failure."""
        self.cuts.append(now)
        self.record_failure(now)

    def may_have_crashed(self, since: float, others: int) -> bool:
        """Return whether cuts look like a crash rather than one lost connection.

        Parameters
        ----------
        since : float
            Monotonic time of the first cut.
        others : int
            Calls in progress there besides the first one that was cut.
        """
        count = sum(at >= since for at in self.cuts)
        return count >= 1 + CRASH_CUT_SHARE * others

    def record_refusal(self, now: float) -> None:
        """Record a refused connection, which blocks the upstream at once."""
        self.consecutive_failures = max(
            self.consecutive_failures, FAILURES_TO_BLOCK - 1
        )
        self.record_failure(now)


class Tracker:
    """The states of all upstreams, by name."""

    def __init__(self) -> None:
        self._upstreams: dict[str, UpstreamState] = {}

    def get(self, name: str) -> UpstreamState:
        """Return the state of an upstream, created at first use."""
        state = self._upstreams.get(name)
        if state is None:
            state = UpstreamState(name=name)
            self._upstreams[name] = state
        return state

    def all(self) -> list[UpstreamState]:
        """Return the states of all upstreams, sorted by name."""
        return [self._upstreams[name] for name in sorted(self._upstreams)]

    def retain_only(self, names: set[str]) -> None:
        """Remove the states of upstreams that are not in `names`."""
        for name in set(self._upstreams) - names:
            del self._upstreams[name]


def now() -> float:
    """Return the present monotonic time in seconds."""
    return time.monotonic()
