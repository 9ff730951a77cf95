"""Attribution of crashes: whether a request may have crashed upstreams that ran it."""

import asyncio

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import crashes
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
    call : call.Call
        The request.
    """

    def __init__(
        self,
        *,
        crash_tracker: crashes.CrashTracker,
        exit_detector: exits.ExitDetector,
        call: calls.Call,
    ) -> None:
        self.crash_tracker = crash_tracker
        self.exit_detector = exit_detector
        self.call = call
        self._unsettled: list[model.Upstream] = []

    def quarantined_s(self) -> float:
        """Return the seconds of quarantine that are left, 0 if not quarantined."""
        return self.crash_tracker.quarantine_left_s(self.call.fingerprint, clock.now())

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

    def note_answer(self) -> None:
        """Note a complete answer, which clears the request of suspicion."""
        self.crash_tracker.record_local_answer(self.call.fingerprint, clock.now())

    def note_no_answer(
        self,
        upstream: model.Upstream,
        sent_at: float,
        *,
        begun_at: float | None,
        is_cut: bool,
    ) -> None:
        """Note an attempt without a complete answer, possibly due to a crash.

        Parameters
        ----------
        sent_at : float
            Time of sending, in monotonic seconds.
        begun_at : float or None
            Time at which the head of the answer arrived, None if it did not.
        is_cut : bool
            Whether the connection was cut; else the upstream was silent.
        """
        at = clock.now()

        def ended() -> None:
            self._note_crash(upstream, at, begun_at)

        self.exit_detector.watch_for_exit(upstream, sent_at, ended, is_cut=is_cut)
        if is_cut:
            self._unsettled.append(upstream)

    def _note_crash(
        self, upstream: model.Upstream, at: float, begun_at: float | None
    ) -> None:
        name, born_ms, address = upstream.incarnation
        run = f"{name}/{born_ms}/{address}"
        had_begun = begun_at is not None
        crash = crashes.Crash(run=run, at=at, had_begun=had_begun)
        fingerprint = self.call.fingerprint
        if not self.crash_tracker.record_local_crash(fingerprint, crash):
            return
        logger.bind(
            event="suspect",
            id=self.call.head.request_id,
            fingerprint=fingerprint,
            parts=self.call.head.prompt.shared_names,
            upstream=upstream.name,
            run=run,
            begun_s=None if begun_at is None else round(at - begun_at, 3),
            crashes=self.crash_tracker.crash_count(fingerprint),
        ).warning("upstream run ended while serving the request")
