"""Attribution of upstream crashes to the requests that were running.

A crash counts against every request that was running on the upstream, although most of
them did not cause it. A request is accused after two crashes and quarantined after the
third one, but only if no other request may have caused the same crashes. Of several
possible causes the real one crashes another upstream sooner or later, and the others
do not. A complete answer to an identical request clears it.
"""

import collections
import collections.abc

import attrs

# Thresholds, in crashes of different runs.
ACCUSED_AFTER = 2
QUARANTINED_AFTER = 3
# So many crashes are no coincidence, even if another request was running at each one.
CONCLUSIVE_AFTER = 5
RETENTION_S = 600.0
# Crashes within this time after a complete answer do not count: upstreams answer a
# harmless request repeatedly.
ANSWER_CLEARS_S = 60.0
# Lets the reports of other instances on the same crashes and on answers arrive before
# the verdict.
VERDICT_DELAY_S = 0.3
MAX_SUSPECTS = 4096
MAX_ANSWERED = 4096


@attrs.frozen(kw_only=True)
class Crash:
    """A crash of an upstream while a request was running there.

    Attributes
    ----------
    run : str
        Identifies the run, one process lifetime of the upstream.
    at : float
        Monotonic seconds.
    had_begun : bool
        Whether a part of the answer to the request had arrived.
    """

    run: str
    at: float
    had_begun: bool


@attrs.define(kw_only=True)
class Suspect:
    """A request that was running on upstreams that crashed; its crashes by run."""

    fingerprint: str
    crashes: dict[str, Crash] = attrs.field(factory=dict)

    def crash_counts(self, explained: collections.abc.Set[str]) -> tuple[int, int]:
        """Return the number of crashes, and of those before its answer began.

        Parameters
        ----------
        explained : set of str
            Runs to leave out, since another request explains their crash.
        """
        rows = [row for run, row in self.crashes.items() if run not in explained]
        return len(rows), sum(not row.had_begun for row in rows)

    def last_crash_at(self) -> float:
        """Return the time of the latest crash, in monotonic seconds."""
        return max(row.at for row in self.crashes.values())


CrashListener = collections.abc.Callable[[str, Crash], None]
AnswerListener = collections.abc.Callable[[str, float], None]


