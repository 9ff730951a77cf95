"""Budget for versions on trial, passed on between the instances.

A few holders, chosen by rendezvous hashing, get what the others have to spare. An
instance whose request lacks budget for the version borrows it from a holder before the
request is sent. Sessions and callers are not spread evenly, an instance that has just
started has no budget at all, and one of many has too little for a single request.
"""

import asyncio
import math
import random

import attrs
import mode
from loguru import logger
from masticpost_common import clock, rendezvous
from masticpost_peers import hub, messages, probes

from masticpost_gateway.learning import budgetneeds, trial, trialevidence
from masticpost_gateway.sharing import mesh

PERIOD_S = 0.1
# Minimum time between an instance's deposits.
GIFT_PERIOD_S = 0.5
DEPOSIT_TIMEOUT_S = 0.5
# Requests of a deposit at least.
MIN_GIFT = 0.1
# Time that a request waits for one holder's answer.
ASK_TIMEOUT_S = 0.1
# Time after a refusal in which the holders are not asked again.
REFUSED_S = 0.25
# Time after which a request that lacked budget no longer waits for it.
WAITING_S = 2.0
# Time in which a holder that did not answer is not asked again.
SILENT_S = 1.0
LOG_PERIOD_S = 1.0


@messages.message("gateway-budget-ask")
@attrs.frozen(kw_only=True)
class BudgetRequest:
    """Request for budget of a trial, in requests."""

    service: str
    target: str
    wanted: float
    purpose: budgetneeds.Purpose = budgetneeds.Purpose.BEGIN


@messages.message("gateway-budget")
@attrs.frozen(kw_only=True)
class BudgetGrant:
    """Budget that the sender no longer has, in requests."""

    granted: float


@messages.message("gateway-budget-gift")
@attrs.frozen(kw_only=True)
class BudgetGift:
    """Budget of an instance that leaves, in requests."""

    service: str
    target: str
    granted: float


@messages.message("gateway-budget-deposit")
@attrs.frozen(kw_only=True)
class BudgetDeposit:
    """Budget that an instance can spare, in requests."""

    service: str
    target: str
    granted: float


@messages.message("gateway-budget-receipt")
@attrs.frozen(kw_only=True)
class BudgetReceipt:
    """Whether the holder has taken a deposit; otherwise the sender has it again."""

    is_taken: bool


def deposit(row: trialevidence.Trial, now: float) -> float:
    """Return what an instance can pass on to a holder, 0 if hardly anything.

    The first deposit is the part of the slack, however small.
    """
    spare = budgetneeds.to_spare(row, now)
    is_first = not row.budget.given
    return spare if is_first or spare >= MIN_GIFT else 0.0


