"""Quarantine of messages that crash the engines whose prompts contain them.

Requests that share a deadly message are not identical, so that the quarantine of
requests does not stop them. Every instance tells all others which parts of prompts were
at work at an engine that went down; each judges by the reports of all. The log of the
part's shard holds one crash for each verdict and each failed trial, so that instances
that start later know it.
"""

import collections

import attrs
import mode
from loguru import logger
from masticpost_common import clock, codec, errors
from masticpost_gateway.learning import causes, crashes, quarantine
from masticpost_gateway.sharing import outbox, pacing, toldanswers
from masticpost_peers import hub, membership, messages
from masticpost_shards import claims, views
from masticpost_upstream import openai

# Parts of one prompt that are counted, at its beginning and at its end.
MAX_PARTS_AT_EACH_END = 8
# Cuts at an engine within this time belong to the same crash.
SAME_CRASH_S = 1.0
TICK_S = 1.0
# Shortest time between two reports.
MIN_PERIOD_S = 0.1
REMINDER_S = 2.0
# A further answer on a part is told after this time at the earliest.
NEWS_S = 0.5
# Time after which an answer that was told may be told again.
REPEATED_S = 3.0
MAX_TOLD = 4096
MAX_ENGINES = 4096
# Stands for the upstream in the log of a quarantined part.
STORED_AS = "a verdict"
MS_PER_S = 1000.0


def part_keys(sent: list[openai.Message]) -> tuple[str, ...]:
    """Return the keys of the messages but the last, those in the middle left out."""
    shared = sent[:-1]
    if len(shared) > 2 * MAX_PARTS_AT_EACH_END:
        shared = shared[:MAX_PARTS_AT_EACH_END] + shared[-MAX_PARTS_AT_EACH_END:]
    digests = [claims.fingerprint(codec.to_json(message)) for message in shared]
    return tuple(dict.fromkeys(map(causes.part_key, digests)))


@attrs.frozen(kw_only=True)
class PartCrash:
    """A request that was at work at an engine that went down.

    Attributes
    ----------
    parts : list of str
        Keys of the shared parts of its prompt.
    age_s : float
        Seconds since its connection was cut.
    had_survived : bool
        Whether its answer had been under way for long enough to clear the parts.
    """

    fingerprint: str
    parts: list[str]
    engine: str
    age_s: float
    had_survived: bool = False


@attrs.frozen(kw_only=True)
class AgedPart:
    """A part, and the seconds since it was answered or last crashed an engine."""

    key: str
    age_s: float
    failed_trials: int = 0


@messages.message("deadly-parts")
@attrs.frozen(kw_only=True)
class PartReport:
    """What one instance observed, and in reminders what is quarantined."""

    crashes: list[PartCrash] = attrs.field(factory=list)
    answers: list[AgedPart] = attrs.field(factory=list)
    quarantined: list[AgedPart] = attrs.field(factory=list)


