"""Whether a request is sent now, waits at the instance, or is rejected."""

import attrs

from masticpost_overload import demand, returns

# Share of the more urgent requests' objective that queued prefill may use up; the rest
# is for their own prefill and the network.
HEADROOM_SHARE = 0.5
# An estimate must exceed the time to the deadline by this factor before a request is
# rejected: estimates are means, and a rejected request is lost for certain.
HOPELESS_FACTOR = 1.25


@attrs.frozen(kw_only=True)
class Room:
    """The upstream that has the most room for a request.

    Attributes
    ----------
    queued_s : float
        Prefill time that is queued there, in seconds.
    urgent_objective_s : float or None
        Shortest latency objective of the more urgent requests of the service, in
        seconds; None if there are none.
    freed_s : float
        Seconds of queued prefill that the upstream gets through per second.
    """

    queued_s: float
    urgent_objective_s: float | None = None
    freed_s: float = 1.0


@attrs.frozen(kw_only=True)
class Send:
    """The request is sent now."""


@attrs.frozen(kw_only=True)
class Wait:
    """The request waits at the instance for `wait_s` seconds at most."""

    wait_s: float


@attrs.frozen(kw_only=True)
class Reject:
    """The request cannot meet its deadline; callers return after `retry_after_s`."""

    retry_after_s: float


Decision = Send | Wait | Reject


def decide(request: demand.Demand, room: Room, position: float) -> Decision:
    """Return what to do with a request of which nothing was sent yet.

    Parameters
    ----------
    request : demand.Demand
        The request, with the work that it needs at the best upstream.
    room : Room
        That upstream.
    position : float
        Random number from 0 to 1 that spreads the return of rejected callers.
    """
    if is_hopeless(request):
        retry_after_s = returns.retry_after_s(request, room.freed_s, position)
        return Reject(retry_after_s=retry_after_s)
    if has_headroom(request, room) or request.slack_s <= 0:
        return Send()
    return Wait(wait_s=request.slack_s)


def is_hopeless(request: demand.Demand) -> bool:
    """Return whether a request cannot be complete before its deadline."""
    return request.total_s > HOPELESS_FACTOR * max(0.0, request.deadline_left_s)


def has_headroom(request: demand.Demand, room: Room) -> bool:
    """Return whether more urgent requests still meet their objective behind this one.

    An idle upstream starts any request: capacity that is not used is lost.
    """
    if room.urgent_objective_s is None or room.queued_s <= 0:
        return True
    behind_s = room.queued_s + request.prefill_s
    return behind_s <= HEADROOM_SHARE * room.urgent_objective_s
