"""Tasks that keep the cached records up to date from the store, one for each kind."""

import asyncio
import math
import random

import mode
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import recordcache, source

# Time after which a watch without changes returns, in seconds.
WATCH_TIMEOUTS_S = {
    source.Kind.CONFIGURATION: 3.0,
    source.Kind.UPSTREAMS: 3.0,
    source.Kind.ROLL_OUTS: 4.0,
    source.Kind.DOMAINS_OUT: 4.0,
}
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
MAX_URGENT_BACKOFF_S = 0.25
# Well below `isolation.MAX_HOLD_S`, the time for which requests are held.
MAX_HELD_BACKOFF_S = 0.08
POLL_PERIOD_S = 0.05
BATCH_WINDOW_S = 0.25
FIRST_ANSWER_TIMEOUT_S = 0.5


class StoreWatch(mode.Service):
    """Lists every kind once, and watches it while the watch is switched on.

    Parameters
    ----------
    store : source.Source
        The platform's store.
    records : recordcache.RecordCache
        Filled from the store.

    Attributes
    ----------
    is_active : bool
        Whether the watch is switched on.
    competing_instances : float
        Number of instances that call the store for the same reason. The back-off after
        a failed call, and the delay before the first call, grow with it.
    is_urgent : bool
        Whether new requests are held until the store answers; shortens the back-off.
    held_requests : int
        Number of requests that are held now; the back-off is cut short for them.
    first_call_at : float
        Monotonic time in seconds before which the store is not called unless the watch
        is switched on, so that another instance can send its records first.
    failing_since : dict of source.Kind to float
        Monotonic time in seconds of the first failed call, for each kind whose calls
        fail.
    """

    def __init__(
        self, *, store: source.Source, records: recordcache.RecordCache
    ) -> None:
        super().__init__()
        self.store = store
        self.records = records
        self.is_active = False
        self.competing_instances = 1.0
        self.is_urgent = False
        self.held_requests = 0
        self.first_call_at = -math.inf
        self.failing_since: dict[source.Kind, float] = {}
        self._first_listed_at: dict[source.Kind, float] = {}
        self._following: set[source.Kind] = set()

    @property
    def is_following(self) -> bool:
        """Whether the watch follows all kinds: the last call for each succeeded."""
        return len(self._following) == len(source.Kind)

    async def on_start(self) -> None:
        """Start a task for each kind."""
        for kind in source.Kind:
            self.add_future(self._follow(kind))

    async def _follow(self, kind: source.Kind) -> None:
        backoff_s = MIN_BACKOFF_S
        needs_list = True
        while not self.should_stop:
            if not self.is_active and clock.now() < self.first_call_at:
                await asyncio.sleep(POLL_PERIOD_S)
                continue
            if not self._is_needed(kind):
                self._following.discard(kind)
                self.failing_since.pop(kind, None)
                needs_list = True
                await self._wait_until_active(kind)
                continue
            fault = await (self._list(kind) if needs_list else self._watch(kind))
            if fault is None:
                self._following.add(kind)
                backoff_s = MIN_BACKOFF_S
                needs_list = False
                continue
            self._following.discard(kind)
            if fault.kind is source.FaultKind.HISTORY_GONE:
                needs_list = True
                continue
            self._note_failure(kind, fault)
            scaled_s = backoff_s * self.competing_instances
            await self._back_off(kind, scaled_s * random.uniform(0.5, 1.0))
            max_s = MAX_URGENT_BACKOFF_S if self.is_urgent else MAX_BACKOFF_S
            backoff_s = min(max_s, backoff_s * 2)

    def may_answer_soon(self, kind: source.Kind, now: float) -> bool:
        """Tell whether the store may soon answer the first listing of a kind."""
        if kind in self.failing_since:
            return False
        return now < self._first_listed_at.get(kind, now) + FIRST_ANSWER_TIMEOUT_S

    def _is_needed(self, kind: source.Kind) -> bool:
        return self.is_active or self.records.views[kind].at < 0

    async def _wait_until_active(self, kind: source.Kind) -> None:
        while not self.is_active and not self.should_stop:
            await asyncio.sleep(POLL_PERIOD_S)
        spread_s = (self.competing_instances - 1.0) * MAX_BACKOFF_S
        await self._back_off(kind, spread_s * random.random())

    async def _back_off(self, kind: source.Kind, pause_s: float) -> None:
        """Sleep for `pause_s`; end early if no more calls for a kind are needed."""
        began = clock.now()
        while self._is_needed(kind) and not self.should_stop:
            max_s = MAX_HELD_BACKOFF_S if self.held_requests else pause_s
            left_s = began + min(pause_s, max_s) - clock.now()
            if left_s <= 0:
                return
            await asyncio.sleep(min(POLL_PERIOD_S, left_s))

    async def _list(self, kind: source.Kind) -> source.Fault | None:
        sent_at = clock.now()
        self._first_listed_at.setdefault(kind, sent_at)
        outcome = await self.store.list_all(kind)
        if outcome.is_err():
            return outcome.unwrap_err()
        self._note_success(kind, sent_at)
        self.records.replace(kind, outcome.unwrap(), sent_at)
        return None

    async def _watch(self, kind: source.Kind) -> source.Fault | None:
        view = self.records.views[kind]
        sent_at = clock.now()
        outcome = await self.store.watch(kind, view.at, WATCH_TIMEOUTS_S[kind])
        if outcome.is_err():
            return outcome.unwrap_err()
        self._note_success(kind, sent_at)
        changes = outcome.unwrap()
        self.records.apply(kind, changes, clock.now())
        if kind is source.Kind.UPSTREAMS and changes.events:
            # Upstreams come and go in bursts; the next watch returns a batch.
            await asyncio.sleep(BATCH_WINDOW_S)
        return None

    def _note_failure(self, kind: source.Kind, fault: source.Fault) -> None:
        if kind in self.failing_since:
            return
        self.failing_since[kind] = clock.now()
        row = logger.bind(event="store", kind=kind.value, fault=fault.kind.value)
        row.warning("call to the store failed: {}", fault.message)

    def _note_success(self, kind: source.Kind, sent_at: float) -> None:
        """Note that the store has answered a call that was sent at `sent_at`.

        After failures the store counts as back from `sent_at`, not from the answer: a
        watch is answered only when something changes, possibly long after.
        """
        since = self.failing_since.pop(kind, None)
        if since is None:
            return
        lost_s = round(sent_at - since, 3)
        logger.bind(event="store", kind=kind.value, lost_s=lost_s).info(
            "store answers again"
        )
        if kind is source.Kind.UPSTREAMS and lost_s > recordcache.MIN_OUTAGE_S:
            self.records.note_store_recovery(sent_at)
