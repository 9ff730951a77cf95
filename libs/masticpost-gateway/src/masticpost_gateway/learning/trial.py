"""Versions on trial: which sessions they get, and the evidence from their answers.

A hash of the session decides whether it lies in the share of the version on trial, so
that instances agree without messages. A session that ran recently keeps its version
while the share is narrow, which it is in the first half of a roll-out.
"""

import math

import attrs
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import progress, sessions, tally
from masticpost_gateway.state import model, recordcache, source

# Share from which every session gets the version on trial.
WIDE_SHARE = 0.9
# Longer than a watcher takes to repeat a report of doubt that was lost.
DOUBT_RETENTION_S = 2.5


@attrs.frozen(kw_only=True)
class Evidence:
    """One instance's tallies of a trial, of the target and of all other versions."""

    service: str
    target: str
    trial: tally.Tally
    base: tally.Tally


@attrs.define(kw_only=True)
class Trial:
    """An open roll-out, with the evidence that this instance has.

    Attributes
    ----------
    order : model.RollOut
        The roll-out as ordered, with its present share.
    since : float
        Monotonic time at which this instance received the order.
    trial, base : tally.Tally
        Answers at this instance, of the target and of all other versions.
    told : dict
        The latest evidence reported by other instances, by name and incarnation.
    verdict : str
        The fault of the version, empty while none was found.
    doubted_until : float
        Monotonic time until which a watcher's report of doubt is valid.
    """

    order: model.RollOut
    since: float
    trial: tally.Tally = attrs.field(factory=tally.Tally)
    base: tally.Tally = attrs.field(factory=tally.Tally)
    told: dict[tuple[str, int], Evidence] = attrs.field(factory=dict)
    verdict: str = ""
    doubted_until: float = -math.inf
    # Sums over the evidence in `told`.
    _told_trial: tally.Tally = attrs.field(factory=tally.Tally)
    _told_base: tally.Tally = attrs.field(factory=tally.Tally)

    def tally_of(self, version: str) -> tally.Tally:
        """Return this instance's tally of a version."""
        return self.trial if version == self.order.target else self.base

    def update_evidence(self, sender: tuple[str, int], evidence: Evidence) -> None:
        """Replace the evidence that another instance reported.

        The sums are updated incrementally, since each of many instances reports several
        times a second.
        """
        previous = self.told.get(sender)
        if previous is not None:
            self._told_trial.add(previous.trial, -1)
            self._told_base.add(previous.base, -1)
        self.told[sender] = evidence
        self._told_trial.add(evidence.trial)
        self._told_base.add(evidence.base)

    def pooled(self) -> tuple[tally.Tally, tally.Tally]:
        """Return the sums over all instances, of the target and of the others."""
        trial, base = tally.Tally(), tally.Tally()
        trial.add(self.trial)
        trial.add(self._told_trial)
        base.add(self.base)
        base.add(self._told_base)
        return trial, base

    def very_slow_s(self) -> float:
        """Return the gap from which on an answer is very slow, in seconds."""
        _, base = self.pooled()
        return tally.very_slow_s(base)

    def is_proven(self) -> bool:
        """Return whether enough answers show that the version is no worse."""
        row, base = self.pooled()
        return tally.is_proven(row, base)

    def is_doubtful(self, now: float) -> bool:
        """Return whether the version looks worse than the others, even without a fault.

        Most instances have only the evidence of their own answers and rely on the
        reports of a watcher.
        """
        row, base = self.pooled()
        return now < self.doubted_until or tally.is_doubtful(row, base)


@attrs.frozen(kw_only=True)
class VersionPlan:
    """Which version a request should run on.

    Attributes
    ----------
    preferred : str or None
        The version to use if one of its upstreams is ready; None for any version.
    avoided : str or None
        A version to use only if no other one is ready.
    excluded : str or None
        A version that gets no requests.
    """

    preferred: str | None = None
    avoided: str | None = None
    excluded: str | None = None


