"""Policies that choose an upstream for a request, registered by name."""

import collections.abc
import itertools
import random

import attrs
from masticpost_common import registry

# Work, in requests, that a cached prefix saves and another failure domain adds.
PREFIX_DISCOUNT_REQUESTS = 1.5
OTHER_DOMAIN_PENALTY_REQUESTS = 0.25


@attrs.frozen(kw_only=True)
class Candidate:
    """An upstream that may take the request.

    Attributes
    ----------
    load : float
        Outstanding work, in requests.
    outstanding : int
        Outstanding requests of this instance.
    capacity : int
        Number of concurrent requests that it can handle.
    ramp_factor : float
        Factor of its capacity, below 1 while its traffic ramps up after a return.
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
    """State that policies keep between choices."""

    random: random.Random
    counter: collections.abc.Iterator[int] = attrs.field(factory=itertools.count)


Policy = collections.abc.Callable[[list[Candidate], Context], Candidate]
POLICIES: registry.Registry[Policy] = registry.Registry(kind="choice policy")


@POLICIES.register("round-robin")
def round_robin(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Return the next candidate in rotation."""
    return candidates[next(ctx.counter) % len(candidates)]


@POLICIES.register("random")
def uniform(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Return a candidate uniformly at random."""
    return ctx.random.choice(candidates)


@POLICIES.register("least-outstanding")
def least_outstanding(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Return a candidate with the fewest outstanding requests of this instance."""
    fewest = min(c.outstanding for c in candidates)
    return ctx.random.choice([c for c in candidates if c.outstanding == fewest])


@POLICIES.register("two-choices")
def two_choices(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Return the less loaded of two candidates drawn at random."""
    drawn = ctx.random.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda c: c.load / c.capacity)


@POLICIES.register("least-loaded")
def least_loaded(candidates: list[Candidate], ctx: Context) -> Candidate:
    """Return the least loaded of two random candidates and those with the prefix.

    Only a sample is compared because load reports lag and every instance sees the same
    ones: if all compared every candidate, all would send to the same upstream. A cached
    prefix lowers the load of a candidate, another failure domain raises it slightly,
    and a ramp-up after a return lowers the capacity.
    """
    drawn = ctx.random.sample(candidates, min(2, len(candidates)))
    drawn += [c for c in candidates if c.has_prefix and c not in drawn]
    scored = [(_score(c), ctx.random.random(), c) for c in drawn]
    return min(scored, key=lambda row: row[:2])[2]


def _score(candidate: Candidate) -> float:
    """Return the adjusted load relative to capacity; lower is better."""
    work = candidate.load + 1.0
    if candidate.has_prefix:
        work = max(0.0, work - PREFIX_DISCOUNT_REQUESTS)
    if not candidate.is_same_domain:
        work += OTHER_DOMAIN_PENALTY_REQUESTS
    return work / (candidate.capacity * candidate.ramp_factor)
