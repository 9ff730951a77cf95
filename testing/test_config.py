"""The operators' text takes effect everywhere within seconds and never reverts."""

import asyncio
import signal
import time

import pytest
from masticpost_bench import deployment, layout, procs
from masticpost_confsync import synchronizer
from support import oracle


def generation_violations(dep):
    evidence = oracle.Evidence(sent=[], runs={}, states=[], engines={}, logs=dep.logs())
    return oracle.generations_increase(evidence)


async def test_edit_is_in_force_everywhere_in_time_and_conflicts_are_rejected():
    async with deployment.Deployment(plan=layout.small(instances=5)) as dep:
        for price in (1.0, 2.0, 3.0):
            generation = await dep.apply({"versions.small-1": {"input_price": price}})
            await dep.wait_generation(generation)
        assert not await dep.try_apply(generation - 1, 9.0)
        assert not generation_violations(dep)


async def test_new_instance_starts_from_its_peers_while_the_store_is_out():
    """Upstreams are warm first: no permits for cold ones are issued without a store."""
    plan = layout.small(instances=4)
    async with deployment.Deployment(plan=plan) as dep:

        async def all_warm():
            await asyncio.gather(*(dep.chat(f"{i} [len=2]") for i in range(8)))
            rows = [r for n in dep.daemons for r in (await dep.status(n))["upstreams"]]
            engines = {spec.name for spec in plan.engines}
            return all(row["is_warm"] for row in rows if row["name"] in engines)

        await procs.wait_for(all_warm, "engines warm")
        await dep.set_faults("store", outage="abort")
        dep.start_daemon("entry-9", "south")
        await dep.publish_instance_list()
        await dep.wait_ready("entry-9")
        assert (await dep.chat("x [len=2]", via="entry-9")).status == 200


async def test_new_instance_without_peers_and_store_refuses_work():
    plan = layout.small(instances=1)
    async with deployment.Deployment(plan=plan) as dep:
        await dep.set_faults("store", outage="abort")
        dep.daemons["entry-0"].proc.kill()
        dep.start_daemon("entry-9", "south")
        daemon = dep.daemons["entry-9"]

        async def listens():
            return (await dep.call("GET", "/livez", via="entry-9")).status == 200

        await procs.wait_for(listens, "entry-9 listening")
        reply = await dep.chat("x", via="entry-9")
        assert (reply.status, reply.code, reply.ran) == (503, "not_current", "no")
        assert daemon.proc.is_running()


async def test_paused_instance_applies_the_newest_text_when_resumed():
    async with deployment.Deployment(plan=layout.small()) as dep:
        paused = dep.daemons["entry-0"].proc
        paused.send_signal(signal.SIGSTOP)
        generation = await dep.apply({"domains.south": {"out": True}})
        await asyncio.sleep(1.0)
        paused.send_signal(signal.SIGCONT)
        await dep.wait_generation(generation)
        assert not generation_violations(dep)


async def test_stale_reads_of_the_store_never_revert_the_text():
    async with deployment.Deployment(plan=layout.small()) as dep:
        await dep.set_faults("store", stale_s=2.0)
        first = await dep.try_apply(dep.generation, 5.0)
        second = await dep.try_apply(dep.generation, 6.0)
        assert not (first and second)
        await asyncio.sleep(3.0)
        await dep.set_faults("store", stale_s=0.0)
        await dep.refresh_generation()
        await dep.wait_generation(dep.generation)
        assert not generation_violations(dep)


class FakeMembers:
    """Ten members, `reached` of them recently; the others may have been removed."""

    def __init__(self, reached):
        self.reached_count = reached

    def listen(self, listener):
        pass

    def recently_reached(self, within_s):
        return {f"m{i}" for i in range(self.reached_count)}


class FakePeers:
    name = "entry-0"

    def handle(self, kind, handler, is_urgent=False):
        pass


class FakeStore:
    def __init__(self, age_s):
        self.last_success = time.monotonic() - age_s


@pytest.mark.parametrize(
    ("store_age_s", "reached", "is_current"),
    [(1, 1, True), (60, 9, True), (60, 5, True), (60, 4, False)],
)
def test_minority_that_cannot_reach_the_store_is_not_current(
    store_age_s, reached, is_current
):
    texts = synchronizer.TextSynchronizer(
        store=FakeStore(store_age_s), peers=FakePeers(), members=FakeMembers(reached)
    )
    texts._members_at_contact = {f"m{i}" for i in range(10)}
    texts.in_force = object()
    texts.is_verified = True
    texts._last_store_contact = time.monotonic() - 60
    assert texts.is_current() is is_current


async def test_instance_rejects_a_text_with_an_unknown_policy():
    """The text comes from a tool that is newer than the instances."""
    async with deployment.Deployment(plan=layout.small(instances=2)) as dep:
        generation = await dep.apply({"services.setup": {"cascade": "bset"}})

        async def is_rejected():
            return (await dep.status("entry-0"))["rejected_generation"] == generation

        await procs.wait_for(is_rejected, "the rejection")
        assert (await dep.chat("x [len=2]", via="entry-0")).status == 200
