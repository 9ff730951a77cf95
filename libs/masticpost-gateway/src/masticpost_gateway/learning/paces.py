"""Usual gaps between events by model, to compare answers of different models."""

import math

import attrs

# Answers of a model from which on its usual gap is known.
MIN_ANSWERS = 3
# Weight of a new answer once many are known.
WEIGHT = 0.05


@attrs.define(kw_only=True)
class Pace:
    """Mean logarithm of the gaps in seconds; recent answers weigh more."""

    answers: int = 0
    log: float = 0.0

    def note(self, gap_s: float) -> None:
        """Note the mean gap of an answer, in seconds."""
        self.answers += 1
        weight = max(WEIGHT, 1.0 / self.answers)
        self.log += weight * (math.log(gap_s) - self.log)


class Paces:
    """The usual gaps of the versions that are not on trial."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Pace] = {}

    def note(self, service: str, level: str, gap_s: float) -> None:
        """Note the mean gap of an answer of a model, in seconds."""
        if level:
            self._rows.setdefault((service, level), Pace()).note(gap_s)

    def relative(self, service: str, level: str, gap_s: float) -> float | None:
        """Return a gap as a multiple of the model's usual one, None if unknown.

        Where callers choose the model, the gap itself in seconds.
        """
        if not level:
            return gap_s
        row = self._rows.get((service, level))
        if row is None or row.answers < MIN_ANSWERS:
            return None
        return gap_s / math.exp(row.log)
