"""Comparison of a version on trial with the others, period by period.

Answers of a version are compared with answers of the others in the same few seconds: a
spell in which all were slow says nothing about either, and does not hide a version that
is slow afterwards. A finished period is folded into sums, so that the cost does not
grow with the duration of a trial.
"""

import copy
import math

import attrs

from masticpost_gateway.learning import tally

PERIOD_S = 3.0
# Weight of what was seen before the current period, in the test for doubt.
RETENTION = 0.5


@attrs.define(kw_only=True)
class BadAnswers:
    """Bad answers of the version, and those to expect by the others' share.

    Attributes
    ----------
    floor : float
        Lowest share of bad answers that is assumed for the others.
    share : float
        Share of the others that is assumed before they have answers in a period.
    bad, count, expected : float
        Bad answers, all answers, and bad answers to expect.
    """

    floor: float
    share: float = tally.PRIOR_FAILURES / tally.PRIOR_CALLS
    bad: float = 0.0
    count: float = 0.0
    expected: float = 0.0

    def fold(self, row: tuple[int, int], base: tuple[int, int], keep: float) -> None:
        """Add a period's bad answers and answers of the version and of the others."""
        weight = tally.PRIOR_CALLS
        self.share = (base[0] + weight * self.share) / (base[1] + weight)
        self.bad = keep * self.bad + row[0]
        self.count = keep * self.count + row[1]
        expected = max(self.floor, self.share) * row[1]
        self.expected = keep * self.expected + expected

    def is_significant(self, alpha: float) -> bool:
        """Return whether chance hardly explains the bad answers."""
        if not self.count:
            return False
        share = self.expected / self.count
        return tally.is_significant(self.bad, self.count, share, alpha)

    def __str__(self) -> str:
        return f"{self.bad:.0f} of {self.count:.0f}"


@attrs.define(kw_only=True)
class Gaps:
    """Mean gaps of the version beside those of the others, as natural logarithms.

    Attributes
    ----------
    base_log : float or None
        Mean of the others, None before they have enough answers.
    count, excess : float
        Answers of the version, and the sum of their distances from that mean.
    """

    base_log: float | None = None
    count: float = 0.0
    excess: float = 0.0

    def fold(self, row: tally.Tally, base: tally.Tally, keep: float) -> None:
        """Add a period's answers of the version and of the others."""
        if self.base_log is not None:
            weight = tally.MIN_GAPS
            logs = base.gap_logs + weight * self.base_log
            self.base_log = logs / (base.gaps + weight)
        elif base.gaps >= tally.MIN_GAPS:
            self.base_log = base.gap_logs / base.gaps
        if self.base_log is None:
            return
        self.count = keep * self.count + row.gaps
        excess = row.gap_logs - row.gaps * self.base_log
        self.excess = keep * self.excess + excess


