"""Versions on trial: which sessions they get, and the evidence from their answers.

A hash of the session decides whether it lies in the share of the version on trial, so
that instances agree without messages. A session that ran recently keeps its version
while the share is narrow, which it is in the first half of a roll-out.
"""

import collections.abc
import math

import attrs
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import (
    answercounts,
    budgetneeds,
    completions,
    exposure,
    sessions,
    trialevidence,
)
from masticpost_gateway.state import model, recordcache, source

# Share from which every session gets the version on trial.
WIDE_SHARE = 0.9
# Longer than a watcher takes to repeat a report of doubt that was lost.
DOUBT_RETENTION_S = 2.5
# Load of the few upstreams that get a small share, as a share of the usual load: a
# little less, so that they do not look slower than the others for their load alone.
FOCUS_LOAD = 0.65
DEFAULT_BOUNDS = exposure.Bounds()


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


@attrs.frozen(kw_only=True)
class ClosedTrial:
    """A trial whose roll-out ended or disappeared in an era of the store.

    Attributes
    ----------
    state : model.RollOutState or None
        How it ended; None if the order disappeared.
    """

    trial: trialevidence.Trial
    state: model.RollOutState | None
    era: int


@attrs.frozen(kw_only=True)
class Lack:
    """Budget that is missing here for a request to run on the version on trial."""

    trial: trialevidence.Trial
    purpose: budgetneeds.Purpose
    wanted: float


