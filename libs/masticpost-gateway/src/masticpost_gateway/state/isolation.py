"""Whether this instance is cut off from all that tell it of changes.

An instance learns of changes from the store or from another instance that watches it.
One that hears neither cannot know whether an upstream has left meanwhile. It asks the
store itself, and holds new work for a short while until it is told; what cannot be
told by then does not hold up its callers any longer.
"""

import asyncio
import collections.abc
import math

from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import watching

SILENT_S = 2.2
# Instances that start together learn who watches some seconds after their start.
START_S = 5.0
HELD_S = 0.3
POLL_S = 0.02
MAX_SILENT_S = 1e6
# An instance that is cut off takes all others for dead after a while.
LATELY_S = 6.0


class Isolation:
    """What this instance has heard of the others that watch, and of the store.

    Parameters
    ----------
    has_others : callable
        Returns whether other instances are believed to be alive.
    watch : watching.StoreWatch
        The own watch of the store.
    """

    def __init__(
        self,
        *,
        has_others: collections.abc.Callable[[], bool],
        watch: watching.StoreWatch,
    ) -> None:
        self.has_others = has_others
        self.watch = watch
        self._started_at = clock.now()
        self._heard_at = -math.inf
        self._others_at = -math.inf

    def heard(self, now: float) -> None:
        """Note that another instance has told how new its beliefs are."""
        self._heard_at = now

    def hears(self, now: float) -> bool:
        """Tell whether another instance that watches was heard lately."""
        return now - self._heard_at <= SILENT_S

    def is_silent(self, now: float) -> bool:
        """Tell whether none was heard for a while, the first moments left out."""
        return not self.hears(now) and now - self._started_at > START_S

    def is_isolated(self, now: float) -> bool:
        """Tell whether neither the store nor another instance tells of changes."""
        if self.has_others():
            self._others_at = now
        had_others = now - self._others_at <= LATELY_S
        return self.is_silent(now) and had_others and not self.watch.is_told

    async def hold_while_isolated(self, limit_s: float) -> None:
        """Hold new work while isolated, for `HELD_S` or `limit_s` at most."""
        began = clock.now()
        if not self.is_isolated(began):
            return
        ends_at = began + min(HELD_S, limit_s)
        self.watch.held += 1
        try:
            while self.is_isolated(clock.now()) and clock.now() < ends_at:
                await asyncio.sleep(POLL_S)
        finally:
            self.watch.held -= 1
        self._log_held(began, clock.now())

    def _log_held(self, began: float, now: float) -> None:
        logger.bind(
            event="isolation",
            held_s=round(now - began, 3),
            silent_s=round(min(began - self._heard_at, MAX_SILENT_S), 3),
            told=not self.is_isolated(now),
        ).info("work held")
