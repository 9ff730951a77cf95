"""Rate at which a backlog shrinks, from its length at different times."""

import attrs

# A shorter time between two samples says little: reports arrive every 0.1 to 0.2 s.
MIN_INTERVAL_S = 0.5
# An older sample says nothing about the present rate.
MAX_INTERVAL_S = 5.0
# Weight of a new sample of the rate.
WEIGHT = 0.5
# Rate of one upstream that gets no new work, in seconds of work per second.
INITIAL_RATE = 1.0


@attrs.define(kw_only=True)
class Drain:
    """Estimated seconds of backlog that are done per second, less what arrives.

    Attributes
    ----------
    rate : float
        The estimate; 0 or less while the backlog does not shrink.
    """

    rate: float = INITIAL_RATE
    _backlog_s: float = 0.0
    _at: float | None = None

    def record(self, backlog_s: float, now: float) -> None:
        """Record the backlog in seconds at a monotonic time in seconds."""
        interval_s = None if self._at is None else now - self._at
        if interval_s is not None and interval_s < MIN_INTERVAL_S:
            return
        if interval_s is None or interval_s > MAX_INTERVAL_S:
            self.rate = INITIAL_RATE
        else:
            shrunk = (self._backlog_s - backlog_s) / interval_s
            self.rate += WEIGHT * (shrunk - self.rate)
        self._backlog_s, self._at = backlog_s, now
