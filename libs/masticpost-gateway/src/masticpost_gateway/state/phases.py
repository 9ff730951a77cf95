"""Turns of periodic tasks at moments of their own within a common period."""

import collections.abc

# Part of the period that a turn is ahead at least; a nearer one is left out.
MIN_LEFT_PART = 0.01


class Phases:
    """Tells each task when its next turn is.

    Parameters
    ----------
    turns : mapping
        Moment of each task's turn, as a part of the period.
    period_s : float
        Seconds from a task's turn to its next one.
    origin : float
        Start of a period, in monotonic seconds.
    """

    def __init__(
        self,
        *,
        turns: collections.abc.Mapping[collections.abc.Hashable, float],
        period_s: float,
        origin: float,
    ) -> None:
        self.turns = turns
        self.period_s = period_s
        self.origin = origin

    @property
    def longest_gap_s(self) -> float:
        """Longest time between two turns, if one that is too near is left out."""
        parts = sorted(self.turns.values())
        gaps = [b - a for a, b in zip(parts, [*parts[1:], parts[0] + 1.0], strict=True)]
        return (max(gaps) + MIN_LEFT_PART) * self.period_s

    def left_s(self, task: collections.abc.Hashable, now: float) -> float:
        """Return the seconds until the next turn of a task."""
        turn_at = self.origin + self.turns[task] * self.period_s
        left_s = (turn_at - now) % self.period_s
        if left_s < MIN_LEFT_PART * self.period_s:
            return left_s + self.period_s
        return left_s
