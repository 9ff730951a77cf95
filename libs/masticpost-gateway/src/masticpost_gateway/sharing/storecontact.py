"""Which other instances follow the store, by what they have told this one."""

import math

from masticpost_gateway.sharing import replication
from masticpost_gateway.state import isolation, timing


class StoreContact:
    """Tracks whether this instance hears of changes through some other instance.

    An instance follows the store while it watches it and its calls succeed. One whose
    calls fail still forwards the changes that it gets from one that follows.

    Parameters
    ----------
    limits : timing.Timing
        Time limits.
    started_at : float
        Monotonic start of this instance in seconds.
    """

    def __init__(self, *, limits: timing.Timing, started_at: float) -> None:
        self.limits = limits
        self._followed_at: dict[str, float] = {}
        self._informed_at: dict[str, float] = {}
        self._lost_at = started_at + isolation.START_GRACE_S
        self._trying_at = -math.inf

    def note(self, sender: str, told: replication.Standing, now: float) -> None:
        """Note what an instance has told at `now`, in monotonic seconds."""
        if not told.follows:
            self._followed_at.pop(sender, None)
        if told.follows or told.hears:
            self._informed_at[sender] = now
            if told.follows:
                self._followed_at[sender] = now
            return
        if told.watches:
            self._trying_at = now
        if self._informed_at.pop(sender, None) is not None:
            self._lost_at = now

    def hears(self, now: float) -> bool:
        """Tell whether an instance that itself follows the store reports here."""
        return self._is_recent(self._followed_at, now)

    def is_informed(self, now: float) -> bool:
        """Tell whether some instance that is informed itself reports to this one."""
        return self._is_recent(self._informed_at, now)

    def lost_since(self, now: float) -> float | None:
        """Return since when no informed instance reports, None if one does.

        An instance that has just started has lost nothing, see
        `isolation.START_GRACE_S`.
        """
        if self.is_informed(now):
            return None
        if self._informed_at:
            self._lost_at = max(self._informed_at.values()) + self.limits.contact_s
            self._informed_at.clear()
        return self._lost_at if now >= self._lost_at else None

    def others_try(self, now: float) -> bool:
        """Tell whether another instance calls the store and has no answer yet."""
        return now - self._trying_at <= self.limits.contact_s

    def _is_recent(self, rows: dict[str, float], now: float) -> bool:
        return now - max(rows.values(), default=-math.inf) <= self.limits.contact_s
