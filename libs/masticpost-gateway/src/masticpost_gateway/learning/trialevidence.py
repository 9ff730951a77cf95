"""One version on trial: its order, its budget, and the evidence on it."""

import collections.abc
import math

import attrs

from masticpost_gateway.learning import comparison, exposure, proof, tally
from masticpost_gateway.state import model

# Fraction of a roll-out's duration in which running sessions keep their version.
KEPT_UNTIL = 0.51
Sender = tuple[str, int]
"""Name and incarnation of an instance."""


@attrs.frozen(kw_only=True)
class Evidence:
    """One instance's tallies of a trial, of the target and of all other versions.

    Attributes
    ----------
    total : int
        Requests of the service that upstreams of any version have begun to answer.
    budget_left : float
        Requests that the instance may still send to the target.
    lacked : int
        Requests that would have gone to the target with more budget.
    verdict : str
        The fault that the instance has found, empty for none.
    """

    service: str
    target: str
    trial: tally.Tally
    base: tally.Tally
    total: int = 0
    budget_left: float = 0.0
    lacked: int = 0
    verdict: str = ""


@attrs.define(kw_only=True)
class Trial:
    """An open roll-out, with the evidence that this instance has.

    Attributes
    ----------
    order : model.RollOut
        The roll-out as ordered, with its present share.
    since : float
        Monotonic time at which the first instance received the order.
    budget : exposure.Budget
        Requests that this instance may send to the target.
    trial, base : tally.Tally
        Answers at this instance, of the target and of all other versions.
    told : dict
        The latest evidence reported by other instances, by name and incarnation.
    verdict : str
        The fault of the version, empty while none was found.
    decided : model.RollOutState or None
        The decision that the store has lost again, None without one.
    doubted_until : float
        Monotonic time until which a watcher's report of doubt is valid.
    doubted_by : set of str
        Names of the watchers that reported a doubt and have not withdrawn it.
    wide_since : float
        Monotonic time from which on the target gets all requests, infinite before.
    newest_at : float
        Monotonic time at which a proof first had the newest evidence on the target.
    is_lack_noted : bool
        Whether the log says that the deadline passed without a decision.
    """

    order: model.RollOut
    since: float
    budget: exposure.Budget = attrs.field(
        factory=lambda: exposure.Budget(bounds=exposure.Bounds())
    )
    trial: tally.Tally = attrs.field(factory=tally.Tally)
    base: tally.Tally = attrs.field(factory=tally.Tally)
    told: dict[Sender, Evidence] = attrs.field(factory=dict)
    verdict: str = ""
    decided: model.RollOutState | None = None
    doubted_until: float = -math.inf
    doubted_by: set[str] = attrs.field(factory=set)
    wide_since: float = math.inf
    newest_at: float = -math.inf
    is_lack_noted: bool = False
    # Steps of answers of the target that the last proof was made from.
    _answers: int = 0
    # Sums over the evidence in `told`.
    _told_trial: tally.Tally = attrs.field(factory=tally.Tally)
    _told_base: tally.Tally = attrs.field(factory=tally.Tally)
    _told_total: int = 0
    _comparison: comparison.Comparison = attrs.field(
        default=attrs.Factory(
            lambda self: comparison.Comparison(since=self.since), takes_self=True
        )
    )

    def tally_of(self, version: str) -> tally.Tally:
        """Return this instance's tally of a version."""
        return self.trial if version == self.order.target else self.base

    def update_evidence(self, sender: Sender, evidence: Evidence) -> None:
        """Replace the evidence that another instance reported.

        The sums are updated incrementally, since each of many instances reports several
        times a second.
        """
        previous = self.told.get(sender)
        if previous is not None:
            self._told_trial.add(previous.trial, -1)
            self._told_base.add(previous.base, -1)
            self._told_total -= previous.total
        self.told[sender] = evidence
        self._told_total += evidence.total
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

    def total(self) -> int:
        """Return the requests of the service that all instances know of."""
        return self.budget.total + self._told_total

    def lacked(self) -> int:
        """Return the requests that lacked budget for the target, at all instances."""
        return self.budget.lacked + sum(row.lacked for row in self.told.values())

    def budget_left(
        self, is_running: collections.abc.Callable[[str, int], bool]
    ) -> float:
        """Return the requests that all instances may still send to the target.

        What an instance had left is lost with it.
        """
        told = (
            max(0.0, row.budget_left)
            for sender, row in self.told.items()
            if is_running(*sender)
        )
        return self.budget.left() + sum(told)

    def bad_answers(self) -> int:
        """Return the failed, late and very slow answers of the target here."""
        slow, gap = 0, self.very_slow()
        if math.isfinite(gap):
            slow = self.trial.count_from_bin(tally.bin_of(gap))
        return self.trial.failures + self.trial.late + slow

    def very_slow(self) -> float:
        """Return the gap from which on an answer is very slow."""
        return self._comparison.very_slow(self.pooled()[1])

    def find_fault(self, now: float) -> str:
        """Return the fault of the version by all evidence, empty for none."""
        row, base = self.pooled()
        self._comparison.advance(row, base, now)
        return self._comparison.find_fault(row, base)

    def doubt(self, now: float) -> str:
        """Return why the version looks worse by the evidence here, empty if not.

        Most instances have only the evidence of their own answers and rely on the
        reports of a watcher.
        """
        row, base = self.pooled()
        self._comparison.advance(row, base, now)
        return self._comparison.find_doubt(row, base)

    def is_doubtful(self, now: float) -> bool:
        """Return whether the version looks worse here or to a watcher."""
        return now < self.doubted_until or bool(self.doubt(now))

    def proof(self, now: float) -> proof.Proof:
        """Return the evidence that the version is as good as the others."""
        row, base = self.pooled()
        self._comparison.advance(row, base, now)
        answers = row.sent + row.starts + row.calls + row.gaps
        if answers != self._answers:
            self._answers, self.newest_at = answers, now
        sums = self._comparison.sums(row, base)
        return proof.prove(sums, row, base, self.total())

    def keeps_sessions(self, now: float) -> bool:
        """Return whether the sessions of the other versions stay there."""
        is_first_half = now - self.since < KEPT_UNTIL * self.order.duration_s
        return is_first_half or self.order.share <= model.NARROW_SHARE

    def left_s(self, now: float) -> float:
        """Return the seconds until the deadline of the roll-out."""
        return self.since + self.order.duration_s - now
