"""Whether a request that is running at an upstream should move to another one."""

import math
import typing

from masticpost_common import clock

from masticpost_gateway.serving import stalls
from masticpost_gateway.state import model

if typing.TYPE_CHECKING:
    from masticpost_gateway.serving import attempts

# Wait after which a request may leave an upstream that is not healthy.
UNHEALTHY_AFTER_S = 0.8
# A silence shorter than this many times the queued prefill time counts as busy.
BUSY_PREFILL_FACTOR = 3.0


def stall_rules(
    req_attempts: "attempts.Attempts",
    upstream: model.Upstream,
    level: str,
    overdue_after_s: float,
    *,
    is_counted: bool,
    silent_after_s: float = math.inf,
) -> tuple[stalls.StallRule, ...]:
    """Return the rules that end a wait for an upstream, so that another can be tried.

    Parameters
    ----------
    req_attempts : attempts.Attempts
        The attempts of the request.
    overdue_after_s : float
        Wait in seconds after which an upstream that is merely slow may be left for a
        faster one.
    is_counted : bool
        Whether the current attempt is already counted in `req_attempts.executions`.
    silent_after_s : float
        Wait in seconds after which an upstream is given up even when there is no other
        to move to, if it has sent nothing to this instance meanwhile and its queued
        work does not explain that. The caller may then still retry in time.
    """
    parts = req_attempts.shared

    def is_failed(waited_s: float) -> bool:
        can_move = may_migrate(req_attempts, level, is_counted=is_counted)
        return can_move and is_unhealthy(req_attempts, upstream)

    def is_overdue(waited_s: float) -> bool:
        can_move = may_migrate(req_attempts, level, is_counted=is_counted)
        return can_move and _first_event_elsewhere_s(req_attempts, level) < waited_s

    def is_silent(waited_s: float) -> bool:
        now = clock.now()
        if parts.chooser.health_of(upstream).last_response_at > now - waited_s:
            return False
        prefill_s = parts.loads.total(upstream.name, now).reading_s
        is_busy = waited_s < BUSY_PREFILL_FACTOR * prefill_s
        return req_attempts.call.route.kind.may_repeat and not is_busy

    return (
        stalls.StallRule(after_s=UNHEALTHY_AFTER_S, condition=is_failed),
        stalls.StallRule(after_s=overdue_after_s, condition=is_overdue),
        stalls.StallRule(after_s=silent_after_s, condition=is_silent),
    )


def is_unhealthy(req_attempts: "attempts.Attempts", upstream: model.Upstream) -> bool:
    """Return whether an upstream is ejected or its run is no longer registered."""
    now = clock.now()
    if req_attempts.shared.chooser.health_of(upstream).is_ejected(now):
        return True
    registered = req_attempts.shared.records.upstreams(now)
    return all(u.incarnation != upstream.incarnation for u in registered)


def may_migrate(
    req_attempts: "attempts.Attempts", level: str, *, is_counted: bool
) -> bool:
    """Return whether the request may be repeated and a healthy upstream is ready."""
    executions = req_attempts.executions if is_counted else req_attempts.executions + 1
    if (
        not req_attempts.call.route.kind.may_repeat
        or executions >= req_attempts.call.route.attempts
    ):
        return False
    now = clock.now()
    if not req_attempts.shared.retries.may_retry(req_attempts.call.service.name, now):
        return False
    return bool(
        req_attempts.shared.chooser.ready_upstreams(
            req_attempts.requirements(level), now
        )
    )


def _first_event_elsewhere_s(req_attempts: "attempts.Attempts", level: str) -> float:
    """Return the expected time to the first event at the best other upstream."""
    prefill = req_attempts.prefill(level)
    if prefill is None:
        return 0.0
    ready = req_attempts.shared.chooser.ready_upstreams(
        req_attempts.requirements(level), clock.now()
    )
    return (
        req_attempts.shared.placement.first_token_s(ready, prefill)
        if ready
        else math.inf
    )
