"""When an instance tells others how it learns of changes."""

import enum
import math

from masticpost_gateway.sharing import replication

HEARTBEAT_PERIOD_S = 1.0


class Beat(enum.Enum):
    """Message that is due."""

    HEARTBEAT = "heartbeat"
    PULSE = "pulse"


class BeatSchedule:
    """Heartbeats with their contents once per second, and pulses between them.

    A pulse is also due at once when what it tells has changed.

    Parameters
    ----------
    beat_s : float
        Longest time between two messages, in seconds.
    """

    def __init__(self, *, beat_s: float) -> None:
        self._pulses = max(0, math.ceil(HEARTBEAT_PERIOD_S / beat_s) - 1)
        self._period_s = HEARTBEAT_PERIOD_S / (self._pulses + 1)
        self._due_at = -math.inf
        self._sent = 0
        self._told: replication.Standing | None = None

    def due(self, standing: replication.Standing, now: float) -> Beat | None:
        """Return the message to send at `now`, in monotonic seconds, None for none."""
        if now < self._due_at:
            is_changed = standing != self._told
            self._told = standing
            return Beat.PULSE if is_changed else None
        self._told = standing
        self._due_at = max(now, self._due_at + self._period_s)
        self._sent += 1
        is_heartbeat = self._sent % (self._pulses + 1) == 0
        return Beat.HEARTBEAT if is_heartbeat else Beat.PULSE
