"""Messages between instances about the rates that upstreams name."""

import math

import attrs
from masticpost_peers import messages

from masticpost_rates import granting, header, statements


@attrs.frozen(kw_only=True)
class RateRow:
    """A statement, with ages in seconds instead of times of one instance's clock.

    Attributes
    ----------
    rate : float or None
        Requests per second; None for no limit.
    """

    run: str
    rate: float | None
    sent_age_s: float
    seen_age_s: float
    told_by: str


@messages.message("upstream-rates")
@attrs.frozen(kw_only=True)
class RateNews:
    """What the sender knows of the rates of some upstreams."""

    rows: list[RateRow]


@messages.message("rate-permit-ask")
@attrs.frozen(kw_only=True)
class PermitAsk:
    """Asks for a permit for one request to the upstream of `row`."""

    row: RateRow
    priority: int
    place: str = ""
    wait_s: float = 0.0


@messages.message("rate-permit-reply")
@attrs.frozen(kw_only=True)
class PermitReply:
    """Decision on a permit, and what the granter knows of the rate."""

    is_granted: bool
    permit_in_s: float
    turn_in_s: float
    return_in_s: float
    row: RateRow


def to_row(run: str, statement: statements.Statement, now: float) -> RateRow:
    """Return the row that tells of a statement."""
    return RateRow(
        run=run,
        rate=statement.rate,
        sent_age_s=now - statement.sent_at,
        seen_age_s=now - statement.seen_at,
        told_by=statement.told_by,
    )


def to_statement(row: RateRow, now: float) -> statements.Statement | None:
    """Return the statement of a row, None if a value is out of range."""
    if row.rate is not None and not header.is_valid(row.rate):
        return None
    if not 0 <= row.seen_age_s <= row.sent_age_s < math.inf:
        return None
    return statements.Statement(
        rate=row.rate,
        sent_at=now - row.sent_age_s,
        seen_at=now - row.seen_age_s,
        told_by=row.told_by,
    )


def to_reply(decision: granting.Decision, row: RateRow) -> PermitReply:
    """Return the message with a decision."""
    return PermitReply(
        is_granted=decision.is_granted,
        permit_in_s=decision.permit_in_s,
        turn_in_s=decision.turn_in_s,
        return_in_s=decision.return_in_s,
        row=row,
    )


def to_decision(reply: PermitReply) -> granting.Decision | None:
    """Return the decision in a reply, None if a value is out of range."""
    times = (reply.permit_in_s, reply.turn_in_s, reply.return_in_s)
    if not all(0 <= value < math.inf for value in times):
        return None
    return granting.Decision(
        is_granted=reply.is_granted,
        permit_in_s=reply.permit_in_s,
        turn_in_s=reply.turn_in_s,
        return_in_s=reply.return_in_s,
    )
