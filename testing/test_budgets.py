"""Customers' budgets are shared by all instances and survive their replacement."""

import asyncio
import json

import attrs
import pytest
from masticpost_bench import deployment, layout, procs

BOOKING_PRICE = 0.01
BUDGET = 10 * BOOKING_PRICE
LONG_WINDOW_S = 86_400.0


def budget_plan(budget_s=LONG_WINDOW_S):
    plan = layout.small()
    limited = attrs.evolve(plan.customers[0], budget=BUDGET, budget_s=budget_s)
    return attrs.evolve(plan, customers=(limited, plan.customers[1]))


async def spend_all(dep, limit=60):
    """Book until a booking is refused; return how many ran."""
    for number in range(limit):
        reply = await dep.book(f"spend-{number}")
        if reply.code == "budget_spent":
            return number
        assert reply.status == 201
        await asyncio.sleep(0.1)
    raise AssertionError(f"{limit} bookings were not refused")


async def all_refuse(dep):
    replies = [await dep.chat("x [len=2]", via=name) for name in dep.daemons]
    return all(reply.code == "budget_spent" for reply in replies)


async def test_budget_is_shared_by_all_instances_and_survives_them():
    """A repeat of a call that ran before the budget was spent still gets its answer."""
    async with deployment.Deployment(plan=budget_plan()) as dep:
        assert await spend_all(dep) >= 10
        await procs.wait_for(lambda: all_refuse(dep), "every instance to refuse")
        refused = await dep.book("more")
        assert (refused.status, refused.ran) == (429, "no")
        assert 0 < int(refused.headers["Retry-After"]) <= LONG_WINDOW_S
        assert (await dep.book("other", customer=1)).status == 201
        for name in dep.daemons:
            assert (await dep.book("spend-0", via=name)).status == 201
        assert (await dep.booking_runs())["spend-0"] == 1
        for index, name in enumerate(list(dep.daemons)):
            daemon = dep.daemons.pop(name)
            daemon.proc.kill()
            dep.start_daemon(f"entry-1{index}", daemon.domain)
            await dep.publish_instance_list()
            await dep.wait_ready()
        await procs.wait_for(lambda: all_refuse(dep), "the new instances to refuse")
        assert (await dep.booking_runs()).get("more", 0) == 0


async def test_budget_is_restored_with_the_next_window():
    async with deployment.Deployment(plan=budget_plan(budget_s=4.0)) as dep:
        await spend_all(dep)

        async def is_open_again():
            return (await dep.book("again")).status == 201

        await procs.wait_for(is_open_again, "the next window", 30.0)


async def test_budget_is_enforced_while_the_object_api_is_out():
    async with deployment.Deployment(plan=budget_plan()) as dep:
        await spend_all(dep)
        await procs.wait_for(lambda: all_refuse(dep), "every instance to refuse")
        await dep.set_faults("store", outage="abort")
        replies = [await dep.chat("x [len=2]", via=name) for name in dep.daemons]
        assert {reply.code for reply in replies} == {"budget_spent"}


@pytest.mark.parametrize("as_json", [True, False])
async def test_budgets_are_shown(as_json):
    async with deployment.Deployment(plan=budget_plan()) as dep:
        await dep.book("one")
        proc_args = ["budgets", "--json"] if as_json else ["budgets"]

        async def shown():
            out = await run_tool(dep, *proc_args)
            if not as_json:
                return "plant-0" in out and "0.010000" in out
            rows = json.loads(out)
            return bool(rows) and rows[0]["spent"] == pytest.approx(BOOKING_PRICE)

        await procs.wait_for(shown, "the spending to be shown")


async def run_tool(dep, *args):
    proc = await asyncio.create_subprocess_exec(
        procs.program_path("masticpost"),
        *args,
        f"--store-url={dep.standins['store'].url}",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await proc.communicate()
    return out.decode()
