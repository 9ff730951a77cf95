"""An instance without retries borrows them from others for requests that have not run.

No network: the messages go from one instance's handler to the other's caller.
"""

import asyncio

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.reporting import requestmetrics
from masticpost_gateway.routing import retrybudget
from masticpost_gateway.sharing import retrylending
from masticpost_peers import hub, probes
from support import gatewaykit as kit

BOUNDS = retrybudget.Bounds(ratio=0.0, slack=80.0, window_s=10.0)


class Peers:
    """Stands for mesh and hub of one instance."""

    def __init__(self, name, net):
        self.name, self.net, self.hub = name, net, self
        net[name] = self

    def handle(self, kind, handler):
        self.handler = handler

    def others(self):
        return [
            probes.Member(name=n, address=n, domain="a", incarnation=1, started=1)
            for n in self.net
            if n != self.name
        ]

    async def call(self, address, body, timeout_s):
        self.asked.append(address)
        await asyncio.sleep(0)
        if self.net[address].is_silent:
            raise hub.PeerUnreachableError("no reply")
        return await self.net[address].handler(None, body)


@attrs.define
class Instance:
    peers: Peers
    budget: retrybudget.RetryBudget
    lending: retrylending.RetryLending

    def use_up(self):
        while self.budget.may_retry("s", clock.now()):
            self.budget.record_retry("s", clock.now())

    async def retries(self):
        """Return whether a request that has not run gets a retry."""
        await self.budget.fund("s", clock.now(), 1.0)
        if not self.budget.may_retry("s", clock.now(), may_borrow=True):
            return False
        self.budget.record_retry("s", clock.now(), may_borrow=True)
        return True


def make(count):
    net, rows = {}, []
    for number in range(count):
        peers = Peers(f"i{number}", net)
        peers.asked, peers.is_silent = [], False
        budget = retrybudget.RetryBudget(bounds=BOUNDS, members=lambda: count)
        lending = retrylending.RetryLending(
            peers=peers,
            budget=budget,
            metrics=requestmetrics.RequestMetrics(domain="a"),
        )
        rows.append(Instance(peers, budget, lending))
    return rows


async def test_requests_without_budget_borrow_together_from_others():
    """Guards against rejections while others have budget, and one message each."""
    rows = make(8)
    rows[0].use_up()
    results = await asyncio.gather(*(rows[0].retries() for _ in range(5)))
    assert all(results)
    assert 2 <= len(rows[0].peers.asked) <= 4
    rendered = rows[0].lending.metrics.render().decode()
    assert 'retry_loans_total{result="borrowed",service="s"} 5.0' in rendered


async def test_no_message_is_sent_while_there_is_budget():
    """Guards against traffic where nobody lacks budget."""
    rows = make(8)
    assert await rows[0].retries()
    assert not rows[0].peers.asked


@pytest.mark.parametrize("is_silent", [True, False])
async def test_second_instance_is_asked_if_the_first_does_not_lend(is_silent):
    """Guards against a rejection as one instance is frozen or has nothing to lend."""
    rows = make(3)
    rows[0].use_up()
    rows[1].peers.is_silent = is_silent
    rows[1].use_up()
    for _ in range(4):
        assert await rows[0].retries()


async def test_nobody_is_asked_again_at_once_after_two_refusals():
    """Guards against a message for each rejected request when all lack budget."""
    rows = make(8)
    for row in rows:
        row.use_up()
    assert not any([await rows[0].retries() for _ in range(20)])
    assert len(rows[0].peers.asked) == retrylending.MAX_ASKED


async def test_silent_instances_are_not_asked_again_for_a_while():
    """Guards against a partitioned instance that waits with each of its requests."""
    rows = make(8)
    rows[0].use_up()
    for row in rows[1:]:
        row.peers.is_silent = True
    assert not any([await rows[0].retries() for _ in range(20)])
    assert len(rows[0].peers.asked) == 7


@pytest.mark.parametrize("path", ["/lookup/", "/book/", "/chat/"])
async def test_gateway_borrows_for_requests_that_full_upstreams_did_not_run(path):
    """Guards against 503 by an instance without budget beside one that has some."""
    async with kit.Deployment() as dep:
        for number in range(4):
            await dep.add_worker(f"full-{number}", kit.not_run(503))
        script = kit.streams(3) if path == "/chat/" else kit.answers()
        await dep.add_worker("live", script)
        await dep.configure()
        for name in ("one", "two"):
            seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
            await dep.add_node(name, seeds=seeds, retries=BOUNDS)
        await kit.until(lambda: all(len(n.members()) == 2 for n in dep.nodes))
        borrower, lender = (node.shared.retries for node in dep.nodes)
        lender.lends_from = 0.0
        while borrower.may_retry("desk", clock.now()):
            borrower.record_retry("desk", clock.now())
        for _ in range(3):
            assert (await dep.call(path, method="POST", body=b"x")).status == 200
        assert lender._counts_of("desk", clock.now()).lent