class BudgetSharing(mode.Service):
    """Passes budget on to the holders, borrows it from them, and lends it as a holder.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    trials : trial.Trials
        The open trials and their budgets.
    """

    def __init__(self, *, peers: mesh.Mesh, trials: trial.Trials) -> None:
        super().__init__()
        self.peers = peers
        self.trials = trials
        # Time of a service's next deposit.
        self._next_gift_at: dict[str, float] = {}
        # Time of a service's next request to the holders: a refusal of budget for new
        # sessions does not delay those that the version runs.
        self._next_ask_at: dict[tuple[str, budgetneeds.Purpose], float] = {}
        self._silent_until: dict[str, float] = {}
        self._next_log_at = 0.0
        self._logged_lacks = 0
        trials.borrow = self.borrow
        peers.hub.handle(BudgetRequest, self._on_request)
        peers.hub.handle(BudgetGift, self._on_gift)
        peers.hub.handle(BudgetDeposit, self._on_deposit)

    async def on_stop(self) -> None:
        """Leave what is left to a holder."""
        for row in self.trials.limited():
            others = self._other_holders(row) or self.peers.others()
            if not others:
                return
            body = BudgetGift(
                service=row.order.service,
                target=row.order.target,
                granted=row.budget.give(math.inf, kept=0.0),
            )
            await self.peers.hub.broadcast([others[0].address], body)

    @mode.Service.task
    async def pass_on(self) -> None:
        """Pass on what can be spared until the service stops."""
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S)
            for row in self.trials.limited():
                await self._retry_waiting(row)
                await self._deposit(row)
            self._log_lacks(clock.now())

    async def borrow(self, lack: trial.Lack) -> None:
        """Borrow what a request lacks from a holder, if one has it."""
        order = lack.trial.order
        key = (order.service, lack.purpose)
        if clock.now() < self._next_ask_at.get(key, 0.0):
            return
        body = BudgetRequest(
            service=order.service,
            target=order.target,
            wanted=lack.wanted,
            purpose=lack.purpose,
        )
        for holder in self._other_holders(lack.trial):
            if clock.now() < self._silent_until.get(holder.name, 0.0):
                continue
            try:
                grant = await self.peers.hub.call(holder.address, body, ASK_TIMEOUT_S)
            except hub.PeerUnreachableError:
                self._silent_until[holder.name] = clock.now() + SILENT_S
                continue
            if grant.granted:
                lack.trial.budget.borrow(grant.granted, clock.now())
                return
        self._next_ask_at[key] = clock.now() + REFUSED_S

    async def _retry_waiting(self, row: trialevidence.Trial) -> None:
        """Borrow for requests that wait since no other version is left."""
        now = clock.now()
        is_waiting = now - row.budget.lacked_at < WAITING_S
        is_open = row.order.service in self.trials.open
        purpose = budgetneeds.Purpose.GO_ON
        wanted = budgetneeds.missing(row, purpose, now)
        if is_open or not is_waiting or not wanted:
            return
        await self.borrow(trial.Lack(trial=row, purpose=purpose, wanted=wanted))

    async def _deposit(self, row: trialevidence.Trial) -> None:
        now = clock.now()
        holders = self._holders(row)
        me = self.peers.me.name
        row.budget.is_holder = any(member.name == me for member in holders)
        service = row.order.service
        is_early = now < self._next_gift_at.get(service, 0.0)
        if row.budget.is_holder or row.verdict or is_early:
            return
        amount = deposit(row, now)
        if not amount:
            return
        self._next_gift_at[service] = now + GIFT_PERIOD_S * random.uniform(1.0, 1.5)
        body = BudgetDeposit(
            service=service,
            target=row.order.target,
            granted=row.budget.give(amount, kept=0.0),
        )
        try:
            receipt = await self.peers.hub.call(
                holders[0].address, body, DEPOSIT_TIMEOUT_S
            )
        except hub.PeerUnreachableError:
            return
        if not receipt.is_taken:
            row.budget.received += body.granted

    def _holders(self, row: trialevidence.Trial) -> list[probes.Member]:
        """Return the holders of a trial's budget, this instance's own one first."""
        purpose = f"budget\0{row.order.service}\0{row.order.target}"
        count = budgetneeds.holder_count(row.budget.bounds)
        chosen = self.peers.chosen(purpose, count)
        by_name = {member.name: member for member in chosen}
        return [by_name[n] for n in rendezvous.ranked(by_name, self.peers.me.name)]

    def _other_holders(self, row: trialevidence.Trial) -> list[probes.Member]:
        me = self.peers.me.name
        return [member for member in self._holders(row) if member.name != me]

    def _log_lacks(self, now: float) -> None:
        """Log who holds how much when requests lacked budget."""
        rows = self.trials.limited()
        lacked = sum(row.budget.lacked for row in rows)
        if lacked == self._logged_lacks or now < self._next_log_at:
            return
        self._logged_lacks, self._next_log_at = lacked, now + LOG_PERIOD_S
        for row in rows:
            budget = row.budget
            logger.bind(
                event="budget",
                service=row.order.service,
                version=row.order.target,
                lacked=budget.lacked,
                left=round(budget.left(), 2),
                received=round(budget.received, 2),
                given=round(budget.given, 2),
                exposed=budget.exposed,
                holders=[member.name for member in self._holders(row)],
            ).info("requests lacked budget for the version on trial")

    async def _on_request(
        self, envelope: messages.Envelope, body: BudgetRequest
    ) -> BudgetGrant:
        row = self._find(body.service, body.target)
        if row is None:
            return BudgetGrant(granted=0.0)
        granted = budgetneeds.lend(row, body.wanted, body.purpose, clock.now())
        return BudgetGrant(granted=granted)

    async def _on_gift(self, envelope: messages.Envelope, body: BudgetGift) -> None:
        row = self._find(body.service, body.target)
        if row is not None:
            row.budget.received += body.granted

    async def _on_deposit(
        self, envelope: messages.Envelope, body: BudgetDeposit
    ) -> BudgetReceipt:
        row = self._find(body.service, body.target)
        if row is None:
            return BudgetReceipt(is_taken=False)
        row.budget.received += body.granted
        return BudgetReceipt(is_taken=True)

    def _find(self, service: str, target: str) -> trialevidence.Trial | None:
        for row in self.trials.limited():
            if (row.order.service, row.order.target) == (service, target):
                return row
        return None
