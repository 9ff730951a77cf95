"""Attribution of upstream crashes to the requests and prompt parts that were running.

A crash counts against all that was running on the upstream, although most of it did not
cause it. A cause is accused after two crashes and quarantined after the third one, but
only if no other one may have caused the same crashes. Of several possible causes the
real one crashes another upstream sooner or later, and the others do not. A complete
answer to an identical request clears a request, and any answer that goes on for a while
clears the parts of its prompt.
"""

import collections
import collections.abc

import attrs

from masticpost_gateway.learning import causes, quarantine, runs

RETENTION_S = quarantine.RETENTION_S
# Crashes within this time after a complete answer do not count against a request:
# upstreams answer a harmless request repeatedly. A part needs more of them.
ANSWER_CLEARS_S = 60.0
# Lets the reports of other instances on the same crashes and on answers arrive before
# the verdict.
VERDICT_DELAY_S = 0.3
# Time after conclusive crashes for which a rival may still be cleared by an answer.
RIVAL_DELAY_S = 1.5
MAX_SUSPECTS = 4096
# Suspects that are left when there are too many of them.
KEPT_SUSPECTS = 3072
MAX_ANSWERED = 16_384

CrashListener = collections.abc.Callable[[causes.Crash], None]
AnswerListener = collections.abc.Callable[[str, float], None]


