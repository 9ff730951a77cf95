"""Requests with one whole answer: idempotent and non-idempotent calls."""

import math

import aiohttp
import attrs
import multidict
from aiohttp import web
from masticpost_common import clock, errors, retry

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

FIRST_TRY_SHARE = 0.6
READ_BYTES = 65_536
SERVER_ERROR = 500


@attrs.frozen(kw_only=True)
class Whole:
    """A whole answer of an upstream."""

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
    run = attempts.Attempts(parts=parts, call=call)
    failed: Whole | None = None
    reason = ""
    while True:
        upstream = await _next(run, failed)
        if upstream is None:
            return _response(failed)
        try:
            whole = await _try(run, upstream)
        except sending.TryError as exc:
            reason = exc.reason
            if not _may_repeat(run, exc.verdict):
                if failed is not None:
                    return _response(failed)
                raise _given_up(run, reason) from exc
            continue
        if whole.status < SERVER_ERROR:
            return _response(whole)
        failed = whole
        if not call.route.kind.may_repeat or not run.may_try_again():
            return _response(failed)


async def _next(run: attempts.Attempts, failed: Whole | None):
    """Return the next upstream; None when an earlier failure is the answer."""
    try:
        return await run.next_upstream("")
    except errors.RefusalError:
        if failed is None:
            raise
        return None


def _may_repeat(run: attempts.Attempts, verdict: retry.Verdict) -> bool:
    never_ran = verdict is retry.Verdict.NEVER_JUDGED
    may_repeat = never_ran or run.call.route.kind.may_repeat
    return may_repeat and run.may_try_again()


def _given_up(run: attempts.Attempts, reason: str) -> errors.RefusalError:
    if run.may_have_run and run.call.left_s() <= 0:
        return errors.refuse(
            504, outcomes.Outcome.TIMEOUT, reason, ran=errors.RAN_MAYBE
        )
    return run.refusal(reason)


async def _try(run: attempts.Attempts, upstream) -> Whole:
    began = clock.now()
    overdue_after_s = math.inf
    if run.runs == 0:
        overdue_after_s = FIRST_TRY_SHARE * run.call.route.objective_s
    opened = await run.open(upstream, "", overdue_after_s)
    result = "cancelled"
    try:
        overdue_after_s -= clock.now() - began
        body = await stalls.wait(
            _read(opened),
            limit_s=run.call.left_s(),
            leaves=migration.stall_rules(
                run, upstream, "", overdue_after_s, is_counted=True
            ),
        )
        result = "ok" if not opened.is_failure else f"failed {opened.resp.status}"
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        result = f"cut: {type(exc).__name__}"
        run.feedback.bad(opened, result)
        raise sending.TryError(retry.Verdict.NOT_KNOWN, result) from exc
    finally:
        run.close(opened, result)
    if opened.is_failure:
        run.feedback.bad(opened, result)
    else:
        run.feedback.whole(opened.pace)
        run.feedback.good(opened)
    passed = headers.end_to_end(opened.resp.headers, frozenset())
    return Whole(status=opened.resp.status, headers=passed, body=body)


async def _read(opened: answer.OpenAnswer) -> bytes:
    ending = conns.BodyEndCheck(opened.resp)
    chunks = []
    while chunk := await opened.resp.content.read(READ_BYTES):
        chunks.append(chunk)
    ending.check()
    return b"".join(chunks)


def _response(whole: Whole) -> web.Response:
    return web.Response(status=whole.status, headers=whole.headers, body=whole.body)
