"""Crash reports, pooled by the watchers, and their verdicts on the possible causes.

What crashes upstreams, a request or a part of prompts, may come again at any instance.
Each instance reports to the watchers which requests were running when a run (one
process lifetime) of an upstream ended. The watchers announce to all others which causes
are accused, so that an instance that has answered them reports it, and which ones are
quarantined. All messages are idempotent.
"""

import collections

import attrs
import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import messages

from masticpost_gateway.learning import causes, crashes, quarantine
from masticpost_gateway.sharing import mesh, outbox, pacing, relay, toldanswers

# Maximum time between two checks for something to report.
TICK_S = 1.0
# Shortest time between two messages of a kind.
MIN_PERIOD_S = 0.1
# Time in which accusations and ended runs are news.
NEWS_S = 2.0
# Time after which an answer that was told may be told again.
REPEATED_S = 3.0
# A further answer on a part is told after this time at the earliest, unless it is new.
PART_NEWS_S = 0.5
# All quarantines are announced again after this time, for instances that start.
REMINDER_S = 2.0
# Answers of which is known when they were told.
MAX_TOLD = 4096
# Limits of one message and of what an instance repeats to new watchers.
MAX_ACCUSED = 256
MAX_REPORTED = 2048


@attrs.frozen(kw_only=True)
class CrashRow:
    """A request that was running when a run of an upstream ended.

    Attributes
    ----------
    parts : list of str
        Keys of the shared parts of its prompt, in order.
    run : str
        Identity of the run.
    age_s : float
        Seconds since the run ended.
    had_begun : bool
        Whether a part of its answer had arrived.
    had_survived : bool
        Whether its answer had been under way for long enough to clear the parts.
    """

    fingerprint: str
    run: str
    age_s: float
    parts: list[str] = attrs.field(factory=list)
    had_begun: bool = False
    had_survived: bool = False


@attrs.frozen(kw_only=True)
class AgedRow:
    """A cause, and the seconds since it was accused or answered."""

    key: str
    age_s: float


@attrs.frozen(kw_only=True)
class EndedRun:
    """A run of an upstream that ended, and the seconds since then."""

    run: str
    age_s: float


@attrs.frozen(kw_only=True)
class QuarantineRow:
    """A quarantined cause, the seconds since its last crash, and its failed trials."""

    key: str
    age_s: float
    failed_trials: int = 0


