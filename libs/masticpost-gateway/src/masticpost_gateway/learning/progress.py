"""Progress of a single answer: the gaps between its events, also while it waits."""

import math

import attrs

# Number of gaps from which their mean is representative.
MEASURED_GAPS = 2


@attrs.define(kw_only=True, eq=False)
class AnswerProgress:
    """Start of one answer and the mean gap between its events.

    An answer that is not a stream counts as one event, and its gap is the time from the
    request to the complete answer.

    Attributes
    ----------
    sent_at : float
        Time at which the request was sent, in monotonic seconds.
    objective_s : float
        Time to the start beyond which the answer is late, in seconds.
    level : str
        Name of the requested model, empty when the caller chose.
    max_gap_s : float
        Gap between events beyond which the answer is too slow, in seconds.
    is_single_event : bool
        Whether the answer is not a stream.
    is_counted : bool
        Whether the evidence on its version already includes its mean gap.
    is_sent_counted : bool
        Whether that evidence already includes that it was sent.
    is_start_counted : bool
        Whether that evidence already includes its start.
    began_at : float or None
        Time at which its head arrived, in monotonic seconds.
    """

    service: str
    version: str
    sent_at: float
    level: str = ""
    objective_s: float = math.inf
    max_gap_s: float = math.inf
    is_single_event: bool = False
    is_counted: bool = False
    is_sent_counted: bool = False
    is_start_counted: bool = False
    began_at: float | None = None
    events: int = 0
    _first_at: float = 0.0
    _last_at: float = 0.0

    def add_events(self, events: int, now: float) -> None:
        """Record events that arrived together."""
        if not self.events:
            self._first_at = now
        self.events += events
        self._last_at = now

    @property
    def first_event_at(self) -> float | None:
        """Time of the first event, in monotonic seconds; None before it."""
        return self._first_at if self.events else None

    @property
    def is_measured(self) -> bool:
        """Whether enough events have arrived for a representative mean gap."""
        return self.events > MEASURED_GAPS

    def gap_s(self) -> float:
        """Return the mean gap of the events so far, in seconds; 0 without a gap."""
        if self.is_single_event:
            return self._last_at - self.sent_at if self.events else 0.0
        if self.events < 2:
            return 0.0
        return (self._last_at - self._first_at) / (self.events - 1)

    def min_gap_s(self, now: float) -> float:
        """Return a lower bound of the final mean gap, in seconds.

        It is the mean gap if all awaited events arrived now.
        """
        if self.is_single_event:
            return now - self.sent_at
        since = self._first_at if self.events else self.began_at
        return 0.0 if since is None else (now - since) / max(self.events, MEASURED_GAPS)
