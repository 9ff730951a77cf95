"""What the answers of a version tell, and whether it is worse than the others."""

import math

import attrs

MIN_FAILURES = 3
FLOOR_SHARE = 0.03
PRIOR_FAILURES = 0.5
PRIOR_CALLS = 10
MIN_GAPS = 6
PROVEN_CALLS = 20
PROVEN_GAPS = 10
VERY_SLOW_LOG_RATIO = math.log(4.0)
SLOW_FLOOR_SHARE = 0.08
BINS_PER_LOG = 4
# Some answers are awaited at any time, of any version.
STUCK_SHARE = 0.25
STUCK_RATIO = 2.0


@attrs.frozen(kw_only=True)
class Bounds:
    """How much worse than the others a version may look.

    Attributes
    ----------
    alpha : float
        Chance of so many bad answers of a version that is as good as the others.
    slow_log_ratio : float
        Natural logarithm of how many times as long its pauses may be.
    """

    alpha: float
    slow_log_ratio: float


FAULT = Bounds(alpha=0.001, slow_log_ratio=math.log(3.0))
# Too little for a verdict, and too much to give the version everything.
DOUBT = Bounds(alpha=0.05, slow_log_ratio=math.log(1.5))


@attrs.define(kw_only=True)
class Tally:
    """Answers of one version during a trial, as sums.

    Attributes
    ----------
    sent : int
        Answers that were asked for, without those given up before they were late.
    starts, late : int
        Of these the ones that have begun or are late, and the late ones.
    gap_logs : float
        Sum of the natural logarithms of the mean pause between events, in seconds.
    gap_bins : dict of int to int
        Number of answers by that logarithm, in quarters.
    """

    sent: int = 0
    starts: int = 0
    late: int = 0
    calls: int = 0
    failures: int = 0
    gaps: int = 0
    gap_logs: float = 0.0
    gap_bins: dict[int, int] = attrs.field(factory=dict)

    def add_gap(self, gap_s: float) -> None:
        """Count an answer by the mean pause between its events."""
        log = math.log(gap_s)
        self.gaps += 1
        self.gap_logs += log
        number = math.floor(log * BINS_PER_LOG)
        self.gap_bins[number] = self.gap_bins.get(number, 0) + 1

    def count_from_bin(self, lowest: int) -> int:
        """Return how many answers had pauses of a bin or longer ones."""
        return sum(count for number, count in self.gap_bins.items() if number >= lowest)

    def add_start(self, *, is_late: bool) -> None:
        """Count an answer that has begun, or has not in the time that it had."""
        self.starts += 1
        self.late += is_late

    def unstarted_share(self) -> float:
        """Return the part of the answers asked for that have not begun."""
        return 1.0 - min(1.0, self.starts / self.sent) if self.sent else 0.0

    def typical_gap_s(self) -> float:
        """Return the geometric mean of the pauses between events, 0 for none seen."""
        return math.exp(self.gap_logs / self.gaps) if self.gaps else 0.0

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.late} of {self.starts} late,"
            f" {self.failures} of {self.calls} failed,"
            f" {self.gaps} gaps of {self.typical_gap_s():.3f} s"
        )

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add the sums of another tally, or take them off again with `sign` -1."""
        self.sent += sign * other.sent
        self.starts += sign * other.starts
        self.late += sign * other.late
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        self.gaps += sign * other.gaps
        self.gap_logs += sign * other.gap_logs
        for number, count in other.gap_bins.items():
            self.gap_bins[number] = self.gap_bins.get(number, 0) + sign * count


def very_slow_s(base: Tally) -> float:
    """Return the pause of a very slow answer, infinite while too little is known."""
    if base.gaps < MIN_GAPS:
        return math.inf
    # A hair more, so that rounding does not put it into the bin below.
    return math.exp((_very_slow_bin(base) + 1e-6) / BINS_PER_LOG)


def _very_slow_bin(base: Tally) -> int:
    log = base.gap_logs / base.gaps + VERY_SLOW_LOG_RATIO
    return math.ceil(log * BINS_PER_LOG)


def is_proven(row: Tally, base: Tally) -> bool:
    """Tell whether enough answers were seen to trust that no fault was found."""
    has_gaps = row.gaps >= PROVEN_GAPS or base.gaps < MIN_GAPS
    return row.calls >= PROVEN_CALLS and has_gaps and not is_doubtful(row, base)


def is_doubtful(row: Tally, base: Tally) -> bool:
    """Tell whether a version looks worse than the others, fault or not."""
    return is_stuck(row, base) or bool(find_fault(row, base, DOUBT))


def is_stuck(row: Tally, base: Tally) -> bool:
    """Tell whether far more answers of a version are awaited than of the others."""
    if row.sent < PROVEN_CALLS:
        return False
    return row.unstarted_share() > max(
        STUCK_SHARE, STUCK_RATIO * base.unstarted_share()
    )


def find_fault(row: Tally, base: Tally, bounds: Bounds = FAULT) -> str:
    """Return why a version on trial is worse than the others, empty if it is not.

    Parameters
    ----------
    row : Tally
        Answers of the version on trial.
    base : Tally
        Answers of all other versions in the same time.
    bounds : Bounds
        What is a fault.
    """
    alpha = bounds.alpha
    share = max(FLOOR_SHARE, _baseline_share(base.failures, base.calls))
    if _is_significant(row.failures, row.calls, share, alpha):
        return f"{row.failures} of {row.calls} calls failed"
    share = max(SLOW_FLOOR_SHARE, _baseline_share(base.late, base.starts))
    if _is_significant(row.late, row.starts, share, alpha):
        return f"{row.late} of {row.starts} answers began late"
    if min(row.gaps, base.gaps) < MIN_GAPS:
        return ""
    ratio = row.gap_logs / row.gaps - base.gap_logs / base.gaps
    if ratio > bounds.slow_log_ratio:
        return f"events {math.exp(ratio):.1f} times as slow"
    lowest = _very_slow_bin(base)
    slow = row.count_from_bin(lowest)
    share = max(
        SLOW_FLOOR_SHARE, _baseline_share(base.count_from_bin(lowest), base.gaps)
    )
    if _is_significant(slow, row.gaps, share, alpha):
        return f"{slow} of {row.gaps} answers written very slowly"
    return ""


def _baseline_share(bad: int, count: int) -> float:
    """Return the part of the other versions' answers that is bad, never quite none."""
    return (bad + PRIOR_FAILURES) / (count + PRIOR_CALLS)


def _is_significant(bad: int, count: int, share: float, alpha: float) -> bool:
    return bad >= MIN_FAILURES and _binomial_tail(bad, count, share) < alpha


def _binomial_tail(failures: int, calls: int, share: float) -> float:
    """Return the chance of so many failures or more where `share` of calls fail."""
    fewer = (
        math.comb(calls, k) * share**k * (1.0 - share) ** (calls - k)
        for k in range(failures)
    )
    return 1.0 - math.fsum(fewer)
