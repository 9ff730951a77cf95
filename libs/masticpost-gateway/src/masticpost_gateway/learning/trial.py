"""Versions on trial: which sessions they get, and what the answers tell of them.

The share of a version is a hash of the session, so that instances agree without
messages; a session that ran lately keeps its version while the share is narrow, as it
is in the first half of a roll-out.
"""

import math

import attrs
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import sessions
from masticpost_gateway.state import beliefs, model, source

MIN_FAILURES = 3
FLOOR_SHARE = 0.03
PRIOR_FAILURES = 0.5
PRIOR_CALLS = 10
ALPHA = 0.001
MIN_GAPS = 6
JUDGED_CALLS = 20
JUDGED_GAPS = 10
SLOW_LOG_RATIO = math.log(3.0)
VERY_SLOW_LOG_RATIO = math.log(4.0)
VERY_SLOW_FLOOR_SHARE = 0.08
BINS_PER_LOG = 4
WIDE_SHARE = 0.9


@attrs.define(kw_only=True)
class Tally:
    """Answers of one version during a trial; sums that only grow.

    Attributes
    ----------
    gap_logs : float
        Sum of the natural logarithms of the mean pause between events, in seconds.
    gap_bins : dict of int to int
        Number of answers by that logarithm, in quarters.
    """

    calls: int = 0
    failures: int = 0
    gaps: int = 0
    gap_logs: float = 0.0
    gap_bins: dict[int, int] = attrs.field(factory=dict)

    def add_gap(self, gap_s: float) -> None:
        """Count an answer by the mean pause between its events."""
        log = math.log(gap_s)
        self.gaps += 1
        self.gap_logs += log
        number = math.floor(log * BINS_PER_LOG)
        self.gap_bins[number] = self.gap_bins.get(number, 0) + 1

    def slower_than(self, log: float) -> int:
        """Return how many answers had pauses of a logarithm or more."""
        lowest = math.ceil(log * BINS_PER_LOG)
        return sum(count for number, count in self.gap_bins.items() if number >= lowest)

    def typical_gap_s(self) -> float:
        """Return the geometric mean of the pauses between events, 0 for none seen."""
        return math.exp(self.gap_logs / self.gaps) if self.gaps else 0.0

    def __str__(self) -> str:
        return (
            f"{self.failures} of {self.calls} failed, {self.gaps} gaps of"
            f" {self.typical_gap_s():.3f} s"
        )

    def add(self, other: "Tally", sign: int = 1) -> None:
        """Add the sums of another tally, or take them off again with `sign` -1."""
        self.calls += sign * other.calls
        self.failures += sign * other.failures
        self.gaps += sign * other.gaps
        self.gap_logs += sign * other.gap_logs
        for number, count in other.gap_bins.items():
            self.gap_bins[number] = self.gap_bins.get(number, 0) + sign * count


@attrs.frozen(kw_only=True)
class Evidence:
    """One instance's tallies of one trial: of the target and of all other versions."""

    service: str
    target: str
    trial: Tally
    base: Tally


