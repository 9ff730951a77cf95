"""Whether a request had better leave the upstream at work on it for another."""

import math
import typing

from masticpost_common import clock

from masticpost_gateway.serving import stalls
from masticpost_gateway.state import model

if typing.TYPE_CHECKING:
    from masticpost_gateway.serving import attempts

DOUBT_AFTER_S = 0.8
BUSY_TIMES = 3.0


def stall_rules(
    run: "attempts.Attempts",
    upstream: model.Upstream,
    level: str,
    overdue_after_s: float,
    *,
    is_counted: bool,
    silent_after_s: float = math.inf,
) -> tuple[stalls.StallRule, ...]:
    """Return the reasons to leave an upstream for another.

    Parameters
    ----------
    run : attempts.Attempts
        The tries of the request.
    overdue_after_s : float
        Wait after which one that only is slow may be left for a faster one.
    is_counted : bool
        Whether the run that would be left is counted in `run.runs`.
    silent_after_s : float
        Wait after which one that has answered nothing else meanwhile, and is not
        known to be busy, is given up also when there is no other: the caller may
        come back in time.
    """
    parts = run.shared

    def may_leave(waited_s: float) -> bool:
        moves = may_move(run, level, is_counted=is_counted)
        return moves and is_doubtful(run, upstream)

    def is_overdue(waited_s: float) -> bool:
        moves = may_move(run, level, is_counted=is_counted)
        return moves and _first_elsewhere_s(run, level) < waited_s

    def is_silent(waited_s: float) -> bool:
        now = clock.now()
        if parts.chooser.health_of(upstream).last_response_at > now - waited_s:
            return False
        reading_s = parts.loads.of(upstream.name, now).reading_s
        is_explained = waited_s < BUSY_TIMES * reading_s
        return run.call.route.kind.may_repeat and not is_explained

    return (
        stalls.StallRule(after_s=DOUBT_AFTER_S, holds=may_leave),
        stalls.StallRule(after_s=overdue_after_s, holds=is_overdue),
        stalls.StallRule(after_s=silent_after_s, holds=is_silent),
    )


def is_doubtful(run: "attempts.Attempts", upstream: model.Upstream) -> bool:
    """Tell whether other signs than silence speak against an upstream."""
    now = clock.now()
    if run.shared.chooser.health_of(upstream).is_ejected(now):
        return True
    known = run.shared.records.upstreams(now)
    return all(u.incarnation != upstream.incarnation for u in known)


def may_move(run: "attempts.Attempts", level: str, *, is_counted: bool) -> bool:
    """Tell whether another sound upstream would take the request now."""
    runs = run.runs if is_counted else run.runs + 1
    if not run.call.route.kind.may_repeat or runs >= run.call.route.attempts:
        return False
    now = clock.now()
    if not run.shared.retries.may_repeat(run.call.service.name, now):
        return False
    return bool(run.shared.chooser.ready(run.wanted(level), now))


def _first_elsewhere_s(run: "attempts.Attempts", level: str) -> float:
    """Return the expected wait at the best of the other sound upstreams."""
    reading = run.reading(level)
    if reading is None:
        return 0.0
    ready = run.shared.chooser.ready(run.wanted(level), clock.now())
    return run.shared.places.first_s(ready, reading) if ready else math.inf
