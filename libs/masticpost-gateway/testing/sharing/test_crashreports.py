"""Crashes under requests are pooled, whoever saw them and whoever watches."""

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import crashes
from support import gatewaykit as kit


async def begin(dep, count):
    await dep.configure()
    for number in range(count):
        seeds = [made.cfg.mesh.address for made in dep.nodes[:1]]
        await dep.add_node(f"node-{number}", seeds=seeds)
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))
    await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in dep.nodes))
    return [made.shared.crashes for made in dep.nodes]


def see(known, fingerprint, *runs):
    for run in runs:
        crash = crashes.Crash(run=run, at=clock.now(), had_begun=False)
        known.record_local_crash(fingerprint, crash)


def is_known_to_all(pools, fingerprint):
    return all(fingerprint in known.quarantined(clock.now()) for known in pools)


async def test_crashes_seen_by_different_instances_are_added_up():
    async with kit.Deployment() as dep:
        pools = await begin(dep, 5)
        for number, run in enumerate("abc"):
            see(pools[number + 1], "deadly", run)
        await kit.until(lambda: is_known_to_all(pools, "deadly"))


async def test_answer_elsewhere_clears_an_accused_request():
    """Identical requests without a body are answered by the hundred."""
    async with kit.Deployment() as dep:
        pools = await begin(dep, 5)
        pools[4].record_local_answer("lookup", clock.now())
        for number, run in enumerate("ab"):
            see(pools[number], "lookup", run)
        await kit.until(lambda: not any(p.crash_count("lookup") for p in pools[:3]))
        see(pools[0], "lookup", "c")
        see(pools[1], "deadly", *"xyz")
        await kit.until(lambda: is_known_to_all(pools, "deadly"))
        assert not any("lookup" in p.quarantined(clock.now()) for p in pools)


async def test_watchers_that_came_later_are_told_what_was_seen_before():
    async with kit.Deployment() as dep:
        pools = await begin(dep, 6)
        names = {row.name for row in dep.nodes[0].relay.watchers}
        first = [made for made in dep.nodes if made.cfg.name in names]
        others = [made for made in dep.nodes if made.cfg.name not in names]
        see(others[0].shared.crashes, "deadly", "a", "b")
        await kit.until(
            lambda: all(n.shared.crashes.crash_count("deadly") for n in first)
        )
        for made in first:
            dep.nodes.remove(made)
            await made.stop()
        await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in others))
        see(others[1].shared.crashes, "deadly", "c")
        pools = [made.shared.crashes for made in others]
        await kit.until(lambda: is_known_to_all(pools, "deadly"))


@pytest.mark.parametrize("is_over", [True, False])
async def test_store_holds_the_quarantined_requests_and_no_others(is_over):
    async with kit.Deployment() as dep:
        (known, *_) = await begin(dep, 3)
        see(known, "deadly", *"abc")
        await kit.until(lambda: set(dep.store.quarantine_entries) == {"deadly"})
        if is_over:
            for made in dep.nodes:
                made.shared.crashes.record_local_answer("deadly", clock.now())
            await kit.until(lambda: not dep.store.quarantine_entries)