@attrs.define(kw_only=True)
class Sums:
    """The folded periods; older ones count less if `keep` is below 1."""

    keep: float = 1.0
    failed: BadAnswers = attrs.field(
        factory=lambda: BadAnswers(floor=tally.FLOOR_SHARE)
    )
    late: BadAnswers = attrs.field(
        factory=lambda: BadAnswers(floor=tally.SLOW_FLOOR_SHARE)
    )
    slow: BadAnswers = attrs.field(
        factory=lambda: BadAnswers(floor=tally.SLOW_FLOOR_SHARE)
    )
    gaps: Gaps = attrs.field(factory=Gaps)
    sent: float = 0.0
    base_sent: float = 0.0

    def copy(self) -> "Sums":
        """Return an independent copy."""
        return attrs.evolve(
            self,
            failed=copy.copy(self.failed),
            late=copy.copy(self.late),
            slow=copy.copy(self.slow),
            gaps=copy.copy(self.gaps),
        )

    def fold(self, row: tally.Tally, base: tally.Tally) -> None:
        """Add the answers of a period."""
        keep = self.keep
        self.sent = keep * self.sent + row.sent
        self.base_sent = keep * self.base_sent + base.sent
        failures = (row.failures, row.calls), (base.failures, base.calls)
        self.failed.fold(*failures, keep)
        self.late.fold((row.late, row.starts), (base.late, base.starts), keep)
        self.gaps.fold(row, base, keep)
        if self.gaps.base_log is None:
            return
        lowest = tally.very_slow_bin(self.gaps.base_log)
        slow = (row.count_from_bin(lowest), row.gaps)
        self.slow.fold(slow, (base.count_from_bin(lowest), base.gaps), keep)

    def find_fault(self, bounds: tally.Bounds) -> str:
        """Return why the version is worse than the others, empty if it is not."""
        if self.failed.is_significant(bounds.alpha):
            return f"{self.failed} calls failed"
        if self.late.is_significant(bounds.slow_alpha):
            return f"{self.late} answers began late"
        if self.gaps.count < bounds.min_gaps:
            return ""
        ratio = self.gaps.excess / self.gaps.count
        if ratio > bounds.slow_log_ratio:
            return f"events {math.exp(ratio):.1f} times as slow"
        is_slower = ratio > bounds.mean_log_ratio
        if is_slower and self.slow.is_significant(bounds.slow_alpha):
            return f"{self.slow} answers written very slowly"
        return ""


def find_fault(
    row: tally.Tally, base: tally.Tally, bounds: tally.Bounds = tally.FAULT
) -> str:
    """Return why a version is worse than the others by the answers of one period."""
    sums = Sums()
    sums.fold(row, base)
    return sums.find_fault(bounds)


class Comparison:
    """Compares the tallies of a trial, which only grow.

    Parameters
    ----------
    since : float
        Monotonic time in seconds at which the first period begins.
    """

    def __init__(self, *, since: float) -> None:
        self._since = since
        self._row, self._base = tally.Tally(), tally.Tally()
        self._all, self._recent = Sums(), Sums(keep=RETENTION)

    def advance(self, row: tally.Tally, base: tally.Tally, now: float) -> None:
        """Begin a new period if the current one is over.

        It goes on while the others have too few answers to compare with.
        """
        if now - self._since < PERIOD_S:
            return
        delta = tally.difference(row, self._row)
        base_delta = tally.difference(base, self._base)
        if self._all.gaps.base_log is None and base_delta.gaps < tally.MIN_GAPS:
            return
        for sums in (self._all, self._recent):
            sums.fold(delta, base_delta)
        self._row, self._base, self._since = row, base, now

    def very_slow(self, base: tally.Tally) -> float:
        """Return the gap of a very slow answer, infinite if unknown."""
        if self._all.gaps.base_log is None:
            return tally.very_slow(base)
        return tally.gap_of_bin(tally.very_slow_bin(self._all.gaps.base_log))

    def find_fault(self, row: tally.Tally, base: tally.Tally) -> str:
        """Return the fault of the version, empty if none was found."""
        return self._until_now(self._all, row, base).find_fault(tally.FAULT)

    def find_doubt(self, row: tally.Tally, base: tally.Tally) -> str:
        """Return why the version looks worse than the others, empty if it does not."""
        whole = self._until_now(self._all, row, base)
        recent = self._until_now(self._recent, row, base)
        for sums, bounds in ((whole, tally.DOUBT), (recent, tally.RECENT_DOUBT)):
            doubt = sums.find_fault(bounds)
            if doubt:
                return doubt
            if tally.is_stuck(row, base, sums.sent, sums.base_sent):
                return f"{row.sent - row.starts} answers have not begun"
        return ""

    def sums(self, row: tally.Tally, base: tally.Tally) -> Sums:
        """Return all periods so far, the current one included."""
        return self._until_now(self._all, row, base)

    def _until_now(self, sums: Sums, row: tally.Tally, base: tally.Tally) -> Sums:
        found = sums.copy()
        found.fold(tally.difference(row, self._row), tally.difference(base, self._base))
        return found
