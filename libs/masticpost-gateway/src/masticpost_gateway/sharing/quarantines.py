"""Persistence of quarantined causes, so that they survive a restart of all instances.

Each watcher reads them from the store once. For each cause, the watcher that rendezvous
hashing ranks first writes a missing or outdated entry and removes an expired one.
"""

import asyncio
import collections.abc
import math
import time

import mode
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import crashes, quarantine
from masticpost_gateway.sharing import relay
from masticpost_gateway.state import source

PERIOD_S = 0.3
# Later crashes within this time do not change an entry.
STALE_AFTER_S = 30.0


class QuarantineSync(mode.Service):
    """Synchronizes the quarantined causes with the store while this is a watcher.

    Parameters
    ----------
    me : str
        Name of this instance.
    store : source.Source
        Where they are stored.
    relay : relay.Relay
        Provides the watchers.
    tracker : crashes.CrashTracker
        Quarantined causes to store and to restore.
    era : callable, optional
        Returns the era of the store, which holds an older state when it changes.
    """

    def __init__(
        self,
        *,
        me: str,
        store: source.Source,
        relay: relay.Relay,
        tracker: crashes.CrashTracker,
        era: collections.abc.Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.relay = relay
        self.tracker = tracker
        self._stored: dict[str, float] = {}
        self.era = era
        self._read_in: int | None = None

    @mode.Service.task
    async def synchronize(self) -> None:
        """Read the entries of the store once, then update them periodically."""
        while not self.should_stop:
            era = self.era()
            if self.relay.is_watcher and self._read_in != era:
                is_read = await self._read(adopts=self._read_in is None)
                self._read_in = era if is_read else self._read_in
            if self.relay.is_watcher and self._read_in == era:
                await self._write()
            await asyncio.sleep(PERIOD_S)

    async def _read(self, *, adopts: bool) -> bool:
        """Read which causes are stored; return whether the store answered.

        Parameters
        ----------
        adopts : bool
            Whether to quarantine them. An older copy holds what was freed since.
        """
        outcome = await self.store.quarantined()
        if outcome.is_err():
            logger.bind(event="quarantine").warning(
                "cannot read the quarantined causes: {}", outcome.unwrap_err().message
            )
            return False
        self._stored.clear()
        for row in outcome.unwrap():
            # Wall clocks differ, so an entry may seem to be from the future.
            at = clock.now() - max(0.0, time.time() - row.since_s)
            stored = quarantine.Quarantine(at=at, failed_trials=row.failed_trials)
            self._stored[row.key] = at
            if adopts:
                self.tracker.add_quarantine(row.key, stored)
        logger.bind(event="quarantine", entries=len(self._stored)).info(
            "read the quarantined causes"
        )
        return True

    async def _write(self) -> None:
        now = clock.now()
        quarantined = self.tracker.quarantined(now)
        for key, row in quarantined.items():
            stored_at = self._stored.get(key, -math.inf)
            if row.at <= stored_at + STALE_AFTER_S or not self._is_first(key):
                continue
            entry = source.QuarantineEntry(
                key=key,
                since_s=time.time() - (now - row.at),
                failed_trials=row.failed_trials,
            )
            if (await self.store.put_quarantined(entry)).is_ok():
                self._stored[key] = row.at
        for key in self._stored.keys() - quarantined.keys():
            is_first = self._is_first(key)
            if not is_first or (await self.store.remove_quarantined(key)).is_ok():
                self._stored.pop(key)

    def _is_first(self, key: str) -> bool:
        """Tell whether this instance is the one that writes the entry of a cause."""
        names = [row.name for row in self.relay.watchers]
        return rendezvous.ranked(names, key)[:1] == [self.me]
