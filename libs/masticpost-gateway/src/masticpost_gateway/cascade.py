"""Choice of the model: where to start, and when an answer is asked of a larger one.

A policy sees the answer's confidence before its first event reaches the caller. Each
policy is an entry of a registry.
"""

import collections.abc

import attrs
from masticpost_common import registry

ACCEPTED_CONFIDENCE = 0.6


@attrs.frozen(kw_only=True)
class Step:
    """Where a request stands in the cascade.

    Attributes
    ----------
    level : int
        Index of the model that answered, 0 for the smallest.
    levels : int
        Number of models.
    confidence : float or None
        Its own opinion of its answer, 0 to 1.
    time_left_s : float
        Time until the objective has passed.
    """

    level: int
    levels: int
    confidence: float | None
    time_left_s: float


@attrs.frozen(kw_only=True)
class Policy:
    """A first level and a rule for the next one.

    Attributes
    ----------
    first : callable
        Takes the number of levels; returns the level to start at.
    after : callable
        Takes a `Step`; returns the level to ask next, None to accept the answer.
    """

    first: collections.abc.Callable[[int], int]
    after: collections.abc.Callable[[Step], int | None]


POLICIES: registry.Registry[Policy] = registry.Registry(kind="cascade policy")


def _smallest(levels: int) -> int:
    return 0


def _largest(levels: int) -> int:
    return levels - 1


def _accept(step: Step) -> int | None:
    return None


def _to_largest(step: Step) -> int | None:
    if step.level + 1 >= step.levels or step.confidence is None:
        return None
    return step.levels - 1 if step.confidence < ACCEPTED_CONFIDENCE else None


POLICIES.register("smallest")(Policy(first=_smallest, after=_accept))
POLICIES.register("largest")(Policy(first=_largest, after=_accept))
POLICIES.register("confident")(Policy(first=_smallest, after=_to_largest))
