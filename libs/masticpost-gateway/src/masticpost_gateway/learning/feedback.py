"""Feedback from the answers to one request: health, versions, sessions and speeds."""

import math

from masticpost_common import clock

from masticpost_gateway import shared
from masticpost_gateway.learning import calibration, progress
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import answer
from masticpost_gateway.serving import call as calls
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model


class Feedback:
    """Records the results of one request's attempts.

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

    def record_success(self, opened: answer.OpenAnswer) -> None:
        """Record a complete answer for the upstream and its version."""
        opened.health.record_success(clock.now())
        self.record_version(opened.upstream.version)
        self.shared.trials.answers.record_answer(
            self.call.service.name, opened.upstream.version, is_good=True
        )

    def record_failure(self, opened: answer.OpenAnswer, reason: str) -> None:
        """Record a failed answer for the upstream.

        Only errors that the upstream itself reports count against its version: a crash
        cuts many answers at once and is weak evidence about the software.
        """
        opened.health.record_failure(clock.now(), reason)
        if opened.is_failure:
            self.shared.trials.answers.record_answer(
                self.call.service.name, opened.upstream.version, is_good=False
            )

    def begin_answer(
        self, upstream: model.Upstream, level: str
    ) -> progress.AnswerProgress:
        """Return the progress of the answer to a request sent to an upstream."""
        answer_progress = progress.AnswerProgress(
            service=self.call.service.name,
            version=upstream.version,
            level=level,
            sent_at=clock.now(),
            objective_s=self.call.route.objective_s,
            max_gap_s=self.call.route.gap_s or math.inf,
            is_single_event=not self.call.route.kind.is_stream,
        )
        self.shared.trials.answers.begin_answer(answer_progress)
        return answer_progress

    def end_answer(self, answer_progress: progress.AnswerProgress) -> None:
        """Record that an answer has ended, complete or not."""
        self.shared.trials.answers.end_answer(answer_progress, clock.now())

    def record_complete_answer(self, answer_progress: progress.AnswerProgress) -> None:
        """Record the duration of a complete answer that is not a stream."""
        answer_progress.add_events(1, clock.now())
        self.shared.trials.answers.record_progress(answer_progress)

    def record_events(
        self, opened: answer.OpenAnswer, events: int, waited_s: float
    ) -> None:
        """Record events of a stream.

        Parameters
        ----------
        events : int
            Number of events that arrived together.
        waited_s : float
            Time since the previous events, in seconds.
        """
        answer_progress = opened.progress
        if answer_progress.events:
            self._record_decode(opened, events, waited_s)
        elif opened.work is not None:
            opened.work.timing.note_progress(clock.now())
        answer_progress.add_events(events, clock.now())
        if answer_progress.is_measured:
            self.shared.trials.answers.record_progress(answer_progress)

    def record_stream_end(self, answer_progress: progress.AnswerProgress) -> None:
        """Record the mean gap of a complete stream, however short."""
        self.shared.trials.answers.record_progress(answer_progress)

    def _record_decode(
        self, opened: answer.OpenAnswer, events: int, waited_s: float
    ) -> None:
        speed = self.shared.placement.speeds.of(self.call.service.name, opened.level)
        tokens = events * self.call.service.tokens_per_event
        factor = self.shared.loads.speed_factor(opened.upstream.name, clock.now())
        speed.record_decode(tokens, waited_s / factor)
        if opened.work is not None:
            self.shared.loads.note_events(opened.work, events, tokens)

    def record_pace(self, opened: answer.OpenAnswer) -> None:
        """Record the pace of a stream that is complete or was cut at its deadline."""
        if not opened.progress.is_measured:
            return
        tokens = max(1, self.call.service.tokens_per_event)
        now = clock.now()
        gap_s = opened.progress.gap_s()
        if self.call.left_s() <= 0:
            gap_s = max(gap_s, opened.progress.min_gap_s(now))
        factor = self.shared.loads.speed_factor(opened.upstream.name, now)
        pace = self.shared.forecasts.paces.of(self.call.service.name)
        pace.record(gap_s / tokens / factor)

    def record_version(self, version: str) -> None:
        """Record the version that runs the request's session."""
        self.shared.sessions.record_run(
            self.call.service.name, self.call.head.session, version, clock.now()
        )

    def record_prompt(self, upstream: str, prefill: placement.Prefill) -> None:
        """Record that an upstream will cache a prompt.

        Requests with the same prefix are then routed to this upstream.
        """
        for key, part in zip(prefill.prefix_keys(), prefill.prompt.parts, strict=True):
            self.shared.loads.note_cached(upstream, key, part.tokens)

    def record_prefill(
        self, opened: answer.OpenAnswer, prefill: placement.Prefill
    ) -> None:
        """Record that the prefill is done, since the answer has begun."""
        if opened.is_failure:
            self.shared.loads.note_prefilled(opened.work)
            return
        tokens, took_s = opened.uncached_tokens, opened.head_at - opened.sent_at
        speed = self.shared.placement.speeds.of(prefill.service, prefill.model)
        factor = self.shared.loads.speed_factor(opened.upstream.name, opened.head_at)
        speed.record_prefill(tokens, took_s / factor)
        self._calibration(prefill).record(opened.work.forecast_s, took_s)
        self.shared.loads.note_prefilled(
            opened.work, uncached_tokens=tokens, took_s=took_s
        )

    def record_missing_event(
        self, work: loads.ActiveRequest, prefill: placement.Prefill, waited_s: float
    ) -> None:
        """Record that an upstream was given up before its first event."""
        self._calibration(prefill).record_missing(work.forecast_s, waited_s)

    def _calibration(self, prefill: placement.Prefill) -> calibration.Calibration:
        calibrations = self.shared.forecasts.calibrations
        return calibrations.of(prefill.service, prefill.model)

    def record_passed_on(self, opened: answer.OpenAnswer) -> None:
        """Record that events were passed on and the upstream is waited for again.

        Time that a slow caller takes says nothing about the upstream.
        """
        if opened.work is not None:
            opened.work.timing.note_waiting(clock.now())
