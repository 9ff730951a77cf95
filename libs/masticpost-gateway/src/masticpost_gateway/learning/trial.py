"""Versions on trial: which sessions they get, and what the answers tell of them.

The share of a version is a hash of the session, so that instances agree without
messages; a session that ran lately keeps its version while the share is narrow, as it
is in the first half of a roll-out.
"""

import math

import attrs
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import progress, sessions, tally
from masticpost_gateway.state import model, recordcache, source

WIDE_SHARE = 0.9
# Longer than a watcher's doubt takes to be told again, once lost.
DOUBT_RETENTION_S = 2.5


@attrs.frozen(kw_only=True)
class Evidence:
    """One instance's tallies of one trial: of the target and of all other versions."""

    service: str
    target: str
    trial: tally.Tally
    base: tally.Tally


@attrs.define(kw_only=True)
class Trial:
    """An open roll-out as this instance knows it.

    Attributes
    ----------
    since : float
        Monotonic time at which this instance learnt of the order.
    told : dict
        The latest evidence of other instances, by instance and its start.
    doubted_until : float
        Monotonic time up to which another instance's doubt holds.
    """

    order: model.RollOut
    since: float
    trial: tally.Tally = attrs.field(factory=tally.Tally)
    base: tally.Tally = attrs.field(factory=tally.Tally)
    told: dict[tuple[str, int], Evidence] = attrs.field(factory=dict)
    verdict: str = ""
    doubted_until: float = -math.inf
    _told_trial: tally.Tally = attrs.field(factory=tally.Tally)
    _told_base: tally.Tally = attrs.field(factory=tally.Tally)

    def tally_of(self, version: str) -> tally.Tally:
        """Return this instance's tally of a version."""
        return self.trial if version == self.order.target else self.base

    def update_evidence(self, sender: tuple[str, int], evidence: Evidence) -> None:
        """Replace what another instance told.

        The sums are kept: each of many instances tells several times a second.
        """
        before = self.told.get(sender)
        if before is not None:
            self._told_trial.add(before.trial, -1)
            self._told_base.add(before.base, -1)
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
        """Return the pause from which on an answer is very slow, in seconds."""
        _, base = self.pooled()
        return tally.very_slow_s(base)

    def is_proven(self) -> bool:
        """Tell whether enough answers were seen to trust that no fault was found."""
        row, base = self.pooled()
        return tally.is_proven(row, base)

    def is_doubtful(self, now: float) -> bool:
        """Tell whether the version looks worse than the others, fault or not.

        Most instances know only their own answers and go by what a watcher tells.
        """
        row, base = self.pooled()
        return now < self.doubted_until or tally.is_doubtful(row, base)


@attrs.frozen(kw_only=True)
class VersionPlan:
    """Which version a request should run on.

    Attributes
    ----------
    preferred : str or None
        The version to use where it can take the request; None for any.
    avoided : str or None
        A version to use only when nothing else is there; None for no such version.
    excluded : str or None
        A version that gets nothing.
    """

    preferred: str | None = None
    avoided: str | None = None
    excluded: str | None = None


