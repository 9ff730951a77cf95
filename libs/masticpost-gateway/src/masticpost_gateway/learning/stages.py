"""Moves roll-outs through their stages and writes each decision to the store.

Rendezvous hashing ranks the instances that pool the evidence; all others share the last
rank. The first one writes at once, each further rank `STANDBY_S` later if the roll-out
has not changed by then. The check of the store's revision lets one write succeed.
"""

import asyncio
import collections.abc

import attrs
import mode
from loguru import logger
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import arrivals, trial, trialevidence
from masticpost_gateway.state import model, recordcache, source

TICK_S = 0.1
STANDBY_S = 0.8
RETRY_S = 0.5
# Usual time from a request to its evidence at the instances that pool it.
ANSWER_S = 1.5
# Factor by which the small share grows where more answers are needed.
SHARE_STEP = 2.5
# Factor by which more answers than those missing are aimed at: arrivals vary, and
# running sessions stay where they are.
RESERVE = 2.0
# Missing evidence, in good answers, at which the full share is kept.
KEPT_MISSING = 1.0


@attrs.frozen(kw_only=True)
class StagePlan:
    """When a version on trial gets all requests, and when its roll-out ends.

    The version gets a small share of the new sessions, and all requests from the moment
    on at which the budget covers the time that is left. The more of the budget is left,
    the earlier that is. While it looks worse than the others its share stays small or
    gets small again, and it is never completed.

    Attributes
    ----------
    half_at, wide_at, late_at : float
        Fractions of the roll-out's duration: when it is reported as running; when the
        version may get all requests at the earliest, and when also without enough
        answers to show that it is as good as the others.
    margin : float
        Factor by which the requests may grow until the deadline.
    tried_share : float
        Share of the new sessions in the second half.
    most_share : float
        The same at most where more are needed for enough answers before the deadline.
    drain_s : float
        Time with the full share in which the other versions end what they have begun.
    end_s : float
        Time before the deadline from which on a roll-out is completed, after that time.
        The other versions are gone then.
    last_s : float
        Time before the deadline at which it ends in any case: a version that still
        looks worse is rolled back. If the budget does not cover the rest, requests
        beyond it wait for the deadline.
    """

    early_at: float = 0.1
    half_at: float = 0.52
    wide_at: float = 0.66
    given_up_at: float = 2.0
    tried_share: float = 0.2
    most_share: float = 0.85
    margin: float = 1.2
    drain_s: float = 1.5
    end_s: float = 1.8
    last_s: float = 1.0


