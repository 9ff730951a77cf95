"""Pace of a loop that judges in time and sends at a bounded rate."""

import asyncio
import contextlib

from masticpost_common import clock


class Pace:
    """Waits for news, for a verdict that is due, and between two messages.

    Parameters
    ----------
    min_period_s, max_period_s : float
        Shortest and longest time between two messages.
    """

    def __init__(self, *, min_period_s: float, max_period_s: float) -> None:
        self.min_period_s = min_period_s
        self.max_period_s = max_period_s
        self._news = asyncio.Event()
        self._sent_at = clock.now() - min_period_s

    def wake(self) -> None:
        """Note that there is news to send."""
        self._news.set()

    async def wait(self, verdict_s: float | None) -> bool:
        """Wait, for `verdict_s` seconds at most; return whether to send now."""
        limit_s = min(verdict_s or self.max_period_s, self.max_period_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._news.wait()
                await asyncio.sleep(self._sent_at + self.min_period_s - clock.now())
        now = clock.now()
        if now < self._sent_at + self.min_period_s:
            return False
        self._sent_at = now
        self._news.clear()
        return True
