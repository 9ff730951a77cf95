"""Detection of an instance that is cut off from all sources of updates.

An instance learns of changes from the store or from another instance that watches it.
Without either it cannot know whether an upstream has left in the meantime. It then
queries the store itself and holds new requests for a short time until updates arrive
again. After that time it serves its callers with the state that it has.
"""

import asyncio
import collections.abc
import math

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import timing, watching

# Instances that start together learn only after some seconds which ones are watchers.
START_GRACE_S = 5.0
# Maximum time for which a new request is held.
MAX_HOLD_S = 0.3
POLL_PERIOD_S = 0.02
MAX_LOGGED_SILENCE_S = 1e6
# Time for which others count as present after the last one was alive: an instance that
# is cut off declares all others dead after a while, but is not the only one.
PEER_MEMORY_S = 6.0


class Isolation:
    """Tracks whether updates reach this instance from watchers or from the store.

    Parameters
    ----------
    has_others : callable
        Returns whether other instances are considered alive.
    watch : watching.StoreWatch
        This instance's own watch of the store.
    limits : timing.Timing, optional
        Time limits.
    """

    def __init__(
        self,
        *,
        has_others: collections.abc.Callable[[], bool],
        watch: watching.StoreWatch,
        limits: timing.Timing = watching.DEFAULT_LIMITS,
    ) -> None:
        self.has_others = has_others
        self.watch = watch
        self.limits = limits
        self._started_at = clock.now()
        self._last_contact_at = -math.inf
        self._others_seen_at = -math.inf

    def note_contact(self, now: float) -> None:
        """Note that another instance has reported how fresh its records are."""
        self._last_contact_at = now

    def has_recent_contact(self, now: float) -> bool:
        """Tell whether a watcher has reported within `limits.hold_after_s`."""
        return now - self._last_contact_at <= self.limits.hold_after_s

    def has_lost_contact(self, now: float) -> bool:
        """Tell whether no watcher reports; False during the first `START_GRACE_S`."""
        return (
            not self.has_recent_contact(now) and now - self._started_at > START_GRACE_S
        )

    def is_isolated(self, now: float) -> bool:
        """Tell whether updates arrive neither from the store nor from a watcher.

        An instance that has had no others recently is alone, not isolated.
        """
        if self.has_others():
            self._others_seen_at = now
        had_others = now - self._others_seen_at <= PEER_MEMORY_S
        return self.has_lost_contact(now) and had_others and not self.watch.is_following

    async def hold_while_isolated(self, limit_s: float) -> None:
        """Hold a new request while isolated, for `MAX_HOLD_S` or `limit_s` at most."""
        began = clock.now()
        if not self.is_isolated(began):
            return
        ends_at = began + min(MAX_HOLD_S, limit_s)
        self.watch.held_requests += 1
        try:
            while self.is_isolated(clock.now()) and clock.now() < ends_at:
                await asyncio.sleep(POLL_PERIOD_S)
        finally:
            self.watch.held_requests -= 1
        self._log_hold(began, clock.now())

    def _log_hold(self, began: float, now: float) -> None:
        logger.bind(
            event="isolation",
            held_s=round(now - began, 3),
            silent_s=round(min(began - self._last_contact_at, MAX_LOGGED_SILENCE_S), 3),
            told=not self.is_isolated(now),
        ).info("request held while isolated")
