"""The tries of one request: who gets it next, and what a failed try allows."""

import asyncio
import math

import aiohttp
from masticpost_common import clock, errors, retry

from masticpost_gateway import shared
from masticpost_gateway.learning import feedback, trial
from masticpost_gateway.routing import choice, placement
from masticpost_gateway.serving import (
    answer,
    dispatches,
    headers,
    migration,
    outcomes,
    sending,
    stalls,
    suspects,
)
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import conns

WAIT_STEP_S = 0.03
WAIT_SHARE = 0.5
RETRY_AFTER_S = 0.4


class Attempts:
    """Sends one request to one upstream after the other.

    Parameters
    ----------
    parts : shared.Shared
        Parts of the instance.
    call : call.Call
        The request.
    """

    def __init__(self, *, parts: shared.Shared, call: calls.Call) -> None:
        self.shared = parts
        self.call = call
        self.plan = parts.trials.plan(
            call.service.name, call.head.session, call.head.request_id
        )
        self.feedback = feedback.Feedback(parts=parts, call=call)
        self.dispatches = dispatches.Dispatches(
            parts=parts, call=call, notes=self.feedback
        )
        self.suspects = suspects.SuspectTracker(
            known=parts.crashes, ends=parts.exits, call=call
        )
        self.tried: set[str] = set()
        self.runs = 0
        self.may_have_run = False

    @property
    def has_runs_left(self) -> bool:
        """Whether one more upstream may run the request."""
        return self.runs < max(1, self.call.route.attempts)

    def may_try_again(self, *, is_planned: bool = False) -> bool:
        """Tell whether another upstream may be tried."""
        if not self.has_runs_left or self.call.left_s() <= 0:
            return False
        if not self.dispatches.count:
            # Nothing has reached an upstream: the next send is no repeat.
            return True
        now = clock.now()
        service = self.call.service.name
        return self.shared.retries.may_repeat(service, now, is_planned=is_planned)

    def usable(self) -> list[model.Upstream]:
        """Return the sound upstreams that may answer."""
        now = clock.now()
        found = self.shared.chooser.usable(self.call.service.name, now)
        sound = [
            u for u in found if not self.shared.chooser.health_of(u).is_ejected(now)
        ]
        return sound or found

    async def next_upstream(self, level: str) -> model.Upstream:
        """Return the upstream for the next try, after a wait if all are held back.

        Raises
        ------
        errors.RefusalError
            No upstream can take the request in time.
        """
        give_up_at = self.call.started_at + WAIT_SHARE * self.call.route.objective_s
        await self.suspects.settle()
        await self.shared.isolation.wait(self.call.left_s())
        while True:
            self._refuse_quarantined()
            found = self.shared.chooser.pick(self.wanted(level))
            if found is not None:
                return found
            now = clock.now()
            if now >= min(give_up_at, self.call.answer_due_at):
                raise self.refusal("no upstream is ready")
            if not self.shared.chooser.usable(self.call.service.name, now):
                raise self.refusal("no upstream is in service")
            ready_at = self.shared.chooser.ready_at(self.wanted(level), now)
            if ready_at >= give_up_at:
                raise self.refusal("no upstream wants requests", ready_at - now)
            await asyncio.sleep(WAIT_STEP_S)

    async def open(
        self,
        upstream: model.Upstream,
        level: str,
        overdue_after_s: float,
        *,
        silent_after_s: float = math.inf,
        last_id: str = "",
    ) -> answer.OpenAnswer:
        """Send the request and return the answer's checked head.

        Parameters
        ----------
        overdue_after_s, silent_after_s : float
            See `migration.stall_rules`.

        Raises
        ------
        sending.TryError
            The upstream did not run the request, or its answer is of no use.
        """
        out = sending.outgoing(self.call, self.shared.names, upstream, level, last_id)
        leaves = migration.stall_rules(
            self,
            upstream,
            level,
            overdue_after_s,
            is_counted=False,
            silent_after_s=silent_after_s,
        )
        self.tried.add(upstream.name)
        sent = self.dispatches.begin(upstream, level, self.reading(level))
        try:
            opened = await self._exchange(out, sent, leaves)
        except BaseException as exc:
            self._note_failure(sent, exc)
            self.dispatches.end(sent.health, sent.work, sent.pace)
            raise
        self.shared.trials.began(sent.pace, opened.head_at)
        opened.work = sent.work
        opened.unread_tokens = sent.unread_tokens
        if sent.reading is not None:
            self.feedback.read(opened, sent.reading)
        self.runs += 1
        self.may_have_run = True
        self.feedback.ran(upstream.version)
        return opened

    def close(self, opened: answer.OpenAnswer, result: str) -> None:
        """End a try: give the connection back, or cut it if its body is not read."""
        self.dispatches.end(opened.health, opened.work, opened.pace)
        self._note_end(opened, result)
        opened.resp.release() if result == "ok" else opened.resp.close()
        if result == "ok" and opened.confidence is not None:
            result = f"ok {opened.confidence:.2f}"
        self._record(opened.upstream, opened.level, result, opened.sent_at)

    def _note_end(self, opened: answer.OpenAnswer, result: str) -> None:
        """Tell whether the request got a whole answer, or a crash may have cut it."""
        if result.startswith("cut"):
            self.suspects.unanswered(
                opened.upstream, opened.sent_at, had_begun=True, is_cut=True
            )
        elif result == "ok" or result.startswith("failed"):
            self.suspects.answered()

    def leave_version(self, version: str) -> None:
        """Run the next try on another version than one on trial that failed."""
        if self.plan.preferred == version and self.call.service.name in (
            self.shared.trials.open
        ):
            self.plan = trial.VersionPlan(avoided=version)

    def _refuse_quarantined(self) -> None:
        left_s = self.suspects.quarantined_s()
        if left_s:
            reason = "it crashed the upstreams that ran it"
            raise self.refusal(reason, left_s, outcomes.Outcome.QUARANTINED)

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
            How it ends if it has not run.
        """
        if self.may_have_run:
            return errors.refuse(
                502, outcomes.Outcome.UPSTREAM_FAILED, reason, ran=errors.RAN_MAYBE
            )
        return errors.refuse(503, outcome, reason, retry_after_s=retry_after_s)

    def _note_failure(self, sent: dispatches.Dispatch, exc: BaseException) -> None:
        if not isinstance(exc, sending.TryError):
            self._record(sent.upstream, sent.level, "cancelled", sent.at)
            return
        now = clock.now()
        self._record(sent.upstream, sent.level, exc.reason, sent.at)
        if exc.reason == sending.NOT_CONNECTED:
            self.dispatches.take_back(now)
        if exc.reason == sending.FULL:
            self.shared.loads.turned_away(sent.upstream.name)
        if exc.verdict is retry.Verdict.NEVER_JUDGED:
            self.shared.trials.take_back(sent.pace)
            if exc.reason in (sending.NOT_CONNECTED, sending.MOVED):
                sent.health.record_unreachable(now, exc.reason)
            return
        self.runs += 1
        self.may_have_run = True
        sent.health.record_failure(now, exc.reason)
        is_cut = exc.reason.startswith(sending.BROKEN)
        if is_cut or exc.reason == sending.SILENT:
            self.suspects.unanswered(
                sent.upstream, sent.at, had_begun=False, is_cut=is_cut
            )

    def wanted(self, level: str) -> choice.Wanted:
        """Return what the next try needs."""
        return choice.Wanted(
            service=self.call.service,
            plan=self.plan,
            reading=self.reading(level),
            tried=frozenset(self.tried),
        )

    def reading(self, level: str) -> placement.Reading | None:
        """Return what an upstream would have to read, None without a prompt."""
        if not self.call.head.prompt.tokens_in:
            return None
        return placement.Reading(
            service=self.call.service.name,
            model=level,
            prompt=self.call.head.prompt,
            is_smallest=(level,) == self.call.route.levels[:1],
            has_levels=len(self.call.route.levels) > 1,
        )

    async def _exchange(
        self,
        out: conns.OutgoingRequest,
        sent: dispatches.Dispatch,
        leaves: tuple[stalls.StallRule, ...],
    ) -> answer.OpenAnswer:
        sent_at = clock.now()
        resp = await self._send(out, sent.upstream, leaves)
        sent.health.last_response_at = clock.now()
        head = headers.read_answer(resp.headers, self.shared.names)
        request_id = self.call.head.request_id
        self.shared.chooser.notices.record_response(
            sent.upstream, resp.status, head, request_id, sent.health.last_response_at
        )
        try:
            sending.check(resp, head, request_id)
        except sending.TryError:
            resp.close()
            raise
        return answer.OpenAnswer(
            upstream=sent.upstream,
            level=sent.level,
            resp=resp,
            head=head,
            sent_at=sent_at,
            head_at=clock.now(),
            health=sent.health,
            pace=sent.pace,
        )

    async def _send(
        self,
        out: conns.OutgoingRequest,
        upstream: model.Upstream,
        leaves: tuple[stalls.StallRule, ...],
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the answer's head, whatever it says."""
        pool = self.shared.pools.get(upstream)
        try:
            return await stalls.wait(
                pool.send(out), limit_s=self.call.left_s(), leaves=leaves
            )
        except conns.NotSentError as exc:
            raise sending.TryError(
                retry.Verdict.NEVER_JUDGED, sending.NOT_CONNECTED
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
