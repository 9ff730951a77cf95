"""Orders: engines serve what the text says, whoever gave orders before."""

import asyncio
import signal

import attrs
from masticpost_bench import deployment, layout, procs

NEW = {"model": "large", "share": 0, "input_price": 3.0, "output_price": 12.0}


def orders_plan():
    plan = layout.small()
    checking = attrs.evolve(plan.engines[0], extra={"checks_fencing": True})
    return attrs.evolve(plan, engines=(checking, *plan.engines[1:]))


def with_version(plan, *names):
    serves = [*layout.QUALITIES, *names]
    return {
        **{f"versions.{name}": NEW for name in names},
        **{f"upstreams.{e.name}": {"serves": serves} for e in plan.engines},
    }


async def loaded(dep, engine):
    async with dep.http.get(f"{dep.standins[engine].url}/v1/models") as resp:
        return {row["id"] for row in (await resp.json())["data"]}


async def wait_loaded(dep, wanted, timeout_s=30.0):
    async def all_have():
        sets = [await loaded(dep, e.name) for e in dep.plan.engines]
        return all(found == wanted for found in sets)

    await procs.wait_for(all_have, f"{wanted} on every engine", timeout_s)


async def giver(dep):
    """Return the instance that gives orders."""
    for rows in dep.logs().items():
        for row in rows[1]:
            if row["message"] == "order sent":
                return row["instance"]
    raise AssertionError("no order was given")


async def test_new_version_is_loaded_within_the_weight_stores_rate():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        names = ("large-2", "large-3", "large-4")
        await dep.apply(with_version(dep.plan, *names))
        await wait_loaded(dep, {*layout.QUALITIES, *names})
        assert (await dep.counts("weights"))["throttled"] == 0
        await dep.apply()
        await wait_loaded(dep, set(layout.QUALITIES))


async def test_version_that_is_not_loaded_yet_is_tried_elsewhere():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        await dep.set_faults("weights", outage=True)
        serving = {"serves": [*layout.QUALITIES, "small-9"]}
        await dep.apply(
            {
                "versions.small-9": {**NEW, "model": "small", "share": 100},
                "versions.small-1": {"share": 0},
                "upstreams.engine-0": serving,
            }
        )
        await dep.wait_generation(dep.generation)
        reply = await dep.chat("x [len=2]")
        assert (reply.status, reply.ran) == (503, "no")


async def test_paused_giver_cannot_undo_its_successors_orders():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        await dep.apply(with_version(dep.plan, "large-2"))
        await wait_loaded(dep, {*layout.QUALITIES, "large-2"})
        old = dep.daemons[await giver(dep)].proc
        old.send_signal(signal.SIGSTOP)
        await dep.apply(with_version(dep.plan, "large-2", "large-3"))
        wanted = {*layout.QUALITIES, "large-2", "large-3"}
        await wait_loaded(dep, wanted)
        old.send_signal(signal.SIGCONT)
        await asyncio.sleep(3.0)
        await wait_loaded(dep, wanted)
        epochs = {}
        for rows in dep.logs().values():
            for row in rows:
                if row["message"] == "order sent":
                    epochs.setdefault(row["instance"], set()).add(row["epoch"])
        assert len(epochs) >= 2


async def test_engine_refuses_an_order_with_an_old_fencing_number():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        await dep.apply(with_version(dep.plan, "large-2"))
        await wait_loaded(dep, {*layout.QUALITIES, "large-2"})
        url = f"{dep.standins['engine-0'].url}/v1/unload_lora_adapter"
        headers = {"X-Fencing-Token": "-1"}
        body = {"lora_name": "large-2"}
        async with dep.http.post(url, json=body, headers=headers) as resp:
            assert resp.status == 409
        assert "large-2" in await loaded(dep, "engine-0")
