"""Selection of an upstream together with the permits that a call to it needs."""

import asyncio
import time

from masticpost_common import clock, errors
from masticpost_rates import waiting
from masticpost_shards import views
from masticpost_text import model
from masticpost_upstream import faults

from masticpost_entry import intake, ratelimits, routing, runtime

POLL_S = 0.1
# Longest wait for the permit of a cold or limited upstream.
WAIT_MAX_S = 2.0


async def find_upstream(
    rt: runtime.Runtime, call: intake.Call, requirements: routing.Requirements
) -> routing.Selection:
    """Return a selection; waits up to `WAIT_MAX_S` for an upstream's permit.

    Raises
    ------
    errors.RefusalError
        ``no_upstream``, ``upstreams_failing``, ``overloaded``, ``upstreams_limited``
        or ``upstreams_cold``; the request was not run by this attempt.
    """
    wait_until = min(call.deadline, time.monotonic() + WAIT_MAX_S)
    wait = waiting.PermitWait(rates=rt.cluster.rates, priority=call.customer.priority)
    while True:
        selection = await _try_find(rt, requirements, wait)
        if selection is None:
            left_s = wait_until - POLL_S - time.monotonic()
            selection = await _wait_for_turn(rt, requirements, wait, left_s)
        if selection is not None:
            return selection
        if time.monotonic() + POLL_S >= wait_until:
            raise errors.refuse(
                503,
                "upstreams_cold",
                "Every upstream is in cold start and at its limit.",
                retry_after_s=routing.RETRY_AFTER_S,
            )
        await asyncio.sleep(wait.pause_s(POLL_S))


async def _try_find(
    rt: runtime.Runtime, requirements: routing.Requirements, wait: waiting.PermitWait
) -> routing.Selection | None:
    """Return a selection, None if no candidate has the permits that it needs."""
    now = clock.now()
    upstreams = [
        up
        for up in routing.available_upstreams(rt, requirements)
        if wait.rates.may_ask(ratelimits.run_of(up), wait.priority, now)
    ]
    while upstreams:
        chosen = routing.choose(rt, requirements, upstreams)
        selection = await acquire_upstream(rt, chosen, wait)
        if selection is not None:
            return selection
        upstreams = [up for up in upstreams if up.name != chosen.name]
    return None


async def _wait_for_turn(
    rt: runtime.Runtime,
    requirements: routing.Requirements,
    wait: waiting.PermitWait,
    left_s: float,
) -> routing.Selection | None:
    """Return a selection of an upstream whose rate permit has come, None to wait on.

    Raises
    ------
    errors.RefusalError
        ``upstreams_limited`` if there will be none within `left_s` seconds.
    """
    held = {
        ratelimits.run_of(up): up
        for up in routing.available_upstreams(rt, requirements)
        if wait.rates.is_limited(ratelimits.run_of(up))
    }
    try:
        found = await wait.turn(held, clock.now() + left_s)
    except waiting.NoPermitInTimeError as exc:
        raise errors.refuse(
            503,
            "upstreams_limited",
            "Every upstream is at the rate that it names.",
            retry_after_s=exc.return_in_s,
        ) from exc
    if found is None:
        return None
    run, rate_permit = found
    selection = await _acquire_cold(rt, held[run])
    if selection is not None:
        selection.rate_permit = rate_permit
    return selection


async def acquire_upstream(
    rt: runtime.Runtime, up: model.Upstream, wait: waiting.PermitWait | None = None
) -> routing.Selection | None:
    """Return a selection of an upstream, None without the permits that it needs.

    A request that does not wait for its turn needs no `wait`.
    """
    if wait is None:
        wait = waiting.PermitWait(rates=rt.cluster.rates, priority=0)
    selection = await _acquire_cold(rt, up)
    if selection is None:
        return None
    selection.rate_permit = await wait.acquire(ratelimits.run_of(up))
    if selection.rate_permit is None:
        release_unused(rt, selection)
        return None
    return selection


def release_unused(rt: runtime.Runtime, selection: routing.Selection) -> None:
    """Release the permit of a selection that is not used."""
    if selection.permit is not None:
        rt.cluster.permits.release(selection.permit)


async def _acquire_cold(
    rt: runtime.Runtime, up: model.Upstream
) -> routing.Selection | None:
    """Return a selection of an upstream, None if it is cold and has no free permit."""
    state = rt.upstream_states.get(up.name)
    if rt.cluster.shared_view.is_warm(up.name):
        return routing.Selection(upstream=up, state=state)
    permit = await rt.cluster.permits.acquire(
        views.warmth_key(up.name), up.cold.max_concurrent
    )
    if permit is None:
        return None
    return routing.Selection(upstream=up, state=state, permit=permit)


def check_permit(selection: routing.Selection) -> None:
    """Check that the permits may still be used.

    Raises
    ------
    faults.UpstreamError
        ``COLD`` or ``NO_PERMIT`` when the time in which the use of a permit must begin
        has passed.
    """
    rate_permit = selection.rate_permit
    if rate_permit is not None and not rate_permit.is_valid():
        raise faults.UpstreamError(
            kind=faults.FaultKind.NO_PERMIT, upstream=selection.upstream.name
        )
    permit = selection.permit
    if permit is None or time.monotonic() <= permit.use_by:
        return
    raise faults.UpstreamError(
        kind=faults.FaultKind.COLD,
        upstream=selection.upstream.name,
        message="permit expired before it was used",
    )
