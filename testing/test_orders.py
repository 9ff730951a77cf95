"""Orders: engines load the versions of the text, across changes of dispatcher."""

import asyncio
import signal

import attrs
from masticpost_bench import deployment, layout, procs

NEW = {"model": "large", "share": 0, "input_price": 3.0, "output_price": 12.0}


def orders_plan():
    plan = layout.small()
    checking = attrs.evolve(plan.engines[0], extra={"checks_fencing": True})
    return attrs.evolve(plan, engines=(checking, *plan.engines[1:]))


def add_versions(plan, *names):
    serves = [*layout.QUALITIES, *names]
    return {
        **{f"versions.{name}": NEW for name in names},
        **{f"upstreams.{e.name}": {"serves": serves} for e in plan.engines},
    }


async def loaded_versions(dep, engine):
    async with dep.http.get(f"{dep.standins[engine].url}/v1/models") as resp:
        return {row["id"] for row in (await resp.json())["data"]}


async def wait_loaded(dep, versions, timeout_s=30.0):
    async def are_loaded():
        sets = [await loaded_versions(dep, e.name) for e in dep.plan.engines]
        return all(found == versions for found in sets)

    await procs.wait_for(are_loaded, f"{versions} on every engine", timeout_s)


async def order_dispatcher(dep):
    """Return the name of the first instance that logged an order."""
    for rows in dep.logs().items():
        for row in rows[1]:
            if row["message"] == "order sent":
                return row["instance"]
    raise AssertionError("no order was sent")


async def test_new_version_is_loaded_within_the_weight_stores_rate():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        names = ("large-2", "large-3", "large-4")
        await dep.apply(add_versions(dep.plan, *names))
        await wait_loaded(dep, {*layout.QUALITIES, *names})
        assert (await dep.counts("weights"))["throttled"] == 0
        await dep.apply()
        await wait_loaded(dep, set(layout.QUALITIES))


async def test_request_for_a_version_that_is_not_loaded_yet_is_refused():
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


async def test_paused_dispatcher_cannot_undo_its_successors_orders():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        await dep.apply(add_versions(dep.plan, "large-2"))
        await wait_loaded(dep, {*layout.QUALITIES, "large-2"})
        dispatcher = dep.daemons[await order_dispatcher(dep)].proc
        dispatcher.send_signal(signal.SIGSTOP)
        await dep.apply(add_versions(dep.plan, "large-2", "large-3"))
        versions = {*layout.QUALITIES, "large-2", "large-3"}
        await wait_loaded(dep, versions)
        dispatcher.send_signal(signal.SIGCONT)
        await asyncio.sleep(3.0)
        await wait_loaded(dep, versions)
        epochs = {}
        for rows in dep.logs().values():
            for row in rows:
                if row["message"] == "order sent":
                    epochs.setdefault(row["instance"], set()).add(row["epoch"])
        assert len(epochs) >= 2


async def test_engine_refuses_an_order_with_an_old_fencing_token():
    async with deployment.Deployment(plan=orders_plan()) as dep:
        await dep.apply(add_versions(dep.plan, "large-2"))
        await wait_loaded(dep, {*layout.QUALITIES, "large-2"})
        url = f"{dep.standins['engine-0'].url}/v1/unload_lora_adapter"
        headers = {"X-Fencing-Token": "-1"}
        body = {"lora_name": "large-2"}
        async with dep.http.post(url, json=body, headers=headers) as resp:
            assert resp.status == 409
        assert "large-2" in await loaded_versions(dep, "engine-0")
