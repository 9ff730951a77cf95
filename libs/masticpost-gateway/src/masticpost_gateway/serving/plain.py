"""Requests with a single answer, not a stream: idempotent and non-idempotent calls."""

import asyncio
import math

import aiohttp
import attrs
import multidict
from aiohttp import web
from masticpost_common import clock, errors, retry
from masticpost_upstream import bodies, connections, limits

from masticpost_gateway import shared
from masticpost_gateway.serving import (
    answer,
    attempts,
    headers,
    migration,
    outcomes,
    sending,
    stalls,
)
from masticpost_gateway.serving import call as calls
from masticpost_gateway.upstreams import conns

# Share of the latency objective after which the first attempt counts as overdue.
FIRST_ATTEMPT_SHARE = 0.6
SERVER_ERROR = 500
# Result of an attempt whose body is still being passed on.
PASSED_ON = "passed on"


@attrs.frozen(kw_only=True)
class CompleteAnswer:
    """An answer of an upstream, whose body was read to the end."""

    status: int
    headers: multidict.CIMultiDict
    body: bytes


@attrs.frozen(kw_only=True)
class LargeAnswer:
    """An answer whose body is passed on while it arrives.

    Attributes
    ----------
    begin : bytes
        What has been read of the body.
    """

    opened: answer.OpenAnswer
    begin: bytes


async def serve(
    parts: shared.Shared, call: calls.Call, req: web.BaseRequest
) -> web.StreamResponse:
    """Return the answer to a plain request.

    Raises
    ------
    errors.RefusalError
        The request was given up.
    answer.CutError
        The answer was cut after a part of it had been passed on.
    """
    req_attempts = attempts.Attempts(parts=parts, call=call)
    try:
        return await _serve(req_attempts, req)
    finally:
        req_attempts.dispatches.release()


async def _serve(
    req_attempts: attempts.Attempts, req: web.BaseRequest
) -> web.StreamResponse:
    call = req_attempts.call
    failed: CompleteAnswer | None = None
    reason = ""
    while True:
        upstream = await _next_upstream(req_attempts, failed)
        if upstream is None:
            return _response(failed)
        try:
            reply = await _attempt(req_attempts, upstream)
        except sending.TryError as exc:
            reason = exc.reason
            await req_attempts.fund()
            if not _may_repeat(req_attempts, exc.verdict):
                if failed is not None:
                    return _response(failed)
                raise _give_up_error(req_attempts, reason) from exc
            continue
        if isinstance(reply, LargeAnswer):
            return await _pass_on(req_attempts, reply, req)
        if reply.status < SERVER_ERROR:
            return _response(reply)
        failed = reply
        if not call.route.kind.may_repeat or not req_attempts.may_retry():
            return _response(failed)


async def _next_upstream(
    req_attempts: attempts.Attempts, failed: CompleteAnswer | None
):
    """Return the next upstream, or None to answer with an earlier failure."""
    try:
        return await req_attempts.next_upstream("")
    except errors.RefusalError:
        if failed is None:
            raise
        return None


def _may_repeat(req_attempts: attempts.Attempts, verdict: retry.Verdict) -> bool:
    did_not_run = verdict is retry.Verdict.NOT_PROCESSED
    may_repeat = did_not_run or req_attempts.call.route.kind.may_repeat
    return may_repeat and req_attempts.may_retry()


def _give_up_error(req_attempts: attempts.Attempts, reason: str) -> errors.RefusalError:
    if req_attempts.may_have_run and req_attempts.call.left_s() <= 0:
        return errors.refuse(
            504, outcomes.Outcome.TIMEOUT, reason, ran=errors.RAN_MAYBE
        )
    return req_attempts.refusal(reason)


async def _attempt(
    req_attempts: attempts.Attempts, upstream
) -> CompleteAnswer | LargeAnswer:
    started_at = clock.now()
    overdue_after_s = math.inf
    if req_attempts.executions == 0:
        overdue_after_s = FIRST_ATTEMPT_SHARE * req_attempts.call.route.objective_s
    opened = await req_attempts.open(upstream, "", overdue_after_s)
    result = "cancelled"
    try:
        overdue_after_s -= clock.now() - started_at
        body, is_whole = await stalls.wait(
            _read(req_attempts, opened),
            limit_s=req_attempts.call.left_s(),
            rules=migration.stall_rules(
                req_attempts, upstream, "", overdue_after_s, is_counted=True
            ),
        )
        result = "ok" if not opened.is_failure else f"failed {opened.resp.status}"
        if not is_whole:
            result = PASSED_ON
            return LargeAnswer(opened=opened, begin=body)
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        bodies.drop_frames(exc)
        result = f"cut: {type(exc).__name__}"
        req_attempts.feedback.record_failure(opened, result)
        raise sending.TryError(retry.Verdict.NOT_KNOWN, result) from exc
    finally:
        if result != PASSED_ON:
            req_attempts.close(opened, result)
    if opened.is_failure:
        req_attempts.feedback.record_failure(opened, result)
    else:
        req_attempts.feedback.record_complete_answer(opened.progress)
        req_attempts.feedback.record_success(opened)
    forwarded = headers.end_to_end(opened.resp.headers, frozenset())
    return CompleteAnswer(status=opened.resp.status, headers=forwarded, body=body)


async def _read(
    req_attempts: attempts.Attempts, opened: answer.OpenAnswer
) -> tuple[bytes, bool]:
    """Return an answer's body or its start, and whether it is whole."""
    if opened.is_failure:
        return await bodies.read(opened.resp), True
    return await conns.read_start(opened.resp, req_attempts.shared.pools.allowance)


async def _pass_on(
    req_attempts: attempts.Attempts, reply: LargeAnswer, req: web.BaseRequest
) -> web.StreamResponse:
    """Pass a large answer on at the caller's pace, and return the response.

    Raises
    ------
    answer.CutError
        It did not come to its end.
    """
    opened = reply.opened
    result = "cancelled"
    try:
        async with asyncio.timeout(req_attempts.call.left_s()):
            resp = await _copy(opened.resp, reply.begin, req)
        result = "ok"
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        if req.transport is None:
            raise asyncio.CancelledError from exc
        bodies.drop_frames(exc)
        result = f"cut: {type(exc).__name__}"
        req_attempts.feedback.record_failure(opened, result)
        raise answer.CutError(result) from exc
    finally:
        req_attempts.close(opened, result)
    req_attempts.feedback.record_complete_answer(opened.progress)
    req_attempts.feedback.record_success(opened)
    return resp


async def _copy(
    source: connections.GuardedResponse, begin: bytes, req: web.BaseRequest
) -> web.StreamResponse:
    """Write an upstream's body to the caller, who sees where it ends."""
    resp = web.StreamResponse(
        status=source.status, headers=headers.end_to_end(source.headers, frozenset())
    )
    resp.content_length = source.content_length
    if source.content_length is None:
        resp.enable_chunked_encoding()
    await resp.prepare(req)
    data, passed = begin, 0
    while data:
        passed += len(data)
        limits.renew(source, conns.MAX_ANSWER_BYTES - passed)
        await resp.write(data)
        data = await source.content.readany()
    connections.check_body_end(source)
    await resp.write_eof()
    return resp


def _response(reply: CompleteAnswer) -> web.Response:
    return web.Response(status=reply.status, headers=reply.headers, body=reply.body)
