"""Quality estimates from ratings, by class of request and version.

An instance decides by the sum of its own statistics and those received from other
instances. A version with few ratings is assumed to be as good as the other versions of
its model.
"""

import collections.abc
import math

import attrs

# Smallest score at which a cascade accepts an answer.
ACCEPT_SCORE = 0.7
# Weights are numbers of ratings.
PRIOR_WEIGHT = 2.0
PRIOR_SCORE = 0.6
# Weight from which on the prior has no influence.
SUFFICIENT_WEIGHT = 24.0
# Standard error assumed without ratings.
PRIOR_ERROR = 0.3
# Smallest standard deviation of scores that is assumed with ratings.
MIN_DEVIATION = 0.05
# Weight from which on the sums are halved before a rating is added.
MAX_WEIGHT = 400.0
MAX_KEYS = 512
# Share of the others' weight below which an instance counts as having few ratings.
FEW_RATINGS_SHARE = 0.05


@attrs.frozen(kw_only=True)
class Key:
    """Request class, model and version that ratings are grouped by."""

    request_class: str
    model: str
    version: str


@attrs.define(kw_only=True)
class Stats:
    """Sums over the ratings of one key, with decay of old ratings.

    Attributes
    ----------
    weight : float
        Number of ratings, less what decayed.
    total : float
        Sum of the scores.
    squares : float
        Sum of the squared scores.
    accepted : float
        Number of scores of at least `ACCEPT_SCORE`.
    accepted_total : float
        Sum of these scores.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    accepted: float = 0.0
    accepted_total: float = 0.0

    def add(self, score: float) -> None:
        """Add a rating; halves the sums first if they have reached `MAX_WEIGHT`."""
        if self.weight >= MAX_WEIGHT:
            self.merge(self.scaled(-0.5))
        self.weight += 1.0
        self.total += score
        self.squares += score * score
        if score >= ACCEPT_SCORE:
            self.accepted += 1.0
            self.accepted_total += score

    def merge(self, other: "Stats") -> None:
        """Add the sums of `other` to these."""
        self.weight += other.weight
        self.total += other.total
        self.squares += other.squares
        self.accepted += other.accepted
        self.accepted_total += other.accepted_total

    def scaled(self, factor: float) -> "Stats":
        """Return a copy with every sum multiplied by `factor`."""
        return Stats(
            weight=self.weight * factor,
            total=self.total * factor,
            squares=self.squares * factor,
            accepted=self.accepted * factor,
            accepted_total=self.accepted_total * factor,
        )


@attrs.frozen(kw_only=True)
class Row:
    """Statistics of one key, as instances exchange them."""

    key: Key
    stats: Stats


@attrs.frozen(kw_only=True)
class Estimate:
    """Expected scores of a key, drawn towards a prior while it has few ratings."""

    stats: Stats
    prior: float = PRIOR_SCORE

    @property
    def weight(self) -> float:
        """Number of ratings, less what decayed."""
        return self.stats.weight

    def mean(self) -> float:
        """Return the expected mean score."""
        stats = self.stats
        prior_weight = PRIOR_WEIGHT * max(0.0, 1.0 - stats.weight / SUFFICIENT_WEIGHT)
        return (stats.total + prior_weight * self.prior) / (stats.weight + prior_weight)

    def error(self) -> float:
        """Return the standard error of the mean, `PRIOR_ERROR` without ratings."""
        stats = self.stats
        if not stats.weight:
            return PRIOR_ERROR
        variance = stats.squares / stats.weight - (stats.total / stats.weight) ** 2
        deviation = math.sqrt(max(MIN_DEVIATION**2, variance))
        return deviation / math.sqrt(stats.weight)

    def accept_rate(self) -> float:
        """Return the expected share of answers that are accepted."""
        stats = self.stats
        return (stats.accepted + 0.5 * PRIOR_WEIGHT) / (stats.weight + PRIOR_WEIGHT)

    def accepted_mean(self) -> float:
        """Return the mean score of accepted answers."""
        if not self.stats.accepted:
            return ACCEPT_SCORE
        return self.stats.accepted_total / self.stats.accepted


class Estimator:
    """Statistics of this instance and of the others, and the estimates from both.

    The number of own keys is limited to `MAX_KEYS`, because callers can invent classes
    of requests.
    """

    def __init__(self) -> None:
        self._own: dict[Key, Stats] = {}
        self._others: dict[Key, Stats] = {}

    def add(self, key: Key, score: float) -> None:
        """Add a rating; drops it if its key is new and `MAX_KEYS` is reached."""
        stats = self._own.get(key)
        if stats is None:
            if len(self._own) >= MAX_KEYS:
                return
            stats = self._own[key] = Stats()
        stats.add(score)

    def estimate(self, key: Key) -> Estimate:
        """Return the estimate for a key."""
        stats = self._sum(key)
        return Estimate(stats=stats, prior=self._prior(key))

    def _sum(self, key: Key) -> Stats:
        found = Stats()
        for source in (self._own, self._others):
            if key in source:
                found.merge(source[key])
        return found

    def _prior(self, key: Key) -> float:
        """Return the mean score of the model's other versions in the same class.

        Returns `PRIOR_SCORE` if these have less than `PRIOR_WEIGHT` together.
        """
        pooled = Stats()
        for source in (self._own, self._others):
            for other, stats in source.items():
                if _is_other_version(other, key):
                    pooled.merge(stats)
        if pooled.weight < PRIOR_WEIGHT:
            return PRIOR_SCORE
        return pooled.total / pooled.weight

    def rows(self) -> list[Row]:
        """Return this instance's own statistics."""
        return [Row(key=key, stats=stats) for key, stats in self._own.items()]

    def replace_others(self, rows: collections.abc.Iterable[Row]) -> None:
        """Replace the combined statistics of all other instances."""
        self._others = {row.key: row.stats for row in rows}

    def has_few_own_ratings(self) -> bool:
        """Return whether own ratings are less than `FEW_RATINGS_SHARE` of others'."""
        own = sum(stats.weight for stats in self._own.values())
        others = sum(stats.weight for stats in self._others.values())
        return own < FEW_RATINGS_SHARE * others

    def adopt(self, share: float) -> None:
        """Add a share of the others' statistics to this instance's own.

        A new instance does so once. Together the instances then have about as many
        ratings as before others ended, and the instance has enough ratings of each key
        to decide without the others: at least `SUFFICIENT_WEIGHT`, or all there are.
        """
        for key, stats in self._others.items():
            sufficient_share = min(1.0, SUFFICIENT_WEIGHT / max(1.0, stats.weight))
            part = stats.scaled(max(share, sufficient_share))
            self._own.setdefault(key, Stats()).merge(part)

    def retain_versions(self, retained: collections.abc.Container[str]) -> None:
        """Remove the statistics of all versions that are not in `retained`."""
        for source in (self._own, self._others):
            for key in [key for key in source if key.version not in retained]:
                del source[key]


def _is_other_version(other: Key, key: Key) -> bool:
    is_same_model = (other.request_class, other.model) == (key.request_class, key.model)
    return is_same_model and other.version != key.version


def merge(parts: collections.abc.Iterable[list[Row]]) -> list[Row]:
    """Add up the statistics of several instances, by key."""
    merged: dict[Key, Stats] = {}
    for rows in parts:
        for row in rows:
            merged.setdefault(row.key, Stats()).merge(row.stats)
    return [Row(key=key, stats=stats) for key, stats in merged.items()]
