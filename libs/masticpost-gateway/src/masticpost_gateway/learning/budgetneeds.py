"""What an instance needs, and what a holder keeps and lends, of a version's budget.

A few holders have the budget of all instances, and lend it to whoever has a request for
the version at that moment. Parts that are too small for a single request would be of no
use where they arise.
"""

import enum

from masticpost_gateway.learning import exposure, trialevidence

# Instances that hold the budget of the others. One that ends takes its part with it.
MAX_HOLDERS = 5
MIN_HOLDERS = 2
# Requests of the slack for each holder at least, so that each has some to lend.
SLACK_PER_HOLDER = 5.0
# Part of the budget earned by arrivals that is kept until all requests go to the
# version.
KEPT_SHARE = 0.75
# Time with the full share for which budget is kept.
LAST_S = 2.0
# Requests that a holder keeps at most for sessions that it has lent to.
MAX_RESERVE = 3
# Time for which a loan is left to the request that it was made for.
LOAN_S = 1.0
# Added to a loan, so that the rounded sum does not fall short of one request.
ROUNDING = 1e-6
# Time over which the arrivals are averaged at least.
MIN_AGE_S = 1.0


class Purpose(enum.Enum):
    """What budget is wanted for.

    Sessions that the version runs come before new ones: they would have to change to
    another version.
    """

    BEGIN = "begin"
    GO_ON = "go-on"


def holder_count(bounds: exposure.Bounds) -> int:
    """Return the number of instances that hold the budget of the others."""
    return max(MIN_HOLDERS, min(MAX_HOLDERS, int(bounds.slack / SLACK_PER_HOLDER)))


def kept(row: trialevidence.Trial, now: float) -> float:
    """Return what a holder keeps for the last requests before the deadline.

    These are as many as its part of the arrivals so far lets expect. Its part of the
    slack may be used at once.
    """
    budget = row.budget
    if not budget.is_holder or not budget.bounds.share:
        return 0.0
    share = budget.bounds.share
    slack = budget.bounds.slack / holder_count(budget.bounds)
    earned = share * budget.total + max(0.0, budget.received - slack)
    rate = earned / share / max(MIN_AGE_S, now - row.since)
    left_s = min(max(0.0, row.left_s(now)), LAST_S)
    return min(KEPT_SHARE * earned, (1.0 - share) * rate * left_s)


def available(row: trialevidence.Trial, purpose: Purpose, now: float) -> float:
    """Return what an instance has for a purpose."""
    left = row.budget.left()
    if purpose is Purpose.GO_ON or row.wide_since <= now:
        return left
    return left - kept(row, now) - _reserve(row, now)


def missing(row: trialevidence.Trial, purpose: Purpose, now: float) -> float:
    """Return what an instance lacks for one request, 0 if nothing."""
    lacked = 1.0 - available(row, purpose, now)
    return lacked + ROUNDING if lacked > 0.0 else 0.0


def lend(
    row: trialevidence.Trial, wanted: float, purpose: Purpose, now: float
) -> float:
    """Take what another instance lacks off this one's budget; return it, or 0.

    Less than what the other one lacks would be of no use there.
    """
    if not wanted or available(row, purpose, now) < wanted:
        return 0.0
    if purpose is Purpose.BEGIN:
        row.budget.lent_at.append(now)
    return row.budget.give(wanted, kept=0.0)


def to_spare(row: trialevidence.Trial, now: float) -> float:
    """Return what an instance that is no holder can pass on to one."""
    is_lent = now - row.budget.borrowed_at < LOAN_S
    return max(0.0, row.budget.left() - is_lent)


def _reserve(row: trialevidence.Trial, now: float) -> int:
    """Return the requests kept for sessions that have recently begun with a loan."""
    lent_at = row.budget.lent_at
    while lent_at and now - lent_at[0] > row.budget.session_s:
        lent_at.popleft()
    return min(MAX_RESERVE, len(lent_at))
