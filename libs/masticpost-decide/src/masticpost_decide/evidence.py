"""Sequential evidence against a version: when to stop it, however often one looks.

Source: Robbins, "Statistical Methods Related to the Law of the Iterated Logarithm",
Annals of Mathematical Statistics 41(5), 1970: the normal-mixture boundary, which holds
at every look at once. Two versions are compared by the difference of their means with
the effective count ``n1 * n2 / (n1 + n2)``.
"""

import collections.abc
import math

import attrs
from masticpost_common import registry

ALPHA = 0.002
MIXTURE_COUNT = 20.0
MIN_RATINGS = 6
MIN_CALLS = 20
RATING_TOLERANCE = 0.02
ERROR_TOLERANCE = 0.03
ADVANCE_MARGIN = 0.05
DELAY_TOLERANCE = math.log(2.0)
DELAY_VARIANCE_FLOOR = 0.1
RATING_VARIANCE_FLOOR = 0.0025
ERROR_VARIANCE_FLOOR = 0.02
FADE_COUNT = 600.0


@attrs.define(kw_only=True)
class Series:
    """Count, sum and sum of squares of a quantity; old values fade.

    `seen` counts every value there ever was.
    """

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    seen: int = 0

    def add(self, value: float) -> None:
        """Add a value."""
        if self.count >= FADE_COUNT:
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
    """What is known of one trial of a version.

    Attributes
    ----------
    ratings : Series
        Scores of answers.
    errors : Series
        1 for a failed call, 0 for a good one.
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
    """A version that is to be stopped, and why."""

    version: str
    reason: str


def merge(rows: list[TrialStats]) -> dict[str, TrialStats]:
    """Add up the sums of several instances, by version."""
    merged: dict[str, TrialStats] = {}
    for row in rows:
        known = merged.setdefault(row.version, TrialStats(version=row.version))
        for mine, other in (
            (known.ratings, row.ratings),
            (known.errors, row.errors),
            (known.delays, row.delays),
        ):
            mine.count += other.count
            mine.seen += other.seen
            mine.total += other.total
            mine.squares += other.squares
    return merged


Judge = collections.abc.Callable[[TrialStats, TrialStats], str]
JUDGES: registry.Registry[Judge] = registry.Registry(kind="judge")


def judge(
    versions: list[TrialStats], judges: collections.abc.Mapping[str, str] | None = None
) -> Verdict | None:
    """Return a version that its judge finds worse than another one, None without.

    Parameters
    ----------
    versions : list of TrialStats
        Evidence on the versions of one model.
    judges : mapping, optional
        Names of the versions' judges; ``sequential`` for one that is not there.
    """
    for row in versions:
        find = JUDGES.get((judges or {}).get(row.version, "sequential"))
        for other in versions:
            reason = find(row, other) if row is not other else ""
            if reason:
                return Verdict(version=row.version, reason=reason)
    return None


@JUDGES.register("never")
def never(row: TrialStats, other: TrialStats) -> str:
    """Stop nothing."""
    return ""


@JUDGES.register("mean-threshold")
def mean_threshold(row: TrialStats, other: TrialStats) -> str:
    """Stop on the mean rating alone, from a few ratings on."""
    if min(row.ratings.count, other.ratings.count) < MIN_RATINGS:
        return ""
    gap = other.ratings.mean() - row.ratings.mean()
    return f"mean rating lower by {gap:.3f}" if gap > RATING_TOLERANCE else ""


@JUDGES.register("sequential")
def sequential(row: TrialStats, other: TrialStats) -> str:
    """Stop what is certainly worse than another version, however often one looks."""
    gap = _certain_gap(other.ratings, row.ratings, MIN_RATINGS, RATING_VARIANCE_FLOOR)
    if gap > RATING_TOLERANCE:
        return (
            f"mean rating {row.ratings.mean():.3f} against "
            f"{other.ratings.mean():.3f} of {other.version}"
        )
    gap = _certain_gap(row.errors, other.errors, MIN_CALLS, ERROR_VARIANCE_FLOOR)
    if gap > ERROR_TOLERANCE:
        return (
            f"{row.errors.mean():.1%} failed calls against "
            f"{other.errors.mean():.1%} of {other.version}"
        )
    gap = _certain_gap(row.delays, other.delays, MIN_CALLS, DELAY_VARIANCE_FLOOR)
    if gap > DELAY_TOLERANCE:
        return (
            f"first token after {math.exp(row.delays.mean()):.3f} s against "
            f"{math.exp(other.delays.mean()):.3f} s of {other.version}"
        )
    return ""


def is_not_worse(row: TrialStats, base: TrialStats, *, is_rated: bool) -> bool:
    """Tell whether a version is certainly not much worse than another one.

    Its mean rating must be certainly above the other's less `ADVANCE_MARGIN`; its share
    of failed calls must not look higher by more than `ERROR_TOLERANCE`.
    """
    if row.errors.mean() > base.errors.mean() + ERROR_TOLERANCE:
        return False
    if not is_rated:
        return True
    gap = _certain_gap(row.ratings, base.ratings, MIN_RATINGS, RATING_VARIANCE_FLOOR)
    return gap > -ADVANCE_MARGIN


def _certain_gap(high: Series, low: Series, least: int, floor: float) -> float:
    """Return how much the mean of `high` is certainly above that of `low`."""
    if min(high.count, low.count) < least:
        return -math.inf
    count = high.count * low.count / (high.count + low.count)
    variance = max(floor, high.variance(), low.variance())
    time = count * variance
    prior = MIXTURE_COUNT * variance
    bound = math.sqrt((time + prior) * math.log((time + prior) / (prior * ALPHA**2)))
    return high.mean() - low.mean() - bound / count