class CrashTracker:
    """Tracks suspects, quarantined requests and recently answered requests."""

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
        """Register listeners for crashes and answers that this instance observes.

        Answers are passed on only for accused or quarantined requests.
        """
        self._crash_listeners.append(on_crash)
        self._answer_listeners.append(on_answer)

    def record_local_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Record a crash observed by this instance; return whether it is new."""
        is_new = self.record_crash(fingerprint, crash)
        for listener in self._crash_listeners if is_new else ():
            listener(fingerprint, crash)
        return is_new

    def record_local_answer(self, fingerprint: str, at: float) -> None:
        """Record a complete answer observed by this instance."""
        was_accused = self.record_answer(fingerprint, at)
        for listener in self._answer_listeners if was_accused else ():
            listener(fingerprint, at)

    def record_crash(self, fingerprint: str, crash: Crash) -> bool:
        """Record a crash observed by any instance; return whether it is new."""
        if crash.at <= self._cleared_until(fingerprint):
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            self._discard_old(crash.at - RETENTION_S)
            suspect = Suspect(fingerprint=fingerprint)
            self._suspects[fingerprint] = suspect
        if crash.run in suspect.crashes:
            return False
        suspect.crashes[crash.run] = crash
        if len(suspect.crashes) >= ACCUSED_AFTER:
            self._accused_at.setdefault(fingerprint, crash.at)
        return True

    def record_answer(self, fingerprint: str, at: float) -> bool:
        """Record a complete answer, which clears the request.

        Returns
        -------
        bool
            Whether the request was accused or quarantined.
        """
        previous = self._answered_at.get(fingerprint, at)
        self._answered_at[fingerprint] = max(previous, at)
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
        """Mark a request as accused that another instance reports as such.

        Returns
        -------
        float or None
            Time of a recent answer that clears the request, None if there is none.
        """
        answered_at = self._answered_at.get(fingerprint)
        if at <= self._cleared_until(fingerprint):
            return answered_at
        self._accused_at.setdefault(fingerprint, at)
        return None

    def quarantine(self, fingerprint: str, at: float) -> bool:
        """Quarantine a request from a monotonic time on; return whether it is new."""
        if at <= self._cleared_until(fingerprint):
            return False
        previous = self._quarantined_at.get(fingerprint)
        self._quarantined_at[fingerprint] = (
            at if previous is None else max(previous, at)
        )
        return previous is None

    def accused(self) -> list[str]:
        """Return the accused requests that are not quarantined."""
        return [fp for fp in self._accused_at if fp not in self._quarantined_at]

    def accused_since(self, at: float) -> dict[str, float]:
        """Return the requests that were accused at a time or later, and when."""
        rows = self._accused_at.items()
        return {fp: accused_at for fp, accused_at in rows if accused_at >= at}

    def quarantined(self, now: float) -> dict[str, float]:
        """Return the quarantined requests, each with the start of its quarantine."""
        self._discard_old(now - RETENTION_S)
        return dict(self._quarantined_at)

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes recorded for a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def quarantine_left_s(self, fingerprint: str, now: float) -> float:
        """Return the rest of a request's quarantine in seconds, 0 without one."""
        at = self._quarantined_at.get(fingerprint)
        return 0.0 if at is None else max(0.0, at + RETENTION_S - now)

    def verdict_delay_left_s(self, fingerprint: str, now: float) -> float:
        """Return the rest of the delay before a verdict on a request, in seconds.

        It is 0 for a request with fewer crashes than a quarantine takes.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < QUARANTINED_AFTER:
            return 0.0
        times = sorted(crash.at for crash in suspect.crashes.values())
        return max(0.0, times[QUARANTINED_AFTER - 1] + VERDICT_DELAY_S - now)

    def judge(self, now: float) -> list[str]:
        """Quarantine the requests that caused crashes; return the new ones."""
        new: list[str] = []
        while True:
            culprit = self._next_culprit(now)
            if culprit is None:
                return new
            self._quarantined_at[culprit.fingerprint] = culprit.last_crash_at()
            new.append(culprit.fingerprint)

    def next_verdict_s(self, now: float) -> float | None:
        """Return the seconds until the next verdict is due, None if none is pending."""
        times = [self.verdict_delay_left_s(fp, now) for fp in self.accused()]
        return min((left_s for left_s in times if left_s > 0), default=None)

    def _next_culprit(self, now: float) -> Suspect | None:
        """Return the suspect with the most crashes that no other request explains."""
        counts = {
            fp: self._suspects[fp].crash_counts(self._explained_runs(fp))
            for fp in self.accused()
            if fp in self._suspects
        }
        for fp in sorted(counts, key=counts.get, reverse=True):
            if counts[fp][0] < QUARANTINED_AFTER:
                return None
            if self.verdict_delay_left_s(fp, now):
                continue
            if counts[fp][0] >= CONCLUSIVE_AFTER or not self._has_other_cause(
                fp, counts
            ):
                return self._suspects[fp]
        return None

    def _has_other_cause(
        self, fingerprint: str, counts: dict[str, tuple[int, int]]
    ) -> bool:
        """Return whether another request is as likely the cause of the same crashes."""
        runs = self._suspects[fingerprint].crashes.keys()
        return any(
            other != fingerprint
            and count >= counts[fingerprint]
            and runs & self._suspects[other].crashes.keys()
            for other, count in counts.items()
        )

    def _explained_runs(self, fingerprint: str) -> set[str]:
        """Return the runs whose crash quarantined requests explain.

        Only requests with at least as many crashes as this one are taken into account.
        """
        count = len(self._suspects[fingerprint].crashes)
        explained: set[str] = set()
        for other in self._quarantined_at:
            suspect = self._suspects.get(other)
            if suspect is not None and len(suspect.crashes) >= count:
                explained |= suspect.crashes.keys()
        return explained

    def _cleared_until(self, fingerprint: str) -> float:
        """Return the time up to which crashes do not count against a request."""
        at = self._answered_at.get(fingerprint)
        return float("-inf") if at is None else at + ANSWER_CLEARS_S

    def _discard_old(self, before: float) -> None:
        """Discard entries older than `before`, and the oldest suspects over the limit.

        The limit is lowered by one, so that a suspect can be added.
        """
        suspects = self._suspects
        old = [fp for fp, row in suspects.items() if row.last_crash_at() < before]
        old += list(suspects)[: max(0, len(suspects) - len(old) - MAX_SUSPECTS + 1)]
        for fp in old:
            suspects.pop(fp, None)
            self._accused_at.pop(fp, None)
        for times in (self._quarantined_at, self._accused_at):
            for fp in [fp for fp, at in times.items() if at < before]:
                del times[fp]
