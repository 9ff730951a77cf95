"""Tests that all instances share one view of the load, with few messages."""

import asyncio

import attrs
import hypothesis
from hypothesis import strategies
from masticpost_bench import procs
from masticpost_common import clock, codec
from masticpost_gateway.sharing import loadreports, loads, mesh
from masticpost_peers import probes
from support import gatewaykit as kit


async def start_instances(count):
    ports = procs.free_ports(count)
    seed = f"127.0.0.1:{ports[0]}"
    trackers = []
    for number, port in enumerate(ports):
        cfg = mesh.MeshSettings(
            address=f"127.0.0.1:{port}", seeds=(seed,), secret=kit.SECRET
        )
        peers = mesh.Mesh(
            name=f"node-{number}",
            domain=f"d{number % 3}",
            cfg=cfg,
            store=kit.FakeStore(),
        )
        tracker = loads.Loads(peers=peers)
        await peers.start()
        await tracker.start()
        trackers.append(tracker)
    await kit.until(
        lambda: all(len(t.peers.members.alive()) == count for t in trackers)
    )
    return trackers


async def stop_instances(trackers):
    for tracker in trackers:
        await tracker.stop()
        await tracker.peers.stop()


async def check_all_see_the_same(trackers):
    for tracker in trackers:
        tracker.note_prefilled(tracker.begin("u1", 0.0))
    count = len(trackers)
    await kit.until(
        lambda: all(t.total("u1", clock.now()).streams == count for t in trackers)
    )
    trackers[-1].note_cached("u2", "prompt", 100)
    await kit.until(
        lambda: all(t.has_cached("u2", "prompt", clock.now()) for t in trackers)
    )


async def test_few_instances_report_to_each_other_directly():
    trackers = await start_instances(4)
    await check_all_see_the_same(trackers)
    await stop_instances(trackers)


async def test_many_instances_report_through_hubs(monkeypatch):
    monkeypatch.setattr(loads, "DIRECT_MEMBERS", 3)
    monkeypatch.setattr(loads, "MIN_HUBS", 2)
    trackers = await start_instances(9)
    await check_all_see_the_same(trackers)
    sent_before = sum(tracker.peers.hub.traffic.sent for tracker in trackers)
    await asyncio.sleep(1.0)
    sent = sum(tracker.peers.hub.traffic.sent for tracker in trackers) - sent_before
    assert sent < 9 * 9 / loads.HUB_PERIOD_S
    await stop_instances(trackers)


def test_least_recent_parts_are_evicted_when_the_cache_is_full():
    cache = loads.PromptCache()
    for number in range(10):
        cache.put(f"part-{number}", 100, float(number), capacity=450)
    assert list(cache.parts) == [f"part-{number}" for number in range(6, 10)]
    assert cache.tokens == 400
    cache.put("part-6", 100, 11.0, capacity=450)
    cache.put("part-10", 100, 12.0, capacity=450)
    assert "part-6" in cache.parts


def make_member(name, domain):
    return probes.Member(
        name=name, address=name, domain=domain, incarnation=1, started=1
    )


def test_instance_reports_to_a_hub_of_its_own_failure_domain():
    """Eighty instances report several times per second: not between failure domains."""
    hubs = [make_member(f"hub-{i}", f"d{i % 3}") for i in range(6)]
    for number in range(80):
        domain = f"d{number % 3}"
        assert loads.hub_of(f"node-{number}", domain, hubs).domain == domain
    chosen = {loads.hub_of(f"node-{i}", "d0", hubs).name for i in range(80)}
    assert chosen == {"hub-0", "hub-3"}
    assert loads.hub_of("node-0", "no-hub-here", hubs) in hubs


def test_hubs_are_instances_that_can_serve_others():
    cfg = mesh.MeshSettings(address="127.0.0.1:1", secret=kit.SECRET)
    peers = mesh.Mesh(name="node-0", domain="d0", cfg=cfg, store=kit.FakeStore())
    peers.members.alive = lambda: [
        attrs.evolve(make_member(f"node-{i}", f"d{i % 3}"), serves_others=i % 2 == 0)
        for i in range(40)
    ]
    assert all(member.serves_others for member in peers.chosen("load", 6))
    assert len(peers.chosen("load", 30)) == 30