class DeadlyParts(mode.Service):
    """Pools the crashes of parts over all instances and quarantines the deadly ones.

    Parameters
    ----------
    peers : hub.Hub
        Carries the reports.
    members : membership.Membership
        The instances that get them.
    view : views.SharedView
        Holds what is quarantined over a restart.
    """

    def __init__(
        self,
        *,
        peers: hub.Hub,
        members: membership.Membership,
        view: views.SharedView,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.members = members
        self.view = view
        self.tracker = crashes.CrashTracker()
        self.turns = quarantine.TrialTurns(me=peers.name, members=self._names)
        self._engine_crashes: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )
        self._observed: outbox.Outbox[tuple[str, causes.Crash]] = outbox.Outbox()
        self._answers: outbox.Outbox[tuple[str, float]] = outbox.Outbox()
        self._told = toldanswers.ToldAnswers(
            interval_s=lambda key: NEWS_S, repeated_s=REPEATED_S, most=MAX_TOLD
        )
        self._reminded_at = 0.0
        self._stored: dict[str, int] = {}
        self._pace = pacing.Pace(min_period_s=MIN_PERIOD_S, max_period_s=TICK_S)
        self.tracker.listen(lambda crash: None, self._on_answer)
        peers.handle(PartReport, self._on_report)

    def retry_after_s(self, parts: tuple[str, ...]) -> float:
        """Return the seconds until a request may be tried, 0 if it may run now."""
        now = clock.now()
        for key in parts:
            self._restore(key, now)
        rows = self.tracker.quarantines_of(parts, now)
        if not rows or self.turns.take(rows, now):
            return 0.0
        trial_at = max(row.trial_at for row in rows.values())
        return max(trial_at - now, quarantine.TRIAL_SLOT_S)

    def report_crash(
        self, fingerprint: str, parts: tuple[str, ...], engine: str, *, survived: bool
    ) -> None:
        """Report that an engine went down while a request was at work there."""
        crash = self._crash(fingerprint, parts, engine, clock.now(), survived)
        if not self.tracker.record_local_crash(crash):
            return
        logger.bind(
            event="suspect",
            fingerprint=fingerprint,
            upstream=engine,
            crashes=[self.tracker.crash_count(key) for key in parts],
        ).warning("engine went down while serving the request")
        key = (crash.request, crash.run)
        self._observed.put(key, (engine, crash), clock.now())
        self._pace.wake()

    def note_answer(self, parts: tuple[str, ...]) -> None:
        """Note an answer that is complete or goes on, which clears the parts."""
        for key in parts:
            self.tracker.record_local_answer(key, clock.now())

    @mode.Service.task
    async def share(self) -> None:
        """Judge, and send what is new at once and what is recent again."""
        while not self.should_stop:
            may_send = await self._pace.wait(self.tracker.next_verdict_s(clock.now()))
            self._judge()
            if may_send:
                await self._send(clock.now())

    def _judge(self) -> None:
        for key in self.tracker.judge(clock.now()):
            count = self.tracker.crash_count(key)
            logger.bind(event="quarantine", cause=key, crashes=count).warning(
                "quarantined"
            )
        if not self._is_first():
            return
        for key, row in self.tracker.quarantined(clock.now()).items():
            if row.failed_trials >= self._stored_count(key):
                self._stored[key] = row.failed_trials + 1
                self.add_future(self.view.report_crash(key, STORED_AS))

    def _stored_count(self, key: str) -> int:
        """Return how many crashes of a part the log holds or is about to hold."""
        return max(self._stored.get(key, 0), self.view.crash_count(key))

    def _restore(self, key: str, now: float) -> None:
        """Quarantine a part by what the log holds of it."""
        suspect = self.view.suspect_of(key)
        if suspect is None or key in self._stored:
            return
        self._stored[key] = suspect.count
        age_s = max(0.0, (clock.wall_ms() - suspect.at) / MS_PER_S)
        row = quarantine.Quarantine(at=now - age_s, failed_trials=suspect.count - 1)
        self.tracker.add_quarantine(key, row)

    async def _send(self, now: float) -> None:
        observed = self._observed.take(now)
        answers = self._answers.take(now)
        quarantined = self._reminder(now)
        if not (observed or answers or quarantined):
            return
        report = PartReport(
            crashes=[
                PartCrash(
                    fingerprint=crash.request,
                    parts=list(crash.parts),
                    engine=engine,
                    age_s=now - crash.at,
                    had_survived=crash.had_survived,
                )
                for engine, crash in observed
            ],
            answers=[AgedPart(key=key, age_s=now - at) for key, at in answers],
            quarantined=quarantined,
        )
        me = self.peers.name
        others = [row.address for row in self.members.alive() if row.name != me]
        await self.peers.broadcast(others, report, queue_until_connected=True)

    def _reminder(self, now: float) -> list[AgedPart]:
        """Return what is quarantined if this instance is to remind the others now."""
        if not self._is_first() or now - self._reminded_at < REMINDER_S:
            return []
        self._reminded_at = now
        return [
            AgedPart(key=key, age_s=now - row.at, failed_trials=row.failed_trials)
            for key, row in self.tracker.quarantined(now).items()
        ]

    async def _on_report(self, envelope: messages.Envelope, body: PartReport) -> None:
        now = clock.now()
        for row in body.answers:
            self.tracker.record_answer(row.key, now - row.age_s)
        for row in body.crashes:
            parts, at = tuple(row.parts), now - row.age_s
            crash = self._crash(
                row.fingerprint, parts, row.engine, at, row.had_survived
            )
            if self.tracker.record_crash(crash):
                self._speak_for(crash)
                self._pace.wake()
        for row in body.quarantined:
            reported = quarantine.Quarantine(
                at=now - row.age_s, failed_trials=row.failed_trials
            )
            self.tracker.add_quarantine(row.key, reported)

    def _speak_for(self, crash: causes.Crash) -> None:
        """Tell the others of recent answers on parts that are accused."""
        for key in crash.parts:
            if self.tracker.crash_count(key) < causes.ACCUSED_AFTER:
                continue
            answered_at = self.tracker.accuse(key, crash.at)
            if answered_at is not None:
                self._on_answer(key, answered_at)

    def _on_answer(self, key: str, at: float) -> None:
        now = clock.now()
        if self._told.is_news(key, at, now):
            self._answers.put(key, (key, at), now)
            self._pace.wake()

    def _crash(
        self,
        fingerprint: str,
        parts: tuple[str, ...],
        engine: str,
        at: float,
        survived: bool,
    ) -> causes.Crash:
        return causes.Crash(
            run=self._run_of(engine, at),
            at=at,
            request=fingerprint,
            parts=parts,
            had_begun=survived,
            had_survived=survived,
        )

    def _run_of(self, engine: str, at: float) -> str:
        """Return the identity of the engine's crash at about this time."""
        run, crashed_at = self._engine_crashes.get(engine, ("", float("-inf")))
        if abs(at - crashed_at) <= SAME_CRASH_S:
            return run
        run = f"{engine}@{at:.3f}"
        if at > crashed_at:
            self._engine_crashes[engine] = (run, at)
            self._engine_crashes.move_to_end(engine)
        if len(self._engine_crashes) > MAX_ENGINES:
            self._engine_crashes.popitem(last=False)
        return run

    def _is_first(self) -> bool:
        """Whether this instance reminds the others and writes to the log."""
        return min(self._names(), default="") == self.peers.name

    def _names(self) -> list[str]:
        return [row.name for row in self.members.alive()]


def refusal(retry_after_s: float) -> errors.RefusalError:
    """Return the refusal of a request with a quarantined part."""
    return errors.refuse(
        503,
        "part_quarantined",
        "A part of this prompt may have crashed several upstreams and is not run now.",
        retry_after_s=retry_after_s,
    )
