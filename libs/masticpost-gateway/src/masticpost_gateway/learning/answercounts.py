"""Counts an instance's answers as evidence on versions on trial, as they are made."""

import collections.abc

from masticpost_gateway.learning import completions, paces, progress, trialevidence

# Share of the objective after which an answer that has not begun counts as sent.
STUCK_OBJECTIVE_SHARE = 0.5


class AnswerCounts:
    """The answers in progress, and the tallies and budgets that they count for.

    Parameters
    ----------
    open_trials : dict of str to trialevidence.Trial
        The open trials by service.
    find_limited : callable
        Returns the trial of a service whose version may not get all requests yet.
    completions : completions.Completions
        Gets the answers of versions that are completed.
    judge : callable
        Called with a trial whose tallies have changed.
    """

    def __init__(
        self,
        *,
        open_trials: dict[str, trialevidence.Trial],
        find_limited: collections.abc.Callable[[str], trialevidence.Trial | None],
        completions: completions.Completions,
        judge: collections.abc.Callable[[trialevidence.Trial], None],
    ) -> None:
        self._open = open_trials
        self._find_limited = find_limited
        self._completions = completions
        self._judge = judge
        self._paces = paces.Paces()
        self._in_progress: set[progress.AnswerProgress] = set()

    def record_answer(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer as good or failed."""
        trial = self._open.get(service)
        if trial is None:
            self._completions.record_answer(service, version, is_good=is_good)
            return
        row = trial.tally_of(version)
        row.calls += 1
        row.failures += not is_good
        self._judge(trial)

    def begin_answer(self, answer: progress.AnswerProgress) -> None:
        """Record that a request is sent to a version."""
        trial = self._find_limited(answer.service)
        if trial is None:
            return
        self._in_progress.add(answer)
        if answer.version == trial.order.target:
            trial.budget.exposed += 1

    def discard_unsent(self, answer: progress.AnswerProgress) -> None:
        """Discard an answer whose request certainly did not reach the upstream."""
        trial = self._find_limited(answer.service)
        is_known = trial is not None and answer in self._in_progress
        if is_known and answer.version == trial.order.target:
            trial.budget.exposed -= 1
        self.discard_answer(answer)

    def discard_answer(self, answer: progress.AnswerProgress) -> None:
        """Discard an answer that is no evidence on its version."""
        trial = self._open.get(answer.service)
        is_known = trial is not None and answer in self._in_progress
        if is_known and answer.is_sent_counted:
            trial.tally_of(answer.version).sent -= 1
        self._in_progress.discard(answer)

    def record_start(self, answer: progress.AnswerProgress, now: float) -> None:
        """Record that an answer has begun."""
        answer.began_at = now
        trial = self._find_limited(answer.service)
        if trial is not None and answer in self._in_progress:
            trial.budget.total += 1
        if answer.service not in self._open:
            is_late = now - answer.sent_at > answer.objective_s
            self._completions.record_start(
                answer.service, answer.version, is_late=is_late
            )
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
        trial = self._open.get(answer.service)
        if trial is None or answer.is_start_counted or answer not in self._in_progress:
            return
        self._count_sent(trial, answer)
        answer.is_start_counted = True
        is_late = now - answer.sent_at > answer.objective_s
        trial.tally_of(answer.version).add_start(is_late=is_late)
        self._judge(trial)

    def _count_sent(
        self, trial: trialevidence.Trial, answer: progress.AnswerProgress
    ) -> None:
        if not answer.is_sent_counted:
            answer.is_sent_counted = True
            trial.tally_of(answer.version).sent += 1

    def _count_if_slow(self, answer: progress.AnswerProgress, now: float) -> None:
        trial = self._open.get(answer.service)
        if trial is None:
            return
        waited_s = now - answer.sent_at
        if waited_s > STUCK_OBJECTIVE_SHARE * answer.objective_s:
            self._count_sent(trial, answer)
        if waited_s > answer.objective_s:
            self._count_start(answer, now)
        if answer.is_counted:
            return
        gap_s = answer.min_gap_s(now)
        relative = self._paces.relative(answer.service, answer.level, gap_s)
        if relative is None:
            return
        # One of many instances has too few answers to derive the usual gap, so that the
        # route's own limit applies as well.
        if relative < trial.very_slow() and gap_s < answer.max_gap_s:
            return
        answer.is_counted = True
        self._record_gap(trial, answer.version, relative)

    def record_progress(self, answer: progress.AnswerProgress) -> None:
        """Count the mean gap of an answer with enough events."""
        gap_s = answer.gap_s()
        if answer.is_counted or gap_s <= 0:
            return
        answer.is_counted = True
        trial = self._open.get(answer.service)
        if trial is None or answer.version != trial.order.target:
            self._paces.note(answer.service, answer.level, gap_s)
        relative = self._paces.relative(answer.service, answer.level, gap_s)
        if trial is not None and relative is not None:
            self._record_gap(trial, answer.version, relative)

    def _record_gap(self, trial: trialevidence.Trial, version: str, gap: float) -> None:
        if gap > 0:
            trial.tally_of(version).add_gap(gap)
            self._judge(trial)
