"""Statistics of a version's answers, and tests of whether it is worse than others."""

import math

import attrs

MIN_FAILURES = 3
# Lowest share of failed calls that is assumed for the other versions.
FLOOR_SHARE = 0.03
# Pseudo-counts that smooth the share of bad answers.
PRIOR_FAILURES = 0.5
PRIOR_CALLS = 10
# Answers with a measured gap that a comparison of gaps takes.
MIN_GAPS = 6
# Requests, and answers with a measured gap, that a comparison of the recent ones takes.
PROVEN_CALLS = 20
PROVEN_GAPS = 10
VERY_SLOW_LOG_RATIO = math.log(4.0)
# Lowest share of late or very slow answers that is assumed for the other versions.
SLOW_FLOOR_SHARE = 0.08
# Bins per unit of the natural logarithm of the gap.
BINS_PER_LOG = 4
# Any version has some answers that have not begun yet.
STUCK_SHARE = 0.25
STUCK_RATIO = 2.0
# Terms of a binomial tail that are summed one by one.
TAIL_TERMS = 100


@attrs.frozen(kw_only=True)
class Bounds:
    """Thresholds beyond which a version counts as worse than the others.

    Attributes
    ----------
    alpha : float
        Significance level: probability below which the number of failed answers is not
        explained by chance.
    slow_alpha : float
        The same for late and very slow answers. These are not independent: one long
        prompt delays all answers of an upstream.
    slow_log_ratio : float
        Natural logarithm of the allowed ratio of its gaps to those of the others.
    mean_log_ratio : float
        Logarithm of the ratio up to which very slow answers do not count.
    min_gaps : int
        Answers with a measured gap that the comparison takes.
    """

    alpha: float
    slow_alpha: float
    slow_log_ratio: float
    mean_log_ratio: float = -math.inf
    min_gaps: int = MIN_GAPS


FAULT = Bounds(alpha=0.001, slow_alpha=0.0005, slow_log_ratio=math.log(3.0))
# Too weak for a verdict, but too strong to send all requests to the version.
DOUBT = Bounds(
    alpha=0.05,
    slow_alpha=0.05,
    slow_log_ratio=math.log(1.5),
    mean_log_ratio=math.log(1.1),
)
# The same for the recent answers alone, of which there are fewer.
RECENT_DOUBT = Bounds(
    alpha=0.01,
    slow_alpha=0.01,
    slow_log_ratio=math.log(2.0),
    mean_log_ratio=math.log(1.1),
    min_gaps=PROVEN_GAPS,
)


