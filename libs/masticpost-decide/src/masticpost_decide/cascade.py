"""Cascades: at which level to start, whether to rate an answer, when to escalate."""

import abc
import enum
import random

import attrs
from masticpost_common import registry

from masticpost_decide import estimates

# Probability that an answer is rated to detect changes, and to settle whether a
# level's quality is above or below the target.
SAMPLED_RATING_RATE = 0.05
UNCERTAIN_RATING_RATE = 0.5
# Distance from the target, in standard errors, within which a level is uncertain.
UNCERTAIN_ERRORS = 2.0
# Standard errors subtracted from the mean score of a level that answers unrated.
CAUTION_ERRORS = 1.0
# Probability that a request looks for a level with too few ratings to start at.
EXPLORATION_RATE = 0.5
MIN_RATINGS = 12
# Added to the target quality when plans are compared with it.
TARGET_MARGIN = 0.005
# Cost of rating an answer, as a share of the cost of its level.
RATING_COST_SHARE = 0.05
# Sizes of prompts, in tokens, at which the next class begins.
CLASS_BOUNDS_TOKENS = (64, 512, 2048)


@attrs.frozen(kw_only=True)
class CascadeRequest:
    """A request and the levels that can serve it.

    Attributes
    ----------
    service : str
        Name of the service.
    target : float
        Mean quality that the service's answers must reach.
    levels : tuple of estimates.Key
        Key of each level's estimates, from the cheapest to the best level.
    costs : tuple of float
        Expected cost of each level.
    can_escalate : bool
        Whether an answer may be replaced by a better level's; False for streams and
        sessions.
    """

    service: str
    target: float
    levels: tuple[estimates.Key, ...]
    costs: tuple[float, ...]
    can_escalate: bool = True

    @property
    def top_level(self) -> int:
        """Index of the best level."""
        return len(self.costs) - 1


class RatingUse(enum.Enum):
    """What the rating of an answer is needed for.

    ``LEARN`` only updates the estimates; ``DECIDE`` also decides on escalation.
    """

    NONE = "none"
    LEARN = "learn"
    DECIDE = "decide"


class Cascade(abc.ABC):
    """Decides the levels of requests; one object per service and instance."""

    @abc.abstractmethod
    def start_level(self, req: CascadeRequest) -> int:
        """Return the level to start at."""

    @abc.abstractmethod
    def rating_use(self, req: CascadeRequest, level: int) -> RatingUse:
        """Return what a rating of this level's answer is needed for."""

    def accepts(self, req: CascadeRequest, level: int, score: float) -> bool:
        """Return whether an answer with this score is good enough."""
        return level >= req.top_level or score >= estimates.ACCEPT_SCORE

    def record_rating(self, req: CascadeRequest, level: int, score: float) -> None:
        """Record the rating of an answer, which may arrive long after the answer."""
        return

    @property
    def estimator(self) -> estimates.Estimator | None:
        """Estimates to share with other instances; None if there are none."""
        return None


CASCADES: registry.Registry[type[Cascade]] = registry.Registry(kind="cascade")


@CASCADES.register("best")
class AlwaysBest(Cascade):
    """Runs every request on the best level."""

    def start_level(self, req: CascadeRequest) -> int:
        """Return the top level."""
        return req.top_level

    def rating_use(self, req: CascadeRequest, level: int) -> RatingUse:
        """Return ``NONE``."""
        return RatingUse.NONE


@CASCADES.register("cheapest")
class AlwaysCheapest(Cascade):
    """Runs every request on the cheapest level."""

    def start_level(self, req: CascadeRequest) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, req: CascadeRequest, level: int) -> RatingUse:
        """Return ``NONE``."""
        return RatingUse.NONE


@CASCADES.register("threshold")
class FixedThreshold(Cascade):
    """Starts at the cheapest level, rates every answer, escalates below a score."""

    def start_level(self, req: CascadeRequest) -> int:
        """Return the lowest level."""
        return 0

    def rating_use(self, req: CascadeRequest, level: int) -> RatingUse:
        """Return ``DECIDE`` for all levels but the top one."""
        return RatingUse.DECIDE if level < req.top_level else RatingUse.NONE


@attrs.frozen(kw_only=True)
class Plan:
    """One way to serve a class of requests, with its expected cost and quality.

    Attributes
    ----------
    level : int
        Level to start at.
    is_rated : bool
        Whether answers are rated, and replaced by the top level's if not accepted.
    cost : float
        Expected cost per request.
    quality : float
        Expected mean quality.
    """

    level: int
    is_rated: bool
    cost: float
    quality: float


