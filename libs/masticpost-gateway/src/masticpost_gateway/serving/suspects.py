"""Attribution of crashes: whether a request may have crashed upstreams that ran it."""

import asyncio

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import causes, crashes, quarantine
from masticpost_gateway.serving import answer
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import exits

# Longer than connecting to an upstream takes, whether its run goes on or has ended.
PROBE_WAIT_S = 0.1


class SuspectTracker:
    """Reports the crashes of upstreams that ran one request, and its quarantine.

    Parameters
    ----------
    crash_tracker : crashes.CrashTracker
        Collects the crashes of all requests and decides on quarantine.
    exit_detector : exits.ExitDetector
        Detects whether a run of an upstream, one process lifetime, has ended.
    turns : quarantine.TrialTurns
        Decides whether a quarantined request may be tried.
    call : call.Call
        The request.
    """

    def __init__(
        self,
        *,
        crash_tracker: crashes.CrashTracker,
        exit_detector: exits.ExitDetector,
        turns: quarantine.TrialTurns,
        call: calls.Call,
    ) -> None:
        self.crash_tracker = crash_tracker
        self.exit_detector = exit_detector
        self.turns = turns
        self.call = call
        self._unsettled: list[model.Upstream] = []
        self._is_trial = False

    def quarantined_s(self) -> float:
        """Return the seconds until the request may be tried, 0 if it may run now."""
        now = clock.now()
        keys = (self.call.fingerprint, *self.call.part_keys)
        rows = self.crash_tracker.quarantines_of(keys, now)
        if not rows or self._is_trial:
            return 0.0
        if self.turns.take(rows, now):
            self._is_trial = True
            logger.bind(
                event="quarantine", id=self.call.head.request_id, causes=list(rows)
            ).warning("trial of a quarantined request")
            return 0.0
        trial_at = max(row.trial_at for row in rows.values())
        return max(trial_at - now, quarantine.TRIAL_SLOT_S)

    async def settle(self) -> None:
        """Wait briefly until it is decided whether the request caused the crashes."""
        for upstream in self._unsettled:
            await self.exit_detector.wait_for_probe(upstream, PROBE_WAIT_S)
        self._unsettled.clear()
        fingerprint = self.call.fingerprint
        verdict_wait_s = self.crash_tracker.verdict_delay_left_s(
            fingerprint, clock.now()
        )
        if verdict_wait_s:
            await asyncio.sleep(min(verdict_wait_s, max(0.0, self.call.left_s())))
            self.crash_tracker.judge(clock.now())

    def note_answer(self, *, is_success: bool) -> None:
        """Note a complete answer, which clears the request of suspicion.

        A failure says nothing of the prompt: the upstream may not have read it.
        """
        now = clock.now()
        self.crash_tracker.record_local_answer(self.call.fingerprint, now)
        if is_success:
            self._clear_parts(now)

    def note_events(self, opened: answer.OpenAnswer) -> None:
        """Note that a stream goes on, which clears the parts of its prompt."""
        if opened.has_survived or not _has_survived(opened, clock.now()):
            return
        opened.has_survived = True
        self._clear_parts(clock.now())

    def _clear_parts(self, now: float) -> None:
        for key in self.call.part_keys:
            self.crash_tracker.record_local_answer(key, now)

    def note_no_answer(
        self,
        upstream: model.Upstream,
        sent_at: float,
        *,
        opened: answer.OpenAnswer | None,
        is_cut: bool,
    ) -> None:
        """Note an attempt without a complete answer, possibly due to a crash.

        Parameters
        ----------
        sent_at : float
            Time of sending, in monotonic seconds.
        opened : answer.OpenAnswer or None
            The answer that was cut, None if it had not begun.
        is_cut : bool
            Whether the connection was cut; else the upstream was silent.
        """
        # The last attempt of a trial.
        self._is_trial = False
        at = clock.now()

        def ended() -> None:
            self._note_crash(upstream, at, opened)

        self.exit_detector.watch_for_exit(upstream, sent_at, ended, is_cut=is_cut)
        if is_cut:
            self._unsettled.append(upstream)

    def note_left(
        self, upstream: model.Upstream, opened: answer.OpenAnswer | None
    ) -> None:
        """Note an attempt that was given up, possibly just before a crash."""
        crash = self._crash(upstream, clock.now(), opened)
        if not crash.had_survived:
            self.crash_tracker.note_left(crash)

    def _crash(
        self, upstream: model.Upstream, at: float, opened: answer.OpenAnswer | None
    ) -> causes.Crash:
        name, born_ms, address = upstream.incarnation
        return causes.Crash(
            run=f"{name}/{born_ms}/{address}",
            at=at,
            request=self.call.fingerprint,
            parts=self.call.part_keys,
            had_begun=opened is not None,
            had_survived=opened is not None and opened.has_survived,
        )

    def _note_crash(
        self, upstream: model.Upstream, at: float, opened: answer.OpenAnswer | None
    ) -> None:
        crash = self._crash(upstream, at, opened)
        if not self.crash_tracker.record_local_crash(crash):
            return
        logger.bind(
            event="suspect",
            id=self.call.head.request_id,
            fingerprint=crash.request,
            parts=self.call.head.prompt.shared_names,
            upstream=upstream.name,
            run=crash.run,
            begun_s=None if opened is None else round(at - opened.head_at, 3),
            had_survived=crash.had_survived,
            crashes=self._crash_counts(),
        ).warning("upstream run ended while serving the request")

    def _crash_counts(self) -> list[int]:
        """Return the crashes known for the request and for each part of its prompt."""
        keys = (self.call.fingerprint, *self.call.part_keys)
        return [self.crash_tracker.crash_count(key) for key in keys]


def _has_survived(opened: answer.OpenAnswer, now: float) -> bool:
    first_at = opened.progress.first_event_at
    return first_at is not None and now - first_at >= causes.SURVIVAL_S
