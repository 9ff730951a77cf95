"""Quarantine of requests that may crash upstreams, and trials of suspected requests.

A request that was running when an upstream's connection was cut is a suspected request.
It runs again only as a trial: an upstream runs at most one suspected request at a time,
and a suspected request runs at most once at a time, so a second crash identifies the
request that caused it. After the second crash the request is refused everywhere.

A stream resumes where it was cut. Once it receives further tokens, whatever crashed the
first upstream has not crashed this one. So its trial ends then, and the next suspected
request's trial can begin long before the stream ends.
"""

import asyncio
import collections.abc
import contextlib
import typing

import attrs
from masticpost_common import errors
from masticpost_decide import tracker
from masticpost_shards import permits
from masticpost_upstream import faults

from masticpost_entry import deadlyparts, healthchecks, intake, routing, runtime

if typing.TYPE_CHECKING:
    from masticpost_entry import attempts

TRIAL_POLL_S = 0.1
RETRY_AFTER_S = 2.0


def check_quarantine(rt: runtime.Runtime, fingerprint: str) -> None:
    """Refuse a quarantined request; raises `errors.RefusalError`."""
    if rt.cluster.shared_view.is_quarantined(fingerprint):
        raise errors.refuse(
            422,
            "quarantined",
            "This request may have crashed several upstreams and is not run again.",
        )


def check_parts(rt: runtime.Runtime, parts: tuple[str, ...]) -> None:
    """Refuse a request with a quarantined part, unless it is the one to be tried.

    Raises
    ------
    errors.RefusalError
        ``part_quarantined``.
    """
    retry_after_s = rt.cluster.deadly_parts.retry_after_s(parts)
    if retry_after_s:
        raise deadlyparts.refusal(retry_after_s)


def clear_parts(rt: runtime.Runtime, job: "attempts.Job") -> None:
    """Note an answer that is complete or has gone on, which clears the parts."""
    if not job.are_parts_cleared:
        job.are_parts_cleared = True
        rt.cluster.deadly_parts.note_answer(job.parts)


async def report_part_crash(
    rt: runtime.Runtime, job: "attempts.Job", exc: faults.UpstreamError
) -> None:
    """Report the parts of a request whose connection was cut, if the engine is down."""
    upstream = rt.text.upstreams.get(exc.upstream)
    if not exc.is_possible_crash or not job.parts or upstream is None:
        return
    if await healthchecks.is_healthy(rt, upstream):
        return
    rt.cluster.deadly_parts.report_crash(
        job.fingerprint, job.parts, exc.upstream, survived=job.are_parts_cleared
    )


@attrs.define(kw_only=True)
class Trial:
    """One attempt of a request, with trial permits if the request is suspected.

    Attributes
    ----------
    pool : permits.Permits
        Source of the permits.
    held : list of permits.Permit
        Trial permits to be released.
    """

    pool: permits.Permits
    held: list[permits.Permit] = attrs.field(factory=list)

    def end(self) -> None:
        """Release the permits; the attempt itself may continue."""
        for permit in self.held:
            self.pool.release(permit)
        self.held.clear()


@contextlib.asynccontextmanager
async def trial(
    rt: runtime.Runtime,
    call: intake.Call,
    fingerprint: str,
    selection: routing.Selection,
) -> collections.abc.AsyncIterator[Trial]:
    """Hold the trial permits of a suspected request while the block runs.

    A request that is not suspected runs without permits.

    Raises
    ------
    errors.RefusalError
        ``quarantined``, or ``suspect_waits`` when no permit is free in time.
    faults.UpstreamError
        ``REFUSED`` when the upstream is not healthy before the trial.
    """
    trial_run = Trial(pool=rt.cluster.permits)
    try:
        if rt.cluster.shared_view.crash_count(fingerprint):
            await _acquire(rt, call, fingerprint, selection, trial_run)
        yield trial_run
    finally:
        trial_run.end()


async def _acquire(
    rt: runtime.Runtime,
    call: intake.Call,
    fingerprint: str,
    selection: routing.Selection,
    trial_run: Trial,
) -> None:
    for name in (f"suspect:{fingerprint}", f"trial:{selection.upstream.name}"):
        permit = None
        while permit is None:
            check_quarantine(rt, fingerprint)
            _check_remaining_time(call)
            permit = await trial_run.pool.acquire(name, 1)
            if permit is None:
                await asyncio.sleep(TRIAL_POLL_S)
        trial_run.held.append(permit)
    check_quarantine(rt, fingerprint)
    await _check_health(rt, selection)


async def _check_health(rt: runtime.Runtime, selection: routing.Selection) -> None:
    """Raise when the engine is already down.

    It would cut the connection of any request, and the suspected request would be
    blamed for the crash.
    """
    if await healthchecks.is_healthy(rt, selection.upstream):
        return
    selection.state.record_refusal(tracker.now())
    raise faults.UpstreamError(
        kind=faults.FaultKind.REFUSED,
        upstream=selection.upstream.name,
        message="health check failed before the trial",
    )


def _check_remaining_time(call: intake.Call) -> None:
    if call.remaining_s() <= TRIAL_POLL_S:
        raise errors.refuse(
            503,
            "suspect_waits",
            "This request may have crashed an upstream and must wait for its trial.",
            retry_after_s=RETRY_AFTER_S,
        )


async def report_crash(
    rt: runtime.Runtime, fingerprint: str, exc: faults.UpstreamError
) -> None:
    """Report a possible crash; refuse the request if it is quarantined as a result."""
    if not exc.is_possible_crash:
        return
    await rt.cluster.shared_view.report_crash(fingerprint, exc.upstream)
    check_quarantine(rt, fingerprint)