@messages.message("gateway-crashes")
@attrs.frozen(kw_only=True)
class CrashReport:
    """Crashes and answers that an instance observed itself, sent to the watchers.

    Attributes
    ----------
    answers : list of AgedRow
        Answers that clear causes that were accused.
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
        Causes that further crashes would quarantine.
    quarantined : list of QuarantineRow
        Causes that are not run any more.
    answers : list of AgedRow
        Answers, which clear a cause.
    ended : list of EndedRun
        Runs that ended lately; who gave an attempt up there just before reports it.
    """

    accused: list[AgedRow]
    quarantined: list[QuarantineRow]
    answers: list[AgedRow]
    ended: list[EndedRun] = attrs.field(factory=list)


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
        self._crashes: collections.deque[causes.Crash] = collections.deque(
            maxlen=MAX_REPORTED
        )
        self._told = toldanswers.ToldAnswers(
            interval_s=lambda key: PART_NEWS_S if causes.is_part(key) else REPEATED_S,
            repeated_s=REPEATED_S,
            most=MAX_TOLD,
        )
        self._new_crashes: outbox.Outbox[causes.Crash] = outbox.Outbox()
        self._new_answers: outbox.Outbox[tuple[str, float]] = outbox.Outbox()
        # What a watcher tells its recipients.
        self._forwarded: outbox.Outbox[tuple[str, float]] = outbox.Outbox()
        self._new_accused: outbox.Outbox[tuple[str, float]] = outbox.Outbox()
        self._new_ended: outbox.Outbox[tuple[str, float]] = outbox.Outbox()
        self._reported_to: set[str] = set()
        self._announced: dict[str, quarantine.Quarantine] = {}
        self._reminded_at = 0.0
        self._pace = pacing.Pace(min_period_s=MIN_PERIOD_S, max_period_s=TICK_S)
        tracker.listen(self._on_crash, self._on_answer)
        peers.hub.handle(CrashReport, self._on_report)
        peers.hub.handle(Verdicts, self._on_verdicts)

    @mode.Service.task
    async def report(self) -> None:
        """Send new reports and verdicts at once, and repeat them as they are due."""
        while not self.should_stop:
            may_send = await self._pace.wait(self.tracker.next_verdict_s(clock.now()))
            self.tracker.judges_prompts = self.relay.is_watcher
            self.judge()
            if not may_send:
                continue
            await self._report(clock.now())
            if self.relay.is_watcher:
                await self._announce(clock.now())

    def judge(self) -> None:
        """Quarantine what caused crashes by this instance's evidence."""
        for key in self.tracker.judge(clock.now()):
            logger.bind(
                event="quarantine",
                cause=key,
                crashes=self.tracker.crash_count(key),
            ).warning("quarantined")

    def _on_crash(self, crash: causes.Crash) -> None:
        self._crashes.append(crash)
        self._new_crashes.put((crash.request, crash.run), crash, clock.now())
        self._pace.wake()

    def _on_answer(self, key: str, at: float) -> None:
        """Tell the watchers of an answer on an accused cause."""
        now = clock.now()
        if not self._told.is_news(key, at, now):
            return
        self._new_answers.put(key, (key, at), now)
        if self.relay.is_watcher:
            self._forwarded.put(key, (key, at), now)
        self._pace.wake()

    async def _report(self, now: float) -> None:
        """Send what is due to the other watchers, and all crashes to a new watcher."""
        retained_from = now - crashes.RETENTION_S
        while self._crashes and self._crashes[0].at <= retained_from:
            self._crashes.popleft()
        me = self.peers.me.name
        others = {row.address for row in self.relay.watchers if row.name != me}
        new = others - self._reported_to
        self._reported_to = others
        rows = self._new_crashes.take(now)
        answers = self._new_answers.take(now)
        await self._send_report(new, list(self._crashes), answers, now)
        await self._send_report(others - new, rows, answers, now)

    async def _send_report(
        self,
        addresses: set[str],
        rows: list[causes.Crash],
        answers: list[tuple[str, float]],
        now: float,
    ) -> None:
        if not addresses or not (rows or answers):
            return
        body = CrashReport(
            crashes=[
                CrashRow(
                    fingerprint=crash.request,
                    parts=list(crash.parts),
                    run=crash.run,
                    age_s=now - crash.at,
                    had_begun=crash.had_begun,
                    had_survived=crash.had_survived,
                )
                for crash in rows
            ],
            answers=_aged_rows(answers, now),
        )
        await self.peers.hub.broadcast(
            sorted(addresses), body, queue_until_connected=True
        )

    async def _announce(self, now: float) -> None:
        """Send the recipients what is due, and all quarantines as a reminder."""
        for key, at in self._accused(now).items():
            self._new_accused.put(key, (key, at), now)
        for run, at in self.tracker.runs.ended_since(now - NEWS_S).items():
            self._new_ended.put(run, (run, at), now)
        accused = self._new_accused.take(now)
        ended = self._new_ended.take(now)
        answers = self._forwarded.take(now)
        quarantined = self._due_quarantines(now)
        addresses = self.relay.recipients()
        if not addresses or not (accused or ended or answers or quarantined):
            return
        body = Verdicts(
            accused=_aged_rows(accused, now),
            quarantined=[
                QuarantineRow(
                    key=key, age_s=now - row.at, failed_trials=row.failed_trials
                )
                for key, row in quarantined.items()
            ],
            answers=_aged_rows(answers, now),
            ended=[EndedRun(run=run, age_s=now - at) for run, at in ended],
        )
        await self.peers.hub.broadcast(addresses, body, queue_until_connected=True)

    def _due_quarantines(self, now: float) -> dict[str, quarantine.Quarantine]:
        """Return the new quarantines, all of them if a reminder is due."""
        rows = self.tracker.quarantined(now)
        new = {k: row for k, row in rows.items() if self._announced.get(k) != row}
        self._announced = rows
        if now - self._reminded_at < REMINDER_S:
            return new
        self._reminded_at = now
        return rows

    def _accused(self, now: float) -> dict[str, float]:
        """Return the latest accused causes, those with the most crashes if too many."""
        rows = self.tracker.accused_since(now - NEWS_S)
        if len(rows) <= MAX_ACCUSED:
            return rows
        ranked = sorted(rows, key=self.tracker.crash_count, reverse=True)
        return {key: rows[key] for key in ranked[:MAX_ACCUSED]}

    async def _on_report(self, envelope: messages.Envelope, body: CrashReport) -> None:
        now = clock.now()
        for row in body.answers:
            self._merge_answer(row, now)
        for row in body.crashes:
            crash = causes.Crash(
                run=row.run,
                at=now - row.age_s,
                request=row.fingerprint,
                parts=tuple(row.parts),
                had_begun=row.had_begun,
                had_survived=row.had_survived,
            )
            if self.tracker.record_crash(crash):
                self._pace.wake()

    async def _on_verdicts(self, envelope: messages.Envelope, body: Verdicts) -> None:
        now = clock.now()
        for row in body.answers:
            self._merge_answer(row, now)
        for ended in body.ended:
            self.tracker.note_ended(ended.run, now - ended.age_s)
        for row in body.accused:
            answered_at = self.tracker.accuse(row.key, now - row.age_s)
            if answered_at is not None:
                self._on_answer(row.key, answered_at)
        for row in body.quarantined:
            reported = quarantine.Quarantine(
                at=now - row.age_s, failed_trials=row.failed_trials
            )
            if self.tracker.add_quarantine(row.key, reported):
                logger.bind(
                    event="quarantine",
                    cause=row.key,
                    teller=envelope.sender,
                    age_s=round(row.age_s, 3),
                ).warning("quarantined by a watcher")

    def _merge_answer(self, row: AgedRow, now: float) -> None:
        """Record another instance's answer; a watcher forwards it."""
        at = now - row.age_s
        was_accused = self.tracker.record_answer(row.key, at)
        if (
            was_accused
            and self.relay.is_watcher
            and self._told.is_news(row.key, at, now)
        ):
            self._forwarded.put(row.key, (row.key, at), now)
            self._pace.wake()


def _aged_rows(rows: list[tuple[str, float]], now: float) -> list[AgedRow]:
    return [AgedRow(key=key, age_s=now - at) for key, at in rows]