class CrashTracker:
    """Tracks suspects, quarantined causes and what was answered recently.

    Attributes
    ----------
    runs : runs.EndedRuns
        Runs that ended lately, and the attempts given up before.
    judges_prompts : bool
        Whether this instance judges requests with prompts and the parts of prompts. It
        needs the reports of all instances; others know few of the crashes and answers.
    """

    def __init__(self) -> None:
        self.judges_prompts = True
        self.runs = runs.EndedRuns()
        self._crash_listeners: list[CrashListener] = []
        self._answer_listeners: list[AnswerListener] = []
        self._suspects: dict[str, causes.Suspect] = {}
        self._accused_at: dict[str, float] = {}
        self._quarantined: dict[str, quarantine.Quarantine] = {}
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note_left(self, crash: causes.Crash) -> None:
        """Note an attempt that this instance gave up shortly after its answer began.

        It counts as running if the run turns out to have ended at about that time.
        """
        ended_at = self.runs.ended_at(crash.run)
        if ended_at is None:
            self.runs.add_left(crash)
        elif runs.is_close(crash.at, ended_at):
            self.record_local_crash(attrs.evolve(crash, at=ended_at))

    def note_ended(self, run: str, at: float) -> None:
        """Note the end of a run, in monotonic seconds, that any instance observed."""
        for crash in self.runs.end(run, at):
            self.record_local_crash(crash)

    def listen(self, on_crash: CrashListener, on_answer: AnswerListener) -> None:
        """Register listeners for crashes and answers that this instance observes.

        Answers are passed on only for accused or quarantined causes.
        """
        self._crash_listeners.append(on_crash)
        self._answer_listeners.append(on_answer)

    def record_local_crash(self, crash: causes.Crash) -> bool:
        """Record a crash observed by this instance; return whether it is new."""
        is_new = self.record_crash(crash)
        for listener in self._crash_listeners if is_new else ():
            listener(crash)
        return is_new

    def record_local_answer(self, key: str, at: float) -> None:
        """Record an answer observed by this instance, which clears a cause."""
        was_accused = self.record_answer(key, at)
        for listener in self._answer_listeners if was_accused else ():
            listener(key, at)

    def record_crash(self, crash: causes.Crash) -> bool:
        """Record a crash observed by any instance; return whether it is new."""
        rows = [self._add(key, depth, crash) for key, depth in crash.suspects()]
        self.note_ended(crash.run, crash.at)
        return any(rows)

    def _add(self, key: str, depth: int, crash: causes.Crash) -> bool:
        if crash.at <= self._cleared_until(key):
            return False
        suspect = self._suspects.get(key)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._discard_weakest()
            suspect = self._suspects[key] = causes.Suspect(key=key, depth=depth)
        suspect.depth = max(suspect.depth, depth)
        if not suspect.add(crash):
            return False
        if len(suspect.crashes) >= causes.ACCUSED_AFTER:
            self._accused_at.setdefault(key, crash.at)
        row = self._quarantined.get(key)
        if row is not None and crash.at > row.at:
            self._quarantined[key] = row.after_crash(crash.at)
        return True

    def record_answer(self, key: str, at: float) -> bool:
        """Record an answer, which clears a request or a part.

        Returns
        -------
        bool
            Whether it was accused or quarantined.
        """
        at = max(self._answered_at.get(key, at), at)
        self._answered_at[key] = at
        self._answered_at.move_to_end(key)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        was_known = key in self._accused_at or key in self._quarantined
        suspect = self._suspects.get(key)
        if suspect is not None:
            suspect.discard_until(self._cleared_until(key))
        if suspect is None or not suspect.crashes:
            self._suspects.pop(key, None)
        if suspect is None or len(suspect.crashes) < causes.ACCUSED_AFTER:
            self._accused_at.pop(key, None)
        row = self._quarantined.get(key)
        if row is not None and row.at <= self._cleared_until(key):
            del self._quarantined[key]
        return was_known

    def accuse(self, key: str, at: float) -> float | None:
        """Mark a cause as accused that another instance reports as such.

        Returns
        -------
        float or None
            Time of a recent answer that speaks for the cause, None if there is none.
        """
        answered_at = self._answered_at.get(key, float("-inf"))
        if at > self._cleared_until(key):
            self._accused_at.setdefault(key, at)
        return answered_at if at <= answered_at + ANSWER_CLEARS_S else None

    def add_quarantine(self, key: str, row: quarantine.Quarantine) -> bool:
        """Quarantine a cause that others report; return whether it is new."""
        if row.at <= self._cleared_until(key):
            return False
        previous = self._quarantined.get(key)
        if previous is None:
            self._quarantined[key] = row
            self._bound_quarantined()
            return True
        self._quarantined[key] = previous.merged_with(row)
        return False

    def accused(self) -> list[str]:
        """Return the accused causes that are not quarantined."""
        return [key for key in self._accused_at if key not in self._quarantined]

    def accused_since(self, at: float) -> dict[str, float]:
        """Return the causes that were accused at a time or later, and when."""
        rows = self._accused_at.items()
        return {key: accused_at for key, accused_at in rows if accused_at >= at}

    def quarantined(self, now: float) -> dict[str, quarantine.Quarantine]:
        """Return the quarantined causes."""
        self._discard_old(now - RETENTION_S)
        return dict(self._quarantined)

    def crash_count(self, key: str) -> int:
        """Return the number of crashes recorded for a cause."""
        suspect = self._suspects.get(key)
        return len(suspect.crashes) if suspect is not None else 0

    def quarantines_of(
        self, keys: collections.abc.Iterable[str], now: float
    ) -> dict[str, quarantine.Quarantine]:
        """Return the quarantines that apply to a request with these causes."""
        if not self._quarantined:
            return {}
        rows = {key: self._quarantined.get(key) for key in keys}
        return {
            key: row
            for key, row in rows.items()
            if row is not None and row.at + RETENTION_S > now
        }

    def verdict_delay_left_s(self, key: str, now: float) -> float:
        """Return the rest of the delay before a verdict on a cause, in seconds.

        It is 0 for a cause with fewer crashes than a quarantine takes.
        """
        suspect = self._suspects.get(key)
        if suspect is None:
            return 0.0
        return suspect.left_s(causes.QUARANTINED_AFTER, VERDICT_DELAY_S, now)

    def judge(self, now: float) -> list[str]:
        """Quarantine the causes of crashes; return the new ones."""
        new: list[str] = []
        while True:
            culprit = self._next_culprit(now)
            if culprit is None:
                return new
            row = quarantine.Quarantine(at=culprit.last_crash_at)
            self._quarantined[culprit.key] = row
            self._bound_quarantined()
            new.append(culprit.key)

    def next_verdict_s(self, now: float) -> float | None:
        """Return the seconds until the next verdict is due, None if none is pending."""
        times = []
        for suspect in self._strong_suspects():
            times += [
                suspect.left_s(causes.QUARANTINED_AFTER, VERDICT_DELAY_S, now),
                suspect.left_s(causes.CONCLUSIVE_AFTER, RIVAL_DELAY_S, now),
            ]
        return min((left_s for left_s in times if left_s > 0), default=None)

    def _next_culprit(self, now: float) -> causes.Suspect | None:
        """Return the suspect with the most evidence and without a rival."""
        rows = [self._evidence(suspect) for suspect in self._strong_suspects()]
        rows.sort(key=lambda row: row.weight, reverse=True)
        for row in rows:
            if not row.is_sufficient or self.verdict_delay_left_s(row.suspect.key, now):
                continue
            if not any(row.is_rivalled_by(other) for other in rows):
                return row.suspect
            rival_left_s = row.suspect.left_s(
                causes.CONCLUSIVE_AFTER, RIVAL_DELAY_S, now
            )
            if len(row.runs) >= causes.CONCLUSIVE_AFTER and not rival_left_s:
                return row.suspect
        return None

    def _strong_suspects(self) -> list[causes.Suspect]:
        """Return the suspects with enough crashes that this instance may judge."""
        found = [self._suspects[key] for key in self.accused() if key in self._suspects]
        return [
            suspect
            for suspect in found
            if len(suspect.crashes) >= causes.QUARANTINED_AFTER
            and (self.judges_prompts or not suspect.has_prompt)
        ]

    def _evidence(self, suspect: causes.Suspect) -> causes.Evidence:
        answered_at = self._answered_at.get(suspect.key, float("-inf"))
        was_sound = answered_at + ANSWER_CLEARS_S >= suspect.times()[0]
        explained = self._explained_runs(suspect, margin=2 if was_sound else 1)
        return causes.Evidence.of(suspect, explained, was_sound=was_sound)

    def _explained_runs(self, suspect: causes.Suspect, *, margin: int) -> set[str]:
        """Return the runs whose crash quarantined causes explain."""
        explained: set[str] = set()
        for key in self._quarantined:
            other = self._suspects.get(key)
            if other is not None and suspect.is_explained_by(other, margin=margin):
                explained |= other.crashes.keys()
        return explained

    def _cleared_until(self, key: str) -> float:
        """Return the time up to which crashes do not count against a cause."""
        at = self._answered_at.get(key, float("-inf"))
        return at if causes.is_part(key) else at + ANSWER_CLEARS_S

    def _bound_quarantined(self) -> None:
        """Discard the oldest quarantines over the limit."""
        rows = self._quarantined
        if len(rows) > quarantine.MAX_QUARANTINED:
            del rows[min(rows, key=lambda key: rows[key].at)]

    def _discard_old(self, before: float) -> None:
        """Discard entries older than `before`, in monotonic seconds."""
        suspects = self._suspects
        for key in [k for k, row in suspects.items() if row.last_crash_at < before]:
            self._discard(key)
        for key in [key for key, at in self._accused_at.items() if at < before]:
            del self._accused_at[key]
        for key in [k for k, row in self._quarantined.items() if row.at < before]:
            del self._quarantined[key]

    def _discard_weakest(self) -> None:
        """Discard the suspects with the fewest crashes, the oldest of them first."""
        suspects = self._suspects
        ranked = sorted(suspects, key=lambda key: len(suspects[key].crashes))
        for key in ranked[: len(suspects) - KEPT_SUSPECTS]:
            self._discard(key)

    def _discard(self, key: str) -> None:
        del self._suspects[key]
        self._accused_at.pop(key, None)
