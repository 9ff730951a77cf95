"""Tests that crash reports of all instances are pooled, whichever ones are watchers."""

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import causes
from support import gatewaykit as kit


async def start_nodes(dep, count):
    await dep.configure()
    for number in range(count):
        seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
        await dep.add_node(f"node-{number}", seeds=seeds)
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))
    await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in dep.nodes))
    return [node.shared.crashes for node in dep.nodes]


def record_crashes(tracker, fingerprint, *runs, parts=()):
    for run in runs:
        crash = causes.Crash(run=run, at=clock.now(), request=fingerprint, parts=parts)
        tracker.record_local_crash(crash)


def is_quarantined_by_all(trackers, fingerprint):
    return all(fingerprint in t.quarantined(clock.now()) for t in trackers)


async def test_crashes_reported_by_different_instances_are_added_up():
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 5)
        for number, run in enumerate("abc"):
            record_crashes(trackers[number + 1], "deadly", run)
        await kit.until(lambda: is_quarantined_by_all(trackers, "deadly"))


async def test_parts_reported_by_different_instances_are_added_up():
    """Guards against counting the parts of prompts at one instance only."""
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 5)
        for number, run in enumerate("abc"):
            record_crashes(trackers[number + 1], run, run, parts=("part-1",))
        await kit.until(lambda: is_quarantined_by_all(trackers, "part-1"))
        assert len(trackers[0].quarantined(clock.now())) == 1


async def test_attempt_given_up_just_before_a_crash_is_reported():
    """Guards against a deadly part whose answers are dropped for a larger model."""
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 5)
        names = {row.name for row in dep.nodes[0].relay.watchers}
        others = [node for node in dep.nodes if node.cfg.name not in names]
        left = causes.Crash(
            run="a", at=clock.now(), request="dropped", parts=("part-1",)
        )
        others[0].shared.crashes.note_left(left)
        record_crashes(others[1].shared.crashes, "bystander", "a")
        watchers = [node for node in dep.nodes if node.cfg.name in names]
        await kit.until(
            lambda: all(n.shared.crashes.crash_count("part-1") for n in watchers)
        )
        assert not any(t.crash_count("part-1") > 1 for t in trackers)


async def test_answer_that_frees_a_part_is_told_to_all_and_to_the_store():
    """Guards against a part that was blamed wrongly and stays refused elsewhere."""
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 5)
        for run in "abc":
            record_crashes(trackers[0], run, run, parts=("part-1",))
        await kit.until(lambda: is_quarantined_by_all(trackers, "part-1"))
        await kit.until(lambda: set(dep.store.quarantine_entries) == {"part-1"})
        trackers[4].record_local_answer("part-1", clock.now())
        await kit.until(lambda: not any(t.quarantined(clock.now()) for t in trackers))
        await kit.until(lambda: not dep.store.quarantine_entries)


async def test_answer_at_another_instance_clears_an_accused_request():
    """Guards against the quarantine of a harmless request.

    Identical requests without a body are answered by the hundreds.
    """
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 5)
        trackers[4].record_local_answer("lookup", clock.now())
        for number, run in enumerate("ab"):
            record_crashes(trackers[number], "lookup", run)
        await kit.until(lambda: not any(t.crash_count("lookup") for t in trackers[:3]))
        record_crashes(trackers[0], "lookup", "c")
        record_crashes(trackers[1], "deadly", *"xyz")
        await kit.until(lambda: is_quarantined_by_all(trackers, "deadly"))
        assert not any("lookup" in t.quarantined(clock.now()) for t in trackers)


async def test_new_watchers_get_the_earlier_crash_reports():
    async with kit.Deployment() as dep:
        trackers = await start_nodes(dep, 6)
        names = {row.name for row in dep.nodes[0].relay.watchers}
        watchers = [node for node in dep.nodes if node.cfg.name in names]
        others = [node for node in dep.nodes if node.cfg.name not in names]
        record_crashes(others[0].shared.crashes, "deadly", "a", "b")
        await kit.until(
            lambda: all(n.shared.crashes.crash_count("deadly") for n in watchers)
        )
        for node in watchers:
            dep.nodes.remove(node)
            await node.stop()
        await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in others))
        record_crashes(others[1].shared.crashes, "deadly", "c")
        trackers = [node.shared.crashes for node in others]
        await kit.until(lambda: is_quarantined_by_all(trackers, "deadly"))


@pytest.mark.parametrize("is_cleared", [True, False])
async def test_store_has_exactly_the_quarantined_requests(is_cleared):
    async with kit.Deployment() as dep:
        (tracker, *_) = await start_nodes(dep, 3)
        record_crashes(tracker, "deadly", *"abc")
        await kit.until(lambda: set(dep.store.quarantine_entries) == {"deadly"})
        if is_cleared:
            for node in dep.nodes:
                node.shared.crashes.record_local_answer("deadly", clock.now())
            await kit.until(lambda: not dep.store.quarantine_entries)