class NoMesh:
    def __init__(self):
        self.hub = self

    def handle(self, kind, handler):
        return


def test_part_that_is_read_again_is_reported_only_periodically(monkeypatch):
    """A shared part of a prompt is sent to its upstream a hundred times per minute."""
    tracker = loads.Loads(peers=NoMesh())
    for _ in range(100):
        tracker.note_cached("u1", "model/shared", 13_300)
    assert len(tracker._pending_updates) == 1
    monkeypatch.setattr(loads, "PART_REPORT_PERIOD_S", -1.0)
    tracker.note_cached("u1", "model/shared", 13_300)
    assert len(tracker._pending_updates) == 2


def test_prompt_counts_in_full_until_it_is_read(monkeypatch):
    """Guards against a load that shrinks with time while prompts wait.

    A prompt waits behind those of other instances. When its prefill time was counted
    down from the start, an upstream with 2 s of prompts looked idle and got more small
    requests.
    """
    tracker = loads.Loads(peers=NoMesh())
    request = tracker.begin("u1", 0.9)
    late = clock.now() + 2.0
    assert tracker.total("u1", late).reading_s == 0.9
    reports = loadreports.ReportedLoads()
    reports.put("another", [loadreports.Load(upstream="u1", reading_s=0.9)], late)
    assert reports.total("u1", late + 0.5).reading_s == 0.9
    tracker.note_prefilled(request)
    assert tracker.total("u1", late) == loadreports.Load(upstream="u1", streams=1)


def test_report_on_many_upstreams_is_short():
    rows = [
        loadreports.Load(upstream=f"plan-llm-{i}", reading_s=i / 8, streams=i, unread=i)
        for i in range(45)
    ]
    report = loadreports.LoadReport(work=loadreports.to_columns(rows, []))
    assert report.work.loads() == rows
    assert len(codec.to_wire(report)) < 45 * 24


ROW = strategies.builds(
    loadreports.Load,
    upstream=strategies.sampled_from(["u1", "u2", "u3"]),
    reading_s=strategies.floats(0.0, 9.0).map(lambda s: round(s, 3)),
    streams=strategies.integers(0, 9),
    unread=strategies.integers(0, 9),
)
STEP = strategies.tuples(
    strategies.sampled_from(["a", "b", "c"]),
    strategies.lists(ROW, unique_by=lambda row: row.upstream),
    strategies.floats(0.0, 2.0),
)


@hypothesis.settings(deadline=None)
@hypothesis.given(steps=strategies.lists(STEP, max_size=20))
def test_sums_equal_those_of_all_valid_reports(steps):
    """Summing up all reports for each query took most of a large instance's time.

    So the sums are updated incrementally, and must not differ from a full summation.
    """
    reports, latest, now = loadreports.ReportedLoads(), {}, 0.0
    for sender, reported, pause_s in steps:
        now += pause_s
        reports.put(sender, reported, now)
        latest[sender] = (now, reported)
    valid = [
        load
        for at, reported in latest.values()
        for load in reported
        if now - at <= loadreports.REPORT_TTL_S
    ]
    assert reports.upstreams(now) == {load.upstream for load in valid}
    for name in ("u1", "u2", "u3"):
        expected = [load for load in valid if load.upstream == name]
        total = reports.total(name, now)
        assert total.streams == sum(load.streams for load in expected)
        assert total.unread == sum(load.unread for load in expected)
        assert total.reading_s == round(sum(load.reading_s for load in expected), 3)


def test_instances_are_ranked_again_only_when_a_member_changes(monkeypatch):
    """Without this cache, 195 instances ranked each other ten times per second."""
    cfg = mesh.MeshSettings(address="127.0.0.1:1", secret=kit.SECRET)
    peers = mesh.Mesh(name="node-0", domain="d0", cfg=cfg, store=kit.FakeStore())
    for number in range(1, 195):
        peers.members._apply_update(make_member(f"node-{number}", f"d{number % 5}"))
    first = peers.chosen("load", 16)
    assert peers.chosen("load", 16) is first
    dead = attrs.evolve(make_member(first[0].name, "d0"), state=probes.DEAD)
    peers.members._apply_update(dead)
    assert dead.name not in {member.name for member in peers.chosen("load", 16)}
    assert dead.name not in peers.names()
