"""Time after which a rejected caller is told to return."""

from masticpost_overload import demand

# Longest Retry-After as a share of the time left, since callers ignore a longer one.
MAX_LEFT_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05
# The least urgent callers return up to this many times later than room is expected.
SPREAD = 3.0
# Number of priorities that return one after the other; further ones return last.
PRIORITIES = 3


def retry_after_s(request: demand.Demand, drain_rate: float, position: float) -> float:
    """Return the seconds after which a rejected caller may come back.

    Parameters
    ----------
    request : demand.Demand
        The rejected request.
    drain_rate : float
        Seconds of queued work done per second, less what arrives; 0 or less while the
        queue does not shrink.
    position : float
        Random number from 0 to 1. It spreads callers of one priority, who would
        otherwise return together.
    """
    longest_s = MAX_LEFT_SHARE * max(0.0, request.deadline_left_s)
    excess_s = max(0.0, request.total_s - request.deadline_left_s)
    room_in_s = excess_s / drain_rate if drain_rate > 0 else longest_s
    # Half of the allowed time is left for the spread.
    first_s = min(max(MIN_RETRY_AFTER_S, room_in_s), longest_s / 2)
    last_s = min(SPREAD * first_s, longest_s)
    share = min(1.0, (request.priority + position) / PRIORITIES)
    return first_s + share * (last_s - first_s)
