"""Sequential tests that decide whether a version is worse than another one.

Source: Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm",
Annals of Mathematical Statistics 41(5), 1970. Its normal-mixture boundary holds
simultaneously at every number of samples, so the evidence may be tested after each
sample without raising the rate of false stops. Two versions are compared by the
difference of their means with the effective count ``n1 * n2 / (n1 + n2)``.
"""

import collections.abc
import math

import attrs
from masticpost_common import registry

# Error probability of the boundary over all sample counts together.
ALPHA = 0.002
# Prior sample count of the normal mixture.
MIXTURE_COUNT = 20.0
# Samples of each version that a comparison needs.
MIN_RATINGS = 6
MIN_CALLS = 20
# Difference in mean rating above which a version is stopped.
RATING_TOLERANCE = 0.02
# Difference in the share of failed calls above which a version is stopped, or does not
# advance in its roll-out.
ERROR_TOLERANCE = 0.03
# Difference in mean rating that still allows a roll-out to advance.
ADVANCE_MARGIN = 0.05
# Difference in the mean logarithm of the time to the first token above which a version
# is stopped: twice the time.
DELAY_TOLERANCE = math.log(2.0)
# Smallest variances that the test assumes.
DELAY_VARIANCE_FLOOR = 0.1
RATING_VARIANCE_FLOOR = 0.0025
ERROR_VARIANCE_FLOOR = 0.02
# Count from which on the sums are halved before a value is added.
MAX_COUNT = 600.0


@attrs.define(kw_only=True)
class Series:
    """Count, sum and sum of squares of a quantity, with decay of old values.

    Attributes
    ----------
    count : float
        Number of values in the sums, less what decayed.
    total : float
        Sum of the values.
    squares : float
        Sum of the squared values.
    seen : int
        Number of all values ever added, without decay.
    """

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    seen: int = 0

    def add(self, value: float) -> None:
        """Add a value; halves the sums first if `count` has reached `MAX_COUNT`."""
        if self.count >= MAX_COUNT:
            self.count *= 0.5
            self.total *= 0.5
            self.squares *= 0.5
        self.count += 1.0
        self.seen += 1
        self.total += value
        self.squares += value * value

    def mean(self) -> float:
        """Return the mean, 0 without values."""
        return self.total / self.count if self.count else 0.0

    def variance(self) -> float:
        """Return the variance, 0 without values."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares / self.count - self.mean() ** 2)


@attrs.define(kw_only=True)
class TrialStats:
    """Evidence from one trial of a version.

    Attributes
    ----------
    version : str
        Name of the version.
    trial : int
        Number of the version's trial.
    ratings : Series
        Scores of answers.
    errors : Series
        1 for a failed call, 0 for a successful one.
    delays : Series
        Natural logarithm of the time to the first token, in seconds.
    """

    version: str
    trial: int = 1
    ratings: Series = attrs.field(factory=Series)
    errors: Series = attrs.field(factory=Series)
    delays: Series = attrs.field(factory=Series)


@attrs.frozen(kw_only=True)
class Verdict:
    """A version that is to be stopped, and the reason."""

    version: str
    reason: str


def merge(rows: list[TrialStats]) -> dict[str, TrialStats]:
    """Add up the evidence of several instances, by version."""
    merged: dict[str, TrialStats] = {}
    for row in rows:
        sums = merged.setdefault(row.version, TrialStats(version=row.version))
        for target, source in (
            (sums.ratings, row.ratings),
            (sums.errors, row.errors),
            (sums.delays, row.delays),
        ):
            target.count += source.count
            target.seen += source.seen
            target.total += source.total
            target.squares += source.squares
    return merged


Judge = collections.abc.Callable[[TrialStats, TrialStats], str]
JUDGES: registry.Registry[Judge] = registry.Registry(kind="judge")


def judge(
    versions: list[TrialStats], judges: collections.abc.Mapping[str, str] | None = None
) -> Verdict | None:
    """Return the first version that its judge finds worse than another one, or None.

    Parameters
    ----------
    versions : list of TrialStats
        Evidence on the versions of one model.
    judges : mapping of str to str, optional
        Name of the judge by version; ``sequential`` for a version without an entry.
    """
    for stats in versions:
        find = JUDGES.get((judges or {}).get(stats.version, "sequential"))
        for other in versions:
            reason = find(stats, other) if stats is not other else ""
            if reason:
                return Verdict(version=stats.version, reason=reason)
    return None


@JUDGES.register("never")
def never(stats: TrialStats, other: TrialStats) -> str:
    """Never stop a version."""
    return ""


@JUDGES.register("mean-threshold")
def mean_threshold(stats: TrialStats, other: TrialStats) -> str:
    """Stop a version whose mean rating is lower, without a test of significance.

    It needs `MIN_RATINGS` ratings of both versions.
    """
    if min(stats.ratings.count, other.ratings.count) < MIN_RATINGS:
        return ""
    gap = other.ratings.mean() - stats.ratings.mean()
    return f"mean rating lower by {gap:.3f}" if gap > RATING_TOLERANCE else ""


@JUDGES.register("sequential")
def sequential(stats: TrialStats, other: TrialStats) -> str:
    """Stop a version that is significantly worse, however often this is tested."""
    gap = _gap_lower_bound(
        other.ratings, stats.ratings, MIN_RATINGS, RATING_VARIANCE_FLOOR
    )
    if gap > RATING_TOLERANCE:
        return (
            f"mean rating {stats.ratings.mean():.3f} against "
            f"{other.ratings.mean():.3f} of {other.version}"
        )
    gap = _gap_lower_bound(stats.errors, other.errors, MIN_CALLS, ERROR_VARIANCE_FLOOR)
    if gap > ERROR_TOLERANCE:
        return (
            f"{stats.errors.mean():.1%} failed calls against "
            f"{other.errors.mean():.1%} of {other.version}"
        )
    gap = _gap_lower_bound(stats.delays, other.delays, MIN_CALLS, DELAY_VARIANCE_FLOOR)
    if gap > DELAY_TOLERANCE:
        return (
            f"first token after {math.exp(stats.delays.mean()):.3f} s against "
            f"{math.exp(other.delays.mean()):.3f} s of {other.version}"
        )
    return ""


def is_not_worse(stats: TrialStats, baseline: TrialStats, *, is_rated: bool) -> bool:
    """Return whether a version is shown to be not much worse than another one.

    The lower bound of its mean rating must exceed the other's mean less
    `ADVANCE_MARGIN`; its observed share of failed calls may exceed the other's by
    `ERROR_TOLERANCE` at most. Without ratings only failed calls count.
    """
    if stats.errors.mean() > baseline.errors.mean() + ERROR_TOLERANCE:
        return False
    if not is_rated:
        return True
    gap = _gap_lower_bound(
        stats.ratings, baseline.ratings, MIN_RATINGS, RATING_VARIANCE_FLOOR
    )
    return gap > -ADVANCE_MARGIN


def _gap_lower_bound(
    high: Series, low: Series, min_count: int, variance_floor: float
) -> float:
    """Return a lower confidence bound of the mean of `high` minus the mean of `low`.

    Returns minus infinity while either series has fewer than `min_count` values.
    """
    if min(high.count, low.count) < min_count:
        return -math.inf
    count = high.count * low.count / (high.count + low.count)
    variance = max(variance_floor, high.variance(), low.variance())
    # Intrinsic time of the boundary: the effective count times the variance.
    time = count * variance
    prior = MIXTURE_COUNT * variance
    bound = math.sqrt((time + prior) * math.log((time + prior) / (prior * ALPHA**2)))
    return high.mean() - low.mean() - bound / count
