"""Crash reports, pooled by the watchers, and their verdicts on suspected requests.

A request that crashes upstreams may be retried at any instance. Each instance reports
to the watchers which requests were running when a run (one process lifetime) of an
upstream ended. The watchers announce to all others which requests are accused, so that
an instance that has answered an identical one reports it, and which ones are
quarantined. All messages are idempotent.
"""

import asyncio
import contextlib

import attrs
import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import messages

from masticpost_gateway.learning import crashes
from masticpost_gateway.sharing import mesh, relay

# Maximum time between two checks for something to report.
TICK_S = 1.0
# New crashes and answers are repeated for this time, since a message may be lost.
REPEATED_S = 3.0
# Unchanged verdicts are announced again after this time.
REMINDER_S = 2.0


@attrs.frozen(kw_only=True)
class CrashRow:
    """A request that was running when a run of an upstream ended.

    Attributes
    ----------
    run : str
        Identity of the run.
    age_s : float
        Seconds since the run ended.
    had_begun : bool
        Whether a part of the answer to the request had arrived.
    """

    fingerprint: str
    run: str
    age_s: float
    had_begun: bool


@attrs.frozen(kw_only=True)
class AgedRow:
    """A request, and the seconds since it was accused, quarantined or answered."""

    fingerprint: str
    age_s: float


@messages.message("gateway-crashes")
@attrs.frozen(kw_only=True)
class CrashReport:
    """Crashes and answers that an instance observed itself, sent to the watchers.

    Attributes
    ----------
    answers : list of AgedRow
        Complete answers to requests that were accused.
    """

    crashes: list[CrashRow]
    answers: list[AgedRow]


@messages.message("gateway-quarantine")
@attrs.frozen(kw_only=True)
class Verdicts:
    """A watcher's conclusions from the reports of all instances.

    Attributes
    ----------
    accused : list of AgedRow
        Requests that further crashes would quarantine.
    quarantined : list of AgedRow
        Requests that are not run any more.
    answers : list of AgedRow
        Complete answers, which clear a request.
    """

    accused: list[AgedRow]
    quarantined: list[AgedRow]
    answers: list[AgedRow]


class CrashSharing(mode.Service):
    """Sends and receives crash reports and verdicts.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Provides the watchers and the recipients of this instance's updates.
    tracker : crashes.CrashTracker
        Crashes and verdicts to send to others and to update from their messages.
    """

    def __init__(
        self, *, peers: mesh.Mesh, relay: relay.Relay, tracker: crashes.CrashTracker
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.tracker = tracker
        self._crashes: list[tuple[str, crashes.Crash]] = []
        self._answers: dict[str, float] = {}
        self._reported_to: set[str] = set()
        self._announced: tuple[object, ...] = ()
        self._announced_at = 0.0
        self._wake = asyncio.Event()
        tracker.listen(self._on_crash, self._on_answer)
        peers.hub.handle(CrashReport, self._on_report)
        peers.hub.handle(Verdicts, self._on_verdicts)

    @mode.Service.task
    async def report(self) -> None:
        """Send new reports and verdicts at once, and repeat the recent ones."""
        while not self.should_stop:
            pause_s = self.tracker.next_verdict_s(clock.now()) or TICK_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(pause_s, TICK_S)):
                    await self._wake.wait()
            self._wake.clear()
            self.judge()
            await self._report(clock.now())
            if self.relay.is_watcher:
                await self._announce(clock.now())

    def judge(self) -> None:
        """Quarantine the requests that caused crashes by this instance's evidence."""
        for fingerprint in self.tracker.judge(clock.now()):
            logger.bind(
                event="quarantine",
                fingerprint=fingerprint,
                crashes=self.tracker.crash_count(fingerprint),
            ).warning("request quarantined")

    def _on_crash(self, fingerprint: str, crash: crashes.Crash) -> None:
        self._crashes.append((fingerprint, crash))
        self._wake.set()

    def _on_answer(self, fingerprint: str, at: float) -> None:
        self._answers[fingerprint] = at
        self._wake.set()

    async def _report(self, now: float) -> None:
        """Send recent observations to the other watchers, and all to a new watcher."""
        retained_from = now - crashes.RETENTION_S
        self._crashes = [row for row in self._crashes if row[1].at > retained_from]
        self._answers = {
            fp: at for fp, at in self._answers.items() if at > now - REPEATED_S
        }
        me = self.peers.me.name
        others = {row.address for row in self.relay.watchers if row.name != me}
        new = others - self._reported_to
        self._reported_to = others
        await self._send_report(new, self._crashes, now)
        recent = [row for row in self._crashes if row[1].at > now - REPEATED_S]
        await self._send_report(others - new, recent, now)

    async def _send_report(
        self, addresses: set[str], rows: list[tuple[str, crashes.Crash]], now: float
    ) -> None:
        if not addresses or not (rows or self._answers):
            return
        body = CrashReport(
            crashes=[
                CrashRow(
                    fingerprint=fingerprint,
                    run=crash.run,
                    age_s=now - crash.at,
                    had_begun=crash.had_begun,
                )
                for fingerprint, crash in rows
            ],
            answers=_aged_rows(self._answers, now),
        )
        await self.peers.hub.broadcast(
            sorted(addresses), body, queue_until_connected=True
        )

    async def _announce(self, now: float) -> None:
        """Send the verdicts to the recipients if they have changed or are due again."""
        accused = self.tracker.accused_since(now - REPEATED_S)
        quarantined = self.tracker.quarantined(now)
        verdicts = (tuple(accused), tuple(quarantined), tuple(self._answers))
        is_due = any(verdicts) and now - self._announced_at >= REMINDER_S
        if verdicts == self._announced and not is_due:
            return
        self._announced, self._announced_at = verdicts, now
        addresses = self.relay.recipients()
        if not addresses or not any(verdicts):
            return
        body = Verdicts(
            accused=_aged_rows(accused, now),
            quarantined=_aged_rows(quarantined, now),
            answers=_aged_rows(self._answers, now),
        )
        await self.peers.hub.broadcast(addresses, body, queue_until_connected=True)

    async def _on_report(self, envelope: messages.Envelope, body: CrashReport) -> None:
        now = clock.now()
        for row in body.answers:
            self._merge_answer(row, now)
        for row in body.crashes:
            crash = crashes.Crash(
                run=row.run, at=now - row.age_s, had_begun=row.had_begun
            )
            if self.tracker.record_crash(row.fingerprint, crash):
                self._wake.set()

    async def _on_verdicts(self, envelope: messages.Envelope, body: Verdicts) -> None:
        now = clock.now()
        for row in body.answers:
            self._merge_answer(row, now)
        for row in body.accused:
            answered_at = self.tracker.accuse(row.fingerprint, now - row.age_s)
            if answered_at is not None:
                self._on_answer(row.fingerprint, answered_at)
        for row in body.quarantined:
            if self.tracker.quarantine(row.fingerprint, now - row.age_s):
                logger.bind(
                    event="quarantine",
                    fingerprint=row.fingerprint,
                    teller=envelope.sender,
                    age_s=round(row.age_s, 3),
                ).warning("request quarantined by a watcher")

    def _merge_answer(self, row: AgedRow, now: float) -> None:
        """Record another instance's answer to a request; a watcher forwards it."""
        at = now - row.age_s
        if self.tracker.record_answer(row.fingerprint, at) and self.relay.is_watcher:
            self._on_answer(row.fingerprint, at)


def _aged_rows(rows: dict[str, float], now: float) -> list[AgedRow]:
    return [AgedRow(fingerprint=fp, age_s=now - at) for fp, at in rows.items()]
