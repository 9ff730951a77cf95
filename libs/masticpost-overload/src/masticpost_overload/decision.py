"""Whether a request is sent now or rejected."""

import attrs

from masticpost_overload import demand, returns

# An estimate must exceed the time to the deadline by this factor before a request is
# rejected: estimates are means, and a rejected request is lost for certain.
HOPELESS_FACTOR = 1.25


@attrs.frozen(kw_only=True)
class Send:
    """The request is sent now; the queue of the upstream orders it by urgency."""


@attrs.frozen(kw_only=True)
class Reject:
    """The request cannot meet its deadline; callers return after `retry_after_s`."""

    retry_after_s: float


Decision = Send | Reject


def decide(request: demand.Demand, drain_rate: float, position: float) -> Decision:
    """Return what to do with a request of which nothing was sent yet.

    Parameters
    ----------
    request : demand.Demand
        The request, with the work that it needs at the best upstream.
    drain_rate : float
        Seconds of queued work done per second, less what arrives; see `draining.Drain`.
    position : float
        Random number from 0 to 1 that spreads the return of rejected callers.
    """
    if not is_hopeless(request):
        return Send()
    retry_after_s = returns.retry_after_s(request, drain_rate, position)
    return Reject(retry_after_s=retry_after_s)


def is_hopeless(request: demand.Demand) -> bool:
    """Return whether a request cannot be complete before its deadline."""
    return request.total_s > HOPELESS_FACTOR * max(0.0, request.deadline_left_s)
