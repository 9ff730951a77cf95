"""Runs a model request on a version: route, dispatch, retry by the one policy."""

import asyncio
import collections.abc
import time
import typing
import uuid

import attrs
from masticpost_common import errors, retry
from masticpost_shards import permits
from masticpost_text import model
from masticpost_upstream import faults, openai, pool

from masticpost_entry import intake, meter, routing, runtime, suspects

POLICY = retry.RetryPolicy(attempts=4, initial_backoff_s=0.02, max_backoff_s=0.4)
RETRY_AFTER_S = 1.0
CHARS_PER_TOKEN = 4
VERSION_FAULTS = (
    faults.FaultKind.FAILED,
    faults.FaultKind.INCOMPLETE,
    faults.FaultKind.CUT,
    faults.FaultKind.TIMEOUT,
)
T = typing.TypeVar("T")


@attrs.define(kw_only=True)
class Job:
    """A model request on its way.

    Attributes
    ----------
    fingerprint, prefix : str
        Digests of the request and of its prompt's beginning.
    pinned : str
        Version of the caller's session, empty without a session.
    ran : str
        Whether the request may have run on an upstream so far.
    """

    call: intake.Call
    chat: openai.ChatRequest
    meter: meter.Meter
    fingerprint: str
    prefix: str
    prompt_tokens: int
    pinned: str = ""
    ran: str = errors.RAN_NO

    @property
    def max_tokens(self) -> int | None:
        """The caller's bound on the answer."""
        return self.chat.max_completion_tokens or self.chat.max_tokens


def new_tries(rt: runtime.Runtime, job: Job) -> retry.Attempts:
    """Return the retry state of one request on one version."""
    return retry.Attempts(
        policy=POLICY,
        budget=rt.budgets[job.call.customer.name],
        idempotent=True,
        deadline=job.call.deadline,
    )


def engine_request(job: Job, version: str) -> openai.EngineRequest:
    """Return what is sent to an engine."""
    chat = job.chat
    return openai.EngineRequest(
        model=version,
        messages=chat.messages,
        max_tokens=job.max_tokens,
        temperature=chat.temperature,
        top_p=chat.top_p,
        seed=chat.seed,
        stop=chat.stop,
        priority=job.call.customer.priority,
    )


def target_of(job: Job, place: routing.Place) -> pool.Target:
    """Return where an attempt goes, under a correlation id of its own."""
    return pool.Target(
        upstream=place.upstream.name,
        url=place.upstream.url.rstrip("/"),
        attempt_id=uuid.uuid4().hex,
        deadline_s=max(0.001, job.call.left_s()),
    )


async def next_place(
    rt: runtime.Runtime, job: Job, version: model.Version, need: routing.Need
) -> routing.Place:
    """Check everything that new work needs, and return where it may go."""
    job.call.check_deadline(ran=job.ran)
    suspects.check(rt, job.fingerprint)
    in_session = job.pinned == version.name
    routing.check_version(rt, job.call, version.name, in_session=in_session)
    place = await routing.find_place(rt, job.call, need)
    try:
        routing.check_version(rt, job.call, version.name, in_session=in_session)
    except errors.RefusalError:
        give_up(rt, place)
        raise
    return place


def give_up(rt: runtime.Runtime, place: routing.Place) -> None:
    """Return the permit of a place that is not used."""
    if place.permit is not None:
        rt.agreed.permits.release(place.permit)


async def complete(
    rt: runtime.Runtime, job: Job, version: model.Version
) -> openai.Completion:
    """Return a whole answer of `version`.

    Raises
    ------
    errors.RefusalError
        When no try succeeded in time.
    """
    need = routing.Need(
        target=version.name, policy=job.call.service.choice, prefix=job.prefix
    )
    tries = new_tries(rt, job)
    while True:
        place = await next_place(rt, job, version, need)
        try:
            return await _try(rt, job, version, place, need)
        except faults.UpstreamError as exc:
            await after_failure(rt, job, tries, exc)


async def _try(
    rt: runtime.Runtime,
    job: Job,
    version: model.Version,
    place: routing.Place,
    need: routing.Need,
) -> openai.Completion:
    begun = False
    try:
        async with suspects.trial(rt, job.call, job.fingerprint, place):
            routing.check_permit(place)
            begun = True
            routing.begin(rt, place, need)
            job.meter.open(version, job.prompt_tokens)
            started = time.monotonic()
            answer = await with_permit(
                place.permit,
                rt.clients.engines.complete(
                    target_of(job, place), engine_request(job, version.name)
                ),
            )
    except faults.UpstreamError as exc:
        count_failure(rt, place, need, exc, begun)
        raise
    except (asyncio.CancelledError, errors.RefusalError):
        if begun:
            job.ran = errors.RAN_MAYBE
            routing.cancel(rt, place)
        else:
            give_up(rt, place)
        raise
    if answer.report is not None:
        place.track.record_load_report(answer.report.outstanding, time.monotonic())
    elapsed_s = time.monotonic() - started
    routing.succeed(rt, place, elapsed_s)
    rt.agreed.guard.add_call(version.name, failed=False, first_token_s=elapsed_s)
    usage = answer.completion.usage or openai.Usage()
    job.meter.add(version, usage.prompt_tokens, usage.completion_tokens)
    job.ran = errors.RAN_YES
    return answer.completion


def count_failure(
    rt: runtime.Runtime,
    place: routing.Place,
    need: routing.Need,
    exc: faults.UpstreamError,
    begun: bool,
) -> None:
    """Count a failed try; one that never began only returns its permit."""
    if begun:
        if exc.kind in VERSION_FAULTS:
            rt.agreed.guard.add_call(need.target, failed=True)
        routing.fail(rt, place, need, exc)
    else:
        give_up(rt, place)


async def with_permit(
    permit: permits.Permit | None, work: collections.abc.Coroutine[None, None, T]
) -> T:
    """Run `work`, and stop it when its permit is lost."""
    if permit is None:
        return await work
    task = asyncio.ensure_future(work)
    lost = asyncio.ensure_future(permit.lost.wait())
    try:
        await asyncio.wait([task, lost], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise faults.UpstreamError(
            kind=faults.FaultKind.PERMIT_LOST, upstream=permit.resource
        )
    finally:
        task.cancel()
        lost.cancel()


async def after_failure(
    rt: runtime.Runtime,
    job: Job,
    tries: retry.Attempts,
    exc: faults.UpstreamError,
) -> None:
    """Wait before the next try, or raise what the caller gets."""
    if exc.kind is faults.FaultKind.REJECTED:
        job.ran = errors.RAN_YES
        raise errors.refuse(
            400 if exc.status < 500 else 502,
            "rejected_by_upstream",
            "The model engine rejected the request as it is.",
            ran=errors.RAN_YES,
        )
    if exc.verdict is not retry.Verdict.NOT_PROCESSED and job.ran == errors.RAN_NO:
        job.ran = errors.RAN_MAYBE
    await suspects.report(rt, job.fingerprint, exc)
    pause = tries.retry_delay_s(exc.verdict)
    if pause is None:
        raise errors.refuse(
            502,
            "upstream_failed",
            f"The upstream failed: {exc.kind.value}.",
            ran=job.ran,
            retry_after_s=RETRY_AFTER_S,
        ) from exc
    await asyncio.sleep(pause)
