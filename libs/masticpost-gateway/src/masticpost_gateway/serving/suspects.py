"""Whether a request may be to blame for upstreams that ended while they ran it."""

import asyncio

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import crashes
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import exits

# Longer than a connection to an upstream that lives or has ended takes.
SETTLE_S = 0.1


class SuspectTracker:
    """Tells of the crashes under one request, and whether it may still be run.

    Parameters
    ----------
    known : crashes.Crashes
        Filled with the crashes, and tells who is quarantined.
    ends : exits.ExitDetector
        Finds out whether an upstream's run has ended.
    call : call.Call
        The request.
    """

    def __init__(
        self, *, known: crashes.Crashes, ends: exits.ExitDetector, call: calls.Call
    ) -> None:
        self.known = known
        self.ends = ends
        self.call = call
        self._doubted: list[model.Upstream] = []

    def quarantined_s(self) -> float:
        """Return for how many seconds the request must not be run, 0 if it may."""
        return self.known.left_s(self.call.fingerprint, clock.now())

    async def settle(self) -> None:
        """Wait for a moment until it is known whether this request is to blame."""
        for upstream in self._doubted:
            await self.ends.wait_for_probe(upstream, SETTLE_S)
        self._doubted.clear()
        fingerprint = self.call.fingerprint
        hearing_s = self.known.hearing_left_s(fingerprint, clock.now())
        if hearing_s:
            await asyncio.sleep(min(hearing_s, max(0.0, self.call.left_s())))
            self.known.judge(clock.now())

    def answered(self) -> None:
        """Note a whole answer: the request is no danger."""
        self.known.saw_answer(self.call.fingerprint, clock.now())

    def unanswered(
        self,
        upstream: model.Upstream,
        sent_at: float,
        *,
        had_begun: bool,
        is_cut: bool,
    ) -> None:
        """Note a try without a whole answer, which the end of the run may explain.

        Parameters
        ----------
        sent_at : float
            When it was sent, monotonic seconds.
        had_begun : bool
            Whether a part of the answer had come.
        is_cut : bool
            Whether the connection was cut; else the upstream was silent.
        """
        at = clock.now()

        def ended() -> None:
            self._crashed(upstream, at, had_begun=had_begun)

        self.ends.watch_for_exit(upstream, sent_at, ended, is_cut=is_cut)
        if is_cut:
            self._doubted.append(upstream)

    def _crashed(self, upstream: model.Upstream, at: float, *, had_begun: bool) -> None:
        name, born_ms, address = upstream.incarnation
        run = f"{name}/{born_ms}/{address}"
        crash = crashes.Crash(run=run, at=at, had_begun=had_begun)
        fingerprint = self.call.fingerprint
        if not self.known.saw_crash(fingerprint, crash):
            return
        logger.bind(
            event="suspect",
            id=self.call.head.request_id,
            fingerprint=fingerprint,
            upstream=upstream.name,
            had_begun=had_begun,
            crashes=self.known.crashes_of(fingerprint),
        ).warning("an upstream has ended under a request")
