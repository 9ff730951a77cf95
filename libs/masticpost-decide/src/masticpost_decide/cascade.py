"""Cascades: at which level to start, whether to rate, whether to escalate."""

import abc
import enum
import random

import attrs
from masticpost_common import registry

from masticpost_decide import estimates

SAMPLE_RATE = 0.05
UNDECIDED_RATE = 0.5
UNDECIDED_ERRORS = 2.0
CAUTION_ERRORS = 1.0
EXPLORE_RATE = 0.5
MIN_RATINGS = 12
MARGIN = 0.005
RATING_COST_SHARE = 0.05
CLASS_TOKENS = (64, 512, 2048)


@attrs.frozen(kw_only=True)
class CascadeRequest:
    """What a cascade decides on.

    Attributes
    ----------
    levels : tuple of estimates.Key
        What is learnt of each level: the request's class, the model and the version.
    costs : tuple of float
        Expected cost of each level.
    can_escalate : bool
        False for a stream or session.
    """

    service: str
    target: float
    levels: tuple[estimates.Key, ...]
    costs: tuple[float, ...]
    can_escalate: bool = True

    @property
    def top_level(self) -> int:
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
    def start_level(self, ask: CascadeRequest) -> int:
        """Return the level to begin with."""

    @abc.abstractmethod
    def rating_use(self, ask: CascadeRequest, level: int) -> RatingUse:
        """Tell what a rating of this level's answer is worth its cost for."""

    def accepts(self, ask: CascadeRequest, level: int, score: float) -> bool:
        """Tell whether an answer with this score is good enough."""
        return level >= ask.top_level or score >= estimates.ACCEPT_SCORE

    def record_rating(self, ask: CascadeRequest, level: int, score: float) -> None:
        """Take a rating, however late it comes."""
        return

    @property
    def estimator(self) -> estimates.Estimator | None:
        """What was learnt and is shared with other instances; None for nothing."""
        return None


CASCADES: registry.Registry[type[Cascade]] = registry.Registry(kind="cascade")


@CASCADES.register("best")
class AlwaysBest(Cascade):
    """Every request runs on the best level."""

    def start_level(self, ask: CascadeRequest) -> int:
        """Return the top level."""
        return ask.top_level

    def rating_use(self, ask: CascadeRequest, level: int) -> RatingUse:
        """Ask for none."""
        return RatingUse.NONE


@CASCADES.register("cheapest")
class AlwaysCheapest(Cascade):
    """Every request runs on the cheapest level."""

    def start_level(self, ask: CascadeRequest) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, ask: CascadeRequest, level: int) -> RatingUse:
        """Ask for none."""
        return RatingUse.NONE


@CASCADES.register("threshold")
class FixedThreshold(Cascade):
    """Starts at the cheapest level, rates every answer, escalates below a score."""

    def start_level(self, ask: CascadeRequest) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, ask: CascadeRequest, level: int) -> RatingUse:
        """Rate all but the top level's answers."""
        return RatingUse.DECIDE if level < ask.top_level else RatingUse.NONE


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
    while there are few, often while it is not certain on which side of the target a
    level is, and for a small sample otherwise, so that a change is noticed.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._estimator = estimates.Estimator()

    @property
    def estimator(self) -> estimates.Estimator:
        """What was learnt of each class, model and version."""
        return self._estimator

    def start_level(self, ask: CascadeRequest) -> int:
        """Return the level of the cheapest plan that meets the target.

        A level that was hardly rated yet is tried now and then; its answer is rated
        and escalated if it is not accepted.
        """
        if self._random.random() < EXPLORE_RATE:
            for level in range(ask.top_level):
                if self._estimator.estimate(ask.levels[level]).weight < MIN_RATINGS:
                    return level
        return self._plan(ask).level

    def rating_use(self, ask: CascadeRequest, level: int) -> RatingUse:
        """Rate where it decides, where little is known, and a small sample."""
        is_new = self._estimator.estimate(ask.levels[level]).weight < MIN_RATINGS
        if level < ask.top_level and (is_new or self._is_rated(ask, level)):
            return RatingUse.DECIDE
        rate = UNDECIDED_RATE if self._is_undecided(ask, level) else SAMPLE_RATE
        if is_new or self._random.random() < rate:
            return RatingUse.LEARN
        return RatingUse.NONE

    def _is_undecided(self, ask: CascadeRequest, level: int) -> bool:
        """Tell whether more ratings of a level could change what is planned."""
        belief = self._estimator.estimate(ask.levels[level])
        distance = abs(belief.mean() - ask.target - MARGIN)
        return distance < UNDECIDED_ERRORS * belief.error()

    def _is_rated(self, ask: CascadeRequest, level: int) -> bool:
        """Tell whether the plan that starts at this level escalates by ratings."""
        plan = self._plan(ask)
        return plan.level == level and plan.rates

    def record_rating(self, ask: CascadeRequest, level: int, score: float) -> None:
        """Add a rating to the class's statistics."""
        self._estimator.add(ask.levels[level], score)

    def _plan(self, ask: CascadeRequest) -> Plan:
        plans = [
            p for level in range(ask.top_level + 1) for p in self._plans(ask, level)
        ]
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

    def _knows(self, ask: CascadeRequest) -> bool:
        """Tell whether there are enough ratings to answer below the target."""
        weights = [self._estimator.estimate(key).weight for key in ask.levels]
        return min(weights) >= MIN_RATINGS

    def _plans(self, ask: CascadeRequest, level: int) -> list[Plan]:
        stats = self._estimator.estimate(ask.levels[level])
        cost = ask.costs[level]
        quality = stats.mean() - CAUTION_ERRORS * stats.error()
        plain = Plan(level=level, rates=False, cost=cost, quality=quality)
        if level == ask.top_level:
            top = max(plain.quality, ask.target if not stats.weight else 0.0)
            return [attrs.evolve(plain, quality=top)]
        if not ask.can_escalate:
            return [plain]
        rate = stats.accept_rate()
        best = self._estimator.estimate(ask.levels[ask.top_level])
        best_quality = best.mean() if best.weight else 1.0
        rated = Plan(
            level=level,
            rates=True,
            cost=cost * (1 + RATING_COST_SHARE) + (1 - rate) * ask.costs[ask.top_level],
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
