"""Tasks that keep the cached records up to date from the store, one for each kind."""

import asyncio
import math
import random

import mode
import result
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import phases, recordcache, source, timing

# Moments at which the answers to the watches are due, as parts of their period. All are
# spread, so that the first missing answer soon tells of a store that falls silent;
# those of the two kinds that have the longest to take effect are close to each other.
TURNS = {
    source.Kind.CONFIGURATION: 0.0,
    source.Kind.UPSTREAMS: 0.295,
    source.Kind.ROLL_OUTS: 0.59,
    source.Kind.DOMAINS_OUT: 0.705,
}
# Time after which a watch returns that only asks whether the store answers.
CHECK_WAIT_S = 0.02
# Longest time by which a slow store extends the margin of its answers.
MAX_ANSWER_S = 1.5
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
MAX_URGENT_BACKOFF_S = 0.25
# Well below `isolation.MAX_HOLD_S`, the time for which requests are held.
MAX_HELD_BACKOFF_S = 0.08
POLL_PERIOD_S = 0.05
BATCH_WINDOW_S = 0.25
FIRST_ANSWER_TIMEOUT_S = 0.5
UNANSWERED = source.Fault(
    kind=source.FaultKind.NOT_KNOWN,
    message="no answer in time to this watch, or to that of another kind",
)
DEFAULT_LIMITS = timing.Timing()


