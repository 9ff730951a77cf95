"""Checks that all requests share: authentication, service, headers and deadline."""

import asyncio
import hashlib
import re
import time
import uuid

import attrs
from aiohttp import web
from masticpost_common import errors
from masticpost_telemetry import callerconns
from masticpost_text import model

from masticpost_entry import runtime

ID_HEADER = "X-Request-Id"
ID_PATTERN = re.compile(r"[A-Za-z0-9._:@/+=-]{1,128}")
BEARER = "Bearer "
CALL_KEY = "masticpost-call"
MAX_KEY_CHARS = 256
BODY_TIMEOUT_S = 10.0
DEADLINE_HEADER = "X-Request-Timeout-Ms"
MIN_DEADLINE_MS = 1
STALE_RETRY_S = 2.0
STOPPING_RETRY_S = 1.0
NO_MEMORY_RETRY_S = 1.0


@attrs.define(kw_only=True)
class Call:
    """A caller's request after the checks that all requests share.

    `deadline` and `started` are monotonic times in seconds.
    """

    request_id: str
    customer: model.Customer
    service: model.Service
    deadline: float
    started: float
    session: str = ""
    idempotency_key: str = ""

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()

    def check_deadline(self, *, ran: str = errors.RAN_NO) -> None:
        """Raise `errors.RefusalError` if the deadline has passed."""
        if self.remaining_s() <= 0:
            raise errors.refuse(
                504, "deadline_exceeded", "The deadline has passed.", ran=ran
            )


def id_header(req: web.Request, header: str) -> str:
    """Return an id header, empty if absent; raises `errors.RefusalError` if invalid."""
    value = req.headers.get(header, "")
    if value and not ID_PATTERN.fullmatch(value):
        raise errors.refuse(
            400,
            "bad_header",
            f"{header} must be 1 to 128 letters, digits or ._:@/+=- characters.",
        )
    return value


def request_id_of(req: web.Request) -> str:
    """Return the caller's request id, or a new one if it is absent or invalid."""
    value = req.headers.get(ID_HEADER, "")
    return value if ID_PATTERN.fullmatch(value) else uuid.uuid4().hex


def check_ready(rt: runtime.Runtime) -> None:
    """Raise `errors.RefusalError` if this instance must not take new work."""
    if rt.is_stopping:
        raise errors.refuse(
            503,
            "stopping",
            "This instance is stopping. The request was not run.",
            retry_after_s=STOPPING_RETRY_S,
        )
    if not rt.cluster.texts.is_current():
        raise errors.refuse(
            503,
            "not_current",
            "This instance cannot verify that its configuration is current. "
            "The request was not run.",
            retry_after_s=STALE_RETRY_S,
        )


def authenticate(rt: runtime.Runtime, req: web.Request) -> model.Customer:
    """Return the customer of the bearer key; raises `errors.RefusalError`.

    Keys are looked up by their SHA-256 digest, so the time that the comparison takes
    reveals nothing about a key.
    """
    header = req.headers.get("Authorization", "")
    key = header.removeprefix(BEARER)
    if not header.startswith(BEARER) or not 0 < len(key) <= MAX_KEY_CHARS:
        raise errors.refuse(401, "unauthenticated", "Send `Authorization: Bearer KEY`.")
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    cust = rt.customers_by_key.get(digest)
    if cust is None:
        raise errors.refuse(401, "unauthenticated", "The API key is unknown.")
    return cust


def find_service(
    rt: runtime.Runtime, cust: model.Customer, name: str, kind: str
) -> model.Service:
    """Return a service the customer may use; raises `errors.RefusalError`."""
    svc = rt.text.services.get(name)
    if svc is None or svc.kind != kind:
        raise errors.refuse(
            404, "unknown_service", "There is no service of that name and kind."
        )
    if name not in cust.services:
        raise errors.refuse(
            403, "not_allowed", "This customer may not use the service."
        )
    return svc


def deadline_of(req: web.Request, svc: model.Service, started: float) -> float:
    """Return the earlier of the service's deadline and the caller's; monotonic seconds.

    Raises
    ------
    errors.RefusalError
        ``bad_header``, or ``deadline_exceeded`` for a timeout below 1 ms.
    """
    header = req.headers.get(DEADLINE_HEADER)
    if header is None:
        return started + svc.deadline_s
    if not header.isascii() or not header.isdigit() or len(header) > 9:
        raise errors.refuse(
            400,
            "bad_header",
            f"{DEADLINE_HEADER} must be a whole number of milliseconds.",
        )
    left_ms = int(header)
    if left_ms < MIN_DEADLINE_MS:
        raise errors.refuse(504, "deadline_exceeded", "The deadline has passed.")
    return started + min(left_ms / 1000, svc.deadline_s)


async def read_body(req: web.Request) -> bytes:
    """Return the body; raises `errors.RefusalError` when it cannot be taken.

    It is too large, comes too slowly, or the instance has no memory for it.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await callerconns.read_body(req, runtime.MAX_BODY_BYTES)
    except callerconns.BodyTooLargeError as exc:
        raise errors.refuse(
            413, "too_large", f"The body is over {runtime.MAX_BODY_BYTES} bytes."
        ) from exc
    except callerconns.BodyRejectedError as exc:
        if exc.is_slow:
            raise _slow_body_error() from exc
        raise errors.refuse(
            503,
            "no_memory",
            "This instance has no memory for the body. The request was not run.",
            retry_after_s=NO_MEMORY_RETRY_S,
        ) from exc
    except TimeoutError as exc:
        raise _slow_body_error() from exc


def _slow_body_error() -> errors.RefusalError:
    return errors.refuse(408, "slow_body", "The body did not arrive in time.")


def make_call(
    rt: runtime.Runtime, req: web.Request, name: str, kind: str, request_id: str
) -> Call:
    """Run the checks that all calls share; raises `errors.RefusalError`."""
    started = time.monotonic()
    check_ready(rt)
    cust = authenticate(rt, req)
    svc = find_service(rt, cust, name, kind)
    rt.cluster.bills.check_backlog()
    call = Call(
        request_id=request_id,
        customer=cust,
        service=svc,
        deadline=deadline_of(req, svc, started),
        started=started,
        session=id_header(req, "X-Session-Id"),
        idempotency_key=id_header(req, "Idempotency-Key"),
    )
    req[CALL_KEY] = call
    return call