class Trials:
    """The open roll-outs and the versions' evidence.

    Parameters
    ----------
    records : recordcache.RecordCache
        Holds the orders.
    sessions : sessions.Sessions
        Versions of the sessions at work.
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
        """Tell whether a session is among the first that a version on trial gets."""
        trial = self.open.get(service)
        return (
            trial is not None
            and _session_position(trial.order, session) < model.NARROW_SHARE
        )

    def record_answer(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer."""
        trial = self.open.get(service)
        if trial is None:
            return
        row = trial.tally_of(version)
        row.calls += 1
        row.failures += not is_good
        self._judge(trial)

    def begin_answer(self, answer_progress: progress.AnswerProgress) -> None:
        """Note that a version is asked for an answer."""
        trial = self.open.get(answer_progress.service)
        if trial is not None:
            trial.tally_of(answer_progress.version).sent += 1
            self._in_progress.add(answer_progress)

    def discard_answer(self, answer_progress: progress.AnswerProgress) -> None:
        """Forget an answer of which nothing is known."""
        trial = self.open.get(answer_progress.service)
        if trial is not None and answer_progress in self._in_progress:
            trial.tally_of(answer_progress.version).sent -= 1
        self._in_progress.discard(answer_progress)

    def record_start(
        self, answer_progress: progress.AnswerProgress, now: float
    ) -> None:
        """Note that an answer has begun."""
        answer_progress.began_at = now
        self._count_start(answer_progress, now)

    def end_answer(self, answer_progress: progress.AnswerProgress, now: float) -> None:
        """Forget an answer that is over; a slow one counts however it ended."""
        if answer_progress not in self._in_progress:
            return
        self._count_if_slow(answer_progress, now)
        if answer_progress.is_start_counted:
            self._in_progress.discard(answer_progress)
        else:
            self.discard_answer(answer_progress)

    def count_slow_answers(self, now: float) -> None:
        """Count the answers at work that are known to be slow already.

        Of a slow version the quick answers are over first.
        """
        for answer_progress in list(self._in_progress):
            self._count_if_slow(answer_progress, now)

    def _count_start(
        self, answer_progress: progress.AnswerProgress, now: float
    ) -> None:
        trial = self.open.get(answer_progress.service)
        if (
            trial is None
            or answer_progress.is_start_counted
            or answer_progress not in self._in_progress
        ):
            return
        answer_progress.is_start_counted = True
        is_late = now - answer_progress.sent_at > answer_progress.objective_s
        trial.tally_of(answer_progress.version).add_start(is_late=is_late)
        self._judge(trial)

    def _count_if_slow(
        self, answer_progress: progress.AnswerProgress, now: float
    ) -> None:
        if now - answer_progress.sent_at > answer_progress.objective_s:
            self._count_start(answer_progress, now)
        trial = self.open.get(answer_progress.service)
        if trial is None or answer_progress.is_counted:
            return
        gap_s = answer_progress.min_gap_s(now)
        # One of many instances knows too few answers to tell what is usual.
        if gap_s < min(trial.very_slow_s(), answer_progress.max_gap_s):
            return
        answer_progress.is_counted = True
        trial.tally_of(answer_progress.version).add_gap(gap_s)
        self._judge(trial)

    def record_progress(self, answer_progress: progress.AnswerProgress) -> None:
        """Count the answer_progress of an answer of which enough has come."""
        gap_s = answer_progress.gap_s()
        if not answer_progress.is_counted and gap_s > 0:
            answer_progress.is_counted = True
            self.record_gap(answer_progress.service, answer_progress.version, gap_s)

    def record_gap(self, service: str, version: str, gap_s: float) -> None:
        """Count the mean pause between the events of an answer, or of its beginning."""
        trial = self.open.get(service)
        if trial is None or gap_s <= 0:
            return
        trial.tally_of(version).add_gap(gap_s)
        self._judge(trial)

    def update_evidence(self, sender: tuple[str, int], evidence: Evidence) -> None:
        """Take the evidence of another instance."""
        trial = self.open.get(evidence.service)
        if trial is None or trial.order.target != evidence.target:
            return
        trial.update_evidence(sender, evidence)
        self._judge(trial)

    def failure_count(self) -> int:
        """Return how many failures of versions on trial this instance has seen."""
        return sum(row.trial.failures for row in self.open.values())

    def mark_bad(self, service: str, target: str, reason: str) -> None:
        """Take over what the evidence of all instances showed elsewhere."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target and not trial.verdict:
            trial.verdict = reason

    def mark_doubtful(self, service: str, target: str) -> None:
        """Take over for a moment that a version looks worse than the others."""
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
            ).warning("version is bad: {}", trial.verdict)


def _session_position(order: model.RollOut, session: str) -> float:
    """Return the share from which on a session gets the version, from 0 to 1."""
    return rendezvous.unit(f"{order.service}\0{order.target}\0{session}")