@attrs.define(kw_only=True)
class Tally:
    """Answers of one version during a trial, as sums.

    Attributes
    ----------
    sent : int
        Requests sent, without those abandoned before their answer was late.
    starts, late : int
        Of these the answers that have begun or are late, and the late ones.
    calls, failures : int
        Answers that either succeeded or failed, and those that failed.
    gaps : int
        Answers with a measured mean gap between events.
    gap_logs : float
        Sum of the natural logarithms of the mean gaps, in seconds or as multiples of
        the usual gap of the model.
    gap_bins : dict of int to int
        Number of answers by that logarithm, in bins of a quarter.
    """

    sent: int = 0
    starts: int = 0
    late: int = 0
    calls: int = 0
    failures: int = 0
    gaps: int = 0
    gap_logs: float = 0.0
    gap_bins: dict[int, int] = attrs.field(factory=dict)

    def add_gap(self, gap: float) -> None:
        """Count an answer by the mean gap between its events."""
        log = math.log(gap)
        self.gaps += 1
        self.gap_logs += log
        number = bin_of(gap)
        self.gap_bins[number] = self.gap_bins.get(number, 0) + 1

    def count_from_bin(self, lowest: int) -> int:
        """Return the number of answers with gaps in a bin or in a higher one."""
        return sum(count for number, count in self.gap_bins.items() if number >= lowest)

    def add_start(self, *, is_late: bool) -> None:
        """Count an answer that has begun or is late."""
        self.starts += 1
        self.late += is_late

    def typical_gap(self) -> float:
        """Return the geometric mean of the gaps, 0 without any."""
        return math.exp(self.gap_logs / self.gaps) if self.gaps else 0.0

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.late} of {self.starts} late,"
            f" {self.failures} of {self.calls} failed,"
            f" {self.gaps} gaps of {self.typical_gap():.3f}"
        )

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add the sums of another tally, or subtract them with `sign` -1."""
        self.sent += sign * other.sent
        self.starts += sign * other.starts
        self.late += sign * other.late
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        self.gaps += sign * other.gaps
        self.gap_logs += sign * other.gap_logs
        for number, count in other.gap_bins.items():
            self.gap_bins[number] = self.gap_bins.get(number, 0) + sign * count


def difference(tally: Tally, earlier: Tally) -> Tally:
    """Return what a tally has more than an earlier one, never less than nothing."""
    return Tally(
        sent=max(0, tally.sent - earlier.sent),
        starts=max(0, tally.starts - earlier.starts),
        late=max(0, tally.late - earlier.late),
        calls=max(0, tally.calls - earlier.calls),
        failures=max(0, tally.failures - earlier.failures),
        gaps=max(0, tally.gaps - earlier.gaps),
        gap_logs=tally.gap_logs - earlier.gap_logs,
        gap_bins={
            number: max(0, count - earlier.gap_bins.get(number, 0))
            for number, count in tally.gap_bins.items()
        },
    )


def very_slow(base: Tally) -> float:
    """Return the gap of a very slow answer, infinite for too few answers."""
    if base.gaps < MIN_GAPS:
        return math.inf
    return gap_of_bin(very_slow_bin(base.gap_logs / base.gaps))


def very_slow_bin(base_log: float) -> int:
    """Return the lowest bin of very slow answers.

    Parameters
    ----------
    base_log : float
        Mean logarithm of the gaps of the other versions.
    """
    return math.ceil((base_log + VERY_SLOW_LOG_RATIO) * BINS_PER_LOG)


def bin_of(gap: float) -> int:
    """Return the bin of a gap."""
    return math.floor(math.log(gap) * BINS_PER_LOG)


def gap_of_bin(number: int) -> float:
    """Return the gap at the lower end of a bin."""
    # The small excess keeps rounding from putting the gap into the next lower bin.
    return math.exp((number + 1e-6) / BINS_PER_LOG)


def is_stuck(
    row: Tally, base: Tally, sent: float = math.inf, base_sent: float = math.inf
) -> bool:
    """Return whether far more answers have not begun than with the other versions.

    Parameters
    ----------
    sent, base_sent : float
        Requests sent recently to the version and to the others, if fewer than all.
    """
    sent, base_sent = min(sent, row.sent), min(base_sent, base.sent)
    if sent < PROVEN_CALLS:
        return False
    allowed = STUCK_RATIO * _unstarted_share(base, base_sent)
    return _unstarted_share(row, sent) > max(STUCK_SHARE, allowed)


def _unstarted_share(tally: Tally, sent: float) -> float:
    return max(0, tally.sent - tally.starts) / sent if sent else 0.0


def is_significant(bad: float, count: float, share: float, alpha: float) -> bool:
    """Return whether chance hardly explains that so many answers are bad.

    Parameters
    ----------
    bad, count : float
        Bad answers of all; fractions where old answers weigh less.
    share : float
        Share of bad answers to expect.
    alpha : float
        Probability below which chance does not explain them.
    """
    return bad >= MIN_FAILURES and _binomial_tail(bad, count, share) < alpha


def _binomial_tail(bad: float, count: float, share: float) -> float:
    """Return the probability of at least `bad` if a `share` of the answers is bad.

    The terms from `bad` upwards are summed. Beyond `TAIL_TERMS` of them a geometric
    series bounds the rest, so that the cost does not grow with the number of answers.
    """
    bad = min(bad, count)
    if share >= 1.0 or bad <= count * share:
        return 1.0
    odds = share / (1.0 - share)
    term = math.exp(_log_probability(bad, count, share))
    total = 0.0
    for _ in range(TAIL_TERMS):
        total += term
        if count - bad < 1.0:
            return total
        term *= (count - bad) / (bad + 1.0) * odds
        bad += 1.0
    ratio = (count - bad) / (bad + 1.0) * odds
    return min(1.0, total + term / (1.0 - ratio))


def _log_probability(bad: float, count: float, share: float) -> float:
    """Return the logarithm of the probability of exactly `bad` bad answers."""
    ways = (
        math.lgamma(count + 1.0) - math.lgamma(bad + 1.0) - math.lgamma(count - bad + 1)
    )
    return ways + bad * math.log(share) + (count - bad) * math.log1p(-share)
