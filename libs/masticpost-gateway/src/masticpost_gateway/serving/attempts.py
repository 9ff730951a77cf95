"""Attempts of one request: choice of the next upstream, and handling of failures."""

import asyncio
import math

import aiohttp
import attrs
from masticpost_common import clock, errors, retry
from masticpost_overload import decision
from masticpost_rates import waiting

from masticpost_gateway import shared
from masticpost_gateway.learning import feedback, trial
from masticpost_gateway.routing import choice, placement
from masticpost_gateway.serving import (
    answer,
    demands,
    dispatches,
    headers,
    migration,
    outcomes,
    picking,
    sending,
    stalls,
    suspects,
)
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import conns, leaving

POLL_S = 0.03
# Time until a begun stream that lacks retry budget looks for it again.
BUDGET_POLL_S = 0.1
# Share of the latency objective for which a request may wait for an upstream.
WAIT_OBJECTIVE_SHARE = 0.5
# Sent to callers with a refusal unless a better estimate is available.
RETRY_AFTER_S = 0.4
CLIENT_ERROR = 400
HOPELESS_REASON = "no upstream can complete the request before its deadline"


class Attempts:
    """Sends one request to one upstream after another.

    Parameters
    ----------
    parts : shared.Shared
        Components of the instance that all requests use.
    call : call.Call
        The request.

    Attributes
    ----------
    tried : set of model.Incarnation
        Runs of the upstreams that were tried with the current model.
    executions : int
        Attempts in which an upstream ran the request or may have run it.
    may_have_run : bool
        Whether there was such an attempt.
    """

    def __init__(self, *, parts: shared.Shared, call: calls.Call) -> None:
        self.shared = parts
        self.call = call
        self._subject = (
            call.service.name,
            call.head.session,
            call.head.request_id,
        )
        self.plan = trial.VersionPlan()
        self._is_planned = False
        self.feedback = feedback.Feedback(parts=parts, call=call)
        self.dispatches = dispatches.Dispatches(
            parts=parts, call=call, observer=self.feedback
        )
        self.suspects = suspects.SuspectTracker(
            crash_tracker=parts.crashes,
            exit_detector=parts.exits,
            turns=parts.trial_turns,
            call=call,
        )
        self.tried: set[model.Incarnation] = set()
        self.executions = 0
        self.may_have_run = False
        self._preferred: model.Upstream | None = None

    @property
    def has_executions_left(self) -> bool:
        """Whether the route allows one more upstream to run the request."""
        return self.executions < max(1, self.call.route.attempts)

    def may_retry(self, *, is_planned: bool = False) -> bool:
        """Return whether another attempt is allowed.

        A request that may have run claims its retry at once. One that has not run, or
        whose answer has begun, does so as it is sent, see `_has_budget`.

        Parameters
        ----------
        is_planned : bool
            Whether it is an escalation to a larger model, not a retry after a failure.
        """
        if not self.may_continue:
            return False
        if not self.dispatches.count:
            # Nothing has reached an upstream, so the next attempt is not a retry.
            return True
        now = clock.now()
        service = self.call.service.name
        is_allowed = self.shared.retries.may_retry(
            service, now, is_planned=is_planned, may_borrow=self._may_borrow
        )
        if is_allowed and self.may_have_run:
            self.dispatches.claim(may_borrow=self._may_borrow)
        return is_allowed

    @property
    def may_continue(self) -> bool:
        """Whether the route and the deadline allow one more attempt."""
        return self.has_executions_left and self.call.left_s() > 0

    @property
    def _may_borrow(self) -> bool:
        """Whether a retry may be a borrowed one.

        No upstream has run the request, or the caller has a part of the answer, which
        is worth nothing without the rest.
        """
        return not self.may_have_run or self.call.first_event_s is not None

    async def fund(self) -> None:
        """Borrow a retry if the request lacks budget for one and may borrow it."""
        left_s = self.call.left_s()
        if not self.dispatches.count or not self._may_borrow or left_s <= 0:
            return
        await self.shared.retries.fund(self.call.service.name, clock.now(), left_s)

    async def _has_budget(self) -> bool:
        """Return whether there is budget for the request as it is to be sent.

        While it waited for an upstream, others may have used the budget, or what was
        borrowed for it may have become void.
        """
        if not self.dispatches.count or self.dispatches.is_claimed:
            return True
        await self.fund()
        return self.may_retry()

    def usable(self) -> list[model.Upstream]:
        """Return the usable upstreams that are not ejected, all usable ones if none."""
        now = clock.now()
        usable = self.shared.chooser.usable(self.call.service.name, now)
        healthy = [
            u for u in usable if not self.shared.chooser.health_of(u).is_ejected(now)
        ]
        return healthy or usable

    async def next_upstream(
        self, level: str, *, resume_by: float | None = None
    ) -> model.Upstream:
        """Return the upstream for the next attempt, after a wait if none is ready.

        Parameters
        ----------
        resume_by : float or None
            Monotonic time until which an answer that has begun can wait to go on. None
            if it has not begun: a caller without an answer learns soon that it is to
            come back.

        Raises
        ------
        errors.RefusalError
            The request is quarantined, or no upstream can take it in time.
        """
        give_up_at = resume_by
        if resume_by is None:
            wait_s = WAIT_OBJECTIVE_SHARE * self.call.route.objective_s
            give_up_at = self.call.started_at + wait_s
        await self.suspects.settle()
        await self.shared.isolation.hold_while_isolated(self.call.left_s())
        await self._choose_version()
        picker = picking.Picker(parts=self.shared, call=self.call)
        until = min(give_up_at, self.call.answer_due_at)
        while True:
            self._refuse_quarantined()
            try:
                preferred, self._preferred = self._preferred, None
                upstream = await picker.pick(
                    self.requirements(level), until, preferred=preferred
                )
            except waiting.NoPermitInTimeError as exc:
                reason = "the upstreams are at the rates that they name"
                raise self.refusal(reason, exc.return_in_s) from exc
            if upstream is not None:
                if resume_by is None:
                    self._refuse_hopeless(upstream, level)
                if await self._has_budget():
                    return upstream
                if resume_by is None:
                    raise self.refusal("the retry budget is used up")
                await asyncio.sleep(BUDGET_POLL_S)
            now = clock.now()
            if now >= until:
                raise self.refusal("no upstream is ready")
            usable = self.shared.chooser.usable(self.call.service.name, now)
            if not usable and resume_by is None:
                raise self.refusal("no upstream is in service")
            ready_at = self.shared.chooser.next_ready_at(self.requirements(level), now)
            if ready_at >= give_up_at:
                raise self.refusal(
                    "no upstream accepts requests for now", ready_at - now
                )
            await asyncio.sleep(picker.pause_s(POLL_S))

    def peek(self, level: str, version: str) -> model.Upstream | None:
        """Return the upstream that would now run another model, None if none may.

        Those tried with the current model count as untried. An upstream of another
        version than the one that runs the request counts only if all requests go to
        that version: without budget for a version on trial, an escalation would take
        a session from it.

        Parameters
        ----------
        version : str
            The version that runs the request.
        """
        required = attrs.evolve(self.requirements(level), tried=frozenset())
        found = self.shared.chooser.pick(required)
        if found is None or found.version in (version, self.plan.preferred):
            return found
        return None

    def restart_at(self, upstream: model.Upstream) -> None:
        """Forget which upstreams were tried; the next attempt prefers `upstream`."""
        self.tried.clear()
        self._preferred = upstream

    async def _choose_version(self) -> None:
        """Choose the version for all attempts, with borrowed budget if needed."""
        if self._is_planned:
            return
        await self.shared.trials.fund(*self._subject)
        self.plan = self.shared.trials.plan(*self._subject)
        self._is_planned = True

    def _follow_roll_out(self) -> None:
        """Plan anew after a completed roll-out, since the other versions stop at once.

        The requests that they cut were sent from one stopped upstream to the next.
        """
        completed = self.shared.trials.completed_plan(self.call.service.name)
        if completed is not None and self.plan.preferred != completed.preferred:
            self.plan = completed

    async def open(
        self,
        upstream: model.Upstream,
        level: str,
        overdue_after_s: float,
        *,
        silent_after_s: float = math.inf,
        last_id: str = "",
    ) -> answer.OpenAnswer:
        """Send the request and return the answer, whose headers were checked.

        Parameters
        ----------
        overdue_after_s, silent_after_s : float
            See `migration.stall_rules`.

        Raises
        ------
        sending.TryError
            The upstream did not run the request, or its answer is not usable.
        """
        prefill = self.prefill(level)
        urgency = demands.urgency_of(self.shared, self.call, upstream, prefill)
        out = sending.outgoing(
            self.call, self.shared.names, upstream, level, last_id, urgency
        )
        rules = migration.stall_rules(
            self,
            upstream,
            level,
            overdue_after_s,
            is_counted=False,
            silent_after_s=silent_after_s,
        )
        self.tried.add(upstream.incarnation)
        dispatch = self.dispatches.begin(
            upstream, level, prefill, may_borrow=self._may_borrow
        )
        try:
            opened = await self._exchange(out, dispatch, rules)
        except BaseException as exc:
            self._note_failure(dispatch, exc)
            self.dispatches.end(dispatch.health, dispatch.work, dispatch.progress)
            raise
        dispatch.health.record_answered(dispatch.sent_at)
        self.shared.trials.answers.record_start(dispatch.progress, opened.head_at)
        opened.work = dispatch.work
        opened.uncached_tokens = dispatch.uncached_tokens
        if dispatch.prefill is not None:
            self.feedback.record_prefill(opened, dispatch.prefill)
        self.executions += 1
        self.may_have_run = True
        self.feedback.record_version(upstream.version)
        return opened

    def close(self, opened: answer.OpenAnswer, result: str) -> None:
        """End an attempt; reuse the connection after result "ok", else close it."""
        self.dispatches.end(opened.health, opened.work, opened.progress)
        self._note_result(opened, result)
        opened.resp.release() if result == "ok" else opened.resp.close()
        if result == "ok" and opened.confidence is not None:
            result = f"ok {opened.confidence:.2f}"
        self._record(opened.upstream, opened.level, result, opened.sent_at)

    def _note_result(self, opened: answer.OpenAnswer, result: str) -> None:
        """Note that the answer was complete, or that a crash may have cut it."""
        if result.startswith("cut"):
            self.suspects.note_no_answer(
                opened.upstream, opened.sent_at, opened=opened, is_cut=True
            )
        elif result == "ok" or result.startswith("failed"):
            is_success = result == "ok" and opened.resp.status < CLIENT_ERROR
            self.suspects.note_answer(is_success=is_success)
        else:
            self.suspects.note_left(opened.upstream, opened)

    def avoid_version(self, version: str) -> None:
        """Avoid a version on trial in the next attempts, as it has failed."""
        if self.plan.preferred == version and self.call.service.name in (
            self.shared.trials.open
        ):
            self.plan = trial.VersionPlan(avoided=version)

    def _refuse_quarantined(self) -> None:
        left_s = self.suspects.quarantined_s()
        if left_s:
            reason = "the request crashed the upstreams that ran it"
            raise self.refusal(reason, left_s, outcomes.Outcome.QUARANTINED)

    def overload_decision(
        self, upstream: model.Upstream, level: str
    ) -> decision.Decision:
        """Return whether a request that was not sent yet is sent, or rejected."""
        prefill = self.prefill(level)
        if self.dispatches.count or self.may_have_run or prefill is None:
            return decision.Send()
        found = demands.decide(self.shared, self.call, [upstream], prefill)
        if isinstance(found, decision.Reject):
            # The chosen one is the best of a sample; another may be in time.
            required = self.requirements(level)
            ready = self.shared.chooser.ready_upstreams(required, clock.now())
            found = demands.decide(self.shared, self.call, ready, prefill)
        return found

    def _refuse_hopeless(self, upstream: model.Upstream, level: str) -> None:
        """Raise if no upstream can complete a request that was not sent yet."""
        found = self.overload_decision(upstream, level)
        if isinstance(found, decision.Reject):
            self.call.is_hopeless = True
            raise self.refusal(HOPELESS_REASON, found.retry_after_s)

    def refusal(
        self,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
        outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
    ) -> errors.RefusalError:
        """Return the error for a caller whose request was given up.

        Parameters
        ----------
        outcome : outcomes.Outcome
            Outcome if no upstream has run the request.
        """
        self.dispatches.release()
        if self.may_have_run:
            return errors.refuse(
                502, outcomes.Outcome.UPSTREAM_FAILED, reason, ran=errors.RAN_MAYBE
            )
        return errors.refuse(503, outcome, reason, retry_after_s=retry_after_s)

    def _note_failure(self, dispatch: dispatches.Dispatch, exc: BaseException) -> None:
        if not isinstance(exc, sending.TryError):
            self._record(
                dispatch.upstream, dispatch.level, "cancelled", dispatch.sent_at
            )
            self.suspects.note_left(dispatch.upstream, None)
            return
        now = clock.now()
        self._record(dispatch.upstream, dispatch.level, exc.reason, dispatch.sent_at)
        if exc.reason == sending.NOT_CONNECTED:
            self.dispatches.discard(dispatch, now)
            self.shared.trials.answers.discard_unsent(dispatch.progress)
        if exc.reason == sending.FULL:
            self.shared.loads.note_rejection(dispatch.upstream.name)
        if exc.verdict is retry.Verdict.NOT_PROCESSED:
            self.shared.trials.answers.discard_answer(dispatch.progress)
            if exc.reason in (sending.NOT_CONNECTED, sending.MOVED):
                dispatch.health.record_unreachable(now, exc.reason)
            return
        self.executions += 1
        self.may_have_run = True
        dispatch.health.record_failure(now, exc.reason)
        is_cut = exc.reason.startswith(sending.BROKEN)
        if exc.reason == sending.SILENT and dispatch.work is not None:
            waited_s = now - dispatch.sent_at
            self.feedback.record_missing_event(
                dispatch.work, dispatch.prefill, waited_s
            )
        if is_cut or exc.reason == sending.SILENT:
            self.suspects.note_no_answer(
                dispatch.upstream, dispatch.sent_at, opened=None, is_cut=is_cut
            )

    def requirements(self, level: str) -> choice.Requirements:
        """Return what the next attempt requires of an upstream."""
        if self._is_planned:
            self._follow_roll_out()
        return choice.Requirements(
            service=self.call.service,
            plan=self.plan,
            prefill=self.prefill(level),
            tried=frozenset(self.tried),
            priority=self.call.priority,
        )

    def prefill(self, level: str) -> placement.Prefill | None:
        """Return the prompt that an upstream would process, None without a prompt."""
        if not self.call.head.prompt.tokens_in:
            return None
        return placement.Prefill(
            service=self.call.service.name,
            model=level,
            prompt=self.call.head.prompt,
            is_smallest=(level,) == self.call.route.levels[:1],
            has_levels=len(self.call.route.levels) > 1,
        )

    async def _exchange(
        self,
        out: conns.OutgoingRequest,
        dispatch: dispatches.Dispatch,
        rules: tuple[stalls.StallRule, ...],
    ) -> answer.OpenAnswer:
        sent_at = clock.now()
        resp = await self._send(out, dispatch.upstream, rules)
        dispatch.health.last_response_at = clock.now()
        head = headers.read_answer(resp.headers, self.shared.names)
        request_id = self.call.head.request_id
        self.shared.chooser.notices.record_response(
            dispatch.upstream,
            resp.status,
            head,
            request_id,
            dispatch.health.last_response_at,
        )
        self._record_rate(dispatch, resp.status, head)
        try:
            sending.check(resp, head, request_id)
        except sending.TryError:
            resp.close()
            raise
        return answer.OpenAnswer(
            upstream=dispatch.upstream,
            level=dispatch.level,
            resp=resp,
            head=head,
            sent_at=sent_at,
            head_at=clock.now(),
            health=dispatch.health,
            progress=dispatch.progress,
        )

    def _record_rate(
        self, dispatch: dispatches.Dispatch, status: int, head: headers.AnswerHead
    ) -> None:
        """Record the rate that the answer states, unless another upstream sent it."""
        request_id = self.call.head.request_id
        if head.request_id != request_id or status == leaving.MISDIRECTED_STATUS:
            return
        self.shared.rates.record_response(
            dispatch.upstream.run_key,
            head.rates,
            sent_at=dispatch.sent_at,
            request_id=request_id,
        )

    async def _send(
        self,
        out: conns.OutgoingRequest,
        upstream: model.Upstream,
        rules: tuple[stalls.StallRule, ...],
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its headers have arrived."""
        pool = self.shared.pools.get(upstream)
        try:
            return await stalls.wait(
                pool.send(out), limit_s=self.call.left_s(), rules=rules
            )
        except conns.NotSentError as exc:
            raise sending.TryError(
                retry.Verdict.NOT_PROCESSED, sending.NOT_CONNECTED
            ) from exc
        except conns.BrokenError as exc:
            raise sending.TryError(
                retry.Verdict.NOT_KNOWN, f"{sending.BROKEN}: {exc}"
            ) from exc
        except TimeoutError as exc:
            raise sending.TryError(retry.Verdict.NOT_KNOWN, sending.SILENT) from exc

    def _record(
        self, upstream: model.Upstream, level: str, result: str, sent_at: float
    ) -> None:
        took_s = clock.now() - sent_at
        self.call.records.append(
            calls.AttemptRecord(
                upstream=upstream.name, model=level, result=result, took_s=took_s
            )
        )
