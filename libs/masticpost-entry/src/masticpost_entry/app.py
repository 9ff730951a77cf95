"""The HTTP application: routes, error responses and metrics of requests."""

import asyncio
import collections.abc
import time

from aiohttp import web
from loguru import logger
from masticpost_common import errors
from masticpost_telemetry import burn, callerconns

from masticpost_entry import admin, chat, intake, plain, reply, runtime

MAX_HEADER_BYTES = 16_384
Handler = collections.abc.Callable[
    [runtime.Runtime, web.Request, str], collections.abc.Awaitable[web.StreamResponse]
]
# Responses with this status or a higher one count as bad in the burn report.
FIRST_BAD_STATUS = 500


def make_app(rt: runtime.Runtime) -> web.Application:
    """Return the HTTP application of an instance."""
    app = web.Application(
        client_max_size=runtime.MAX_BODY_BYTES, middlewares=[_errors_middleware]
    )
    _add_route(app, "GET", "/livez", _bind_runtime(rt, admin.live))
    _add_route(app, "GET", "/readyz", _bind_runtime(rt, admin.ready))
    _add_route(app, "GET", "/metrics", _bind_runtime(rt, admin.show_metrics))
    _add_route(app, "GET", "/admin/status", _bind_runtime(rt, admin.status))
    _add_route(app, "GET", "/admin/burn", _bind_runtime(rt, admin.burn_counts))
    _add_route(app, "GET", "/v1/models", _bind_runtime(rt, chat.list_models))
    _add_route(app, "POST", "/v1/chat/completions", _instrument(rt, chat.chat))
    _add_route(
        app, "*", "/v1/services/{service}/{path:.*}", _instrument(rt, plain.serve)
    )
    _add_route(app, "*", "/{path:.*}", _unknown_path)
    return app


def _add_route(app: web.Application, method: str, path: str, handler: Handler) -> None:
    """Add a route that answers every method, so that no default handler is used."""
    app.router.add_route(method, path, handler, expect_handler=_expect)
    if method != "*":
        app.router.add_route("*", path, _bad_method, expect_handler=_expect)


async def _unknown_path(req: web.Request) -> web.StreamResponse:
    raise errors.refuse(404, "http_404", "No resource exists at this path.")


async def _bad_method(req: web.Request) -> web.StreamResponse:
    raise errors.refuse(405, "http_405", "This path does not support this method.")


async def _expect(req: web.Request) -> web.StreamResponse | None:
    """Answer an Expect header; aiohttp's own handler fails if it is not valid text.

    It runs outside the middlewares, so it returns its refusal instead of raising it.
    """
    if req.headers.get("Expect", "").lower() == "100-continue":
        await req.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        req.writer.output_size = 0
        return None
    refusal = errors.Refusal(
        status=417, code="http_417", message="Only Expect: 100-continue is supported."
    )
    return reply.error_response(refusal, intake.request_id_of(req))


def _bind_runtime(rt: runtime.Runtime, handler: collections.abc.Callable) -> Handler:
    async def handle(req: web.Request) -> web.StreamResponse:
        return await handler(rt, req)

    return handle


def _instrument(rt: runtime.Runtime, handler: Handler) -> collections.abc.Callable:
    """Wrap a handler with a request id, metrics, a log line and error responses."""

    async def handle(req: web.Request) -> web.StreamResponse:
        request_id = intake.request_id_of(req)
        started = time.monotonic()
        rt.in_flight += 1
        task = asyncio.current_task()
        rt.active_tasks.add(task)
        try:
            resp = await handler(rt, req, request_id)
        except errors.RefusalError as exc:
            resp = _refusal_response(rt, exc, request_id)
        except asyncio.CancelledError:
            if callerconns.has_left(req) or req.writer.output_size:
                raise
            task.uncancel()
            resp = _given_up_response(rt, request_id)
        finally:
            rt.in_flight -= 1
            rt.active_tasks.discard(task)
        _record(rt, req, resp, request_id, time.monotonic() - started)
        if rt.is_stopping and callerconns.may_close(req):
            resp.force_close()
        return resp

    return handle


def _given_up_response(rt: runtime.Runtime, request_id: str) -> web.Response:
    """Return the answer to a request that something else than its caller cancelled."""
    if rt.is_ending:
        return _refusal_response(rt, reply.ending_error(), request_id)
    logger.bind(request_id=request_id).exception("request cancelled by a fault")
    return _refusal_response(rt, reply.cancelled_error(), request_id)


def _refusal_response(
    rt: runtime.Runtime, exc: errors.RefusalError, request_id: str
) -> web.Response:
    refusal = exc.refusal
    rt.meters.refusals.labels(refusal.code, refusal.ran).inc()
    logger.bind(request_id=request_id, code=refusal.code, ran=refusal.ran).info(
        "request refused"
    )
    resp = reply.error_response(refusal, request_id)
    if isinstance(exc.__cause__, (*callerconns.BODY_ERRORS, TimeoutError)):
        resp.force_close()
    return resp


def _record(
    rt: runtime.Runtime,
    req: web.Request,
    resp: web.StreamResponse,
    request_id: str,
    elapsed_s: float,
) -> None:
    call = req.get(intake.CALL_KEY)
    service = call.service.name if call else "none"
    rt.meters.requests.labels(service, str(resp.status)).inc()
    if call is None:
        return
    series = burn.Series(service=service, customer=call.customer.name, domain=rt.domain)
    rt.burn_meter.record(
        series, good=resp.status < FIRST_BAD_STATUS, latency_s=elapsed_s
    )
    logger.bind(
        request_id=request_id,
        customer=call.customer.name,
        service=service,
        status=resp.status,
        elapsed_ms=round(elapsed_s * 1000, 1),
    ).debug("request done")


@web.middleware
async def _errors_middleware(
    req: web.Request, handler: collections.abc.Callable
) -> web.StreamResponse:
    """Turn unhandled errors into error responses of the usual format."""
    request_id = intake.request_id_of(req)
    try:
        return await handler(req)
    except errors.RefusalError as exc:
        return reply.error_response(exc.refusal, request_id)
    except web.HTTPException as exc:
        refusal = errors.Refusal(
            status=exc.status,
            code=f"http_{exc.status}",
            message=exc.reason or "The request is not valid.",
        )
        return reply.error_response(refusal, request_id)
    except (ConnectionError, TimeoutError):
        raise
    except Exception:
        logger.bind(request_id=request_id).exception("handler failed")
        refusal = errors.Refusal(
            status=500,
            code="internal",
            message="The instance failed to serve the request.",
            ran=errors.RAN_MAYBE,
        )
        return reply.error_response(refusal, request_id)
