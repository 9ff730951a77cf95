"""Handler of /v1/services/{service}/{path}: forwards calls to plain services.

An idempotent call is retried like a model request. A non-idempotent call is claimed,
dispatched once, and its outcome is recorded before the caller gets it.
"""

import asyncio
import time

import attrs
from aiohttp import web
from masticpost_common import errors, retry
from masticpost_shards import claims, records
from masticpost_text import model
from masticpost_upstream import faults, plain

from masticpost_entry import (
    acquisition,
    dispatch,
    indoubt,
    intake,
    meter,
    routing,
    runtime,
)

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
POLICY = retry.RetryPolicy(attempts=4, initial_backoff_s=0.02, max_backoff_s=0.4)
RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class PlainJob:
    """A call of a plain service in progress."""

    call: intake.Call
    operation: model.Operation
    req: plain.PlainRequest
    meter: meter.Meter
    ran: str = errors.RAN_NO


async def serve(rt: runtime.Runtime, req: web.Request, request_id: str) -> web.Response:
    """Answer a call of a plain service."""
    intake.check_ready(rt)
    intake.authenticate(rt, req)
    body = await intake.read_body(req)
    intake.check_ready(rt)
    call = intake.make_call(rt, req, req.match_info["service"], "plain", request_id)
    job = _make_job(rt, req, call, body)
    call.check_deadline()
    _check_dependencies(rt, call.service)
    instances = rt.cluster.members.expected_count()
    with rt.admission_control.admit(rt.text, call.customer, instances):
        answer = await _run(rt, job)
    headers = {"X-Request-Id": request_id}
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={**headers, "Content-Type": answer.content_type},
    )


def _make_job(
    rt: runtime.Runtime, req: web.Request, call: intake.Call, body: bytes
) -> PlainJob:
    if req.method not in METHODS:
        raise errors.refuse(405, "bad_method", f"Use one of: {', '.join(METHODS)}.")
    path = "/" + req.match_info["path"]
    operation = find_operation(call.service, path)
    if not operation.idempotent and not call.idempotency_key:
        raise errors.refuse(
            400,
            "idempotency_key_needed",
            "This operation is not idempotent: send an Idempotency-Key.",
        )
    raw_path = req.rel_url.raw_path.split("/services/", 1)[1]
    plain_req = plain.PlainRequest(
        method=req.method,
        path="/" + raw_path.partition("/")[2],
        query=req.rel_url.raw_query_string,
        headers=req.headers,
        body=body,
        idempotency_key=_upstream_key(call),
    )
    unique = f"{call.request_id}\0{time.time_ns()}"
    return PlainJob(
        call=call,
        operation=operation,
        req=plain_req,
        meter=meter.new_meter(rt, call, unique),
    )


def _upstream_key(call: intake.Call) -> str:
    if not call.idempotency_key:
        return ""
    return indoubt.upstream_key(call.customer.name, call.idempotency_key)


def find_operation(svc: model.Service, path: str) -> model.Operation:
    """Return the operation with the longest matching path prefix.

    Raises
    ------
    errors.RefusalError
        ``bad_path`` or ``unknown_operation``.
    """
    if any(part in ("..", ".") for part in path.split("/")):
        raise errors.refuse(400, "bad_path", "The path must not have dot segments.")
    matching = [op for op in svc.operations if _matches(op.path, path)]
    if not matching:
        raise errors.refuse(
            404, "unknown_operation", "The service has no such operation."
        )
    return max(matching, key=lambda op: len(op.path))


