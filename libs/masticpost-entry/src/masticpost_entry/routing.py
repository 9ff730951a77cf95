"""From a version or plain service to an upstream that may take the request now."""

import asyncio
import time
import urllib.parse

import attrs
from masticpost_common import errors
from masticpost_decide import choice, tracker, versionchoice
from masticpost_shards import permits, views
from masticpost_text import model
from masticpost_upstream import faults

from masticpost_entry import intake, runtime, subset

COLD_POLL_S = 0.1
CUT_GRACE_S = 0.05
COLD_WAIT_MAX_S = 2.0
OVERLOAD_FACTOR = 2.0
RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class Need:
    """What is to be routed.

    Attributes
    ----------
    target : str
        Version of a model, or name of a plain service.
    policy : str
        Entry of the choice registry.
    prefix : str
        Digest of the prompt's beginning, empty for none.
    tried : set of str
        Upstreams that failed this request already.
    among : frozenset of str or None
        The only upstreams that may be chosen; None for no such bound.
    """

    target: str
    policy: str
    prefix: str = ""
    tried: set[str] = attrs.field(factory=set)
    among: frozenset[str] | None = None


@attrs.define(kw_only=True)
class Place:
    """An upstream that was chosen, and the permit for it if it is cold."""

    upstream: model.Upstream
    track: tracker.UpstreamState
    permit: permits.Permit | None = None


def check_version(
    rt: runtime.Runtime, call: intake.Call, version: str, *, in_session: bool
) -> None:
    """Refuse new work on a version that the text in force does not allow."""
    cust = rt.text.customers.get(call.customer.name)
    check = versionchoice.may_continue if in_session else versionchoice.may_start
    if cust is not None and check(rt.text, cust, version):
        return
    raise errors.refuse(
        503,
        "version_withdrawn",
        "The version takes no new work any more.",
        retry_after_s=RETRY_AFTER_S,
    )


def is_usable(rt: runtime.Runtime, up: model.Upstream) -> bool:
    """Tell whether text and platform let an upstream take new work."""
    return not (
        up.draining
        or rt.text.domains[up.domain].out
        or urllib.parse.urlsplit(up.url).netloc in rt.leaving_upstreams
    )


def usable_upstreams(rt: runtime.Runtime, target: str) -> list[model.Upstream]:
    """Return the upstreams of this instance's subset that may take new work."""
    now = tracker.now()
    found = []
    for up in rt.pools.of(target):
        usable = is_usable(rt, up)
        rt.tracks.get(up.name).set_usable(usable, now)
        if usable:
            found.append(up)
        if len(found) >= subset.SIZE:
            break
    return found


async def find_place(rt: runtime.Runtime, call: intake.Call, need: Need) -> Place:
    """Return a place; waits a little for a cold upstream's permit.

    Raises
    ------
    errors.RefusalError
        ``no_upstream``, ``upstreams_failing``, ``overloaded`` or
        ``upstreams_cold``; the request was not run by this attempt.
    """
    wait_until = min(call.deadline, time.monotonic() + COLD_WAIT_MAX_S)
    while True:
        place = await _try_place(rt, need)
        if place is not None:
            return place
        if time.monotonic() + COLD_POLL_S >= wait_until:
            raise errors.refuse(
                503,
                "upstreams_cold",
                "Every upstream is in cold start and busy.",
                retry_after_s=RETRY_AFTER_S,
            )
        await asyncio.sleep(COLD_POLL_S)


async def _try_place(rt: runtime.Runtime, need: Need) -> Place | None:
    """Return a place, None when only cold upstreams without permits are left."""
    upstreams = open_upstreams(rt, need)
    while upstreams:
        chosen = choose(rt, need, upstreams)
        place = await place_on(rt, chosen)
        if place is not None:
            return place
        upstreams = [up for up in upstreams if up.name != chosen.name]
    return None


async def place_on(rt: runtime.Runtime, up: model.Upstream) -> Place | None:
    """Return a place on an upstream, None when it is cold and has no permit left."""
    track = rt.tracks.get(up.name)
    if rt.agreed.views.is_warm(up.name):
        return Place(upstream=up, track=track)
    permit = await rt.agreed.permits.acquire(
        views.warmth_key(up.name), up.cold.max_concurrent
    )
    if permit is None:
        return None
    return Place(upstream=up, track=track, permit=permit)


def open_upstreams(rt: runtime.Runtime, need: Need) -> list[model.Upstream]:
    """Return the upstreams with room that may take a request now.

    Raises
    ------
    errors.RefusalError
        ``no_upstream``, ``upstreams_failing`` or ``overloaded``.
    """
    usable = usable_upstreams(rt, need.target)
    if need.among is not None:
        usable = [up for up in usable if up.name in need.among]
    fresh = [up for up in usable if up.name not in need.tried]
    if not fresh:
        raise errors.refuse(
            503,
            "no_upstream",
            "No upstream that may take the request is left.",
            retry_after_s=RETRY_AFTER_S,
        )
    now = tracker.now()
    ready = [up for up in fresh if not rt.tracks.get(up.name).is_blocked(now)]
    if not ready:
        raise errors.refuse(
            503,
            "upstreams_failing",
            "Every upstream that could take the request fails at present.",
            retry_after_s=RETRY_AFTER_S,
        )
    roomy = [up for up in ready if _has_room(rt, up, now)]
    if not roomy:
        rt.gate.record_overload()
        raise errors.refuse(
            503,
            "overloaded",
            "Every upstream has more work than it can take.",
            retry_after_s=RETRY_AFTER_S,
        )
    return roomy


