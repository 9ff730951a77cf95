"""Upstreams that can take a call, the choice among them, and how calls end."""

import asyncio
import urllib.parse

import attrs
from masticpost_common import errors
from masticpost_decide import choice, tracker, versionchoice
from masticpost_rates import permits as ratepermits
from masticpost_shards import permits
from masticpost_text import model
from masticpost_upstream import faults

from masticpost_entry import intake, runtime, subset

# Time to wait for the cuts of other calls before cuts are judged as a crash.
CUT_GRACE_S = 0.05
# Load, as a multiple of `max_concurrent`, from which on an upstream takes no request.
OVERLOAD_FACTOR = 2.0
RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class Requirements:
    """Requirements that an upstream must meet for a request.

    Attributes
    ----------
    target : str
        Name of a version or of a plain service.
    policy : str
        Name of a policy in `choice.POLICIES`.
    prefix : str
        Digest of the beginning of the prompt, empty for none.
    tried : set of str
        Upstreams that already failed this request.
    allowed : frozenset of str or None
        Names of the only upstreams that may be chosen; None allows all.
    """

    target: str
    policy: str
    prefix: str = ""
    tried: set[str] = attrs.field(factory=set)
    allowed: frozenset[str] | None = None


@attrs.define(kw_only=True)
class Selection:
    """A selected upstream, and the permits for it.

    Attributes
    ----------
    permit : permits.Permit or None
        Permit for an upstream in cold start.
    rate_permit : ratepermits.Permit or None
        Permit for an upstream that names a rate, for one request.
    """

    upstream: model.Upstream
    state: tracker.UpstreamState
    permit: permits.Permit | None = None
    rate_permit: ratepermits.Permit | None = None


def check_version(
    rt: runtime.Runtime, call: intake.Call, version: str, *, in_session: bool
) -> None:
    """Refuse new work on a version that the text in force does not allow.

    Raises
    ------
    errors.RefusalError
        ``version_withdrawn``; the request was not run by this attempt.
    """
    cust = rt.text.customers.get(call.customer.name)
    check = versionchoice.may_continue if in_session else versionchoice.may_start
    if cust is not None and check(rt.text, cust, version):
        return
    raise errors.refuse(
        503,
        "version_withdrawn",
        "The version no longer takes new work.",
        retry_after_s=RETRY_AFTER_S,
    )


def is_usable(rt: runtime.Runtime, up: model.Upstream) -> bool:
    """Return whether the text and the platform allow new work on an upstream."""
    return not (
        up.draining
        or rt.text.domains[up.domain].out
        or urllib.parse.urlsplit(up.url).netloc in rt.leaving_upstreams
    )


def usable_upstreams(rt: runtime.Runtime, target: str) -> list[model.Upstream]:
    """Return the upstreams of this instance's subset that may take new work.

    Also records in the state of each upstream looked at whether it is usable.
    """
    now = tracker.now()
    found = []
    for up in rt.pools.of(target):
        usable = is_usable(rt, up)
        rt.upstream_states.get(up.name).set_usable(usable, now)
        if usable:
            found.append(up)
        if len(found) >= subset.SIZE:
            break
    return found


def available_upstreams(
    rt: runtime.Runtime, requirements: Requirements
) -> list[model.Upstream]:
    """Return the upstreams that can take a request now.

    Raises
    ------
    errors.RefusalError
        ``no_upstream``, ``upstreams_failing`` or ``overloaded``.
    """
    usable = usable_upstreams(rt, requirements.target)
    if requirements.allowed is not None:
        usable = [up for up in usable if up.name in requirements.allowed]
    untried = [up for up in usable if up.name not in requirements.tried]
    if not untried:
        raise errors.refuse(
            503,
            "no_upstream",
            "No upstream is left that may take the request.",
            retry_after_s=RETRY_AFTER_S,
        )
    now = tracker.now()
    ready = [
        up for up in untried if not rt.upstream_states.get(up.name).is_blocked(now)
    ]
    if not ready:
        raise errors.refuse(
            503,
            "upstreams_failing",
            "Every upstream that could take the request is failing.",
            retry_after_s=RETRY_AFTER_S,
        )
    with_capacity = [up for up in ready if _has_capacity(rt, up, now)]
    if not with_capacity:
        rt.admission_control.record_overload()
        raise errors.refuse(
            503,
            "overloaded",
            "Every upstream is overloaded.",
            retry_after_s=RETRY_AFTER_S,
        )
    return with_capacity


def _has_capacity(rt: runtime.Runtime, up: model.Upstream, now: float) -> bool:
    return (
        rt.upstream_states.get(up.name).load(now) < OVERLOAD_FACTOR * up.max_concurrent
    )