def _matches(prefix: str, path: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def _check_dependencies(rt: runtime.Runtime, svc: model.Service) -> None:
    """Refuse a call if a plain service it depends on has no usable upstream."""
    for name in svc.depends_on:
        dependency = rt.text.services[name]
        if dependency.kind == "plain" and not routing.usable_upstreams(rt, name):
            raise errors.refuse(
                503,
                "dependency_unavailable",
                f"Service {name!r}, on which this one depends, has no upstream. "
                "The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )


async def _run(rt: runtime.Runtime, job: PlainJob) -> plain.PlainAnswer:
    if job.operation.idempotent:
        rt.cluster.budgets.check(job.call.customer)
        return await _run_idempotent(rt, job)
    return await asyncio.shield(_start_at_most_once(rt, job))


def _start_at_most_once(rt: runtime.Runtime, job: PlainJob) -> asyncio.Task:
    """Run a non-idempotent call to its end, even if the caller disconnects."""
    rt.in_flight += 1
    task = asyncio.create_task(_run_at_most_once(rt, job))

    def on_done(done: asyncio.Task) -> None:
        rt.in_flight -= 1
        if not done.cancelled():
            done.exception()

    task.add_done_callback(on_done)
    return task


async def _run_idempotent(rt: runtime.Runtime, job: PlainJob) -> plain.PlainAnswer:
    requirements = routing.Requirements(
        target=job.call.service.name, policy=job.call.service.choice
    )
    retries = _new_retries(rt, job)
    try:
        while True:
            job.call.check_deadline(ran=job.ran)
            selection = await _find_upstream(rt, job, requirements)
            try:
                answer = await _dispatch(rt, job, selection, requirements)
            except faults.UpstreamError as exc:
                await _wait_before_retry(job, retries, exc)
                continue
            await job.meter.wait_until_durable()
            job.meter.close(records.ANSWERED)
            return answer
    finally:
        job.meter.close(records.FAILED)


def _new_retries(rt: runtime.Runtime, job: PlainJob) -> retry.Attempts:
    return retry.Attempts(
        policy=POLICY,
        budget=rt.retry_budgets[job.call.customer.name],
        idempotent=job.operation.idempotent,
        deadline=job.call.deadline,
    )


async def _find_upstream(
    rt: runtime.Runtime, job: PlainJob, requirements: routing.Requirements
) -> routing.Selection:
    try:
        return await acquisition.find_upstream(rt, job.call, requirements)
    except errors.RefusalError as exc:
        if job.ran == errors.RAN_NO:
            raise
        raise errors.RefusalError(attrs.evolve(exc.refusal, ran=job.ran)) from exc


async def _wait_before_retry(
    job: PlainJob, retries: retry.Attempts, exc: faults.UpstreamError
) -> None:
    if exc.verdict is not retry.Verdict.NOT_PROCESSED:
        job.ran = errors.RAN_MAYBE
    pause = retries.retry_delay_s(exc.verdict)
    if pause is None:
        raise _failure_refusal(exc, job.ran) from exc
    await asyncio.sleep(pause)


def _failure_refusal(exc: faults.UpstreamError, ran: str) -> errors.RefusalError:
    return errors.refuse(
        502,
        "upstream_failed",
        f"The upstream failed: {exc.kind.value}.",
        ran=ran,
        retry_after_s=RETRY_AFTER_S if ran == errors.RAN_NO else None,
    )


async def _run_at_most_once(rt: runtime.Runtime, job: PlainJob) -> plain.PlainAnswer:
    """Claim the call, dispatch it once, record the outcome.

    The bill is opened in the commit of the claim and closed in the commit of the
    outcome. If an upstream certainly did not receive the call, another one is tried
    under the same claim. After any other failure the call is in doubt: it is never sent
    again, and the service is queried whether it ran.
    """
    opened = _open_bill(job)
    inquiry = indoubt.make_inquiry(
        rt, job.call.service, job.operation, job.req.idempotency_key
    )
    granted = await _claim(rt, job, opened, inquiry)
    if isinstance(granted, records.Answer):
        return _to_plain_answer(granted)
    try:
        answer = await _dispatch_at_most_once(rt, job, inquiry)
    except errors.RefusalError as exc:
        if exc.refusal.ran == errors.RAN_NO:
            rt.cluster.claims.release(granted)
            raise
        resolved = await indoubt.resolve_while_waiting(
            rt, granted, inquiry, opened, job.call.deadline
        )
        if resolved is not None:
            return _to_plain_answer(resolved)
        if inquiry is None:
            job.meter.close(records.FAILED)
        raise
    await _record(rt, job, granted, answer)
    return answer


def _open_bill(job: PlainJob) -> records.BillOpen:
    """Return the opening record of a bill; its key is the key of the call."""
    key = claims.call_key(job.call.customer.name, job.call.idempotency_key)
    job.meter.key = key
    job.meter.is_open = True
    return job.meter.open_record(0, 0.0)


async def _claim(
    rt: runtime.Runtime,
    job: PlainJob,
    opened: records.BillOpen,
    inquiry: records.Inquiry | None,
) -> claims.Granted | records.Answer:
    fingerprint = claims.fingerprint(
        job.call.service.name.encode(),
        job.req.method.encode(),
        job.req.path.encode(),
        job.req.query.encode(),
        job.req.body,
    )
    return await rt.cluster.claims.claim(
        opened.key,
        fingerprint,
        job.call.deadline,
        opened,
        inquiry,
        rt.cluster.budgets.refusal(job.call.customer),
    )


async def _record(
    rt: runtime.Runtime,
    job: PlainJob,
    granted: claims.Granted,
    answer: plain.PlainAnswer,
) -> None:
    """Record the answer and the bill in one commit."""
    job.meter.add_price(job.operation.price)
    bill = job.meter.close_record(records.ANSWERED)
    recorded = records.Answer(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
    await rt.cluster.claims.finish(granted, recorded, bill)


def _to_plain_answer(recorded: records.Answer) -> plain.PlainAnswer:
    return plain.PlainAnswer(
        status=recorded.status,
        content_type=recorded.content_type,
        body=recorded.body,
    )


async def _dispatch_at_most_once(
    rt: runtime.Runtime, job: PlainJob, inquiry: records.Inquiry | None
) -> plain.PlainAnswer:
    requirements = routing.Requirements(
        target=job.call.service.name,
        policy=job.call.service.choice,
        allowed=indoubt.upstream_names(rt, inquiry) if inquiry is not None else None,
    )
    retries = _new_retries(rt, job)
    while True:
        job.call.check_deadline()
        selection = await acquisition.find_upstream(rt, job.call, requirements)
        try:
            return await _dispatch(rt, job, selection, requirements)
        except faults.UpstreamError as exc:
            if exc.verdict is not retry.Verdict.NOT_PROCESSED:
                raise _in_doubt_refusal(exc, inquiry is not None) from exc
            await _wait_before_retry(job, retries, exc)


def _in_doubt_refusal(exc: faults.UpstreamError, is_asked: bool) -> errors.RefusalError:
    what = f"The upstream failed ({exc.kind.value}) after the call was sent"
    return claims.in_doubt(502, what, is_asked)


async def _dispatch(
    rt: runtime.Runtime,
    job: PlainJob,
    selection: routing.Selection,
    requirements: routing.Requirements,
) -> plain.PlainAnswer:
    job.meter.open(None, 0)
    return await dispatch.send(
        rt, selection, requirements, job.req, job.call.remaining_s()
    )
