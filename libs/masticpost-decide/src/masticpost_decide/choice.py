"""Choice of the upstream. Each policy is an entry of a registry."""

import collections.abc
import itertools
import random

import attrs
from masticpost_common import registry

PREFIX_DISCOUNT = 1.5
DISTANCE_PENALTY = 0.25


@attrs.frozen(kw_only=True)
class Candidate:
    """An upstream that may take the request.

    Attributes
    ----------
    load : float
        Outstanding work, in requests.
    capacity : int
        Requests that it bears at once.
    ramp_factor : float
        Share of its weight, below 1 while it returns.
    has_prefix : bool
        Whether it has probably cached the request's prefix.
    is_same_domain : bool
        Whether it is in this instance's failure domain.
    """

    name: str
    load: float = 0.0
    outstanding: int = 0
    capacity: int = 1
    ramp_factor: float = 1.0
    has_prefix: bool = False
    is_same_domain: bool = False


@attrs.define(kw_only=True)
class Context:
    """State that a policy may use between choices."""

    random: random.Random
    counter: collections.abc.Iterator[int] = attrs.field(factory=itertools.count)


Policy = collections.abc.Callable[[list[Candidate], Context], Candidate]
POLICIES: registry.Registry[Policy] = registry.Registry(kind="choice policy")


@POLICIES.register("round-robin")
def round_robin(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Take them in turn."""
    return candidates[next(ctx.counter) % len(candidates)]


@POLICIES.register("random")
def uniform(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Take any."""
    return ctx.random.choice(candidates)


@POLICIES.register("least-outstanding")
def least_outstanding(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Take the one with the fewest requests of this instance."""
    fewest = min(c.outstanding for c in candidates)
    return ctx.random.choice([c for c in candidates if c.outstanding == fewest])


@POLICIES.register("two-choices")
def two_choices(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Take the less loaded of two drawn at random."""
    drawn = ctx.random.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda c: c.load / c.capacity)


@POLICIES.register("least-loaded")
def least_loaded(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Take the one with the least corrected load among two and the prefix's holders.

    Reports lag and every instance sees the same ones, so that all would send to the
    same upstream if each looked at every one. A cached prefix counts as less work,
    another failure domain as a little more; a returning upstream counts as smaller
    than it is.
    """
    drawn = ctx.random.sample(candidates, min(2, len(candidates)))
    drawn += [c for c in candidates if c.has_prefix and c not in drawn]
    scored = [(_score(c), ctx.random.random(), c) for c in drawn]
    return min(scored, key=lambda row: row[:2])[2]


def _score(candidate: Candidate) -> float:
    work = candidate.load + 1.0
    if candidate.has_prefix:
        work = max(0.0, work - PREFIX_DISCOUNT)
    if not candidate.is_same_domain:
        work += DISTANCE_PENALTY
    return work / (candidate.capacity * candidate.ramp_factor)
