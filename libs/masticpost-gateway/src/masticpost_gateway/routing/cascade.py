"""Model cascade: whether to keep a model's answer or to escalate to a larger one.

A policy decides before the first event of the answer is passed to the caller. It gets
the confidence of the answer, and the expected time and price of each larger model. The
policies are entries of a registry.
"""

import collections.abc

import attrs
from masticpost_common import registry

ACCEPTED_CONFIDENCE = 0.6
# Worths and prices are fractions of the worth of a good answer on time.
POOR_WORTH = 0.05
LATE_WORTH = 0.4
LARGEST_COST_SHARE = 0.16
# Worth lost per second of backlog and second of prefill.
BACKLOG_WEIGHT = 0.3
CALM_BACKLOG_S = 0.3
MAX_BACKLOG_S = 2.5
# Confidence from which an answer is good enough, and up to which it is not.
CERTAIN_CONFIDENCE = 0.7
DOUBT_CONFIDENCE = 0.1
# Probability that a middle model answers well if this one does not.
MIDDLE_GAIN = 0.2
# Ratio of the expected to the allowed time of the first event: from the lower one on it
# may be late, from the upper one on it is.
LATE_FROM = 0.7
LATE_UNTIL = 1.3
# Fraction of the time to the deadline within which an answer must be complete.
FINISH_SHARE = 0.9


@attrs.frozen(kw_only=True)
class Option:
    """A larger model, with the expected time and price of an escalation to it.

    Attributes
    ----------
    level : int
        Index of the model, 0 for the smallest.
    first_s, total_s : float
        Expected time to the first event and to the last one at the upstream that would
        run it, in seconds. The latter is a bound that most answers keep.
    prefill_s : float
        Time to prefill the prompt, in seconds.
    cost : float
        Price as a fraction of the largest model's.
    """

    level: int
    first_s: float
    total_s: float
    prefill_s: float
    cost: float


@attrs.frozen(kw_only=True)
class CascadeState:
    """State of a request in the cascade.

    Attributes
    ----------
    level : int
        Index of the model that answered, 0 for the smallest.
    levels : int
        Number of models.
    confidence : float or None
        Confidence that the model reports for its answer, 0 to 1.
    objective_left_s, deadline_left_s : float
        Time until the first event is late, and until the answer is of no use, in
        seconds.
    backlog_s : float
        Mean queued prefill time of an upstream, in seconds.
    delay_factor : float
        Factor on the cost of the delay that an escalation causes to other requests.
    options : tuple of Option
        The larger models.
    """

    level: int
    levels: int
    confidence: float | None
    objective_left_s: float
    deadline_left_s: float
    backlog_s: float = 0.0
    delay_factor: float = 1.0
    options: tuple[Option, ...] = ()


Policy = collections.abc.Callable[[CascadeState], int | None]
POLICIES: registry.Registry[Policy] = registry.Registry(kind="cascade policy")


@POLICIES.register("smallest")
def smallest(state: CascadeState) -> int | None:
    """Keep every answer."""
    return None


@POLICIES.register("largest")
def largest(state: CascadeState) -> int | None:
    """Always escalate to the largest model."""
    return state.levels - 1 if state.level + 1 < state.levels else None


@POLICIES.register("confident")
def confident(state: CascadeState) -> int | None:
    """Escalate to the largest model if the confidence is below a fixed threshold."""
    if state.level + 1 >= state.levels or state.confidence is None:
        return None
    return state.levels - 1 if state.confidence < ACCEPTED_CONFIDENCE else None


@POLICIES.register("expected-worth")
def expected_worth(state: CascadeState) -> int | None:
    """Escalate to the model with the highest expected worth, if it is above this one's.

    The price and the delay of other requests are subtracted. The unit is the worth of a
    good answer on time.
    """
    if state.confidence is None or not state.options:
        return None
    good = success_probability(state.confidence)
    best, best_worth = None, _worth(good)
    for option in state.options:
        if not can_finish(option, state):
            continue
        worth = _option_worth(option, good, state)
        if worth > best_worth:
            best, best_worth = option.level, worth
    return best


def can_finish(option: Option, state: CascadeState) -> bool:
    """Return whether a larger model would complete its answer before the deadline."""
    return option.total_s <= FINISH_SHARE * state.deadline_left_s


def success_probability(confidence: float) -> float:
    """Return the probability that an answer with this confidence is good enough."""
    span = CERTAIN_CONFIDENCE - DOUBT_CONFIDENCE
    return min(1.0, max(0.0, (confidence - DOUBT_CONFIDENCE) / span))


def _lateness_factor(first_s: float, left_s: float) -> float:
    """Return the factor by which a possibly late first event reduces the worth."""
    if left_s <= 0:
        return LATE_WORTH
    late = (first_s / left_s - LATE_FROM) / (LATE_UNTIL - LATE_FROM)
    late = min(1.0, max(0.0, late))
    return 1.0 - late * (1.0 - LATE_WORTH)


def _worth(good: float) -> float:
    """Return the expected worth of an answer that is good with a probability."""
    return good + (1.0 - good) * POOR_WORTH


def _option_worth(option: Option, good: float, state: CascadeState) -> float:
    """Return the expected worth of an escalation, less its costs."""
    is_largest = option.level + 1 == state.levels
    good_then = 1.0 if is_largest else good + (1.0 - good) * MIDDLE_GAIN
    worth = _worth(good_then)
    worth *= _lateness_factor(option.first_s, state.objective_left_s)
    backlog_s = min(max(0.0, state.backlog_s - CALM_BACKLOG_S), MAX_BACKLOG_S)
    price = LARGEST_COST_SHARE * option.cost
    delay = BACKLOG_WEIGHT * backlog_s * option.prefill_s * state.delay_factor
    return worth - price - delay
