"""Limits each customer's spending per time window, over all instances.

Each instance adds up what it billed and reports the cumulative sum to the owner of the
customer's budget. The owner commits it and replies with the sum over all instances.
Between two reports an instance does not know what others bill, so a budget may be
exceeded by what all of them bill in that time.
"""

import asyncio
import math
import time

import attrs
import mode
from masticpost_common import clock, errors
from masticpost_confsync import synchronizer
from masticpost_shards import directory, ops, records
from masticpost_text import model

REPORT_INTERVAL_S = 0.5
REPORT_INTERVAL_PER_INSTANCE_S = 0.05
IDLE_AFTER_S = 5.0
REPORT_TIMEOUT_S = 0.5
MS = 1000.0
UNAVAILABLE = (directory.ShardUnavailableError, directory.StoreUnavailableError)


@attrs.define(kw_only=True)
class Account:
    """Spending of a customer in one window; amounts in the currency of the text.

    Attributes
    ----------
    window, until : int
        Start and end of the window, in wall-clock milliseconds.
    local : float
        Amount spent through this instance.
    reported : float
        Part of `local` that the owner has acknowledged.
    total : float
        Amount spent through all instances, from the owner's last reply.
    used_at : float
        Monotonic time of the customer's last request here, in seconds.
    """

    window: int
    until: int
    local: float = 0.0
    reported: float = 0.0
    total: float = 0.0
    used_at: float = -math.inf

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to report, and no recent request needs the total."""
        return (
            self.local <= self.reported
            and time.monotonic() - self.used_at > IDLE_AFTER_S
        )

    @property
    def spent(self) -> float:
        """Amount spent through all instances, as far as this instance knows."""
        return self.total + self.local - self.reported


class Budgets(mode.Service):
    """Adds up spending and refuses customers whose budget is spent.

    Parameters
    ----------
    shards : directory.Directory
        Routes operations to the owners of budgets.
    texts : synchronizer.TextSynchronizer
        Source of the text in force.
    """

    def __init__(
        self, *, shards: directory.Directory, texts: synchronizer.TextSynchronizer
    ) -> None:
        super().__init__()
        self.shards = shards
        self.texts = texts
        self._accounts: dict[str, Account] = {}

    def add(self, customer: str, cost: float) -> None:
        """Add an amount that was billed to a customer."""
        cust = self.texts.in_force.text.customers.get(customer)
        if cust is not None and cust.budget > 0 and cost > 0:
            self._account(cust).local += cost

    def check(self, cust: model.Customer) -> None:
        """Raise `errors.RefusalError` if the customer's budget is spent."""
        refusal = self.refusal(cust)
        if refusal is not None:
            raise refusal

    def refusal(self, cust: model.Customer) -> errors.RefusalError | None:
        """Return the refusal of new requests, None while budget is left."""
        if cust.budget <= 0:
            return None
        account = self._account(cust)
        account.used_at = time.monotonic()
        if account.spent < cust.budget:
            return None
        return errors.refuse(
            429,
            "budget_spent",
            "The customer's budget for this window is spent. The request was not run.",
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
    async def report_loop(self) -> None:
        """Report spending periodically, less often if there are many instances."""
        while not self.should_stop:
            alive = len(self.shards.members.alive())
            await asyncio.sleep(
                max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_INSTANCE_S * alive)
            )
            if self.texts.in_force is None:
                continue
            customers = self.texts.in_force.text.customers.values()
            limited = [cust for cust in customers if cust.budget > 0]
            active = [cust for cust in limited if not self._account(cust).is_idle]
            await asyncio.gather(*(self._report(cust) for cust in active))

    async def _report(self, cust: model.Customer) -> None:
        account = self._account(cust)
        local = account.local
        spend = records.Spend(
            customer=cust.name,
            window=account.window,
            until=account.until,
            run=self.shards.run,
            amount=local,
        )
        shard = self.shards.shard_of(f"budget:{cust.name}")
        report = ops.SpendReport(shard=shard, spend=spend)
        try:
            reply = await self.shards.call(report, timeout_s=REPORT_TIMEOUT_S)
        except UNAVAILABLE:
            return
        account.reported = local
        account.total = reply.total

    async def flush(self, timeout_s: float) -> None:
        """Report what is not reported yet, for at most `timeout_s` seconds."""
        until = time.monotonic() + timeout_s
        customers = self.texts.in_force.text.customers
        for name, account in list(self._accounts.items()):
            while account.local > account.reported and time.monotonic() < until:
                if name not in customers:
                    break
                await self._report(customers[name])
