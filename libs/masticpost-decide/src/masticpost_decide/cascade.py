"""Cascades: at which level to start, whether to rate, whether to escalate."""

import abc
import collections
import enum
import random

import attrs
from masticpost_common import registry

ACCEPT_SCORE = 0.7
PRIOR_WEIGHT = 4.0
PRIOR_SCORE = 0.6
SAMPLE_RATE = 0.05
EXPLORE_RATE = 0.1
MIN_RATINGS = 12
MAX_WEIGHT = 400.0
MARGIN = 0.005
RATING_COST_SHARE = 0.05
CLASS_TOKENS = (64, 512, 2048)


@attrs.frozen(kw_only=True)
class Ask:
    """What a cascade decides on; `costs` is the expected cost of each level.

    A stream or session cannot escalate: `can_escalate` is False.
    """

    service: str
    request_class: str
    target: float
    costs: tuple[float, ...]
    can_escalate: bool = True

    @property
    def top(self) -> int:
        """Number of the best level."""
        return len(self.costs) - 1


class RatingUse(enum.Enum):
    """What a rating of an answer is wanted for."""

    NONE = "none"
    LEARN = "learn"
    DECIDE = "decide"


class Cascade(abc.ABC):
    """Decides the levels of requests; one per service and instance."""

    @abc.abstractmethod
    def start(self, ask: Ask) -> int:
        """Return the level to begin with."""

    @abc.abstractmethod
    def rating_use(self, ask: Ask, level: int) -> RatingUse:
        """Tell what a rating of this level's answer is worth its cost for."""

    def accepts(self, ask: Ask, level: int, score: float) -> bool:
        """Tell whether an answer with this score is good enough."""
        return level >= ask.top or score >= ACCEPT_SCORE

    def learn(self, ask: Ask, level: int, score: float) -> None:
        """Take a rating, however late it comes."""
        return


CASCADES: registry.Registry[type[Cascade]] = registry.Registry(kind="cascade")


@CASCADES.register("best")
class AlwaysBest(Cascade):
    """Every request runs on the best level."""

    def start(self, ask: Ask) -> int:
        """Return the top level."""
        return ask.top

    def rating_use(self, ask: Ask, level: int) -> RatingUse:
        """Ask for none."""
        return RatingUse.NONE


@CASCADES.register("cheapest")
class AlwaysCheapest(Cascade):
    """Every request runs on the cheapest level."""

    def start(self, ask: Ask) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, ask: Ask, level: int) -> RatingUse:
        """Ask for none."""
        return RatingUse.NONE


@CASCADES.register("threshold")
class FixedThreshold(Cascade):
    """Starts at the cheapest level, rates every answer, escalates below a score."""

    def start(self, ask: Ask) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, ask: Ask, level: int) -> RatingUse:
        """Rate all but the top level's answers."""
        return RatingUse.DECIDE if level < ask.top else RatingUse.NONE


@attrs.define(kw_only=True)
class LevelStats:
    """Ratings of one level for one request class."""

    weight: float = 0.0
    total: float = 0.0
    accepted: float = 0.0
    accepted_total: float = 0.0

    def add(self, score: float) -> None:
        """Add a rating; older ones fade once there are many."""
        if self.weight >= MAX_WEIGHT:
            self.weight *= 0.5
            self.total *= 0.5
            self.accepted *= 0.5
            self.accepted_total *= 0.5
        self.weight += 1.0
        self.total += score
        if score >= ACCEPT_SCORE:
            self.accepted += 1.0
            self.accepted_total += score

    def mean(self) -> float:
        """Return the mean score, drawn to the prior while there are few ratings."""
        return (self.total + PRIOR_WEIGHT * PRIOR_SCORE) / (self.weight + PRIOR_WEIGHT)

    def accept_rate(self) -> float:
        """Return the share of answers that are accepted."""
        return (self.accepted + 0.5 * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)

    def accepted_mean(self) -> float:
        """Return the mean score of accepted answers."""
        if not self.accepted:
            return ACCEPT_SCORE
        return self.accepted_total / self.accepted


@attrs.frozen(kw_only=True)
class Plan:
    """One way to serve a class: where to start, whether to rate, what to expect."""

    level: int
    rates: bool
    cost: float
    quality: float


