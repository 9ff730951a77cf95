"""How fast a single answer comes, also while it does not."""

import math

import attrs

MEASURED_GAPS = 2


@attrs.define(kw_only=True, eq=False)
class AnswerProgress:
    """The mean pause between the first events of one answer.

    A whole answer is one event, and its pause the wait for it.

    Attributes
    ----------
    sent_at : float
        When the answer was asked for, monotonic seconds.
    objective_s : float
        Wait after which an answer that has not begun is late, in seconds.
    max_gap_s : float
        Pause between events beyond which an answer is late, in seconds.
    is_counted : bool
        Whether its pauses count in the evidence of its version already.
    began_at : float or None
        When its head came, monotonic seconds.
    is_start_counted : bool
        Whether it counts there when it began.
    """

    service: str
    version: str
    sent_at: float
    objective_s: float = math.inf
    max_gap_s: float = math.inf
    is_single_event: bool = False
    is_counted: bool = False
    is_start_counted: bool = False
    began_at: float | None = None
    events: int = 0
    _first_at: float = 0.0
    _last_at: float = 0.0

    def add_events(self, events: int, now: float) -> None:
        """Note events that came together."""
        if not self.events:
            self._first_at = now
        self.events += events
        self._last_at = now

    @property
    def is_measured(self) -> bool:
        """Whether so many events have come that their pauses tell the pace."""
        return self.events > MEASURED_GAPS

    def gap_s(self) -> float:
        """Return the mean pause of what has come, in seconds; 0 before."""
        if self.is_single_event:
            return self._last_at - self.sent_at if self.events else 0.0
        if self.events < 2:
            return 0.0
        return (self._last_at - self._first_at) / (self.events - 1)

    def min_gap_s(self, now: float) -> float:
        """Return the mean pause if all that is awaited came now, in seconds."""
        if self.is_single_event:
            return now - self.sent_at
        since = self._first_at if self.events else self.began_at
        return 0.0 if since is None else (now - since) / max(self.events, MEASURED_GAPS)
