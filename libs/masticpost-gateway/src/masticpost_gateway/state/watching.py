"""Tasks that keep the beliefs up to date from the store, one for each kind."""

import asyncio
import math
import random

import mode
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import recordcache, source

WAITS_S = {
    source.Kind.CONFIGURATION: 3.0,
    source.Kind.UPSTREAMS: 3.0,
    source.Kind.ROLL_OUTS: 4.0,
    source.Kind.DOMAINS_OUT: 4.0,
}
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 1.0
URGENT_PAUSE_S = 0.25
# Well below the time for which work is held.
HELD_PAUSE_S = 0.08
IDLE_POLL_S = 0.05
BATCH_S = 0.25
FIRST_ANSWER_S = 0.5


class StoreWatch(mode.Service):
    """Lists every kind once, and watches it while this instance is to do so.

    Parameters
    ----------
    store : source.Source
        The platform's store.
    records : recordcache.RecordCache
        Filled from the store.

    Attributes
    ----------
    is_active : bool
        Whether this instance is to watch the store.
    sharers : float
        How many instances call the store for the same reason: the more, the longer
        each pauses before its first call and after a failed one.
    is_urgent : bool
        Whether this instance would hold work back until the store answers.
    held : int
        Requests that are held back now; pauses are cut short for them.
    first_call_at : float
        Time until which an instance that knows nothing waits to be told by another.
    """

    def __init__(
        self, *, store: source.Source, records: recordcache.RecordCache
    ) -> None:
        super().__init__()
        self.store = store
        self.records = records
        self.is_active = False
        self.sharers = 1.0
        self.is_urgent = False
        self.held = 0
        self.first_call_at = -math.inf
        self.failing_since: dict[source.Kind, float] = {}
        self._asked_at: dict[source.Kind, float] = {}
        self._followed: set[source.Kind] = set()

    @property
    def is_told(self) -> bool:
        """Whether the store tells this instance of every change."""
        return len(self._followed) == len(source.Kind)

    async def on_start(self) -> None:
        """Start a task for each kind."""
        for kind in source.Kind:
            self.add_future(self._follow(kind))

    async def _follow(self, kind: source.Kind) -> None:
        pause_s = FIRST_PAUSE_S
        needs_list = True
        while not self.should_stop:
            if not self.is_active and clock.now() < self.first_call_at:
                await asyncio.sleep(IDLE_POLL_S)
                continue
            if not self._is_needed(kind):
                self._followed.discard(kind)
                self.failing_since.pop(kind, None)
                needs_list = True
                await self._until_active(kind)
                continue
            fault = await (self._list(kind) if needs_list else self._watch(kind))
            if fault is None:
                self._followed.add(kind)
                pause_s = FIRST_PAUSE_S
                needs_list = False
                continue
            self._followed.discard(kind)
            if fault.kind is source.FaultKind.HISTORY_GONE:
                needs_list = True
                continue
            self._note_failure(kind, fault)
            shared_s = pause_s * self.sharers
            await self._pause(kind, shared_s * random.uniform(0.5, 1.0))
            longest_s = URGENT_PAUSE_S if self.is_urgent else MAX_PAUSE_S
            pause_s = min(longest_s, pause_s * 2)

    def may_tell_first(self, kind: source.Kind, now: float) -> bool:
        """Tell whether a kind that is not records yet may soon be told by the store."""
        if kind in self.failing_since:
            return False
        return now < self._asked_at.get(kind, now) + FIRST_ANSWER_S

    def _is_needed(self, kind: source.Kind) -> bool:
        return self.is_active or self.records.views[kind].at < 0

    async def _until_active(self, kind: source.Kind) -> None:
        while not self.is_active and not self.should_stop:
            await asyncio.sleep(IDLE_POLL_S)
        spread_s = (self.sharers - 1.0) * MAX_PAUSE_S
        await self._pause(kind, spread_s * random.random())

    async def _pause(self, kind: source.Kind, pause_s: float) -> None:
        """Wait, at most for as long as the store is to be asked about a kind."""
        began = clock.now()
        while self._is_needed(kind) and not self.should_stop:
            longest_s = HELD_PAUSE_S if self.held else pause_s
            left_s = began + min(pause_s, longest_s) - clock.now()
            if left_s <= 0:
                return
            await asyncio.sleep(min(IDLE_POLL_S, left_s))

    async def _list(self, kind: source.Kind) -> source.Fault | None:
        asked_at = clock.now()
        self._asked_at.setdefault(kind, asked_at)
        outcome = await self.store.list_all(kind)
        if outcome.is_err():
            return outcome.unwrap_err()
        self._note_success(kind, asked_at)
        self.records.replace(kind, outcome.unwrap(), asked_at)
        return None

    async def _watch(self, kind: source.Kind) -> source.Fault | None:
        view = self.records.views[kind]
        asked_at = clock.now()
        outcome = await self.store.watch(kind, view.at, WAITS_S[kind])
        if outcome.is_err():
            return outcome.unwrap_err()
        self._note_success(kind, asked_at)
        changes = outcome.unwrap()
        self.records.apply(kind, changes, clock.now())
        if kind is source.Kind.UPSTREAMS and changes.events:
            # Upstreams come and go in bursts: what follows is read together.
            await asyncio.sleep(BATCH_S)
        return None

    def _note_failure(self, kind: source.Kind, fault: source.Fault) -> None:
        if kind in self.failing_since:
            return
        self.failing_since[kind] = clock.now()
        row = logger.bind(event="store", kind=kind.value, fault=fault.kind.value)
        row.warning("store lost: {}", fault.message)

    def _note_success(self, kind: source.Kind, asked_at: float) -> None:
        """Note that the store answers again, a call that was sent at `asked_at`.

        A watch is answered when something changes: the store is back long before.
        """
        since = self.failing_since.pop(kind, None)
        if since is None:
            return
        lost_s = round(asked_at - since, 3)
        logger.bind(event="store", kind=kind.value, lost_s=lost_s).info("store back")
        if kind is source.Kind.UPSTREAMS and lost_s > recordcache.OUTAGE_AFTER_S:
            self.records.regained(asked_at)
