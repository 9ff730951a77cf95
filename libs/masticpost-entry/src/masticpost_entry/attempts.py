"""Runs a model request on a version: selects upstreams, dispatches, retries."""

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

from masticpost_entry import acquisition, intake, meter, routing, runtime, suspects

POLICY = retry.RetryPolicy(attempts=4, initial_backoff_s=0.02, max_backoff_s=0.4)
RETRY_AFTER_S = 1.0
# Estimate of a prompt's tokens from the length of its JSON.
CHARS_PER_TOKEN = 4
# Faults that count as failed calls of the version.
VERSION_FAULTS = (
    faults.FaultKind.FAILED,
    faults.FaultKind.INCOMPLETE,
    faults.FaultKind.CUT,
    faults.FaultKind.TIMEOUT,
)
T = typing.TypeVar("T")


@attrs.define(kw_only=True)
class Job:
    """A model request in progress.

    Attributes
    ----------
    fingerprint, prefix : str
        Digests of the request and of the beginning of its prompt.
    prompt_tokens : int
        Estimated number of prompt tokens.
    pinned : str
        Version that the caller's session is pinned to, empty without a session.
    ran : str
        Whether the request has run on an upstream: ``no``, ``maybe`` or ``yes``.
    parts : tuple of str
        Keys of the messages of the prompt that other requests may share.
    are_parts_cleared : bool
        Whether an answer has gone on for so long that no part crashes the upstream.
    """

    call: intake.Call
    chat: openai.ChatRequest
    meter: meter.Meter
    fingerprint: str
    prefix: str
    prompt_tokens: int
    pinned: str = ""
    ran: str = errors.RAN_NO
    parts: tuple[str, ...] = ()
    are_parts_cleared: bool = False

    @property
    def max_tokens(self) -> int | None:
        """Maximum number of answer tokens that the caller set, or None."""
        return self.chat.max_completion_tokens or self.chat.max_tokens


def new_retries(rt: runtime.Runtime, job: Job) -> retry.Attempts:
    """Return the retry state for one request on one version."""
    return retry.Attempts(
        policy=POLICY,
        budget=rt.retry_budgets[job.call.customer.name],
        idempotent=True,
        deadline=job.call.deadline,
    )


def engine_request(job: Job, version: str) -> openai.EngineRequest:
    """Return the request that is sent to an engine."""
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


def new_target(job: Job, selection: routing.Selection) -> pool.Target:
    """Return the target of one attempt, with a new attempt id."""
    return pool.Target(
        upstream=selection.upstream.name,
        url=selection.upstream.url.rstrip("/"),
        attempt_id=uuid.uuid4().hex,
        deadline_s=max(0.001, job.call.remaining_s()),
    )


async def next_upstream(
    rt: runtime.Runtime,
    job: Job,
    version: model.Version,
    requirements: routing.Requirements,
) -> routing.Selection:
    """Select an upstream for the next attempt, if the request may still run.

    The version is checked again after the selection, which may have waited.

    Raises
    ------
    errors.RefusalError
        When the deadline has passed, the request is quarantined, the version takes no
        new work, or no upstream is available.
    """
    job.call.check_deadline(ran=job.ran)
    suspects.check_quarantine(rt, job.fingerprint)
    suspects.check_parts(rt, job.parts)
    in_session = job.pinned == version.name
    routing.check_version(rt, job.call, version.name, in_session=in_session)
    selection = await acquisition.find_upstream(rt, job.call, requirements)
    try:
        routing.check_version(rt, job.call, version.name, in_session=in_session)
    except errors.RefusalError:
        acquisition.release_unused(rt, selection)
        raise
    return selection


