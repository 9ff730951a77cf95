"""Requests that may crash upstreams: quarantine, and trials one at a time.

A request that was at work when an upstream's connection was cut is a suspect. A
suspect runs again only alone among suspects on an upstream, and never twice at a
time, so that a second crash tells which request it was. After the second one the
request is refused everywhere.

A stream goes on from where it was cut. Once its next tokens come, what crashed the
upstream there did not crash this one: the trial is over, and the next suspect's begins,
long before the stream ends.
"""

import asyncio
import collections.abc
import contextlib

import attrs
from masticpost_common import errors
from masticpost_decide import tracker
from masticpost_shards import permits
from masticpost_upstream import faults

from masticpost_entry import intake, routing, runtime

TRIAL_POLL_S = 0.1
RETRY_AFTER_S = 2.0


def check(rt: runtime.Runtime, fingerprint: str) -> None:
    """Refuse a request that crashed too many upstreams."""
    if rt.agreed.views.is_quarantined(fingerprint):
        raise errors.refuse(
            422,
            "quarantined",
            "This request crashed the upstreams that ran it and is not run again.",
        )


@attrs.define(kw_only=True)
class Trial:
    """A run of a request; a suspect's holds trial permits."""

    pool: permits.Permits
    held: list[permits.Permit] = attrs.field(factory=list)

    def end(self) -> None:
        """Return the permits; the run may go on."""
        for permit in self.held:
            self.pool.release(permit)
        self.held.clear()


@contextlib.asynccontextmanager
async def trial(
    rt: runtime.Runtime, call: intake.Call, fingerprint: str, place: routing.Place
) -> collections.abc.AsyncIterator[Trial]:
    """Hold the trial permits of a suspect while it runs; others just run."""
    run = Trial(pool=rt.agreed.permits)
    try:
        if rt.agreed.views.crash_count(fingerprint):
            await _acquire(rt, call, fingerprint, place, run)
        yield run
    finally:
        run.end()


async def _acquire(
    rt: runtime.Runtime,
    call: intake.Call,
    fingerprint: str,
    place: routing.Place,
    run: Trial,
) -> None:
    for name in (f"suspect:{fingerprint}", f"trial:{place.upstream.name}"):
        permit = None
        while permit is None:
            check(rt, fingerprint)
            _check_time(call)
            permit = await run.pool.acquire(name, 1)
            if permit is None:
                await asyncio.sleep(TRIAL_POLL_S)
        run.held.append(permit)
    check(rt, fingerprint)
    await _check_health(rt, place)


async def _check_health(rt: runtime.Runtime, place: routing.Place) -> None:
    """Keep a suspect from an engine that is down already.

    It would cut the suspect as it cuts everything, and the suspect would be blamed.
    """
    if await rt.clients.engines.is_healthy(place.upstream.url.rstrip("/")):
        return
    place.track.record_refusal(tracker.now())
    raise faults.UpstreamError(
        kind=faults.FaultKind.REFUSED,
        upstream=place.upstream.name,
        message="not healthy before a trial",
    )


def _check_time(call: intake.Call) -> None:
    if call.left_s() <= TRIAL_POLL_S:
        raise errors.refuse(
            503,
            "suspect_waits",
            "This request may have crashed an upstream and waits for a trial.",
            retry_after_s=RETRY_AFTER_S,
        )


async def report(
    rt: runtime.Runtime, fingerprint: str, exc: faults.UpstreamError
) -> None:
    """Count a possible crash and refuse the request when it was the second."""
    if not exc.may_be_crash:
        return
    await rt.agreed.views.report_crash(fingerprint, exc.upstream)
    check(rt, fingerprint)
