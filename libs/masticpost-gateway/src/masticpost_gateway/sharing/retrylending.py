"""Retries lent between the instances for requests that no upstream has run.

An instance whose share of a service's retry budget is used up asks one other instance
for a few retries, then a second one. `retrybudget` accounts for both sides.
"""

import asyncio
import collections
import random

import attrs
import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import hub, messages, probes

from masticpost_gateway.reporting import requestmetrics
from masticpost_gateway.routing import retrybudget
from masticpost_gateway.sharing import mesh

# Time that a request waits for one instance's answer.
ASK_TIMEOUT_S = 0.04
# Instances asked one after another.
MAX_ASKED = 2
# Time after two refusals in which nobody is asked again.
REFUSED_S = 0.25
# Time in which an instance that did not answer is not asked again.
SILENT_S = 1.0
LOG_PERIOD_S = 1.0


@messages.message("gateway-retry-ask")
@attrs.frozen(kw_only=True)
class LoanRequest:
    """Request for a number of retries of a service."""

    service: str
    wanted: int


@messages.message("gateway-retry-loan")
@attrs.frozen(kw_only=True)
class LoanGrant:
    """Retries that the sender has counted as used."""

    granted: int


class RetryLending(mode.Service):
    """Borrows retries from other instances, and lends them.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    budget : retrybudget.RetryBudget
        This instance's share of the budget.
    metrics : requestmetrics.RequestMetrics
        Counts the retries borrowed, lent and refused.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        budget: retrybudget.RetryBudget,
        metrics: requestmetrics.RequestMetrics,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.budget = budget
        self.metrics = metrics
        # Requests that wait for a loan, and the task that asks for one, by service.
        self._waiting: collections.Counter[str] = collections.Counter()
        self._asks: dict[str, asyncio.Task] = {}
        self._next_ask_at: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}
        self._unlogged: collections.Counter[tuple[str, str]] = collections.Counter()
        self._next_log_at = 0.0
        budget.borrow = self.borrow
        peers.hub.handle(LoanRequest, self._on_request)

    async def on_stop(self) -> None:
        """Cancel the tasks that ask for loans."""
        for task in list(self._asks.values()):
            task.cancel()

    async def borrow(self, service: str, limit_s: float) -> None:
        """Borrow a retry of a service, and wait for it for `limit_s` at most.

        Requests that come while this instance asks wait for the answer. It then asks
        once more for those that are still without a retry.
        """
        ends_at = clock.now() + limit_s
        self._waiting[service] += 1
        try:
            for _ in range(2):
                now = clock.now()
                if now < self._next_ask_at.get(service, 0.0) or now >= ends_at:
                    return
                ask = self._asks.get(service) or self._begin_ask(service)
                await asyncio.wait({ask}, timeout=ends_at - now)
                if self.budget.may_retry(service, clock.now(), may_borrow=True):
                    return
        finally:
            self._waiting[service] -= 1

    def _begin_ask(self, service: str) -> asyncio.Task:
        task = asyncio.create_task(self._ask(service))
        self._asks[service] = task
        task.add_done_callback(lambda _: self._asks.pop(service, None))
        return task

    async def _ask(self, service: str) -> None:
        """Ask one other instance after another until one lends."""
        wanted = min(retrybudget.MAX_LOAN, max(1, self._waiting[service]))
        refused = 0
        chosen = self._choose()
        for member in chosen:
            asked_at = clock.now()
            body = LoanRequest(service=service, wanted=wanted)
            try:
                grant = await self.peers.hub.call(member.address, body, ASK_TIMEOUT_S)
            except hub.PeerUnreachableError:
                self._silent_until[member.name] = clock.now() + SILENT_S
                continue
            granted = min(grant.granted, wanted)
            if granted > 0:
                self.budget.add_borrowed(
                    service, granted, asked_at=asked_at, now=clock.now()
                )
                self._record(service, "borrowed", granted)
                return
            refused += 1
        self._record(service, "refused", wanted)
        if refused == len(chosen):
            self._next_ask_at[service] = clock.now() + REFUSED_S

    def _choose(self) -> list[probes.Member]:
        """Return the instances to ask: `MAX_ASKED` at random of those that answer."""
        now = clock.now()
        silent = {name for name, until in self._silent_until.items() if now < until}
        self._silent_until = {name: self._silent_until[name] for name in silent}
        able = [m for m in self.peers.others() if m.started and m.name not in silent]
        return random.sample(able, min(MAX_ASKED, len(able)))

    async def _on_request(
        self, envelope: messages.Envelope, body: LoanRequest
    ) -> LoanGrant:
        granted = self.budget.lend(body.service, body.wanted, clock.now())
        if granted:
            self._record(body.service, "lent", granted)
        return LoanGrant(granted=granted)

    def _record(self, service: str, result: str, count: int) -> None:
        """Count retries, and log their numbers every `LOG_PERIOD_S` at most."""
        self.metrics.record_loan(service, result, count)
        self._unlogged[service, result] += count
        now = clock.now()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_PERIOD_S
        for (name, kind), number in sorted(self._unlogged.items()):
            logger.bind(
                event="retry-loan", service=name, result=kind, retries=number
            ).info("retries of the shared budget were {}", kind)
        self._unlogged.clear()
