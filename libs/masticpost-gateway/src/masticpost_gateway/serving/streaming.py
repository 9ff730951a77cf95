"""Requests whose answer is a stream of events: cascades, and resumption after cuts."""

import asyncio

import aiohttp
from aiohttp import web
from masticpost_common import clock, errors, retry

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
from masticpost_gateway.upstreams import conns, protocol

FIRST_EVENT_SHARE = 1.5
GAP_SHARE = 3.0
MAX_EVENT_BYTES = 2**20


class CutError(Exception):
    """The stream was cut before its end."""


class Streaming:
    """One stream towards a caller, over one or more tries.

    Parameters
    ----------
    parts : shared.Shared
        Parts of the instance.
    call : call.Call
        The request.
    req : web.BaseRequest
        Where the events go.
    policy : cascade.Policy
        Choice of the model.
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
        self.run = attempts.Attempts(parts=parts, call=call)
        self.level = 0
        self.resp: web.StreamResponse | None = None
        self.last_id = ""
        self.failed: web.Response | None = None

    async def serve(self) -> web.StreamResponse:
        """Serve the stream to its end.

        Raises
        ------
        errors.RefusalError
            The request was given up before the caller got anything.
        CutError
            It was given up in the middle of the stream.
        """
        try:
            return await self._serve()
        except errors.RefusalError:
            if self.failed is None:
                raise
            return self.failed

    async def _serve(self) -> web.StreamResponse:
        while True:
            opened = await self._open()
            if opened.is_failure:
                await self._take_failure(opened)
                self._require_another(f"failed {opened.resp.status}")
                continue
            if self._escalates(opened):
                continue
            if await self._forward(opened):
                await self.resp.write_eof()
                return self.resp
            self._require_another("the stream was cut")

    @property
    def _model(self) -> str:
        levels = self.call.route.levels
        return levels[self.level] if levels else ""

    async def _open(self) -> answer.OpenAnswer:
        while True:
            try:
                upstream = await self.run.next_upstream(self._model)
            except errors.RefusalError as exc:
                self._give_up(exc)
            try:
                overdue_after_s = FIRST_EVENT_SHARE * self.call.route.objective_s
                return await self.run.open(
                    upstream,
                    self._model,
                    overdue_after_s,
                    silent_after_s=overdue_after_s,
                    last_id=self.last_id,
                )
            except sending.TryError as exc:
                self._require_another(exc.reason, exc.verdict)

    def _require_another(
        self, reason: str, verdict: retry.Verdict = retry.Verdict.NOT_KNOWN
    ) -> None:
        """Raise unless one more try is allowed after a failure."""
        never_ran = verdict is retry.Verdict.NEVER_JUDGED
        may_repeat = never_ran or self.call.route.kind.may_repeat
        if may_repeat and self.run.may_try_again():
            return
        if self.run.may_have_run and self.call.left_s() <= 0:
            self._give_up(
                errors.refuse(
                    504, outcomes.Outcome.TIMEOUT, reason, ran=errors.RAN_MAYBE
                )
            )
        self._give_up(self.run.refusal(reason))

    def _give_up(self, exc: errors.RefusalError) -> None:
        if self.resp is not None:
            raise CutError(exc.refusal.message) from exc
        raise exc

    async def _take_failure(self, opened: answer.OpenAnswer) -> None:
        """Keep a failure that the upstream reports, to be the answer if none is."""
        result = f"failed {opened.resp.status}"
        self.run.feedback.bad(opened, result)
        self.run.leave_version(opened.upstream.version)
        try:
            async with asyncio.timeout(self._failure_timeout()):
                body = await opened.resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            result = f"cut after {result}"
            return
        finally:
            self.run.close(opened, result)
        passed = headers.end_to_end(opened.resp.headers, frozenset())
        self.failed = web.Response(status=opened.resp.status, headers=passed, body=body)

    def _failure_timeout(self) -> float:
        return min(self.call.left_s(), GAP_SHARE * self.call.route.gap_s)

    def _escalates(self, opened: answer.OpenAnswer) -> bool:
        """Drop an answer that is to be asked of a larger model."""
        if self.resp is not None or not self.call.route.levels:
            return False
        step = self._step(opened)
        target = self.policy(step)
        if target is not None and not self.run.may_try_again(is_planned=True):
            target = None
        opened.confidence = step.confidence
        self._note_decision(step, target)
        if target is None:
            return False
        self.run.feedback.good(opened)
        self.run.close(opened, f"dropped {step.confidence:.2f} for {target}")
        self.level = target
        self.run.tried.clear()
        return True

    def _note_decision(self, step: cascade.Step, target: int | None) -> None:
        """Keep what decided on the model, for the request's line in the log."""
        if not step.options:
            return
        levels, largest = self.call.route.levels, step.options[-1]
        decision = calls.ModelDecision(
            model=levels[step.level],
            chosen="" if target is None else levels[target],
            confidence=step.confidence,
            backlog_s=step.backlog_s,
            first_s=largest.first_s,
            total_s=largest.total_s,
            read_s=largest.read_s,
        )
        self.call.decisions.append(decision)

    def _step(self, opened: answer.OpenAnswer) -> cascade.Step:
        levels = self.call.route.levels
        ready = self.run.usable()
        options = [
            self._option(number, ready) for number in range(self.level + 1, len(levels))
        ]
        return cascade.Step(
            level=self.level,
            levels=len(levels),
            confidence=opened.head.confidence,
            objective_left_s=self.call.objective_left_s(),
            deadline_left_s=self.call.left_s(),
            backlog_s=self.shared.places.backlog_s(ready),
            options=tuple(options) if ready else (),
        )

    def _option(self, number: int, ready: list[model.Upstream]) -> cascade.Option:
        levels, costs = self.call.route.levels, self.call.service.costs
        reading = self.run.reading(levels[number])
        pace = self.shared.places.pace.of(self.call.service.name, levels[number])
        first_s = 0.0
        if ready and reading is not None:
            first_s = self.shared.places.first_s(ready, reading)
        tokens = self.call.head.prompt.tokens_expected
        return cascade.Option(
            level=number,
            first_s=first_s,
            total_s=first_s + tokens * pace.write_s,
            read_s=self.call.head.prompt.tokens_in * pace.read_s,
            cost=costs.get(levels[number], 0.0) / max(costs.values(), default=1.0),
        )

    async def _forward(self, opened: answer.OpenAnswer) -> bool:
        """Pass events on; return whether the stream came to its end."""
        result = "cancelled"
        try:
            await self._pass_events(opened)
            result = "ok"
        except (aiohttp.ClientError, OSError, TimeoutError, CutError) as exc:
            if self.req.transport is None:
                raise asyncio.CancelledError from exc
            result = f"cut: {type(exc).__name__}"
            self.run.feedback.bad(opened, result)
        finally:
            self.run.close(opened, result)
        return result == "ok"

    async def _pass_events(self, opened: answer.OpenAnswer) -> None:
        splitter = events.Splitter()
        protocol.renew_byte_limit(opened.resp, MAX_EVENT_BYTES)
        ending = conns.BodyEndCheck(opened.resp)
        heard_at = clock.now()
        overdue_after_s = GAP_SHARE * self.call.route.gap_s
        leaves = migration.stall_rules(
            self.run,
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
                leaves=leaves,
                waited_s=clock.now() - heard_at,
            )
            if not data:
                break
            found = splitter.feed(data)
            if not found:
                # Bytes that complete no event are no progress.
                if stalls.is_stalled(leaves, clock.now() - heard_at):
                    raise CutError("bytes came, but no event")
                continue
            protocol.renew_byte_limit(opened.resp, MAX_EVENT_BYTES)
            now = clock.now()
            self.run.feedback.came(opened, len(found), now - heard_at)
            opened.health.last_response_at = heard_at = now
            await self._write(opened, found)
        ending.check()
        if splitter.has_partial_event or not opened.pace.events:
            raise CutError("the stream ended within an event")
        self.run.feedback.stream_ended(opened.pace)
        self.run.feedback.good(opened)

    async def _write(
        self, opened: answer.OpenAnswer, found: list[events.StreamEvent]
    ) -> None:
        if self.resp is None:
            await self._begin(opened)
        await self.resp.write(b"".join(event.raw for event in found))
        self.last_id = found[-1].event_id or self.last_id

    async def _begin(self, opened: answer.OpenAnswer) -> None:
        self.call.first_event_s = clock.now() - self.call.started_at
        passed = headers.end_to_end(opened.resp.headers, frozenset())
        self.resp = web.StreamResponse(status=opened.resp.status, headers=passed)
        self.resp.enable_chunked_encoding()
        if self.shared.closing_at is not None:
            self.resp.force_close()
        await self.resp.prepare(self.req)
