"""Requests with a single answer, not a stream: idempotent and non-idempotent calls."""

import math

import aiohttp
import attrs
import multidict
from aiohttp import web
from masticpost_common import clock, errors, retry

from masticpost_gateway import shared
from masticpost_gateway.serving import (
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


@attrs.frozen(kw_only=True)
class CompleteAnswer:
    """An answer of an upstream, whose body was read to the end."""

    status: int
    headers: multidict.CIMultiDict
    body: bytes


async def serve(parts: shared.Shared, call: calls.Call) -> web.Response:
    """Return the answer to a plain request.

    Raises
    ------
    errors.RefusalError
        The request was given up.
    """
    req_attempts = attempts.Attempts(parts=parts, call=call)
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
            if not _may_repeat(req_attempts, exc.verdict):
                if failed is not None:
                    return _response(failed)
                raise _give_up_error(req_attempts, reason) from exc
            continue
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


async def _attempt(req_attempts: attempts.Attempts, upstream) -> CompleteAnswer:
    started_at = clock.now()
    overdue_after_s = math.inf
    if req_attempts.executions == 0:
        overdue_after_s = FIRST_ATTEMPT_SHARE * req_attempts.call.route.objective_s
    opened = await req_attempts.open(upstream, "", overdue_after_s)
    result = "cancelled"
    try:
        overdue_after_s -= clock.now() - started_at
        body = await stalls.wait(
            conns.read_body(opened.resp),
            limit_s=req_attempts.call.left_s(),
            rules=migration.stall_rules(
                req_attempts, upstream, "", overdue_after_s, is_counted=True
            ),
        )
        result = "ok" if not opened.is_failure else f"failed {opened.resp.status}"
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        result = f"cut: {type(exc).__name__}"
        req_attempts.feedback.record_failure(opened, result)
        raise sending.TryError(retry.Verdict.NOT_KNOWN, result) from exc
    finally:
        req_attempts.close(opened, result)
    if opened.is_failure:
        req_attempts.feedback.record_failure(opened, result)
    else:
        req_attempts.feedback.record_complete_answer(opened.progress)
        req_attempts.feedback.record_success(opened)
    forwarded = headers.end_to_end(opened.resp.headers, frozenset())
    return CompleteAnswer(status=opened.resp.status, headers=forwarded, body=body)


def _response(reply: CompleteAnswer) -> web.Response:
    return web.Response(status=reply.status, headers=reply.headers, body=reply.body)
