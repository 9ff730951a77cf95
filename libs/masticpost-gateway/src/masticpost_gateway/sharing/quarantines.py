"""Persistence of quarantined requests, so that they survive a restart of all instances.

Each watcher reads them from the store once. For each request, the watcher that
rendezvous hashing ranks first adds a missing entry and removes an expired one.
"""

import asyncio
import time

import mode
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import crashes
from masticpost_gateway.sharing import relay
from masticpost_gateway.state import source

PERIOD_S = 0.3


class QuarantineSync(mode.Service):
    """Synchronizes the quarantined requests with the store while this is a watcher.

    Parameters
    ----------
    me : str
        Name of this instance.
    store : source.Source
        Where they are stored.
    relay : relay.Relay
        Provides the watchers.
    tracker : crashes.CrashTracker
        Quarantined requests to store and to restore.
    """

    def __init__(
        self,
        *,
        me: str,
        store: source.Source,
        relay: relay.Relay,
        tracker: crashes.CrashTracker,
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.relay = relay
        self.tracker = tracker
        self._stored: set[str] = set()
        self._is_read = False

    @mode.Service.task
    async def synchronize(self) -> None:
        """Read the entries of the store once, then update them periodically."""
        while not self.should_stop:
            if self.relay.is_watcher and not self._is_read:
                self._is_read = await self._read()
            if self.relay.is_watcher and self._is_read:
                await self._write()
            await asyncio.sleep(PERIOD_S)

    async def _read(self) -> bool:
        """Quarantine the requests in the store; return whether it answered."""
        outcome = await self.store.quarantined()
        if outcome.is_err():
            logger.bind(event="quarantine").warning(
                "cannot read the quarantined requests: {}", outcome.unwrap_err().message
            )
            return False
        for row in outcome.unwrap():
            # Wall clocks differ, so an entry may seem to be from the future.
            age_s = max(0.0, time.time() - row.since_s)
            self._stored.add(row.fingerprint)
            self.tracker.quarantine(row.fingerprint, clock.now() - age_s)
        logger.bind(event="quarantine", entries=len(self._stored)).info(
            "read the quarantined requests"
        )
        return True

    async def _write(self) -> None:
        now = clock.now()
        quarantined = self.tracker.quarantined(now)
        for fingerprint in quarantined.keys() - self._stored:
            if not self._is_first(fingerprint):
                continue
            since_s = time.time() - (now - quarantined[fingerprint])
            row = source.QuarantineEntry(fingerprint=fingerprint, since_s=since_s)
            if (await self.store.add_quarantined(row)).is_ok():
                self._stored.add(fingerprint)
        for fingerprint in self._stored - quarantined.keys():
            is_first = self._is_first(fingerprint)
            if (
                not is_first
                or (await self.store.remove_quarantined(fingerprint)).is_ok()
            ):
                self._stored.discard(fingerprint)

    def _is_first(self, fingerprint: str) -> bool:
        """Tell whether this instance is the one that writes the entry of a request."""
        names = [row.name for row in self.relay.watchers]
        return rendezvous.ranked(names, fingerprint)[:1] == [self.me]