def _has_room(rt: runtime.Runtime, up: model.Upstream, now: float) -> bool:
    return rt.tracks.get(up.name).load(now) < OVERLOAD_FACTOR * up.max_concurrent


def choose(
    rt: runtime.Runtime, need: Need, upstreams: list[model.Upstream]
) -> model.Upstream:
    """Return the upstream that the need's policy takes."""
    now = tracker.now()
    by_name = {up.name: up for up in upstreams}
    candidates = [_candidate(rt, need, up, now) for up in upstreams]
    chosen = choice.POLICIES.get(need.policy)(candidates, rt.choices)
    return by_name[chosen.name]


def _candidate(
    rt: runtime.Runtime, need: Need, up: model.Upstream, now: float
) -> choice.Candidate:
    track = rt.tracks.get(up.name)
    is_warm = rt.agreed.views.is_warm(up.name)
    return choice.Candidate(
        name=up.name,
        load=track.load(now),
        outstanding=track.outstanding,
        capacity=up.max_concurrent if is_warm else up.cold.max_concurrent,
        ramp_factor=track.ramp_factor(now),
        has_prefix=need.prefix in track.prefixes,
        is_same_domain=up.domain == rt.domain,
    )


def check_permit(place: Place) -> None:
    """Refuse to use a permit whose time to begin has run out."""
    permit = place.permit
    if permit is None or time.monotonic() <= permit.use_by:
        return
    raise faults.UpstreamError(
        kind=faults.FaultKind.COLD,
        upstream=place.upstream.name,
        message="the permit ran out before it was used",
    )


def begin(rt: runtime.Runtime, place: Place, need: Need) -> None:
    """Count a dispatch."""
    place.track.record_dispatch(need.prefix)


def succeed(rt: runtime.Runtime, place: Place, first_token_s: float) -> None:
    """Count an answer; an upstream that is suddenly slow is told to be cold."""
    slow = place.track.is_suddenly_slow(first_token_s)
    place.track.record_success(first_token_s)
    rt.gate.record_success()
    rt.meters.attempts.labels(place.upstream.name, "ok").inc()
    _end(rt, place, is_success=not slow)
    if slow:
        _tell_cold(rt, place)


def fail(
    rt: runtime.Runtime, place: Place, need: Need, exc: faults.UpstreamError
) -> None:
    """Count a failed call and keep the request away from the upstream."""
    now = tracker.now()
    rt.meters.attempts.labels(place.upstream.name, exc.kind.value).inc()
    _end(rt, place, is_success=False)
    if exc.kind is faults.FaultKind.REJECTED:
        place.track.consecutive_failures = 0
        return
    need.tried.add(place.upstream.name)
    if exc.kind is faults.FaultKind.NOT_LOADED:
        return
    if exc.kind is faults.FaultKind.OVERLOADED:
        rt.gate.record_overload()
        return
    if exc.kind is faults.FaultKind.REFUSED:
        place.track.record_refusal(now)
        _tell_cold(rt, place)
        return
    if exc.kind is faults.FaultKind.CUT:
        place.track.record_cut(now)
        rt.agreed.views.add_future(_judge_cut(rt, place, now, place.track.outstanding))
        return
    if exc.kind is faults.FaultKind.COLD:
        _tell_cold(rt, place)
        return
    place.track.record_failure(now)


def cancel(rt: runtime.Runtime, place: Place) -> None:
    """Count a call whose caller went away."""
    rt.meters.attempts.labels(place.upstream.name, "cancelled").inc()
    _end(rt, place, is_success=False)


def _end(rt: runtime.Runtime, place: Place, *, is_success: bool) -> None:
    place.track.record_end()
    if place.permit is None:
        return
    rt.agreed.permits.release(
        place.permit,
        is_success=is_success,
        successes=place.upstream.cold.successes,
        seconds=place.upstream.cold.seconds,
    )


async def _judge_cut(
    rt: runtime.Runtime, place: Place, since: float, others: int
) -> None:
    """Tell that an upstream is cold if it was not one line alone that was cut.

    A crash cuts every call at work there; a call that is sent meanwhile is refused.
    """
    if others:
        await asyncio.sleep(CUT_GRACE_S)
    if place.track.may_have_crashed(since, others):
        _tell_cold(rt, place)


def _tell_cold(rt: runtime.Runtime, place: Place) -> None:
    if rt.agreed.views.is_warm(place.upstream.name):
        rt.agreed.views.add_future(rt.agreed.views.report_cold(place.upstream.name))