@CASCADES.register("expected-cost")
class ExpectedCost(Cascade):
    """Takes the cheapest plan, or mix of two, whose expected quality meets the target.

    The plans are, for each level: answer from it unrated, or rate its answer and
    escalate to the top when it is not accepted. Ratings decide what to expect. Where
    the cheapest good plan is better than asked, a cheaper one takes the share of
    requests that the target leaves. A rating is asked for where the plan needs it,
    while there are few, and for a small sample, so that a change is noticed.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._stats: dict[tuple[str, int], LevelStats] = collections.defaultdict(
            LevelStats
        )

    def start(self, ask: Ask) -> int:
        """Return the level of the cheapest plan that meets the target.

        A level that was hardly rated yet is tried now and then; its answer is rated
        and escalated if it is not accepted.
        """
        if self._random.random() < EXPLORE_RATE:
            for level in range(ask.top):
                if self._stats[(ask.request_class, level)].weight < MIN_RATINGS:
                    return level
        return self._plan(ask).level

    def rating_use(self, ask: Ask, level: int) -> RatingUse:
        """Rate where it decides, where little is known, and a small sample."""
        is_new = self._stats[(ask.request_class, level)].weight < MIN_RATINGS
        if level < ask.top and (is_new or self._is_rated(ask, level)):
            return RatingUse.DECIDE
        if is_new or self._random.random() < SAMPLE_RATE:
            return RatingUse.LEARN
        return RatingUse.NONE

    def _is_rated(self, ask: Ask, level: int) -> bool:
        """Tell whether the plan that starts at this level escalates by ratings."""
        plan = self._plan(ask)
        return plan.level == level and plan.rates

    def learn(self, ask: Ask, level: int, score: float) -> None:
        """Add a rating to the class's statistics."""
        self._stats[(ask.request_class, level)].add(score)

    def _plan(self, ask: Ask) -> Plan:
        plans = [p for level in range(ask.top + 1) for p in self._plans(ask, level)]
        wanted = ask.target + MARGIN
        good = [plan for plan in plans if plan.quality >= wanted]
        if not good:
            return max(plans, key=lambda plan: plan.quality)
        best = min(good, key=lambda plan: plan.cost)
        cheaper = [plan for plan in plans if plan.cost < best.cost]
        if not cheaper or not self._knows(ask):
            return best
        mix = min(cheaper, key=lambda plan: _mixed_cost(plan, best, wanted))
        if self._random.random() < _share_of(mix, best, wanted):
            return mix
        return best

    def _knows(self, ask: Ask) -> bool:
        """Tell whether there are enough ratings to answer below the target."""
        levels = range(ask.top + 1)
        weights = [self._stats[(ask.request_class, level)].weight for level in levels]
        return min(weights) >= MIN_RATINGS

    def _plans(self, ask: Ask, level: int) -> list[Plan]:
        stats = self._stats[(ask.request_class, level)]
        cost = ask.costs[level]
        plain = Plan(level=level, rates=False, cost=cost, quality=stats.mean())
        if level == ask.top:
            top = max(plain.quality, ask.target if not stats.weight else 0.0)
            return [attrs.evolve(plain, quality=top)]
        if not ask.can_escalate:
            return [plain]
        rate = stats.accept_rate()
        best = self._stats[(ask.request_class, ask.top)]
        best_quality = best.mean() if best.weight else 1.0
        rated = Plan(
            level=level,
            rates=True,
            cost=cost * (1 + RATING_COST_SHARE) + (1 - rate) * ask.costs[ask.top],
            quality=rate * stats.accepted_mean() + (1 - rate) * best_quality,
        )
        return [plain, rated]


def _share_of(cheap: Plan, good: Plan, wanted: float) -> float:
    """Return the share of requests that `cheap` may take beside `good`."""
    gap = good.quality - cheap.quality
    return min(1.0, (good.quality - wanted) / gap) if gap > 0 else 0.0


def _mixed_cost(cheap: Plan, good: Plan, wanted: float) -> float:
    share = _share_of(cheap, good, wanted)
    return share * cheap.cost + (1 - share) * good.cost


def request_class(service: str, prompt_tokens: int, hint: str = "") -> str:
    """Return the class of a request: service, size of the prompt, caller's hint."""
    size = sum(prompt_tokens >= bound for bound in CLASS_TOKENS)
    return f"{service}/{size}/{hint}"
