"""Customers' budgets: what may be spent in a window of time, over all instances.

Each instance adds up what it billed and tells that, cumulative, to the owner of the
customer's budget, which answers with the sum over all instances and commits it. Between
two tells an instance does not know what others spend, so that a budget may be exceeded
by what all of them bill in that time.
"""

import asyncio
import math
import time

import attrs
import mode
from masticpost_common import clock, errors
from masticpost_confsync import keeper
from masticpost_shards import directory, ops, records
from masticpost_text import model

ROUND_S = 0.5
ROUND_S_PER_INSTANCE = 0.05
IDLE_S = 5.0
TELL_TIMEOUT_S = 0.5
MS = 1000.0
UNAVAILABLE = (directory.ShardUnavailableError, directory.StoreUnavailableError)


@attrs.define(kw_only=True)
class Account:
    """What is known of a customer's window; amounts in the text's money.

    Attributes
    ----------
    window, until : int
        When it begins and ends, wall-clock milliseconds.
    own : float
        Spent through this instance.
    told : float
        Part of `own` that the owner knows.
    total : float
        Spent through all instances, as the owner said last.
    used_at : float
        Monotonic time of the customer's last request here, in seconds.
    """

    window: int
    until: int
    own: float = 0.0
    told: float = 0.0
    total: float = 0.0
    used_at: float = -math.inf

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to tell, and no caller to ask the total for."""
        return self.own <= self.told and time.monotonic() - self.used_at > IDLE_S

    @property
    def spent(self) -> float:
        """What was spent as far as is known here."""
        return self.total + self.own - self.told


class Budgets(mode.Service):
    """Adds up spending and refuses customers that spent their budget.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners of budgets.
    texts : keeper.Keeper
        The text in force.
    """

    def __init__(self, *, shards: directory.Directory, texts: keeper.Keeper) -> None:
        super().__init__()
        self.shards = shards
        self.texts = texts
        self._accounts: dict[str, Account] = {}

    def add(self, customer: str, cost: float) -> None:
        """Count what a customer was billed."""
        cust = self.texts.in_force.text.customers.get(customer)
        if cust is not None and cust.budget > 0 and cost > 0:
            self._account(cust).own += cost

    def check(self, cust: model.Customer) -> None:
        """Refuse a customer whose budget is spent; raises `errors.RefusalError`."""
        refusal = self.refusal(cust)
        if refusal is not None:
            raise refusal

    def refusal(self, cust: model.Customer) -> errors.RefusalError | None:
        """Return the refusal of new work, None while there is budget left."""
        if cust.budget <= 0:
            return None
        account = self._account(cust)
        account.used_at = time.monotonic()
        if account.spent < cust.budget:
            return None
        return errors.refuse(
            429,
            "budget_spent",
            "The customer's budget for this window is spent. It was not run.",
            retry_after_s=max(1.0, (account.until - clock.wall_ms()) / MS),
        )

    def _account(self, cust: model.Customer) -> Account:
        length_ms = max(1, round(cust.budget_s * MS))
        window = clock.wall_ms() // length_ms * length_ms
        found = self._accounts.get(cust.name)
        if found is None or found.window != window:
            found = Account(window=window, until=window + length_ms)
            self._accounts[cust.name] = found
        return found

    @mode.Service.task
    async def rounds(self) -> None:
        """Tell what was spent; more rarely where there are many instances."""
        while not self.should_stop:
            alive = len(self.shards.members.alive())
            await asyncio.sleep(max(ROUND_S, ROUND_S_PER_INSTANCE * alive))
            if self.texts.in_force is None:
                continue
            customers = self.texts.in_force.text.customers.values()
            limited = [cust for cust in customers if cust.budget > 0]
            active = [cust for cust in limited if not self._account(cust).is_idle]
            await asyncio.gather(*(self._tell(cust) for cust in active))

    async def _tell(self, cust: model.Customer) -> None:
        account = self._account(cust)
        own = account.own
        spend = records.Spend(
            customer=cust.name,
            window=account.window,
            until=account.until,
            run=self.shards.run,
            amount=own,
        )
        shard = self.shards.shard_of(f"budget:{cust.name}")
        tell = ops.SpendReport(shard=shard, spend=spend)
        try:
            reply = await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
        except UNAVAILABLE:
            return
        account.told = own
        account.total = reply.total

    async def flush(self, timeout_s: float) -> None:
        """Tell what is not told yet, for at most `timeout_s`."""
        until = time.monotonic() + timeout_s
        customers = self.texts.in_force.text.customers
        for name, account in list(self._accounts.items()):
            while account.own > account.told and time.monotonic() < until:
                if name not in customers:
                    break
                await self._tell(customers[name])