class StoreWatch(mode.Service):
    """Lists every kind once, and watches it while the watch is switched on.

    Parameters
    ----------
    store : source.Source
        The platform's store.
    records : recordcache.RecordCache
        Filled from the store.
    limits : timing.Timing, optional
        Time limits.

    Attributes
    ----------
    is_active : bool
        Whether the watch is switched on.
    competing_instances : float
        Number of instances that call the store for the same reason. The back-off after
        a failed call grows with it.
    start_spread_s : float
        Time over which instances that are switched on together spread their first call.
    is_urgent : bool
        Whether new requests are held until the store answers; shortens the back-off.
    held_requests : int
        Number of requests that are held now; the back-off is cut short for them.
    first_call_at : float
        Monotonic time in seconds before which the store is not called unless the watch
        is switched on, so that another instance can send its records first.
    informed_since : float
        Monotonic time in seconds since when changes reach this instance, by its own
        watch or from others; infinity while they do not.
    failing_since : dict of source.Kind to float
        Monotonic time in seconds of the first failed call, for each kind whose calls
        fail.
    """

    def __init__(
        self,
        *,
        store: source.Source,
        records: recordcache.RecordCache,
        limits: timing.Timing = DEFAULT_LIMITS,
    ) -> None:
        super().__init__()
        self.store = store
        self.records = records
        self.limits = limits
        self.competing_instances = 1.0
        self.start_spread_s = 0.0
        self.is_urgent = False
        self.held_requests = 0
        self.first_call_at = -math.inf
        self.informed_since = math.inf
        self.failing_since: dict[source.Kind, float] = {}
        self._first_listed_at: dict[source.Kind, float] = {}
        self._following: set[source.Kind] = set()
        # Kinds that were listed since the watch was switched on.
        self._answered: set[source.Kind] = set()
        self._active = asyncio.Event()
        self.phases = phases.Phases(
            turns=TURNS,
            period_s=limits.watch_period_s,
            origin=clock.now() + random.random() * limits.watch_period_s,
        )
        self._pending: dict[source.Kind, asyncio.Future] = {}
        self._due_at: dict[source.Kind, float] = {}
        self._answer_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the watch is switched on."""
        return self._active.is_set()

    @is_active.setter
    def is_active(self, is_active: bool) -> None:
        if is_active:
            self._active.set()
        else:
            self._active.clear()

    @property
    def is_following(self) -> bool:
        """Whether the watch follows all kinds: the last call for each succeeded."""
        return len(self._following) == len(source.Kind)

    def follows(self, now: float) -> bool:
        """Tell whether the watch is on and no calls have failed for `limits.retry_s`.

        A watch that the store cuts off in calm is asked again at once, and is no reason
        for others to call the store.
        """
        if not self.is_active or len(self._answered) < len(source.Kind):
            return False
        since = min(self.failing_since.values(), default=now)
        return now - since < self.limits.retry_s

    def was_informed(self, recovered_at: float) -> bool:
        """Tell whether changes came all the while before the store was said to be back.

        It was then lost for one instance only, and no registration has expired.
        """
        return self.informed_since < recovered_at - recordcache.MIN_OUTAGE_S

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
                self._forget(kind)
                needs_list = True
                await self._wait_until_active(kind)
                continue
            fault = await (self._list(kind) if needs_list else self._watch(kind))
            if fault is None:
                self._following.add(kind)
                self._answered.add(kind)
                backoff_s = MIN_BACKOFF_S
                needs_list = False
                continue
            if fault.kind is source.FaultKind.HISTORY_GONE:
                needs_list = True
                continue
            self._following.discard(kind)
            if fault is UNANSWERED and kind not in self.failing_since:
                self._note_failure(kind, fault, self._due_at[kind])
                continue
            self._note_failure(kind, fault, clock.now())
            scaled_s = backoff_s * self.competing_instances
            await self._back_off(kind, scaled_s * random.uniform(0.5, 1.0))
            max_s = MAX_URGENT_BACKOFF_S if self.is_urgent else MAX_BACKOFF_S
            backoff_s = min(max_s, backoff_s * 2)

    def _forget(self, kind: source.Kind) -> None:
        """Forget how the calls for a kind went that is not watched any more."""
        self._following.discard(kind)
        self._answered.discard(kind)
        self.failing_since.pop(kind, None)

    def may_answer_soon(self, kind: source.Kind, now: float) -> bool:
        """Tell whether the store may soon answer the first listing of a kind."""
        if kind in self.failing_since:
            return False
        return now < self._first_listed_at.get(kind, now) + FIRST_ANSWER_TIMEOUT_S

    def _is_needed(self, kind: source.Kind) -> bool:
        return self.is_active or self.records.views[kind].at < 0

    async def _wait_until_active(self, kind: source.Kind) -> None:
        await self._active.wait()
        await self._back_off(kind, self.start_spread_s * random.random())

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
        is_check = kind in self.failing_since
        wait_s = CHECK_WAIT_S if is_check else self.phases.left_s(kind, sent_at)
        late_s = MAX_ANSWER_S if is_check else self._margin_s()
        self._due_at[kind] = sent_at + wait_s
        call = asyncio.ensure_future(self.store.watch(kind, view.at, wait_s))
        outcome = await self._answer(kind, call, wait_s + late_s)
        if outcome.is_err():
            return outcome.unwrap_err()
        self._note_success(kind, sent_at)
        changes = outcome.unwrap()
        if not changes.events:
            self._answer_s = max(0.0, clock.now() - sent_at - wait_s)
        self.records.apply(kind, changes, clock.now())
        if kind is source.Kind.UPSTREAMS and changes.events:
            # Upstreams come and go in bursts; the next watch returns a batch.
            await asyncio.sleep(BATCH_WINDOW_S)
        return None

    def _margin_s(self) -> float:
        """Return by how much an answer may be late; a slow store gets more time."""
        slow_s = min(MAX_ANSWER_S, 2.0 * self._answer_s)
        return self.limits.answer_margin_s + slow_s

    async def _answer(
        self, kind: source.Kind, call: asyncio.Future, limit_s: float
    ) -> result.Result[source.Changes, source.Fault]:
        """Return the answer to a watch, or a fault if it is missing after `limit_s`.

        A missing answer puts all connections in doubt, so the watches of the other
        kinds are asked again, too.
        """
        self._pending[kind] = call
        try:
            await asyncio.wait((call,), timeout=limit_s)
        finally:
            del self._pending[kind]
            is_missing = not call.done()
            call.cancel()
        if is_missing and kind not in self.failing_since:
            for other, pending in self._pending.items():
                if other not in self.failing_since:
                    pending.cancel()
        if is_missing or call.cancelled():
            return result.Err(UNANSWERED)
        return call.result()

    def _note_failure(
        self, kind: source.Kind, fault: source.Fault, since: float
    ) -> None:
        if kind in self.failing_since:
            return
        self.failing_since[kind] = min(since, clock.now())
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
        is_outage = lost_s > recordcache.MIN_OUTAGE_S and not self.was_informed(sent_at)
        if kind is source.Kind.UPSTREAMS and is_outage:
            self.records.note_store_recovery(sent_at)