class Trials:
    """The open roll-outs and the evidence on their versions.

    Parameters
    ----------
    records : recordcache.RecordCache
        Cached roll-outs.
    sessions : sessions.Sessions
        Versions of the recent sessions.
    """

    def __init__(
        self, *, records: recordcache.RecordCache, sessions: sessions.Sessions
    ) -> None:
        self.records = records
        self.sessions = sessions
        self.open: dict[str, Trial] = {}
        self._in_progress: set[progress.AnswerProgress] = set()
        records.listen(self._on_change)

    def plan(self, service: str, session: str, request_id: str) -> VersionPlan:
        """Return which version a request should run on."""
        order = self.records.roll_out(service)
        if order is None:
            return VersionPlan()
        if order.state is model.RollOutState.COMPLETED:
            return VersionPlan(preferred=order.target)
        trial = self.open.get(service)
        if trial is None or trial.verdict:
            return VersionPlan(excluded=order.target)
        last = self.sessions.last_version(service, session, clock.now())
        if order.share >= WIDE_SHARE or last == order.target:
            return VersionPlan(preferred=order.target)
        if last is not None and order.share <= model.NARROW_SHARE:
            return VersionPlan(avoided=order.target)
        if _session_position(order, session or request_id) < order.share:
            return VersionPlan(preferred=order.target)
        return VersionPlan(avoided=order.target)

    def is_early_session(self, service: str, session: str) -> bool:
        """Return whether a session is among the first that a version on trial gets."""
        trial = self.open.get(service)
        return (
            trial is not None
            and _session_position(trial.order, session) < model.NARROW_SHARE
        )

    def record_answer(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer as good or failed."""
        trial = self.open.get(service)
        if trial is None:
            return
        row = trial.tally_of(version)
        row.calls += 1
        row.failures += not is_good
        self._judge(trial)

    def begin_answer(self, answer: progress.AnswerProgress) -> None:
        """Record that a request is sent to a version."""
        trial = self.open.get(answer.service)
        if trial is not None:
            trial.tally_of(answer.version).sent += 1
            self._in_progress.add(answer)

    def discard_answer(self, answer: progress.AnswerProgress) -> None:
        """Discard an answer that is no evidence on its version."""
        trial = self.open.get(answer.service)
        if trial is not None and answer in self._in_progress:
            trial.tally_of(answer.version).sent -= 1
        self._in_progress.discard(answer)

    def record_start(self, answer: progress.AnswerProgress, now: float) -> None:
        """Record that an answer has begun."""
        answer.began_at = now
        self._count_start(answer, now)

    def end_answer(self, answer: progress.AnswerProgress, now: float) -> None:
        """Stop tracking an ended answer; a slow one counts however it ended."""
        if answer not in self._in_progress:
            return
        self._count_if_slow(answer, now)
        if answer.is_start_counted:
            self._in_progress.discard(answer)
        else:
            self.discard_answer(answer)

    def count_slow_answers(self, now: float) -> None:
        """Count the answers in progress that are certain to be slow.

        The fast answers of a slow version end first, so that counting only ended ones
        would hide that it is slow.
        """
        for answer in list(self._in_progress):
            self._count_if_slow(answer, now)

    def _count_start(self, answer: progress.AnswerProgress, now: float) -> None:
        trial = self.open.get(answer.service)
        if trial is None or answer.is_start_counted or answer not in self._in_progress:
            return
        answer.is_start_counted = True
        is_late = now - answer.sent_at > answer.objective_s
        trial.tally_of(answer.version).add_start(is_late=is_late)
        self._judge(trial)

    def _count_if_slow(self, answer: progress.AnswerProgress, now: float) -> None:
        if now - answer.sent_at > answer.objective_s:
            self._count_start(answer, now)
        trial = self.open.get(answer.service)
        if trial is None or answer.is_counted:
            return
        gap_s = answer.min_gap_s(now)
        # One of many instances has too few answers to derive the usual gap, so that the
        # route's own limit applies as well.
        if gap_s < min(trial.very_slow_s(), answer.max_gap_s):
            return
        answer.is_counted = True
        trial.tally_of(answer.version).add_gap(gap_s)
        self._judge(trial)

    def record_progress(self, answer: progress.AnswerProgress) -> None:
        """Count the mean gap of an answer with enough events."""
        gap_s = answer.gap_s()
        if not answer.is_counted and gap_s > 0:
            answer.is_counted = True
            self.record_gap(answer.service, answer.version, gap_s)

    def record_gap(self, service: str, version: str, gap_s: float) -> None:
        """Count the mean gap of an answer or of its beginning, in seconds."""
        trial = self.open.get(service)
        if trial is None or gap_s <= 0:
            return
        trial.tally_of(version).add_gap(gap_s)
        self._judge(trial)

    def update_evidence(self, sender: tuple[str, int], evidence: Evidence) -> None:
        """Take in the evidence that another instance reported."""
        trial = self.open.get(evidence.service)
        if trial is None or trial.order.target != evidence.target:
            return
        trial.update_evidence(sender, evidence)
        self._judge(trial)

    def failure_count(self) -> int:
        """Return the number of failures of versions on trial at this instance."""
        return sum(row.trial.failures for row in self.open.values())

    def mark_bad(self, service: str, target: str, reason: str) -> None:
        """Take over the verdict of an instance that pools the evidence."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target and not trial.verdict:
            trial.verdict = reason

    def mark_doubtful(self, service: str, target: str) -> None:
        """Take over a report of doubt for `DOUBT_RETENTION_S`."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target:
            trial.doubted_until = clock.now() + DOUBT_RETENTION_S

    def evidence(self) -> list[Evidence]:
        """Return this instance's own evidence of the open trials."""
        return [
            Evidence(
                service=service,
                target=row.order.target,
                trial=row.trial,
                base=row.base,
            )
            for service, row in self.open.items()
        ]

    def _on_change(self, kind: source.Kind) -> None:
        if kind is not source.Kind.ROLL_OUTS:
            return
        entries = self.records.views[kind].entries
        orders = {e.record.service: e.record for e in entries.values() if e.record}
        for service in list(self.open):
            order = orders.get(service)
            if order is None or not order.state.is_open:
                del self.open[service]
        for service, order in orders.items():
            if order.state.is_open:
                self._open(service, order)

    def _open(self, service: str, order: model.RollOut) -> None:
        trial = self.open.get(service)
        if trial is None or trial.order.target != order.target:
            self.open[service] = Trial(order=order, since=clock.now())
            return
        trial.order = order

    def _judge(self, trial: Trial) -> None:
        if trial.verdict:
            return
        row, base = trial.pooled()
        trial.verdict = tally.find_fault(row, base)
        if trial.verdict:
            logger.bind(
                event="trial",
                service=trial.order.service,
                version=trial.order.target,
                calls=row.calls,
                failures=row.failures,
                instances=len(trial.told) + 1,
            ).warning("version on trial is faulty: {}", trial.verdict)


def _session_position(order: model.RollOut, session: str) -> float:
    """Return the share beyond which a session gets the version, from 0 to 1."""
    return rendezvous.unit_hash(f"{order.service}\0{order.target}\0{session}")
