"""Rank of a request for the queue of an upstream."""

from masticpost_overload import classes, demand

RANKS = 10


def rank(
    request: demand.Demand, priorities: classes.Classes, *, yields: bool = False
) -> int:
    """Return the urgency of a request from 0, the most urgent, to 9.

    Requests of a more urgent priority always rank first. Within a priority, the ones
    with the least slack do. A request that is late already is ranked by its deadline:
    one that can still be on time is worth more.

    Parameters
    ----------
    yields : bool
        Whether the customer is over its share: the request ranks one lower within its
        priority, and no more than that, so that it is not starved.
    """
    width = max(1, RANKS // len(priorities.priorities))
    first = min(priorities.rank(request.priority) * width, RANKS - 1)
    # The last rank of a priority is for customers over their share.
    levels = max(1, width - 1)
    within = min(int(_slack_share(request) * levels), levels - 1) + yields
    return min(first + min(within, width - 1), RANKS - 1)


def _slack_share(request: demand.Demand) -> float:
    """Return the slack as a share of the time that the request has, 0 to 1."""
    if request.has_begun:
        return 0.0
    slack_s, whole_s = request.slack_s, request.objective_s
    if slack_s < 0:
        slack_s, whole_s = request.deadline_slack_s, request.deadline_left_s
    if whole_s <= 0:
        return 0.0
    return min(1.0, max(0.0, slack_s / whole_s))