class Trials:
    """The open roll-outs and the evidence on their versions.

    Parameters
    ----------
    records : recordcache.RecordCache
        Cached roll-outs.
    sessions : sessions.Sessions
        Versions of the recent sessions.
    bounds : exposure.Bounds
        What a version on trial may get over all instances.
    instance_count : callable
        Returns the number of instances that may send requests.

    Attributes
    ----------
    open : dict of str to trialevidence.Trial
        The open trials by service.
    answers : answercounts.AnswerCounts
        Counts the answers of this instance as evidence.
    completions : completions.Completions
        Answers of versions whose roll-outs were completed.
    """

    def __init__(
        self,
        *,
        records: recordcache.RecordCache,
        sessions: sessions.Sessions,
        bounds: exposure.Bounds = DEFAULT_BOUNDS,
        instance_count: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self.records = records
        self.sessions = sessions
        self.bounds = bounds
        self.instance_count = instance_count
        # Borrows budget from other instances, where there are any.
        self.borrow: collections.abc.Callable[
            [Lack], collections.abc.Awaitable[None]
        ] = _borrow_nothing
        self.open: dict[str, trialevidence.Trial] = {}
        # Trials whose budget binds: the open ones, and completed ones before their
        # deadline.
        self._limited: dict[str, trialevidence.Trial] = {}
        self._closed: dict[str, ClosedTrial] = {}
        self.completions = completions.Completions()
        self._verdict_listeners: list[
            collections.abc.Callable[[trialevidence.Trial], None]
        ] = []
        self._is_first_state = True
        self.answers = answercounts.AnswerCounts(
            open_trials=self.open,
            find_limited=self._limited_trial,
            completions=self.completions,
            judge=self._judge,
        )
        records.listen(self._on_change)

    def plan(self, service: str, session: str, request_id: str) -> VersionPlan:
        """Return which version a request should run on."""
        order = self.records.roll_out(service)
        if order is None:
            return VersionPlan()
        completed = self.completed_plan(service)
        if completed is not None:
            return completed
        trial = self.open.get(service)
        if trial is None or trial.verdict:
            return VersionPlan(excluded=order.target)
        now = clock.now()
        purpose = self._purpose(trial, session, request_id, now)
        if purpose is None:
            return VersionPlan(avoided=order.target)
        is_new = purpose is budgetneeds.Purpose.BEGIN
        if is_new and budgetneeds.missing(trial, purpose, now):
            return VersionPlan(avoided=order.target)
        return VersionPlan(preferred=order.target)

    def completed_plan(self, service: str) -> VersionPlan | None:
        """Return the plan after a completed roll-out, None if there is none."""
        order = self.records.roll_out(service)
        if order is None:
            return None
        completed = VersionPlan(preferred=order.target)
        if order.state is model.RollOutState.COMPLETED:
            return completed
        trial = self.open.get(service)
        if trial is None or trial.verdict:
            return None
        return completed if trial.decided is model.RollOutState.COMPLETED else None

    def _purpose(
        self, trial: trialevidence.Trial, session: str, request_id: str, now: float
    ) -> budgetneeds.Purpose | None:
        """Return why a request should run on the version on trial, None if not.

        Sessions that run on another version stay there in the first half of a roll-out.
        """
        order = trial.order
        last = self.sessions.last_version(order.service, session, now)
        if last == order.target:
            return budgetneeds.Purpose.GO_ON
        if order.share >= WIDE_SHARE:
            return budgetneeds.Purpose.BEGIN
        if last is not None and trial.keeps_sessions(now):
            return None
        is_chosen = _session_position(order, session or request_id) < order.share
        return budgetneeds.Purpose.BEGIN if is_chosen else None

    async def fund(self, service: str, session: str, request_id: str) -> None:
        """Borrow what a request lacks to run on a version on trial, if anything."""
        lack = self.lack(service, session, request_id)
        if lack is None:
            return
        await self.borrow(lack)
        if self.lack(service, session, request_id) is not None:
            lack.trial.budget.note_lack(clock.now())

    def lack(self, service: str, session: str, request_id: str) -> Lack | None:
        """Return the budget that a request lacks to run on a version on trial."""
        trial = self._limited_trial(service)
        if trial is None or trial.verdict:
            return None
        if trial.decided is model.RollOutState.COMPLETED:
            return None
        now = clock.now()
        purpose = budgetneeds.Purpose.GO_ON
        if service in self.open:
            purpose = self._purpose(trial, session, request_id, now)
        if purpose is None:
            return None
        missing = budgetneeds.missing(trial, purpose, now)
        return Lack(trial=trial, purpose=purpose, wanted=missing) if missing else None

    def allows(self, service: str, version: str) -> bool:
        """Return whether a request may be sent to a version now.

        The budget of a version on trial holds for every request that is sent there,
        also where no other version is ready, and after an early completion.
        """
        trial = self._limited_trial(service)
        if trial is None or trial.order.target != version:
            return True
        if trial.decided is model.RollOutState.COMPLETED:
            return True
        return not trial.verdict and trial.budget.allows_session

    def limited(self) -> list[trialevidence.Trial]:
        """Return the trials whose versions may not get all requests yet."""
        rows = [self._limited_trial(service) for service in list(self._limited)]
        return [row for row in rows if row is not None]

    def _limited_trial(self, service: str) -> trialevidence.Trial | None:
        trial = self._limited.get(service)
        if trial is None or service in self.open or trial.left_s(clock.now()) > 0:
            return trial
        del self._limited[service]
        return None

    def focus(
        self, service: str, upstreams: list[model.Upstream]
    ) -> list[model.Upstream]:
        """Return the upstreams to choose from for a version with a small share.

        The small share goes to so few upstreams that these are nearly as loaded as the
        others. A version that is slow only under load would otherwise be found when it
        has all requests.
        """
        trial = self.open.get(service)
        if trial is None or trial.order.share >= WIDE_SHARE:
            return upstreams
        target = trial.order.target
        names = [row.name for row in upstreams if row.version == target]
        if len(names) < len(upstreams):
            return upstreams
        ranked = rendezvous.ranked(names, f"{service}\0{target}")
        kept = set(ranked[: focus_count(trial.order.share, len(names))])
        return [row for row in upstreams if row.name in kept]

    def is_early_session(self, service: str, session: str) -> bool:
        """Return whether a session is among the first that a version on trial gets."""
        trial = self.open.get(service)
        return (
            trial is not None
            and _session_position(trial.order, session) < model.NARROW_SHARE
        )

    def update_evidence(
        self, sender: trialevidence.Sender, evidence: trialevidence.Evidence
    ) -> None:
        """Take in the evidence that another instance reported, and its verdict."""
        trial = self.open.get(evidence.service)
        if trial is None or trial.order.target != evidence.target:
            return
        trial.update_evidence(sender, evidence)
        if evidence.verdict:
            self.mark_bad(evidence.service, evidence.target, evidence.verdict)
        self._judge(trial)

    def bad_answer_count(self) -> int:
        """Return the bad answers of versions on trial at this instance."""
        return sum(row.bad_answers() for row in self.open.values())

    def mark_bad(self, service: str, target: str, reason: str) -> None:
        """Take over the verdict of another instance."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target and not trial.verdict:
            trial.verdict = reason
            self._tell_verdict(trial)

    def on_verdict(
        self, listener: collections.abc.Callable[[trialevidence.Trial], None]
    ) -> None:
        """Call `listener` with each trial that has just got a verdict."""
        self._verdict_listeners.append(listener)

    def _tell_verdict(self, trial: trialevidence.Trial) -> None:
        for listener in self._verdict_listeners:
            listener(trial)

    def mark_doubtful(self, service: str, target: str, sender: str = "") -> None:
        """Take over a watcher's report of doubt for `DOUBT_RETENTION_S`."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target:
            if clock.now() >= trial.doubted_until:
                trial.doubted_by.clear()
            trial.doubted_until = clock.now() + DOUBT_RETENTION_S
            trial.doubted_by.add(sender)

    def withdraw_doubt(self, service: str, target: str, sender: str) -> None:
        """Take over that a watcher that judges a version has no doubt."""
        trial = self.open.get(service)
        if trial is None or trial.order.target != target:
            return
        if trial.doubted_by == {sender}:
            trial.doubted_until = -math.inf
        trial.doubted_by.discard(sender)

    def evidence(self) -> list[trialevidence.Evidence]:
        """Return this instance's own evidence of the open trials."""
        return [
            trialevidence.Evidence(
                service=service,
                target=row.order.target,
                trial=row.trial,
                base=row.base,
                total=row.budget.total,
                budget_left=row.budget.left(),
                lacked=row.budget.lacked,
                verdict=row.verdict,
            )
            for service, row in self.open.items()
        ]

    def ages_s(self, now: float) -> dict[str, float]:
        """Return the seconds since the first instance had the order, by service."""
        return {service: now - row.since for service, row in self.open.items()}

    def note_age(self, service: str, target: str, age_s: float) -> None:
        """Take over the age of an order that another instance has had for longer."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target:
            trial.since = min(trial.since, clock.now() - age_s)

    def _on_change(self, kind: source.Kind) -> None:
        if kind is not source.Kind.ROLL_OUTS:
            return
        entries = self.records.views[kind].entries
        orders = {e.record.service: e.record for e in entries.values() if e.record}
        for service in list(self.open):
            order = orders.get(service)
            if order is None or not order.state.is_open:
                self._close(service, order)
        for service, order in orders.items():
            if order.state.is_open:
                self._open(service, order)
        self._is_first_state = False

    def _open(self, service: str, order: model.RollOut) -> None:
        trial = self.open.get(service)
        if trial is None or trial.order.target != order.target:
            trial = self._reopen(service, order) or self._begin(order)
            self.open[service] = self._limited[service] = trial
            self.completions.rows.pop(service, None)
            return
        self._set_order(trial, order)

    def _begin(self, order: model.RollOut) -> trialevidence.Trial:
        """Return a new trial.

        An instance that learns of an order with its first records may have had its part
        of the slack in an earlier incarnation.
        """
        slack = self.bounds.slack / max(1, self.instance_count())
        budget = exposure.Budget(
            bounds=self.bounds,
            slack=0.0 if self._is_first_state else slack,
            session_s=self.sessions.idle_timeout_s,
        )
        trial = trialevidence.Trial(order=order, since=clock.now(), budget=budget)
        self._set_order(trial, order)
        return trial

    def _reopen(self, service: str, order: model.RollOut) -> trialevidence.Trial | None:
        """Return the trial of an order that the store has again, None for a new one.

        The store may come back from an older copy, without the last decision or without
        the order, which its operator then writes again.
        """
        closed = self._closed.pop(service, None)
        if closed is None or closed.trial.order.target != order.target:
            return None
        if closed.era >= self.records.era:
            return None
        trial = closed.trial
        trial.decided = closed.state
        if closed.state is model.RollOutState.ROLLED_BACK:
            trial.verdict = trial.verdict or "rolled back before"
        self._set_order(trial, order)
        return trial

    def _close(self, service: str, order: model.RollOut | None) -> None:
        trial = self.open.pop(service)
        is_decided = order is not None and order.target == trial.order.target
        if not is_decided or order.state is not model.RollOutState.COMPLETED:
            del self._limited[service]
        else:
            _, usual = trial.pooled()
            self.completions.begin(service, order.target, usual)
        self._closed[service] = ClosedTrial(
            trial=trial,
            state=order.state if is_decided else None,
            era=self.records.era,
        )

    def _set_order(self, trial: trialevidence.Trial, order: model.RollOut) -> None:
        trial.order = order
        if order.share < WIDE_SHARE:
            trial.wide_since = math.inf
        elif math.isinf(trial.wide_since):
            trial.wide_since = clock.now()

    def _judge(self, trial: trialevidence.Trial) -> None:
        if trial.verdict:
            return
        row, _ = trial.pooled()
        trial.verdict = trial.find_fault(clock.now())
        if trial.verdict:
            logger.bind(
                event="trial",
                service=trial.order.service,
                version=trial.order.target,
                calls=row.calls,
                failures=row.failures,
                instances=len(trial.told) + 1,
            ).warning("version on trial is faulty: {}", trial.verdict)
            self._tell_verdict(trial)


async def _borrow_nothing(lack: Lack) -> None:
    """Borrow nothing, for an instance without others."""


def focus_count(share: float, upstreams: int) -> int:
    """Return the number of a version's upstreams that get a small share."""
    return max(1, round(share * upstreams / FOCUS_LOAD))


def _session_position(order: model.RollOut, session: str) -> float:
    """Return the share beyond which a session gets the version, from 0 to 1."""
    return rendezvous.unit_hash(f"{order.service}\0{order.target}\0{session}")
