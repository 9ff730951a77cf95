"""HTTP handler for callers: admission, serving and refusal of requests."""

import asyncio

import multidict
from aiohttp import web
from loguru import logger
from masticpost_common import clock, errors
from masticpost_telemetry import callerconns

from masticpost_gateway import shared
from masticpost_gateway.serving import answer, headers, outcomes, plain, streaming
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model, source
from masticpost_gateway.state import table as tables

# Age up to which a cached configuration counts as current.
CONFIG_FRESH_S = 6.0
NO_CONFIG_RETRY_AFTER_S = 0.5
DEFAULT_TIMEOUT_S = 60.0
CLIENT_CLOSED_REQUEST = 499
# Time after the order to stop during which new requests are still accepted.
ACCEPT_AFTER_STOP_S = 2.8
STOPPING_RETRY_AFTER_S = 0.05
NO_MEMORY_RETRY_AFTER_S = 0.5


class Gateway:
    """Handler of callers' requests.

    Parameters
    ----------
    parts : shared.Shared
        Components of the instance that all requests use.

    Attributes
    ----------
    active_conns : dict of asyncio.Protocol to asyncio.Task
        Connections on which a request is being served, and the tasks that serve them.
    """

    def __init__(self, *, parts: shared.Shared) -> None:
        self.shared = parts
        self.active_conns: dict[asyncio.Protocol, asyncio.Task] = {}
        self._is_ending = False
        names = parts.names
        own = (names.key, names.customer, names.expected_instance, names.urgency)
        self._stripped_names = names.internal | {name.lower() for name in own}

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        started_at = clock.now()
        conn = req.protocol
        self.active_conns[conn] = asyncio.current_task()
        try:
            resp = await self._handle(req, started_at)
        finally:
            self.active_conns.pop(conn, None)
        if self.shared.closing_at is not None and callerconns.may_close(req):
            resp.force_close()
        return resp

    def end_all(self) -> None:
        """Give up the requests at work; those without an answer get a refusal.

        Streams that have begun are cut.
        """
        self._is_ending = True
        for task in list(self.active_conns.values()):
            task.cancel()

    async def _handle(
        self, req: web.BaseRequest, started_at: float
    ) -> web.StreamResponse:
        try:
            call = await self._admit(req, started_at)
        except errors.RefusalError as exc:
            self._log_refused(req, exc.refusal)
            resp = refusal_response(exc.refusal)
            if isinstance(exc.__cause__, callerconns.BODY_ERRORS):
                resp.force_close()
            return resp
        except asyncio.CancelledError:
            if callerconns.has_left(req):
                raise
            asyncio.current_task().uncancel()
            refusal = self._stopping_error().refusal
            self._log_refused(req, refusal)
            return refusal_response(refusal)
        self.shared.retries.record_request(call.service.name, started_at)
        try:
            resp = await self._serve(call, req)
        except errors.RefusalError as exc:
            refusal = exc.refusal
            outcome = outcomes.Outcome(refusal.code)
            self._record_end(call, outcome, refusal.status, refusal.message)
            return refusal_response(refusal)
        except answer.CutError as exc:
            self._record_end(call, outcomes.Outcome.CUT, 200, str(exc))
            req[callerconns.CUT_KEY] = str(exc)
            req.transport.close()
            # aiohttp.server logs any other exception, besides the line of this request.
            raise asyncio.CancelledError from exc
        except asyncio.CancelledError:
            if callerconns.has_left(req):
                self._record_end(
                    call, outcomes.Outcome.CALLER_GONE, CLIENT_CLOSED_REQUEST
                )
                raise
            if call.first_event_s is None and not req.writer.output_size:
                asyncio.current_task().uncancel()
                return self._end_unanswered(call)
            reason = "given up by this instance"
            self._record_end(call, outcomes.Outcome.CUT, 200, reason)
            req[callerconns.CUT_KEY] = reason
            raise
        self._record_end(call, outcomes.Outcome.ANSWERED, resp.status)
        return resp

    def _end_unanswered(self, call: calls.Call) -> web.Response:
        """Return the answer to a request that this instance gives up."""
        reason = "this instance ended before the upstream had answered"
        if not self._is_ending:
            reason = "the request was cancelled by a fault of this instance"
            logger.bind(event="account", id=call.head.request_id).exception(reason)
        error = errors.refuse(
            503,
            outcomes.Outcome.STOPPING if self._is_ending else outcomes.Outcome.NOT_RUN,
            reason,
            retry_after_s=STOPPING_RETRY_AFTER_S,
        )
        if call.records:
            error = errors.refuse(
                502, outcomes.Outcome.UPSTREAM_FAILED, reason, ran=errors.RAN_MAYBE
            )
        refusal = error.refusal
        outcome = outcomes.Outcome(refusal.code)
        self._record_end(call, outcome, refusal.status, refusal.message)
        return refusal_response(refusal)

    async def _serve(
        self, call: calls.Call, req: web.BaseRequest
    ) -> web.StreamResponse:
        if not call.route.kind.is_stream:
            return await plain.serve(self.shared, call, req)
        stream = streaming.StreamRelay(
            parts=self.shared, call=call, req=req, policy=self.shared.policy
        )
        return await stream.serve()

    async def _admit(self, req: web.BaseRequest, started_at: float) -> calls.Call:
        table = self.shared.records.table
        if table is None:
            raise errors.refuse(
                503,
                outcomes.Outcome.NO_CONFIGURATION,
                "no configuration loaded yet",
                retry_after_s=NO_CONFIG_RETRY_AFTER_S,
            )
        target = req.raw_path
        path = target.partition("?")[0]
        self._refuse_while_closing(started_at)
        route = table.route(req.headers.get("Host", ""), path)
        if route is None:
            raise self._unknown_error(
                404, outcomes.Outcome.NO_ROUTE, "no route matches host and path"
            )
        head = headers.read_call(req.headers, self.shared.names)
        customer = self._customer(table, route, head)
        body = await self._read_body(req, table.cfg.limits)
        self._refuse_while_closing(clock.now())
        timeout_s = min(
            route.timeout_s or DEFAULT_TIMEOUT_S, head.deadline_s or DEFAULT_TIMEOUT_S
        )
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return calls.Call(
            head=head,
            route=route,
            service=table.service_of(route, head.session or head.request_id),
            customer=customer.name if customer is not None else "",
            priority=priority,
            method=req.method,
            target=target,
            passed=self._forwarded_headers(req),
            body=body,
            started_at=started_at,
            deadline_at=started_at + timeout_s,
            config_version=table.cfg.version,
        )

    def _refuse_while_closing(self, now: float) -> None:
        """Refuse a request that may not be answered before this instance ends."""
        closing_at = self.shared.closing_at
        if closing_at is not None and now > closing_at + ACCEPT_AFTER_STOP_S:
            raise self._stopping_error()

    def _stopping_error(self) -> errors.RefusalError:
        return errors.refuse(
            503,
            outcomes.Outcome.STOPPING,
            "this instance is shutting down",
            retry_after_s=STOPPING_RETRY_AFTER_S,
        )

    def _customer(
        self, table: tables.Table, route: model.Route, head: headers.CallHead
    ) -> model.Customer | None:
        if route.is_keyless or not table.has_customers:
            return None
        customer = table.customer(head.key)
        if customer is None:
            raise self._unknown_error(
                401, outcomes.Outcome.UNKNOWN_KEY, "the API key is not known"
            )
        return customer

    def _unknown_error(
        self, status: int, code: str, message: str
    ) -> errors.RefusalError:
        """Return the refusal of an unknown route or key.

        It is final only while the cached configuration is fresh; else the caller is
        asked to retry.
        """
        view = self.shared.records.views[source.Kind.CONFIGURATION]
        age_s = view.age_s(clock.now())
        if age_s <= CONFIG_FRESH_S:
            return errors.refuse(status, code, message)
        return errors.refuse(
            503,
            outcomes.Outcome.CONFIGURATION_TOO_OLD,
            f"{message} (configuration last confirmed {age_s:.1f} s ago)",
            retry_after_s=NO_CONFIG_RETRY_AFTER_S,
        )

    async def _read_body(self, req: web.BaseRequest, limits: model.Limits) -> bytes:
        try:
            return await callerconns.read_body(req, limits.body_bytes)
        except callerconns.BodyTooLargeError as exc:
            raise errors.refuse(
                413,
                outcomes.Outcome.TOO_LARGE,
                "the request body exceeds the size limit",
            ) from exc
        except callerconns.BodyRejectedError as exc:
            if exc.is_slow:
                raise errors.refuse(
                    408,
                    outcomes.Outcome.TOO_SLOW,
                    "the request body did not arrive in time",
                ) from exc
            raise errors.refuse(
                503,
                outcomes.Outcome.NOT_RUN,
                "this instance has no memory for the request body",
                retry_after_s=NO_MEMORY_RETRY_AFTER_S,
            ) from exc

    def _forwarded_headers(self, req: web.BaseRequest) -> multidict.CIMultiDict:
        return headers.end_to_end(req.headers, self._stripped_names)

    def _record_end(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        status: int,
        reason: str = "",
    ) -> None:
        call.log_end(outcome, status, reason)
        self.shared.metrics.record_end(call, outcome, status)

    def _log_refused(self, req: web.BaseRequest, refusal: errors.Refusal) -> None:
        view = self.shared.records.views[source.Kind.CONFIGURATION]
        logger.bind(
            event="request",
            id=req.headers.get(self.shared.names.request_id, ""),
            outcome=refusal.code,
            status=refusal.status,
            reason=refusal.message,
            config_rev=view.at,
            config_age_s=round(view.age_s(clock.now()), 3),
        ).info("request refused")
        self.shared.metrics.record_refusal(refusal)


def refusal_response(refusal: errors.Refusal) -> web.Response:
    """Return the HTTP response for a refusal."""
    extra = {}
    if refusal.retry_after_s is not None:
        extra["Retry-After"] = f"{refusal.retry_after_s:.2f}"
    resp = web.Response(
        status=refusal.status, headers=extra, text=f"{refusal.code}: {refusal.message}"
    )
    resp[callerconns.REFUSED_KEY] = True
    return resp