@CASCADES.register("expected-cost")
class ExpectedCost(Cascade):
    """Takes the cheapest plan, or mix of two, whose expected quality meets the target.

    The plans for each level are: answer from it unrated, or rate its answer and
    escalate to the top level if it is not accepted. Estimates from ratings give the
    expected quality. If the cheapest plan that meets the target exceeds it, a cheaper
    plan takes as large a share of requests as the target allows.

    Answers are rated where the plan needs it and while a level has few ratings; often
    while it is uncertain whether a level is above or below the target; and otherwise
    for a small sample, so that changes are detected.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._estimator = estimates.Estimator()

    @property
    def estimator(self) -> estimates.Estimator:
        """Estimates for each class, model and version."""
        return self._estimator

    def start_level(self, req: CascadeRequest) -> int:
        """Return the level of the cheapest plan that meets the target.

        With probability `EXPLORATION_RATE` the lowest level with fewer than
        `MIN_RATINGS` ratings is taken instead; its answer is rated and escalated if it
        is not accepted.
        """
        if self._random.random() < EXPLORATION_RATE:
            for level in range(req.top_level):
                if self._estimator.estimate(req.levels[level]).weight < MIN_RATINGS:
                    return level
        return self._plan(req).level

    def rating_use(self, req: CascadeRequest, level: int) -> RatingUse:
        """Rate where the plan needs it, where ratings are few, and a sample."""
        is_new = self._estimator.estimate(req.levels[level]).weight < MIN_RATINGS
        if level < req.top_level and (is_new or self._plan_is_rated(req, level)):
            return RatingUse.DECIDE
        rate = (
            UNCERTAIN_RATING_RATE
            if self._is_uncertain(req, level)
            else SAMPLED_RATING_RATE
        )
        if is_new or self._random.random() < rate:
            return RatingUse.LEARN
        return RatingUse.NONE

    def _is_uncertain(self, req: CascadeRequest, level: int) -> bool:
        """Return whether more ratings of a level could change the plan."""
        estimate = self._estimator.estimate(req.levels[level])
        distance = abs(estimate.mean() - req.target - TARGET_MARGIN)
        return distance < UNCERTAIN_ERRORS * estimate.error()

    def _plan_is_rated(self, req: CascadeRequest, level: int) -> bool:
        """Return whether the plan starts at this level and escalates by ratings."""
        plan = self._plan(req)
        return plan.level == level and plan.is_rated

    def record_rating(self, req: CascadeRequest, level: int, score: float) -> None:
        """Add a rating to the statistics of the level's key."""
        self._estimator.add(req.levels[level], score)

    def _plan(self, req: CascadeRequest) -> Plan:
        """Return the plan for this request, drawn at random if two are mixed.

        Without a plan that meets the target, the one of the highest quality is taken.
        """
        plans = [
            p for level in range(req.top_level + 1) for p in self._plans(req, level)
        ]
        required = req.target + TARGET_MARGIN
        good = [plan for plan in plans if plan.quality >= required]
        if not good:
            return max(plans, key=lambda plan: plan.quality)
        best = min(good, key=lambda plan: plan.cost)
        cheaper = [plan for plan in plans if plan.cost < best.cost]
        if not cheaper or not self._has_enough_ratings(req):
            return best
        mix = min(cheaper, key=lambda plan: _mixed_cost(plan, best, required))
        if self._random.random() < _cheap_share(mix, best, required):
            return mix
        return best

    def _has_enough_ratings(self, req: CascadeRequest) -> bool:
        """Return whether every level has enough ratings to use a plan below target."""
        weights = [self._estimator.estimate(key).weight for key in req.levels]
        return min(weights) >= MIN_RATINGS

    def _plans(self, req: CascadeRequest, level: int) -> list[Plan]:
        """Return the plans that start at a level.

        A top level without ratings is assumed to meet the target, and to have quality 1
        where others escalate to it. `CAUTION_ERRORS` applies to unrated plans only.
        """
        estimate = self._estimator.estimate(req.levels[level])
        cost = req.costs[level]
        quality = estimate.mean() - CAUTION_ERRORS * estimate.error()
        unrated = Plan(level=level, is_rated=False, cost=cost, quality=quality)
        if level == req.top_level:
            top = max(unrated.quality, req.target if not estimate.weight else 0.0)
            return [attrs.evolve(unrated, quality=top)]
        if not req.can_escalate:
            return [unrated]
        rate = estimate.accept_rate()
        best = self._estimator.estimate(req.levels[req.top_level])
        best_quality = best.mean() if best.weight else 1.0
        rated = Plan(
            level=level,
            is_rated=True,
            cost=cost * (1 + RATING_COST_SHARE) + (1 - rate) * req.costs[req.top_level],
            quality=rate * estimate.accepted_mean() + (1 - rate) * best_quality,
        )
        return [unrated, rated]


def _cheap_share(cheap: Plan, good: Plan, required: float) -> float:
    """Return the largest share of `cheap` at which the mix has the required quality."""
    gap = good.quality - cheap.quality
    return min(1.0, (good.quality - required) / gap) if gap > 0 else 0.0


def _mixed_cost(cheap: Plan, good: Plan, required: float) -> float:
    share = _cheap_share(cheap, good, required)
    return share * cheap.cost + (1 - share) * good.cost


def request_class(service: str, prompt_tokens: int, hint: str = "") -> str:
    """Return the class of a request: service, prompt size class and caller's hint."""
    size = sum(prompt_tokens >= bound for bound in CLASS_BOUNDS_TOKENS)
    return f"{service}/{size}/{hint}"
