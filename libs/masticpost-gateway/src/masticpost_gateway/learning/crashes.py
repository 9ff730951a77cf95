"""Which requests crash the upstreams that run them, from what all instances saw.

A crash speaks against every request that was at work there, and most of these only
stood beside. So a request is quarantined after its third crash, and only if no other
one may have caused the same crashes; a request that does cause them crashes one more
upstream, which the others do not. A whole answer to an identical request clears it.
"""

import collections
import collections.abc

import attrs

ACCUSED_AFTER = 2
QUARANTINED_AFTER = 3
# So many crashes are no chance, whoever else was there.
QUARANTINED_REGARDLESS_AFTER = 5
RETENTION_S = 600.0
# Upstreams answer a request that is no danger again and again.
ANSWER_CLEARS_S = 60.0
# Time for others to tell what they know of the same crashes, and of answers.
VERDICT_DELAY_S = 0.3
MAX_SUSPECTS = 4096
MAX_ANSWERED = 4096


@attrs.frozen(kw_only=True)
class Crash:
    """The end of a run of an upstream under a request.

    Attributes
    ----------
    run : str
        Identity of the run.
    at : float
        Monotonic seconds.
    had_begun : bool
        Whether the request had brought a part of its answer there.
    """

    run: str
    at: float
    had_begun: bool


@attrs.define(kw_only=True)
class Suspect:
    """A request under which runs of upstreams have ended."""

    fingerprint: str
    crashes: dict[str, Crash] = attrs.field(factory=dict)

    def crash_counts(self, explained: collections.abc.Set[str]) -> tuple[int, int]:
        """Return how many crashes speak against it, and of these without an answer.

        Parameters
        ----------
        explained : set of str
            Runs whose end another request accounts for.
        """
        rows = [row for run, row in self.crashes.items() if run not in explained]
        return len(rows), sum(not row.had_begun for row in rows)

    def last_crash_at(self) -> float:
        """Return the time of its latest crash."""
        return max(row.at for row in self.crashes.values())


CrashListener = collections.abc.Callable[[str, Crash], None]
AnswerListener = collections.abc.Callable[[str, float], None]


