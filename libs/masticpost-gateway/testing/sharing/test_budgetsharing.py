"""Budget of a version on trial, passed on between real instances."""

import asyncio

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.learning import budgetneeds, exposure, trial
from masticpost_gateway.sharing import budgetsharing
from masticpost_gateway.state import model, source
from masticpost_peers import hub
from support import gatewaykit as kit

ORDER = model.RollOut(service="desk", target="v2", duration_s=100.0, share=1.0)
BOUNDS = exposure.Bounds(share=0.1, slack=4.0)
COUNT = 8


async def add_nodes(dep, count=COUNT):
    for number in range(count):
        seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
        await dep.add_node(f"node-{number}", seeds=seeds, trial_bounds=BOUNDS)
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))


async def begin_trial(dep):
    await dep.store.put(source.Kind.ROLL_OUTS, "desk", ORDER)
    await kit.until(lambda: all("desk" in n.shared.trials.open for n in dep.nodes))


def sharing_of(node):
    (found,) = [
        row
        for row in node.sharing_services
        if isinstance(row, budgetsharing.BudgetSharing)
    ]
    return found


def row_of(node):
    return node.shared.trials.open["desk"]


def budgets(dep):
    return [row_of(node).budget for node in dep.nodes]


def left(dep):
    return sum(budget.left() for budget in budgets(dep))


def holders(dep):
    return [node for node in dep.nodes if row_of(node).budget.is_holder]


def others(dep):
    return [node for node in dep.nodes if not row_of(node).budget.is_holder]


async def pool(dep):
    """Wait until the holders have what the others had."""
    await kit.until(lambda: len(holders(dep)) == budgetneeds.holder_count(BOUNDS))
    await kit.until(
        lambda: all(row_of(n).budget.left() == pytest.approx(0) for n in others(dep))
    )
    # A deposit on its way is neither here nor there.
    await kit.until(lambda: left(dep) == pytest.approx(BOUNDS.slack, abs=1e-4))


async def test_any_instance_borrows_what_is_left_for_a_request():
    """Guards against parts of a budget too small for a single request (EXPOSURE)."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        assert max(budget.slack for budget in budgets(dep)) < 1.0
        await pool(dep)
        assert left(dep) == pytest.approx(BOUNDS.slack, abs=1e-4)
        borrower = others(dep)[0]
        await borrower.shared.trials.fund("desk", "session", "r")
        assert borrower.shared.trials.plan("desk", "session", "r").preferred == "v2"
        assert row_of(borrower).budget.left() == pytest.approx(1.0)
        assert left(dep) == pytest.approx(BOUNDS.slack, abs=1e-4)


async def test_request_that_finds_no_budget_is_counted():
    """Guards against logs that cannot tell a budget in small parts from no arrivals."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        await pool(dep)
        for budget in budgets(dep):
            budget.given += budget.left()
        borrower = others(dep)[0]
        await borrower.shared.trials.fund("desk", "session", "r")
        assert borrower.shared.trials.plan("desk", "session", "r").avoided == "v2"
        assert row_of(borrower).budget.lacked == 1


async def test_deposit_that_the_holder_does_not_know_comes_back():
    """Guards against budget lost where a holder hears of the order late."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        await pool(dep)
        giver = others(dep)[0]
        row = row_of(giver)
        row.budget.received += 2.0
        for node in dep.nodes:
            if node is not giver:
                del node.shared.trials._limited["desk"]
        sharing_of(giver)._next_gift_at.clear()
        await sharing_of(giver)._deposit(row)
        assert row.budget.left() == pytest.approx(2.0)


async def test_holder_that_leaves_passes_its_budget_on():
    """Guards against a part of the slack lost with each restart of a holder."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        await pool(dep)
        leaving = max(holders(dep), key=lambda node: row_of(node).budget.left())
        await leaving.stop()
        dep.nodes.remove(leaving)
        await kit.until(lambda: left(dep) == pytest.approx(BOUNDS.slack, abs=1e-4))


async def test_request_of_an_earlier_build_is_granted_or_refused():
    """Guards against a message that an instance of an earlier build cannot send."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 2)
        await begin_trial(dep)
        holder = dep.nodes[0]
        ask = budgetsharing.BudgetRequest(service="desk", target="v2", wanted=1.0)
        assert ask.purpose is budgetneeds.Purpose.BEGIN
        granted = await sharing_of(holder)._on_request(None, ask)
        assert granted.granted == 1.0
        unknown = attrs.evolve(ask, target="v3")
        assert (await sharing_of(holder)._on_request(None, unknown)).granted == 0.0


async def test_holders_that_do_not_answer_delay_one_request_only(monkeypatch):
    """Guards against requests that each wait for every dead holder."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        await pool(dep)
        borrower = others(dep)[0]
        asked = []

        peers = sharing_of(borrower).peers.hub
        send = peers.call

        async def call(address, body, timeout_s):
            if not isinstance(body, budgetsharing.BudgetRequest):
                return await send(address, body, timeout_s)
            asked.append(address)
            raise hub.PeerUnreachableError("no reply")

        monkeypatch.setattr(peers, "call", call)
        wanted = trial.Lack(
            trial=row_of(borrower), purpose=budgetneeds.Purpose.BEGIN, wanted=1.0
        )
        until = clock.now() + 0.8 * budgetsharing.SILENT_S
        while clock.now() < until:
            await sharing_of(borrower).borrow(wanted)
            await asyncio.sleep(0.02)
        assert len(asked) == len(set(asked)) == budgetneeds.holder_count(BOUNDS)


async def test_refusal_for_a_new_session_does_not_delay_a_running_one():
    """Guards against a running session that is not asked for (PINNED)."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep)
        await begin_trial(dep)
        await pool(dep)
        for node in holders(dep):
            now = clock.now()
            row_of(node).budget.lent_at.extend([now] * budgetneeds.MAX_RESERVE)
            row_of(node).wide_since = now + 100.0
        row = row_of(others(dep)[0])
        row.wide_since = clock.now() + 100.0
        borrow = sharing_of(others(dep)[0]).borrow
        begin, go_on = budgetneeds.Purpose.BEGIN, budgetneeds.Purpose.GO_ON
        await borrow(trial.Lack(trial=row, purpose=begin, wanted=1.0))
        assert row.budget.left() == pytest.approx(0.0)
        await borrow(trial.Lack(trial=row, purpose=go_on, wanted=1.0))
        assert row.budget.left() == pytest.approx(1.0)