async def complete(
    rt: runtime.Runtime, job: Job, version: model.Version
) -> openai.Completion:
    """Return a complete answer from `version`.

    Raises
    ------
    errors.RefusalError
        When no attempt succeeds in time.
    """
    requirements = routing.Requirements(
        target=version.name, policy=job.call.service.choice, prefix=job.prefix
    )
    retries = new_retries(rt, job)
    while True:
        selection = await next_upstream(rt, job, version, requirements)
        try:
            return await _attempt(rt, job, version, selection, requirements)
        except faults.UpstreamError as exc:
            await wait_before_retry(rt, job, retries, exc)


async def _attempt(
    rt: runtime.Runtime,
    job: Job,
    version: model.Version,
    selection: routing.Selection,
    requirements: routing.Requirements,
) -> openai.Completion:
    dispatched = False
    try:
        async with suspects.trial(rt, job.call, job.fingerprint, selection):
            acquisition.check_permit(selection)
            dispatched = True
            routing.record_dispatch(rt, selection, requirements)
            job.meter.open(version, job.prompt_tokens)
            started = time.monotonic()
            answer = await with_permit(
                selection.permit,
                rt.clients.engines.complete(
                    new_target(job, selection), engine_request(job, version.name)
                ),
            )
    except faults.UpstreamError as exc:
        record_failure(rt, selection, requirements, exc, dispatched)
        raise
    except (asyncio.CancelledError, errors.RefusalError):
        if dispatched:
            job.ran = errors.RAN_MAYBE
            routing.record_cancellation(rt, selection)
        else:
            acquisition.release_unused(rt, selection)
        raise
    if answer.report is not None:
        selection.state.record_load_report(answer.report.outstanding, time.monotonic())
    elapsed_s = time.monotonic() - started
    routing.record_success(rt, selection, elapsed_s)
    rt.cluster.rollouts.add_call(version.name, failed=False, first_token_s=elapsed_s)
    usage = answer.completion.usage or openai.Usage()
    job.meter.add(version, usage.prompt_tokens, usage.completion_tokens)
    job.ran = errors.RAN_YES
    suspects.clear_parts(rt, job)
    return answer.completion


def record_failure(
    rt: runtime.Runtime,
    selection: routing.Selection,
    requirements: routing.Requirements,
    exc: faults.UpstreamError,
    dispatched: bool,
) -> None:
    """Record a failed attempt; one not dispatched only releases its permit."""
    if dispatched:
        if exc.kind in VERSION_FAULTS:
            rt.cluster.rollouts.add_call(requirements.target, failed=True)
        routing.record_failure(rt, selection, requirements, exc)
    else:
        acquisition.release_unused(rt, selection)


async def with_permit(
    permit: permits.Permit | None, work: collections.abc.Coroutine[None, None, T]
) -> T:
    """Run `work`; cancel it if its permit is lost.

    Raises
    ------
    faults.UpstreamError
        ``PERMIT_LOST``, or what `work` raises.
    """
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


async def wait_before_retry(
    rt: runtime.Runtime,
    job: Job,
    retries: retry.Attempts,
    exc: faults.UpstreamError,
) -> None:
    """Wait before the next attempt.

    Raises
    ------
    errors.RefusalError
        When the request must not be retried; it is what the caller gets.
    """
    if exc.kind is faults.FaultKind.REJECTED:
        job.ran = errors.RAN_YES
        raise errors.refuse(
            400 if exc.status < 500 else 502,
            "rejected_by_upstream",
            "The model engine rejected the request.",
            ran=errors.RAN_YES,
        )
    if exc.verdict is not retry.Verdict.NOT_PROCESSED and job.ran == errors.RAN_NO:
        job.ran = errors.RAN_MAYBE
    await suspects.report_part_crash(rt, job, exc)
    await suspects.report_crash(rt, job.fingerprint, exc)
    pause = retries.retry_delay_s(exc.verdict)
    if pause is None:
        raise errors.refuse(
            502,
            "upstream_failed",
            f"The upstream failed: {exc.kind.value}.",
            ran=job.ran,
            retry_after_s=RETRY_AFTER_S,
        ) from exc
    await asyncio.sleep(pause)
