"""Error and JSON responses to callers."""

import math

import attrs
from aiohttp import web
from masticpost_common import codec, errors
from masticpost_telemetry import callerconns

JSON = "application/json"


@attrs.frozen(kw_only=True)
class ErrorBody:
    """An error in a response body; `type` is for OpenAI clients."""

    code: str
    message: str
    type: str
    ran: str
    retry_after_s: float | None = None
    request_id: str = ""


@attrs.frozen(kw_only=True)
class ErrorEnvelope:
    """The body of every error response."""

    error: ErrorBody


def error_body(refusal: errors.Refusal, request_id: str) -> ErrorEnvelope:
    """Return the response body for a refusal."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    return ErrorEnvelope(
        error=ErrorBody(
            code=refusal.code,
            message=refusal.message,
            type=kind,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after_s,
            request_id=request_id,
        )
    )


def error_response(refusal: errors.Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers = {"X-Request-Id": request_id, "X-Request-Ran": refusal.ran}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    resp = web.Response(
        status=refusal.status,
        body=codec.to_json(error_body(refusal, request_id)),
        content_type=JSON,
        headers=headers,
    )
    resp[callerconns.REFUSED_KEY] = True
    return resp


def json_response(value: object, headers: dict[str, str] | None = None) -> web.Response:
    """Return a JSON response."""
    return web.Response(body=codec.to_json(value), content_type=JSON, headers=headers)


def ending_error() -> errors.RefusalError:
    """Return the error for a request that is given up as this instance ends."""
    return errors.refuse(
        502,
        "instance_ended",
        "The instance ended before the upstream had answered.",
        ran=errors.RAN_MAYBE,
    )


def cancelled_error() -> errors.RefusalError:
    """Return the error for a request that a fault of this instance cancelled."""
    return errors.refuse(
        502,
        "cancelled",
        "The instance gave the request up before the upstream had answered.",
        ran=errors.RAN_MAYBE,
    )