class CrashTracker:
    """Suspects, quarantined requests, and what was answered lately."""

    def __init__(self) -> None:
        self._crash_listeners: list[CrashListener] = []
        self._answer_listeners: list[AnswerListener] = []
        self._suspects: dict[str, Suspect] = {}
        self._accused_at: dict[str, float] = {}
        self._quarantined_at: dict[str, float] = {}
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def listen(self, on_crash: CrashListener, on_answer: AnswerListener) -> None:
        """Call the listeners with what this instance itself sees of suspects."""
        self._crash_listeners.append(on_crash)
        self._answer_listeners.append(on_answer)

    def record_local_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Count a crash under a request of this instance; return whether it is news."""
        is_news = self.record_crash(fingerprint, crash)
        for listener in self._crash_listeners if is_news else ():
            listener(fingerprint, crash)
        return is_news

    def record_local_answer(self, fingerprint: str, at: float) -> None:
        """Note a whole answer to a request of this instance."""
        was_accused = self.record_answer(fingerprint, at)
        for listener in self._answer_listeners if was_accused else ():
            listener(fingerprint, at)

    def record_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Count a crash that some instance saw; return whether it is news."""
        if crash.at <= self._cleared_until(fingerprint):
            return False
        row = self._suspects.get(fingerprint)
        if row is None:
            self._discard_old(crash.at - RETENTION_S)
            row = Suspect(fingerprint=fingerprint)
            self._suspects[fingerprint] = row
        if crash.run in row.crashes:
            return False
        row.crashes[crash.run] = crash
        if len(row.crashes) >= ACCUSED_AFTER:
            self._accused_at.setdefault(fingerprint, crash.at)
        return True

    def record_answer(self, fingerprint: str, at: float) -> bool:
        """Note a whole answer; return whether the request stood accused."""
        known = self._answered_at.get(fingerprint, at)
        self._answered_at[fingerprint] = max(known, at)
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        was_accused = fingerprint in self._accused_at
        was_quarantined = fingerprint in self._quarantined_at
        self._suspects.pop(fingerprint, None)
        self._accused_at.pop(fingerprint, None)
        self._quarantined_at.pop(fingerprint, None)
        return was_accused or was_quarantined

    def accuse(self, fingerprint: str, at: float) -> float | None:
        """Take over an accusation; return when it was answered here, if lately."""
        answered_at = self._answered_at.get(fingerprint)
        if at <= self._cleared_until(fingerprint):
            return answered_at
        self._accused_at.setdefault(fingerprint, at)
        return None

    def quarantine(self, fingerprint: str, at: float) -> bool:
        """Quarantine a request from a monotonic time on; return whether it is news."""
        if at <= self._cleared_until(fingerprint):
            return False
        known = self._quarantined_at.get(fingerprint)
        self._quarantined_at[fingerprint] = at if known is None else max(known, at)
        return known is None

    def accused(self) -> list[str]:
        """Return the requests that more crashes would quarantine."""
        return [fp for fp in self._accused_at if fp not in self._quarantined_at]

    def accused_since(self, at: float) -> dict[str, float]:
        """Return the requests that stand accused since a time or later."""
        rows = self._accused_at.items()
        return {fp: since for fp, since in rows if since >= at}

    def quarantined(self, now: float) -> dict[str, float]:
        """Return the quarantined requests and since when they are."""
        self._discard_old(now - RETENTION_S)
        return dict(self._quarantined_at)

    def crash_count(self, fingerprint: str) -> int:
        """Return how many crashes are known of a request."""
        row = self._suspects.get(fingerprint)
        return len(row.crashes) if row is not None else 0

    def quarantine_left_s(self, fingerprint: str, now: float) -> float:
        """Return for how long a request is still quarantined, 0 if it is not."""
        at = self._quarantined_at.get(fingerprint)
        return 0.0 if at is None else max(0.0, at + RETENTION_S - now)

    def verdict_delay_left_s(self, fingerprint: str, now: float) -> float:
        """Return the time until a request with crashes enough may be judged."""
        row = self._suspects.get(fingerprint)
        if row is None or len(row.crashes) < QUARANTINED_AFTER:
            return 0.0
        times = sorted(crash.at for crash in row.crashes.values())
        return max(0.0, times[QUARANTINED_AFTER - 1] + VERDICT_DELAY_S - now)

    def judge(self, now: float) -> list[str]:
        """Quarantine the requests that are to blame; return the new ones."""
        new: list[str] = []
        while True:
            row = self._next_culprit(now)
            if row is None:
                return new
            self._quarantined_at[row.fingerprint] = row.last_crash_at()
            new.append(row.fingerprint)

    def next_verdict_s(self, now: float) -> float | None:
        """Return the time until the next accused request may be judged."""
        times = [self.verdict_delay_left_s(fp, now) for fp in self.accused()]
        return min((left_s for left_s in times if left_s > 0), default=None)

    def _next_culprit(self, now: float) -> Suspect | None:
        """Return the request with the most crashes that nobody else accounts for."""
        weights = {
            fp: self._suspects[fp].crash_counts(self._explained_runs(fp))
            for fp in self.accused()
            if fp in self._suspects
        }
        for fp in sorted(weights, key=weights.get, reverse=True):
            if weights[fp][0] < QUARANTINED_AFTER:
                return None
            if self.verdict_delay_left_s(fp, now):
                continue
            if weights[fp][
                0
            ] >= QUARANTINED_REGARDLESS_AFTER or not self._has_alternative_cause(
                fp, weights
            ):
                return self._suspects[fp]
        return None

    def _has_alternative_cause(
        self, fingerprint: str, weights: dict[str, tuple[int, int]]
    ) -> bool:
        """Tell whether another request may as well have caused the same crashes."""
        runs = self._suspects[fingerprint].crashes.keys()
        return any(
            other != fingerprint
            and weight >= weights[fingerprint]
            and runs & self._suspects[other].crashes.keys()
            for other, weight in weights.items()
        )

    def _explained_runs(self, fingerprint: str) -> set[str]:
        """Return the runs whose end quarantined requests account for."""
        count = len(self._suspects[fingerprint].crashes)
        found: set[str] = set()
        for other in self._quarantined_at:
            row = self._suspects.get(other)
            if row is not None and len(row.crashes) >= count:
                found |= row.crashes.keys()
        return found

    def _cleared_until(self, fingerprint: str) -> float:
        """Return up to when crashes do not speak against a request."""
        at = self._answered_at.get(fingerprint)
        return float("-inf") if at is None else at + ANSWER_CLEARS_S

    def _discard_old(self, before: float) -> None:
        """Drop what is old, and the oldest suspects beyond the most that are kept."""
        rows = self._suspects
        old = [fp for fp, row in rows.items() if row.last_crash_at() < before]
        old += list(rows)[: max(0, len(rows) - len(old) - MAX_SUSPECTS + 1)]
        for fp in old:
            rows.pop(fp, None)
            self._accused_at.pop(fp, None)
        for known in (self._quarantined_at, self._accused_at):
            for fp in [fp for fp, at in known.items() if at < before]:
                del known[fp]