@attrs.define(kw_only=True)
class Trial:
    """An open roll-out as this instance knows it.

    Attributes
    ----------
    since : float
        Monotonic time at which this instance learnt of the order.
    told : dict
        The latest evidence of other instances, by instance and its start.
    """

    order: model.RollOut
    since: float
    trial: Tally = attrs.field(factory=Tally)
    base: Tally = attrs.field(factory=Tally)
    told: dict[tuple[str, int], Evidence] = attrs.field(factory=dict)
    verdict: str = ""
    _told_trial: Tally = attrs.field(factory=Tally)
    _told_base: Tally = attrs.field(factory=Tally)

    def tally_of(self, version: str) -> Tally:
        """Return this instance's tally of a version."""
        return self.trial if version == self.order.target else self.base

    def hear(self, sender: tuple[str, int], evidence: Evidence) -> None:
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

    def pooled(self) -> tuple[Tally, Tally]:
        """Return the sums over all instances, of the target and of the others."""
        trial, base = Tally(), Tally()
        trial.add(self.trial)
        trial.add(self._told_trial)
        base.add(self.base)
        base.add(self._told_base)
        return trial, base

    def is_judged(self) -> bool:
        """Tell whether enough answers were seen to trust that no fault was found."""
        row, base = self.pooled()
        has_paces = row.gaps >= JUDGED_GAPS or base.gaps < MIN_GAPS
        return row.calls >= JUDGED_CALLS and has_paces


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
    known : beliefs.Beliefs
        Holds the orders.
    memory : sessions.Sessions
        Versions of the sessions at work.
    """

    def __init__(self, *, known: beliefs.Beliefs, memory: sessions.Sessions) -> None:
        self.known = known
        self.memory = memory
        self.open: dict[str, Trial] = {}
        known.listen(self._on_change)

    def plan(self, service: str, session: str, request_id: str) -> VersionPlan:
        """Return which version a request should run on."""
        order = self.known.roll_out(service)
        if order is None:
            return VersionPlan()
        if order.state is model.RollOutState.COMPLETED:
            return VersionPlan(preferred=order.target)
        trial = self.open.get(service)
        if trial is None or trial.verdict:
            return VersionPlan(excluded=order.target)
        last = self.memory.version(service, session, clock.now())
        if order.share >= WIDE_SHARE or last == order.target:
            return VersionPlan(preferred=order.target)
        if last is not None and order.share <= model.NARROW_SHARE:
            return VersionPlan(avoided=order.target)
        if _mark(order, session or request_id) < order.share:
            return VersionPlan(preferred=order.target)
        return VersionPlan(avoided=order.target)

    def is_marked(self, service: str, session: str) -> bool:
        """Tell whether a session is among the first that a version on trial gets."""
        trial = self.open.get(service)
        return trial is not None and _mark(trial.order, session) < model.NARROW_SHARE

    def note(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer."""
        trial = self.open.get(service)
        if trial is None:
            return
        tally = trial.tally_of(version)
        tally.calls += 1
        tally.failures += not is_good
        self._judge(trial)

    def note_gap(self, service: str, version: str, gap_s: float) -> None:
        """Count the mean pause between the events of an answer, or of its beginning."""
        trial = self.open.get(service)
        if trial is None or gap_s <= 0:
            return
        trial.tally_of(version).add_gap(gap_s)
        self._judge(trial)

    def hear(self, sender: tuple[str, int], evidence: Evidence) -> None:
        """Take the evidence of another instance."""
        trial = self.open.get(evidence.service)
        if trial is None or trial.order.target != evidence.target:
            return
        trial.hear(sender, evidence)
        self._judge(trial)

    def failures(self) -> int:
        """Return how many failures of versions on trial this instance has seen."""
        return sum(row.trial.failures for row in self.open.values())

    def condemn(self, service: str, target: str, reason: str) -> None:
        """Take over what the evidence of all instances showed elsewhere."""
        trial = self.open.get(service)
        if trial is not None and trial.order.target == target and not trial.verdict:
            trial.verdict = reason

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
        entries = self.known.views[kind].entries
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
        trial.verdict = find_fault(row, base)
        if trial.verdict:
            logger.bind(
                event="trial",
                service=trial.order.service,
                version=trial.order.target,
                calls=row.calls,
                failures=row.failures,
                instances=len(trial.told) + 1,
            ).warning("version is bad: {}", trial.verdict)


def _mark(order: model.RollOut, session: str) -> float:
    """Return the share from which on a session gets the version, from 0 to 1."""
    return rendezvous.unit(f"{order.service}\0{order.target}\0{session}")


def find_fault(row: Tally, base: Tally) -> str:
    """Return why a version on trial is worse than the others, empty if it is not.

    Parameters
    ----------
    row : Tally
        Answers of the version on trial.
    base : Tally
        Answers of all other versions in the same time.
    """
    if row.failures >= MIN_FAILURES:
        share = (base.failures + PRIOR_FAILURES) / (base.calls + PRIOR_CALLS)
        share = max(FLOOR_SHARE, share)
        if _tail(row.failures, row.calls, share) < ALPHA:
            return f"{row.failures} of {row.calls} calls failed"
    if min(row.gaps, base.gaps) >= MIN_GAPS:
        ratio = row.gap_logs / row.gaps - base.gap_logs / base.gaps
        if ratio > SLOW_LOG_RATIO:
            return f"events {math.exp(ratio):.1f} times as slow"
        return _find_slow_answers(row, base)
    return ""


def _find_slow_answers(row: Tally, base: Tally) -> str:
    """Return whether too many single answers were written very slowly."""
    limit = base.gap_logs / base.gaps + VERY_SLOW_LOG_RATIO
    slow = row.slower_than(limit)
    if slow < MIN_FAILURES:
        return ""
    share = (base.slower_than(limit) + PRIOR_FAILURES) / (base.gaps + PRIOR_CALLS)
    if _tail(slow, row.gaps, max(VERY_SLOW_FLOOR_SHARE, share)) >= ALPHA:
        return ""
    return f"{slow} of {row.gaps} answers written very slowly"


def _tail(failures: int, calls: int, share: float) -> float:
    """Return the chance of so many failures or more where `share` of calls fail."""
    fewer = (
        math.comb(calls, k) * share**k * (1.0 - share) ** (calls - k)
        for k in range(failures)
    )
    return 1.0 - math.fsum(fewer)
