"""The HTTP application: routes, the error shape, and counts of every request."""

import collections.abc
import time

from aiohttp import web
from loguru import logger
from masticpost_common import errors
from masticpost_telemetry import burn

from masticpost_entry import admin, chat, intake, plain, reply, runtime

MAX_HEADER_BYTES = 16_384
Handler = collections.abc.Callable[
    [runtime.Runtime, web.Request, str], collections.abc.Awaitable[web.StreamResponse]
]
GOOD_BELOW = 500


def make_app(rt: runtime.Runtime) -> web.Application:
    """Return the application of one instance."""
    app = web.Application(
        client_max_size=runtime.MAX_BODY_BYTES, middlewares=[_errors_middleware]
    )
    _add(app, "GET", "/livez", _simple(rt, admin.live))
    _add(app, "GET", "/readyz", _simple(rt, admin.ready))
    _add(app, "GET", "/metrics", _simple(rt, admin.show_metrics))
    _add(app, "GET", "/admin/status", _simple(rt, admin.status))
    _add(app, "GET", "/admin/burn", _simple(rt, admin.burn_counts))
    _add(app, "GET", "/v1/models", _simple(rt, chat.list_models))
    _add(app, "POST", "/v1/chat/completions", _counted(rt, chat.chat))
    _add(app, "*", "/v1/services/{service}/{path:.*}", _counted(rt, plain.serve))
    _add(app, "*", "/{path:.*}", _unknown_path)
    return app


def _add(app: web.Application, method: str, path: str, handler: Handler) -> None:
    """Add a route that answers every method, so that no default handler is left."""
    app.router.add_route(method, path, handler, expect_handler=_expect)
    if method != "*":
        app.router.add_route("*", path, _bad_method, expect_handler=_expect)


async def _unknown_path(req: web.Request) -> web.StreamResponse:
    raise errors.refuse(404, "http_404", "There is nothing at this path.")


async def _bad_method(req: web.Request) -> web.StreamResponse:
    raise errors.refuse(405, "http_405", "The path does not take this method.")


async def _expect(req: web.Request) -> web.StreamResponse | None:
    """Answer an Expect header; aiohttp's own handler fails on bytes that are no text.

    It runs outside the middlewares, so that it returns its refusal.
    """
    if req.headers.get("Expect", "").lower() == "100-continue":
        await req.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        req.writer.output_size = 0
        return None
    refusal = errors.Refusal(
        status=417, code="http_417", message="Only Expect: 100-continue is served."
    )
    return reply.error_response(refusal, intake.request_id_of(req))


def _simple(rt: runtime.Runtime, handler: collections.abc.Callable) -> Handler:
    async def handle(req: web.Request) -> web.StreamResponse:
        return await handler(rt, req)

    return handle


def _counted(rt: runtime.Runtime, handler: Handler) -> collections.abc.Callable:
    """Wrap a handler: request id, counts, log line, error answers."""

    async def handle(req: web.Request) -> web.StreamResponse:
        request_id = intake.request_id_of(req)
        started = time.monotonic()
        rt.in_flight += 1
        try:
            resp = await handler(rt, req, request_id)
        except errors.RefusalError as exc:
            resp = _refused(rt, exc, request_id)
        finally:
            rt.in_flight -= 1
        _count(rt, req, resp, request_id, time.monotonic() - started)
        return resp

    return handle


def _refused(
    rt: runtime.Runtime, exc: errors.RefusalError, request_id: str
) -> web.Response:
    refusal = exc.refusal
    rt.meters.refusals.labels(refusal.code, refusal.ran).inc()
    logger.bind(request_id=request_id, code=refusal.code, ran=refusal.ran).info(
        "request refused"
    )
    return reply.error_response(refusal, request_id)


def _count(
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
    rt.burn_meter.record(series, good=resp.status < GOOD_BELOW, latency_s=elapsed_s)
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
    """Give every error that nobody handled the one error shape."""
    request_id = intake.request_id_of(req)
    try:
        return await handler(req)
    except errors.RefusalError as exc:
        return reply.error_response(exc.refusal, request_id)
    except web.HTTPException as exc:
        refusal = errors.Refusal(
            status=exc.status,
            code=f"http_{exc.status}",
            message=exc.reason or "The request was not understood.",
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