class Stages(mode.Service):
    """Advances the open roll-outs.

    Parameters
    ----------
    me : str
        Name of this instance.
    store : source.Source
        Store to which decisions are written.
    records : recordcache.RecordCache
        Cached roll-outs.
    trials : trial.Trials
        Open trials and their evidence.
    members : callable
        Returns the names of the instances that pool the evidence.
    is_running : callable
        Whether a run of an instance, by name and incarnation, may be alive.
    has_majority : callable
        Whether this instance is in touch with most of the others.
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
        is_running: collections.abc.Callable[[str, int], bool] = lambda *_: True,
        has_majority: collections.abc.Callable[[], bool] = lambda: True,
        plan: StagePlan | None = None,
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.records = records
        self.trials = trials
        self.members = members
        self.is_running = is_running
        self.has_majority = has_majority
        self.plan = plan or StagePlan()
        self._pending: dict[str, tuple[model.RollOut, float]] = {}
        self._next_write_at: dict[str, float] = {}
        self._arrivals: dict[str, arrivals.Arrivals] = {}

    @mode.Service.task
    async def drive(self) -> None:
        """Advance the open roll-outs every `TICK_S` until the service stops."""
        while not self.should_stop:
            for row in list(self.trials.open.values()):
                await self._advance(row)
            await asyncio.sleep(TICK_S)

    def next_order(self, row: trialevidence.Trial, now: float) -> model.RollOut:
        """Return the order with the state and share that it should have now."""
        order = row.order
        if row.verdict:
            return _ended(order, model.RollOutState.ROLLED_BACK)
        if row.decided is model.RollOutState.COMPLETED:
            return _ended(order, model.RollOutState.COMPLETED)
        recent = self._arrivals.setdefault(order.service, arrivals.Arrivals())
        recent.note(row.total(), now)
        elapsed = (now - row.since) / max(order.duration_s, 0.001)
        running = attrs.evolve(
            order, state=model.RollOutState.RUNNING, share=self.plan.tried_share
        )
        if elapsed < self.plan.half_at:
            is_early = elapsed < self.plan.early_at or row.is_doubtful(now)
            share = order.share if is_early else self._share_for(row, now)
            is_more = share > order.share
            return attrs.evolve(running, share=share) if is_more else order
        is_late = row.left_s(now) < self.plan.last_s
        if row.is_doubtful(now):
            # Only who has the evidence for a doubt ends a roll-out for it.
            is_ended = is_late and row.doubt(now)
            rolled_back = _ended(order, model.RollOutState.ROLLED_BACK)
            return rolled_back if is_ended or self._is_given_up(elapsed) else running
        if self._is_given_up(elapsed):
            return _ended(order, model.RollOutState.ROLLED_BACK)
        is_wide = order.share >= trial.WIDE_SHARE
        missing = row.proof(now).missing
        if missing and not (is_wide and missing < KEPT_MISSING):
            share = max(self.plan.tried_share, self._share_for(row, now))
            return attrs.evolve(running, share=share)
        is_covered = self._covers_rest(row, now)
        is_drained = is_wide and is_covered and self._is_drained(row, now)
        if not missing and (is_late or is_drained) and self.has_majority():
            return _ended(order, model.RollOutState.COMPLETED)
        if is_wide or (is_covered and elapsed >= self.plan.wide_at):
            return attrs.evolve(running, share=1.0)
        return attrs.evolve(running, share=max(self.plan.tried_share, order.share))

    def _is_given_up(self, elapsed: float) -> bool:
        """Return whether a roll-out has been undecided for too long."""
        return elapsed >= self.plan.given_up_at

    def _share_for(self, row: trialevidence.Trial, now: float) -> float:
        """Return the share that brings the missing answers before the deadline.

        It grows in steps, since each is a write to the store, and only where the budget
        covers all requests until then.
        """
        share = model.NARROW_SHARE
        kept = max(share, min(row.order.share, self.plan.most_share))
        if not self._knows_most(row):
            return kept
        if not self._covers_rest(row, now):
            return share
        left_s = row.left_s(now) - self.plan.last_s - ANSWER_S
        expected = self._rate(row, now) * max(left_s, ANSWER_S)
        missing = RESERVE * row.proof(now).missing if expected else 0.0
        while share < self.plan.most_share and share * expected < missing:
            share = min(SHARE_STEP * share, self.plan.most_share)
        return max(share, kept)

    def _knows_most(self, row: trialevidence.Trial) -> bool:
        """Return whether most instances are in touch and have told their evidence.

        One that has just started knows neither the arrivals nor the answers.
        """
        told = {name for name, _ in row.told} | {self.me}
        is_told = 2 * len(told) > self.trials.instance_count()
        return is_told and self.has_majority()

    def _is_drained(self, row: trialevidence.Trial, now: float) -> bool:
        """Return whether the other versions have ended what they had begun."""
        is_near = row.left_s(now) <= self.plan.end_s
        return is_near and now - row.wide_since >= self.plan.drain_s

    def _covers_rest(self, row: trialevidence.Trial, now: float) -> bool:
        """Return whether the budget covers all requests until the deadline."""
        left_s = row.left_s(now)
        if left_s <= 0.0:
            return True
        share = 1.0 - row.budget.bounds.share
        expected = self._rate(row, now) * left_s * share
        return row.budget_left(self.is_running) >= self.plan.margin * expected

    def _rate(self, row: trialevidence.Trial, now: float) -> float:
        """Return the service's requests per second."""
        recent = self._arrivals[row.order.service].rate(now)
        overall = row.total() / max(now - row.since, 0.001)
        return overall if recent is None else recent

    async def _advance(self, row: trialevidence.Trial) -> None:
        now = clock.now()
        service = row.order.service
        desired = self.next_order(row, now)
        self._note_lack(row, now)
        if desired == row.order:
            self._pending.pop(service, None)
            return
        due, since = self._pending.get(service, (None, now))
        if due != desired:
            since = now
            self._pending[service] = (desired, now)
        if now - since < self._rank(service) * STANDBY_S:
            return
        if now < self._next_write_at.get(service, 0.0):
            return
        self._next_write_at[service] = now + RETRY_S
        await self._write(row, desired)

    def _rank(self, service: str) -> int:
        """Return the number of instances that write before this one.

        Those that pool the evidence come before all others, which have less of it.
        """
        names = rendezvous.ranked(self.members(), service)
        return names.index(self.me) if self.me in names else len(names)

    async def _write(
        self, evidence: trialevidence.Trial, desired: model.RollOut
    ) -> None:
        service = desired.service
        entry = self.records.views[source.Kind.ROLL_OUTS].entries.get(service)
        if entry is None:
            return
        outcome = await self.store.update_roll_out(entry, desired)
        fields = self._evidence_fields(evidence, clock.now())
        log_line = logger.bind(
            event="roll-out",
            service=service,
            version=desired.target,
            state=desired.state.value,
            share=desired.share,
            rev=entry.revision,
            **fields,
        )
        if outcome.is_ok():
            self._next_write_at[service] = clock.now() + TICK_S
            log_line.info("wrote roll-out decision")
            return
        # The watch shows whether another instance's write, or this one after all,
        # succeeded.
        log_line.warning(
            "cannot write roll-out decision: {}", outcome.unwrap_err().message
        )

    def _evidence_fields(
        self, row: trialevidence.Trial, now: float
    ) -> dict[str, object]:
        """Return what a decision is made from, for the log."""
        on_trial, base = row.pooled()
        found = row.proof(now)
        newest_s = min(now - row.newest_at, now - row.since)
        return {
            "on_trial": str(on_trial),
            "base": str(base),
            "doubt": row.doubt(now),
            "proof": str(found),
            "answers": on_trial.calls,
            "missing": round(found.missing, 1),
            "newest_s": round(newest_s, 2),
            "left_s": round(row.left_s(now), 2),
            "instances": len(row.told) + 1,
            "total": row.total(),
            "lacked": row.lacked(),
            "budget_left": round(row.budget_left(self.is_running), 1),
        }

    def _note_lack(self, row: trialevidence.Trial, now: float) -> None:
        """Log once that a deadline passed without a decision, and why."""
        if row.is_lack_noted or row.verdict or row.left_s(now) > 0.0:
            return
        row.is_lack_noted = True
        found = row.proof(now)
        reason = "most instances are out of touch" if found.is_complete else str(found)
        logger.bind(
            event="roll-out",
            service=row.order.service,
            version=row.order.target,
            **self._evidence_fields(row, now),
        ).warning("roll-out undecided at its deadline: {}", reason)


def _ended(order: model.RollOut, state: model.RollOutState) -> model.RollOut:
    share = 1.0 if state is model.RollOutState.COMPLETED else 0.0
    return attrs.evolve(order, state=state, share=share)