def choose(
    rt: runtime.Runtime, requirements: Requirements, upstreams: list[model.Upstream]
) -> model.Upstream:
    """Return the upstream that the policy chooses."""
    now = tracker.now()
    by_name = {up.name: up for up in upstreams}
    candidates = [_candidate(rt, requirements, up, now) for up in upstreams]
    chosen = choice.POLICIES.get(requirements.policy)(candidates, rt.choice_context)
    return by_name[chosen.name]


def _candidate(
    rt: runtime.Runtime, requirements: Requirements, up: model.Upstream, now: float
) -> choice.Candidate:
    state = rt.upstream_states.get(up.name)
    is_warm = rt.cluster.shared_view.is_warm(up.name)
    return choice.Candidate(
        name=up.name,
        load=state.load(now),
        outstanding=state.outstanding,
        capacity=up.max_concurrent if is_warm else up.cold.max_concurrent,
        ramp_factor=state.ramp_factor(now),
        has_prefix=requirements.prefix in state.prefixes,
        is_same_domain=up.domain == rt.domain,
    )


def record_dispatch(
    rt: runtime.Runtime, selection: Selection, requirements: Requirements
) -> None:
    """Record that the request is sent to the selected upstream."""
    selection.state.record_dispatch(requirements.prefix)


def record_success(
    rt: runtime.Runtime, selection: Selection, first_token_s: float
) -> None:
    """Record an answer; a suddenly slow upstream is reported as cold."""
    is_slow = selection.state.is_suddenly_slow(first_token_s)
    selection.state.record_success(first_token_s)
    rt.admission_control.record_success()
    rt.meters.attempts.labels(selection.upstream.name, "ok").inc()
    _record_end(rt, selection, is_success=not is_slow)
    if is_slow:
        _report_cold(rt, selection)


def record_failure(
    rt: runtime.Runtime,
    selection: Selection,
    requirements: Requirements,
    exc: faults.UpstreamError,
) -> None:
    """Record a failed call and exclude the upstream from further attempts."""
    now = tracker.now()
    rt.meters.attempts.labels(selection.upstream.name, exc.kind.value).inc()
    _record_end(rt, selection, is_success=False)
    if exc.kind is faults.FaultKind.NO_PERMIT:
        return
    if exc.kind is faults.FaultKind.REJECTED:
        selection.state.consecutive_failures = 0
        return
    requirements.tried.add(selection.upstream.name)
    if exc.kind is faults.FaultKind.NOT_LOADED:
        return
    if exc.kind is faults.FaultKind.OVERLOADED:
        rt.admission_control.record_overload()
        return
    if exc.kind is faults.FaultKind.REFUSED:
        selection.state.record_refusal(now)
        _report_cold(rt, selection)
        return
    if exc.kind is faults.FaultKind.CUT:
        selection.state.record_cut(now)
        rt.cluster.shared_view.add_future(
            _report_if_crashed(rt, selection, now, selection.state.outstanding)
        )
        return
    if exc.kind is faults.FaultKind.COLD:
        _report_cold(rt, selection)
        return
    selection.state.record_failure(now)


def record_cancellation(rt: runtime.Runtime, selection: Selection) -> None:
    """Record a call whose caller disconnected."""
    rt.meters.attempts.labels(selection.upstream.name, "cancelled").inc()
    _record_end(rt, selection, is_success=False)


def _record_end(rt: runtime.Runtime, selection: Selection, *, is_success: bool) -> None:
    selection.state.record_end()
    if selection.permit is None:
        return
    rt.cluster.permits.release(
        selection.permit,
        is_success=is_success,
        successes=selection.upstream.cold.successes,
        seconds=selection.upstream.cold.seconds,
    )


async def _report_if_crashed(
    rt: runtime.Runtime, selection: Selection, since: float, others: int
) -> None:
    """Report an upstream as cold if cut connections look like a crash.

    A crash cuts every call in progress there, a lost connection only one. Calls sent
    after a crash are refused. `since` is the monotonic time of the first cut, `others`
    the number of other calls in progress then.
    """
    if others:
        await asyncio.sleep(CUT_GRACE_S)
    if selection.state.may_have_crashed(since, others):
        _report_cold(rt, selection)


def _report_cold(rt: runtime.Runtime, selection: Selection) -> None:
    if rt.cluster.shared_view.is_warm(selection.upstream.name):
        rt.cluster.shared_view.add_future(
            rt.cluster.shared_view.report_cold(selection.upstream.name)
        )
