"""Requests with a stream of events as answer: cascades, and resumption after cuts."""

import asyncio

import aiohttp
from aiohttp import web
from masticpost_common import clock, errors, retry
from masticpost_telemetry import callerconns
from masticpost_upstream import bodies, connections, limits

from masticpost_gateway import shared
from masticpost_gateway.routing import cascade
from masticpost_gateway.serving import (
    answer,
    attempts,
    events,
    headers,
    migration,
    outcomes,
    sending,
    stalls,
)
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model

# An upstream is overdue with its first event after this many latency objectives.
FIRST_EVENT_FACTOR = 1.5
# An upstream is overdue with the next event, or with the rest of a server error, after
# this many of the route's gap times. A stream waits as long for one that resumes it.
GAP_FACTOR = 3.0
MAX_EVENT_BYTES = 2**20
# Comments and empty lines that may follow each other without an event.
MAX_DATALESS_BYTES = 65_536
OK = 200
EVENT_STREAM = "text/event-stream"


class StreamRelay:
    """Relays one stream to a caller, over one or more attempts.

    Parameters
    ----------
    parts : shared.Shared
        Components of the instance that all requests use.
    call : call.Call
        The request.
    req : web.BaseRequest
        The caller's HTTP request, which gets the events.
    policy : cascade.Policy
        Decides when to escalate to a larger model.

    Attributes
    ----------
    level : int
        Index of the current model in the levels of the route, 0 for the smallest.
    resp : web.StreamResponse or None
        The response to the caller, None until its first event.
    last_id : str
        Id of the last event written to the caller.
    failure_answer : web.Response or None
        The last server error of an upstream, sent if no attempt succeeds.
    """

    def __init__(
        self,
        *,
        parts: shared.Shared,
        call: calls.Call,
        req: web.BaseRequest,
        policy: cascade.Policy,
    ) -> None:
        self.shared = parts
        self.call = call
        self.req = req
        self.policy = policy
        self.attempts = attempts.Attempts(parts=parts, call=call)
        self.level = 0
        self.resp: web.StreamResponse | None = None
        self.last_id = ""
        self.failure_answer: web.Response | None = None

    async def serve(self) -> web.StreamResponse:
        """Serve the stream to its end.

        Raises
        ------
        errors.RefusalError
            The request was given up before any event was written to the caller.
        answer.CutError
            The request was given up in the middle of the stream.
        """
        try:
            return await self._serve()
        except errors.RefusalError:
            if self.failure_answer is None:
                raise
            return self.failure_answer
        finally:
            self.attempts.dispatches.release()

    async def _serve(self) -> web.StreamResponse:
        while True:
            opened = await self._open()
            if opened.is_failure:
                await self._keep_failure(opened)
                self._require_retry(f"failed {opened.resp.status}")
                continue
            if not _is_stream(opened):
                answered = await self._forward_error(opened)
                if answered is not None:
                    return answered
                continue
            if self._escalate(opened):
                continue
            if await self._forward(opened):
                await self.resp.write_eof()
                return self.resp
            self._require_retry("the stream was cut")

    @property
    def _model(self) -> str:
        levels = self.call.route.levels
        return levels[self.level] if levels else ""

    async def _open(self) -> answer.OpenAnswer:
        resume_by = None
        if self.resp is not None:
            resume_by = clock.now() + GAP_FACTOR * self.call.route.gap_s
        while True:
            try:
                upstream = await self.attempts.next_upstream(
                    self._model, resume_by=resume_by
                )
            except errors.RefusalError as exc:
                self._give_up(exc)
            try:
                overdue_after_s = FIRST_EVENT_FACTOR * self.call.route.objective_s
                return await self.attempts.open(
                    upstream,
                    self._model,
                    overdue_after_s,
                    silent_after_s=overdue_after_s,
                    last_id=self.last_id,
                )
            except sending.TryError as exc:
                await self.attempts.fund()
                self._require_retry(exc.reason, exc.verdict)

    def _require_retry(
        self, reason: str, verdict: retry.Verdict = retry.Verdict.NOT_KNOWN
    ) -> None:
        """Raise unless another attempt is allowed after a failure."""
        did_not_run = verdict is retry.Verdict.NOT_PROCESSED
        may_repeat = did_not_run or self.call.route.kind.may_repeat
        # A begun stream can wait for budget as long as for an upstream.
        is_begun = self.resp is not None and self.attempts.may_continue
        if may_repeat and (is_begun or self.attempts.may_retry()):
            return
        if self.attempts.may_have_run and self.call.left_s() <= 0:
            self._give_up(
                errors.refuse(
                    504, outcomes.Outcome.TIMEOUT, reason, ran=errors.RAN_MAYBE
                )
            )
        self._give_up(self.attempts.refusal(reason))

    def _give_up(self, exc: errors.RefusalError) -> None:
        if self.resp is not None:
            raise answer.CutError(exc.refusal.message) from exc
        raise exc

    async def _keep_failure(self, opened: answer.OpenAnswer) -> None:
        """Keep a server error of an upstream, to be sent if no attempt succeeds."""
        result = f"failed {opened.resp.status}"
        self.attempts.feedback.record_failure(opened, result)
        self.attempts.avoid_version(opened.upstream.version)
        try:
            async with asyncio.timeout(self._failure_timeout_s()):
                body = await bodies.read(opened.resp)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            bodies.drop_frames(exc)
            result = f"cut after {result}"
            return
        finally:
            self.attempts.close(opened, result)
        forwarded = headers.end_to_end(opened.resp.headers, frozenset())
        self.failure_answer = web.Response(
            status=opened.resp.status, headers=forwarded, body=body
        )

    async def _forward_error(self, opened: answer.OpenAnswer) -> web.Response | None:
        """Return a whole answer that is no stream, None if another attempt is due.

        It is never a part of a stream that has begun.
        """
        result = f"no stream: {opened.resp.status}"
        try:
            if self.resp is None:
                async with asyncio.timeout(self.call.left_s()):
                    body = await bodies.read(opened.resp)
                result = "ok"
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            bodies.drop_frames(exc)
            result = f"cut: {type(exc).__name__}"
            self.attempts.feedback.record_failure(opened, result)
        finally:
            self.attempts.close(opened, result)
        if result != "ok":
            self._require_retry(result)
            return None
        forwarded = headers.end_to_end(opened.resp.headers, frozenset())
        return web.Response(status=opened.resp.status, headers=forwarded, body=body)

    def _failure_timeout_s(self) -> float:
        return min(self.call.left_s(), GAP_FACTOR * self.call.route.gap_s)

    def _escalate(self, opened: answer.OpenAnswer) -> bool:
        """Return whether to escalate to a larger model; drop the answer if so."""
        if self.resp is not None or not self.call.route.levels:
            return False
        upstreams = self._upstreams_by_level(opened)
        state = self._cascade_state(opened, upstreams)
        target = self.policy(state)
        if target not in upstreams or not self.attempts.may_retry(is_planned=True):
            # An answer that is there is better than a wait for an upstream.
            target = None
        opened.confidence = state.confidence
        self._note_decision(state, target)
        if target is None:
            return False
        self.attempts.feedback.record_success(opened)
        self.attempts.close(opened, f"dropped {state.confidence:.2f} for {target}")
        self.level = target
        self.attempts.restart_at(upstreams[target])
        return True

    def _upstreams_by_level(
        self, opened: answer.OpenAnswer
    ) -> dict[int, model.Upstream]:
        """Return the upstream that would run each larger model, where one is ready."""
        levels = self.call.route.levels
        # An escalation closes the connection of this answer first.
        opened.health.outstanding -= 1
        try:
            found = {
                level: self.attempts.peek(levels[level], opened.upstream.version)
                for level in range(self.level + 1, len(levels))
            }
        finally:
            opened.health.outstanding += 1
        return {level: row for level, row in found.items() if row is not None}

    def _note_decision(self, state: cascade.CascadeState, target: int | None) -> None:
        """Record the inputs of the decision for the log line of the request."""
        if not state.options:
            return
        levels, largest = self.call.route.levels, state.options[-1]
        decision = calls.ModelDecision(
            model=levels[state.level],
            chosen="" if target is None else levels[target],
            confidence=state.confidence,
            backlog_s=state.backlog_s,
            first_s=largest.first_s,
            total_s=largest.total_s,
            read_s=largest.prefill_s,
            delay_factor=state.delay_factor,
        )
        self.call.decisions.append(decision)

    def _cascade_state(
        self, opened: answer.OpenAnswer, upstreams: dict[int, model.Upstream]
    ) -> cascade.CascadeState:
        classes = self.shared.contention.classes_of(self.call.service.name)
        factor = classes.delay_factor(self.call.priority) if classes else 1.0
        return cascade.CascadeState(
            level=self.level,
            levels=len(self.call.route.levels),
            confidence=opened.head.confidence,
            objective_left_s=self.call.objective_left_s(),
            deadline_left_s=self.call.left_s(),
            backlog_s=self.shared.placement.backlog_s(self.attempts.usable()),
            delay_factor=factor,
            options=tuple(self._option(*row) for row in upstreams.items()),
        )

    def _option(self, level: int, upstream: model.Upstream) -> cascade.Option:
        levels, costs = self.call.route.levels, self.call.service.costs
        prompt, service = self.call.head.prompt, self.call.service.name
        forecasts = self.shared.forecasts
        decode_s = forecasts.safe_decode_s(
            service, levels[: level + 1], prompt.tokens_expected
        )
        prefill = self.attempts.prefill(levels[level])
        expected = forecasts.of(upstream, prefill, decode_s)
        expected = forecasts.calibrated(expected, prefill)
        speed = self.shared.placement.speeds.of(service, levels[level])
        return cascade.Option(
            level=level,
            first_s=expected.first_s,
            total_s=expected.total_s,
            prefill_s=prompt.tokens_in * speed.prefill_token_s,
            cost=costs.get(levels[level], 0.0) / max(costs.values(), default=1.0),
        )

    async def _forward(self, opened: answer.OpenAnswer) -> bool:
        """Forward the events; return whether the stream came to its end."""
        result = "cancelled"
        try:
            await self._forward_events(opened)
            result = "ok"
        except (aiohttp.ClientError, OSError, TimeoutError, answer.CutError) as exc:
            if self.req.transport is None:
                raise asyncio.CancelledError from exc
            bodies.drop_frames(exc)
            result = f"cut: {type(exc).__name__}"
            self.attempts.feedback.record_failure(opened, result)
            if self.call.left_s() <= 0:
                self.attempts.feedback.record_pace(opened)
        finally:
            self.attempts.close(opened, result)
        return result == "ok"

    async def _forward_events(self, opened: answer.OpenAnswer) -> None:
        limits.renew(opened.resp, MAX_EVENT_BYTES)
        splitter, dataless = events.Splitter(), 0
        last_event_at = clock.now()
        overdue_after_s = GAP_FACTOR * self.call.route.gap_s
        rules = migration.stall_rules(
            self.attempts,
            opened.upstream,
            opened.level,
            overdue_after_s,
            is_counted=True,
            silent_after_s=overdue_after_s,
        )
        while True:
            data = await stalls.wait(
                opened.resp.content.readany(),
                limit_s=self.call.left_s(),
                rules=rules,
                waited_s=clock.now() - last_event_at,
            )
            if not data:
                break
            completed = splitter.feed(data)
            fresh = self._until_repeated(completed)
            count = sum(event.has_data for event in fresh)
            now = clock.now()
            if count:
                dataless = 0
                limits.renew(opened.resp, MAX_EVENT_BYTES)
                self.attempts.feedback.record_events(opened, count, now - last_event_at)
                self.attempts.suspects.note_events(opened)
                opened.health.last_response_at = last_event_at = now
                await self._write(opened, fresh)
                self.attempts.feedback.record_passed_on(opened)
            else:
                # Bytes that complete no event do not count as progress.
                dataless += sum(len(block.raw) for block in fresh)
                if stalls.is_stalled(rules, now - last_event_at):
                    raise answer.CutError("received bytes but no event in time")
                if dataless > MAX_DATALESS_BYTES:
                    raise answer.CutError("received comments without end")
                await self._write_comments(fresh)
            if len(fresh) < len(completed):
                raise answer.CutError("an event came twice")
        connections.check_body_end(opened.resp)
        if splitter.has_partial_event or not opened.progress.events:
            raise answer.CutError(
                "the stream ended with an incomplete event or with none"
            )
        self.attempts.feedback.record_stream_end(opened.progress)
        self.attempts.feedback.record_pace(opened)
        self.attempts.feedback.record_success(opened)

    async def _write(
        self, opened: answer.OpenAnswer, completed: list[events.StreamEvent]
    ) -> None:
        if self.resp is None:
            await self._begin_response(opened)
        await self.resp.write(b"".join(event.raw for event in completed))
        ids = [event.event_id for event in completed if event.event_id]
        self.last_id = ids[-1] if ids else self.last_id

    async def _write_comments(self, blocks: list[events.StreamEvent]) -> None:
        """Pass comments on, but do not begin the response with them."""
        if self.resp is not None and blocks:
            await self.resp.write(b"".join(block.raw for block in blocks))

    def _until_repeated(
        self, completed: list[events.StreamEvent]
    ) -> list[events.StreamEvent]:
        """Return the events before the first that has the id of the one before it."""
        last_id = self.last_id
        for number, event in enumerate(completed):
            if event.event_id and event.event_id == last_id:
                return completed[:number]
            last_id = event.event_id or last_id
        return completed

    async def _begin_response(self, opened: answer.OpenAnswer) -> None:
        self.call.first_event_s = clock.now() - self.call.started_at
        forwarded = headers.end_to_end(opened.resp.headers, frozenset())
        self.resp = web.StreamResponse(status=opened.resp.status, headers=forwarded)
        self.resp.enable_chunked_encoding()
        if self.shared.closing_at is not None and callerconns.may_close(self.req):
            self.resp.force_close()
        await self.resp.prepare(self.req)


def _is_stream(opened: answer.OpenAnswer) -> bool:
    return opened.resp.status == OK and opened.resp.content_type == EVENT_STREAM
