"""Choice of the model: whether an answer is kept or asked of a larger one.

A policy sees the answer's confidence before its first event reaches the caller, and
what each larger model would take in time and price. Each policy is an entry of a
registry.
"""

import collections.abc

import attrs
from masticpost_common import registry

ACCEPTED_CONFIDENCE = 0.6
POOR_WORTH = 0.05
LATE_WORTH = 0.4
LARGEST_COST_SHARE = 0.16
BACKLOG_WEIGHT = 0.3
CALM_BACKLOG_S = 0.3
MAX_BACKLOG_S = 2.5
CERTAIN_CONFIDENCE = 0.7
DOUBT_CONFIDENCE = 0.1
MIDDLE_GAIN = 0.2
LATE_FROM = 0.7
LATE_UNTIL = 1.3
FINISH_SHARE = 0.9


@attrs.frozen(kw_only=True)
class Option:
    """A larger model and what asking it would take.

    Attributes
    ----------
    level : int
        Its index, 0 for the smallest.
    first_s, total_s : float
        Expected time to its first event and to its last one.
    prefill_s : float
        Time for which it reads the prompt.
    cost : float
        Its price as a part of the largest model's.
    """

    level: int
    first_s: float
    total_s: float
    prefill_s: float
    cost: float


@attrs.frozen(kw_only=True)
class CascadeState:
    """Where a request stands in the cascade.

    Attributes
    ----------
    level : int
        Index of the model that answered, 0 for the smallest.
    levels : int
        Number of models.
    confidence : float or None
        Its own opinion of its answer, 0 to 1.
    objective_left_s, deadline_left_s : float
        Time until the first event is late, and until the answer is worthless.
    backlog_s : float
        Mean time of reading that waits at an upstream.
    options : tuple of Option
        The larger models.
    """

    level: int
    levels: int
    confidence: float | None
    objective_left_s: float
    deadline_left_s: float
    backlog_s: float = 0.0
    options: tuple[Option, ...] = ()


Policy = collections.abc.Callable[[CascadeState], int | None]
POLICIES: registry.Registry[Policy] = registry.Registry(kind="cascade policy")


@POLICIES.register("smallest")
def smallest(state: CascadeState) -> int | None:
    """Keep every answer."""
    return None


@POLICIES.register("largest")
def largest(state: CascadeState) -> int | None:
    """Ask the largest model always."""
    return state.levels - 1 if state.level + 1 < state.levels else None


@POLICIES.register("confident")
def confident(state: CascadeState) -> int | None:
    """Ask the largest model when the confidence is below a fixed bound."""
    if state.level + 1 >= state.levels or state.confidence is None:
        return None
    return state.levels - 1 if state.confidence < ACCEPTED_CONFIDENCE else None


@POLICIES.register("expected-worth")
def expected_worth(state: CascadeState) -> int | None:
    """Ask the model whose answer is worth most, less its price and others' waiting.

    All is told as parts of what a good answer on time is worth.
    """
    if state.confidence is None or not state.options:
        return None
    good = success_probability(state.confidence)
    best, best_worth = None, _worth(good)
    for option in state.options:
        worth = _option_worth(option, good, state)
        if worth > best_worth:
            best, best_worth = option.level, worth
    return best


def success_probability(confidence: float) -> float:
    """Return the chance that an answer of this confidence is good enough."""
    span = CERTAIN_CONFIDENCE - DOUBT_CONFIDENCE
    return min(1.0, max(0.0, (confidence - DOUBT_CONFIDENCE) / span))


def _lateness_factor(first_s: float, left_s: float) -> float:
    """Return what the chance of a late first event leaves of an answer's worth."""
    if left_s <= 0:
        return LATE_WORTH
    late = (first_s / left_s - LATE_FROM) / (LATE_UNTIL - LATE_FROM)
    late = min(1.0, max(0.0, late))
    return 1.0 - late * (1.0 - LATE_WORTH)


def _worth(good: float) -> float:
    return good + (1.0 - good) * POOR_WORTH


def _option_worth(option: Option, good: float, state: CascadeState) -> float:
    is_largest = option.level + 1 == state.levels
    good_then = 1.0 if is_largest else good + (1.0 - good) * MIDDLE_GAIN
    worth = _worth(good_then)
    worth *= _lateness_factor(option.first_s, state.objective_left_s)
    if option.total_s > FINISH_SHARE * state.deadline_left_s:
        worth = 0.0
    backlog_s = min(max(0.0, state.backlog_s - CALM_BACKLOG_S), MAX_BACKLOG_S)
    price = LARGEST_COST_SHARE * option.cost
    return worth - price - BACKLOG_WEIGHT * backlog_s * option.prefill_s
