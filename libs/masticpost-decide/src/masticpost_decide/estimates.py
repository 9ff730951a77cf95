"""What ratings told of versions, by class of request, and how instances share it.

An instance decides by the sum of what it learnt itself and what others told. A version
of which little is known is taken for as good as its model's other versions.
"""

import collections.abc
import math

import attrs

ACCEPT_SCORE = 0.7
PRIOR_WEIGHT = 2.0
PRIOR_SCORE = 0.6
ENOUGH_WEIGHT = 24.0
PRIOR_DEVIATION = 0.3
DEVIATION_FLOOR = 0.05
MAX_WEIGHT = 400.0
MAX_KEYS = 512
NEWCOMER_SHARE = 0.05


@attrs.frozen(kw_only=True)
class Key:
    """What a rating is of."""

    request_class: str
    model: str
    version: str


@attrs.define(kw_only=True)
class Stats:
    """Ratings of one key; older ones fade once there are many.

    `accepted` counts the scores that a cascade accepts, `accepted_total` adds them up.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    accepted: float = 0.0
    accepted_total: float = 0.0

    def add(self, score: float) -> None:
        """Add a rating."""
        if self.weight >= MAX_WEIGHT:
            self.take(self.scaled(-0.5))
        self.weight += 1.0
        self.total += score
        self.squares += score * score
        if score >= ACCEPT_SCORE:
            self.accepted += 1.0
            self.accepted_total += score

    def take(self, other: "Stats") -> None:
        """Add what another one knows."""
        self.weight += other.weight
        self.total += other.total
        self.squares += other.squares
        self.accepted += other.accepted
        self.accepted_total += other.accepted_total

    def scaled(self, factor: float) -> "Stats":
        """Return this times a factor."""
        return Stats(
            weight=self.weight * factor,
            total=self.total * factor,
            squares=self.squares * factor,
            accepted=self.accepted * factor,
            accepted_total=self.accepted_total * factor,
        )


@attrs.frozen(kw_only=True)
class Row:
    """Statistics of one key, as instances tell them to each other."""

    key: Key
    stats: Stats


@attrs.frozen(kw_only=True)
class Estimate:
    """What is expected of a key: its ratings, drawn to a prior while there are few."""

    stats: Stats
    prior: float = PRIOR_SCORE

    @property
    def weight(self) -> float:
        """Number of ratings, less those that faded."""
        return self.stats.weight

    def mean(self) -> float:
        """Return the mean score."""
        known = self.stats
        prior = PRIOR_WEIGHT * max(0.0, 1.0 - known.weight / ENOUGH_WEIGHT)
        return (known.total + prior * self.prior) / (known.weight + prior)

    def error(self) -> float:
        """Return the standard error of the mean."""
        known = self.stats
        if not known.weight:
            return PRIOR_DEVIATION
        variance = known.squares / known.weight - (known.total / known.weight) ** 2
        deviation = math.sqrt(max(DEVIATION_FLOOR**2, variance))
        return deviation / math.sqrt(known.weight)

    def accept_rate(self) -> float:
        """Return the share of answers that are accepted."""
        known = self.stats
        return (known.accepted + 0.5 * PRIOR_WEIGHT) / (known.weight + PRIOR_WEIGHT)

    def accepted_mean(self) -> float:
        """Return the mean score of accepted answers."""
        if not self.stats.accepted:
            return ACCEPT_SCORE
        return self.stats.accepted_total / self.stats.accepted


class Estimator:
    """What an instance learnt, and what the others did.

    Callers can make up classes of requests, so that only so many keys are kept.
    """

    def __init__(self) -> None:
        self._own: dict[Key, Stats] = {}
        self._others: dict[Key, Stats] = {}

    def add(self, key: Key, score: float) -> None:
        """Add a rating; ratings of new keys are dropped when there are too many."""
        known = self._own.get(key)
        if known is None:
            if len(self._own) >= MAX_KEYS:
                return
            known = self._own[key] = Stats()
        known.add(score)

    def estimate(self, key: Key) -> Estimate:
        """Return what is expected of a key."""
        stats = self._sum(key)
        return Estimate(stats=stats, prior=self._prior(key))

    def _sum(self, key: Key) -> Stats:
        found = Stats()
        for source in (self._own, self._others):
            if key in source:
                found.take(source[key])
        return found

    def _prior(self, key: Key) -> float:
        """Return the mean of the model's other versions, in the same class."""
        pooled = Stats()
        for source in (self._own, self._others):
            for other, stats in source.items():
                if _is_sibling(other, key):
                    pooled.take(stats)
        if pooled.weight < PRIOR_WEIGHT:
            return PRIOR_SCORE
        return pooled.total / pooled.weight

    def rows(self) -> list[Row]:
        """Return what was learnt here."""
        return [Row(key=key, stats=stats) for key, stats in self._own.items()]

    def replace_others(self, rows: collections.abc.Iterable[Row]) -> None:
        """Take what all the others together know."""
        self._others = {row.key: row.stats for row in rows}

    def has_few_own_ratings(self) -> bool:
        """Tell whether others know something and this one next to nothing of it."""
        own = sum(stats.weight for stats in self._own.values())
        others = sum(stats.weight for stats in self._others.values())
        return own < NEWCOMER_SHARE * others

    def adopt(self, share: float) -> None:
        """Take a share of what the others know as learnt here, and enough to decide by.

        A new instance does so once: together the instances then know about as much as
        they did before others ended, and it can go on alone.
        """
        for key, stats in self._others.items():
            enough = min(1.0, ENOUGH_WEIGHT / max(1.0, stats.weight))
            part = stats.scaled(max(share, enough))
            self._own.setdefault(key, Stats()).take(part)

    def retain_versions(self, kept: collections.abc.Container[str]) -> None:
        """Forget versions that are not kept."""
        for source in (self._own, self._others):
            for key in [key for key in source if key.version not in kept]:
                del source[key]


def _is_sibling(other: Key, key: Key) -> bool:
    is_same_model = (other.request_class, other.model) == (key.request_class, key.model)
    return is_same_model and other.version != key.version


def merge(parts: collections.abc.Iterable[list[Row]]) -> list[Row]:
    """Add up what several instances know."""
    merged: dict[Key, Stats] = {}
    for rows in parts:
        for row in rows:
            merged.setdefault(row.key, Stats()).take(row.stats)
    return [Row(key=key, stats=stats) for key, stats in merged.items()]
