"""Crashes under requests, pooled by the instances that watch, and their verdicts.

A request that crashes upstreams comes again at any instance. Each instance tells the
watchers which requests were at work on a run of an upstream that has ended. They tell
all others which requests stand accused, so that whoever has answered an identical one
says so, and which ones are quarantined. All rows may be told again without harm.
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

TICK_S = 1.0
# What is new is told so long, since a message may be lost.
REPEATED_S = 3.0
REMINDER_S = 2.0


@attrs.frozen(kw_only=True)
class CrashRow:
    """A request that was at work on a run of an upstream when that ended."""

    fingerprint: str
    run: str
    age_s: float
    had_begun: bool


@attrs.frozen(kw_only=True)
class AgedRow:
    """A request and the seconds since it was accused, quarantined or answered."""

    fingerprint: str
    age_s: float


@messages.message("gateway-crashes")
@attrs.frozen(kw_only=True)
class CrashReport:
    """What an instance saw itself, told to the watchers.

    Attributes
    ----------
    answers : list of AgedRow
        Whole answers to requests that stood accused.
    """

    crashes: list[CrashRow]
    answers: list[AgedRow]


@messages.message("gateway-quarantine")
@attrs.frozen(kw_only=True)
class Verdicts:
    """What follows from all reports, told by a watcher."""

    accused: list[AgedRow]
    quarantined: list[AgedRow]
    answers: list[AgedRow]


class CrashSharing(mode.Service):
    """Tells and hears of crashes under requests.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Knows who watches and whom this instance tells.
    tracker : crashes.CrashTracker
        Read and filled.
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
        self._said: tuple[object, ...] = ()
        self._said_at = 0.0
        self._wake = asyncio.Event()
        tracker.listen(self._on_crash, self._on_answer)
        peers.hub.handle(CrashReport, self._on_report)
        peers.hub.handle(Verdicts, self._on_verdicts)

    @mode.Service.task
    async def tell(self) -> None:
        """Tell what is new at once, and some of it again."""
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
        """Quarantine the requests that are to blame by what is tracker here."""
        for fingerprint in self.tracker.judge(clock.now()):
            logger.bind(
                event="quarantine",
                fingerprint=fingerprint,
                crashes=self.tracker.crash_count(fingerprint),
            ).warning("request is quarantined")

    def _on_crash(self, fingerprint: str, crash: crashes.Crash) -> None:
        self._crashes.append((fingerprint, crash))
        self._wake.set()

    def _on_answer(self, fingerprint: str, at: float) -> None:
        self._answers[fingerprint] = at
        self._wake.set()

    async def _report(self, now: float) -> None:
        """Tell the other watchers what this instance saw, a new watcher everything."""
        kept_from = now - crashes.RETENTION_S
        self._crashes = [row for row in self._crashes if row[1].at > kept_from]
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
            answers=_aged(self._answers, now),
        )
        await self.peers.hub.broadcast(
            sorted(addresses), body, queue_until_connected=True
        )

    async def _announce(self, now: float) -> None:
        """Tell the verdicts to those that this watcher tells."""
        accused = self.tracker.accused_since(now - REPEATED_S)
        quarantined = self.tracker.quarantined(now)
        said = (tuple(accused), tuple(quarantined), tuple(self._answers))
        is_due = any(said) and now - self._said_at >= REMINDER_S
        if said == self._said and not is_due:
            return
        self._said, self._said_at = said, now
        addresses = self.relay.recipients()
        if not addresses or not any(said):
            return
        body = Verdicts(
            accused=_aged(accused, now),
            quarantined=_aged(quarantined, now),
            answers=_aged(self._answers, now),
        )
        await self.peers.hub.broadcast(addresses, body, queue_until_connected=True)

    async def _on_report(self, envelope: messages.Envelope, body: CrashReport) -> None:
        now = clock.now()
        for row in body.answers:
            self._hear_answer(row, now)
        for row in body.crashes:
            crash = crashes.Crash(
                run=row.run, at=now - row.age_s, had_begun=row.had_begun
            )
            if self.tracker.record_crash(row.fingerprint, crash):
                self._wake.set()

    async def _on_verdicts(self, envelope: messages.Envelope, body: Verdicts) -> None:
        now = clock.now()
        for row in body.answers:
            self._hear_answer(row, now)
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
                ).warning("request is quarantined")

    def _hear_answer(self, row: AgedRow, now: float) -> None:
        """Take over that a request was answered; a watcher passes it on."""
        at = now - row.age_s
        if self.tracker.record_answer(row.fingerprint, at) and self.relay.is_watcher:
            self._on_answer(row.fingerprint, at)


def _aged(rows: dict[str, float], now: float) -> list[AgedRow]:
    return [AgedRow(fingerprint=fp, age_s=now - at) for fp, at in rows.items()]
