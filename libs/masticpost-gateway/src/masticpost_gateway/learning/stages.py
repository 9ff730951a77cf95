"""Moves roll-outs through their stages and writes each decision to the store.

Every instance knows the same order. The first of those that pool the evidence, in a
rendezvous order, writes at once, the next ones and then all others a little later if
nothing has changed by then; the store's revision lets one of them win.
"""

import asyncio
import collections.abc

import attrs
import mode
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import trial
from masticpost_gateway.state import model, recordcache, source

TICK_S = 0.1
STANDBY_S = 0.8
RETRY_S = 0.5


@attrs.frozen(kw_only=True)
class StagePlan:
    """Parts of a roll-out's duration at which a stage begins; and the shares.

    Up to `half_at` only sessions that are new come to the version, and few. It gets
    everything from `wide_at` on if its answers were judged, and from `late_at` on
    unless it looks worse than the others. While it does, few sessions come to it; one
    that still does at `given_up_at` goes back.
    """

    half_at: float = 0.52
    wide_at: float = 0.66
    done_at: float = 0.82
    late_at: float = 0.85
    given_up_at: float = 0.94
    half_share: float = 0.5
    doubt_share: float = 0.2


class Stages(mode.Service):
    """Drives the open roll-outs.

    Parameters
    ----------
    me : str
        Name of this instance.
    store : source.Source
        Where decisions are written.
    records : recordcache.RecordCache
        Holds the orders.
    trials : trial.Trials
        Holds the evidence.
    members : callable
        Returns the names of the instances that pool the evidence.
    plan : StagePlan
        When each stage begins.
    """

    def __init__(
        self,
        *,
        me: str,
        store: source.Source,
        records: recordcache.RecordCache,
        trials: trial.Trials,
        members: collections.abc.Callable[[], collections.abc.Collection[str]],
        plan: StagePlan | None = None,
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.records = records
        self.trials = trials
        self.members = members
        self.plan = plan or StagePlan()
        self._due_since: dict[str, tuple[model.RollOut, float]] = {}
        self._next_write: dict[str, float] = {}

    @mode.Service.task
    async def drive(self) -> None:
        """Look at the open roll-outs until the service stops."""
        while not self.should_stop:
            for row in list(self.trials.open.values()):
                await self._advance(row)
            await asyncio.sleep(TICK_S)

    def next_order(self, row: trial.Trial, now: float) -> model.RollOut:
        """Return the order as it should stand now."""
        order = row.order
        if row.verdict:
            return attrs.evolve(order, state=model.RollOutState.ROLLED_BACK, share=0.0)
        elapsed = (now - row.since) / max(order.duration_s, 0.001)
        running = model.RollOutState.RUNNING
        if elapsed >= self.plan.done_at and order.share >= trial.WIDE_SHARE:
            return attrs.evolve(order, state=model.RollOutState.COMPLETED, share=1.0)
        is_proven = elapsed >= self.plan.wide_at and row.is_proven()
        is_doubtful = elapsed >= self.plan.half_at and row.is_doubtful(now)
        if is_doubtful and elapsed >= self.plan.given_up_at:
            return attrs.evolve(order, state=model.RollOutState.ROLLED_BACK, share=0.0)
        is_late = elapsed >= self.plan.late_at and not is_doubtful
        if is_proven or is_late:
            return attrs.evolve(order, state=running, share=1.0)
        if elapsed < self.plan.half_at or order.share == self.plan.doubt_share:
            return order
        share = max(order.share, self.plan.half_share)
        if is_doubtful and order.share < trial.WIDE_SHARE:
            share = self.plan.doubt_share
        return attrs.evolve(order, state=running, share=share)

    async def _advance(self, row: trial.Trial) -> None:
        now = clock.now()
        service = row.order.service
        target = self.next_order(row, now)
        if target == row.order:
            self._due_since.pop(service, None)
            return
        due, since = self._due_since.get(service, (None, now))
        if due != target:
            since = now
            self._due_since[service] = (target, now)
        if now - since < self._rank(service) * STANDBY_S:
            return
        if now < self._next_write.get(service, 0.0):
            return
        self._next_write[service] = now + RETRY_S
        await self._write(row, target)

    def _rank(self, service: str) -> int:
        """Return how many instances come first.

        Those that pool the evidence come before all others, which know less.
        """
        names = rendezvous.ranked(self.members(), service)
        return names.index(self.me) if self.me in names else len(names)

    async def _write(self, evidence: trial.Trial, target: model.RollOut) -> None:
        service = target.service
        entry = self.records.views[source.Kind.ROLL_OUTS].entries.get(service)
        if entry is None:
            return
        outcome = await self.store.update_roll_out(entry, target)
        on_trial, base = evidence.pooled()
        row = logger.bind(
            event="roll-out",
            service=service,
            version=target.target,
            state=target.state.value,
            share=target.share,
            rev=entry.revision,
            on_trial=str(on_trial),
            base=str(base),
        )
        if outcome.is_ok():
            row.info("decided")
            return
        # The watch shows whether another instance, or this call after all, succeeded.
        row.warning("not decided: {}", outcome.unwrap_err().message)
