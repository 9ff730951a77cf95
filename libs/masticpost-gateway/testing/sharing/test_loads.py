"""Every instance knows the work of all, with few messages in a large deployment."""

import asyncio

import attrs
import hypothesis
from hypothesis import strategies
from masticpost_bench import procs
from masticpost_common import clock, codec
from masticpost_gateway.sharing import loadreports, loads, mesh
from masticpost_peers import probes
from support import gatewaykit as kit


async def make(count):
    ports = procs.free_ports(count)
    seed = f"127.0.0.1:{ports[0]}"
    rows = []
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
        work = loads.Loads(peers=peers)
        await peers.start()
        await work.start()
        rows.append(work)
    await kit.until(lambda: all(len(r.peers.members.alive()) == count for r in rows))
    return rows


async def stop(rows):
    for row in rows:
        await row.stop()
        await row.peers.stop()


async def check(rows):
    for row in rows:
        row.note_prefilled(row.begin("u1", 0.0))
    total = len(rows)
    await kit.until(
        lambda: all(r.total("u1", clock.now()).streams == total for r in rows)
    )
    rows[-1].note_cached("u2", "prompt", 100)
    await kit.until(
        lambda: all(r.has_cached("u2", "prompt", clock.now()) for r in rows)
    )


async def test_few_instances_tell_each_other_directly():
    rows = await make(4)
    await check(rows)
    await stop(rows)


async def test_many_instances_tell_through_hubs(monkeypatch):
    monkeypatch.setattr(loads, "DIRECT_MEMBERS", 3)
    monkeypatch.setattr(loads, "MIN_HUBS", 2)
    rows = await make(9)
    await check(rows)
    sent_before = sum(row.peers.hub.traffic.sent for row in rows)
    await asyncio.sleep(1.0)
    sent = sum(row.peers.hub.traffic.sent for row in rows) - sent_before
    assert sent < 9 * 9 / loads.HUB_PERIOD_S
    await stop(rows)


def test_kept_parts_yield_when_the_memory_is_full():
    kept = loads.Kept()
    for number in range(10):
        kept.put(f"part-{number}", 100, float(number), room=450)
    assert list(kept.parts) == [f"part-{number}" for number in range(6, 10)]
    assert kept.tokens == 400
    kept.put("part-6", 100, 11.0, room=450)
    kept.put("part-10", 100, 12.0, room=450)
    assert "part-6" in kept.parts


def hub(name, domain):
    return probes.Member(
        name=name, address=name, domain=domain, incarnation=1, started=1
    )


def test_instance_tells_a_hub_of_its_own_failure_domain():
    """Eighty instances tell their hubs many times a second: not between domains."""
    hubs = [hub(f"hub-{i}", f"d{i % 3}") for i in range(6)]
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
        attrs.evolve(hub(f"node-{i}", f"d{i % 3}"), serves_others=i % 2 == 0)
        for i in range(40)
    ]
    assert all(member.serves_others for member in peers.chosen("load", 6))
    assert len(peers.chosen("load", 30)) == 30


class NoPeers:
    def __init__(self):
        self.hub = self

    def handle(self, kind, handler):
        return


def test_part_that_is_read_again_is_told_once_in_a_while(monkeypatch):
    """A shared part of a prompt is sent to its upstream a hundred times a minute."""
    work = loads.Loads(peers=NoPeers())
    for _ in range(100):
        work.note_cached("u1", "model/shared", 13_300)
    assert len(work._news) == 1
    monkeypatch.setattr(loads, "PLACED_AGAIN_S", -1.0)
    work.note_cached("u1", "model/shared", 13_300)
    assert len(work._news) == 2


def test_prompt_counts_until_it_is_read(monkeypatch):
    """It waits behind those of other instances; what it takes must not just run off.

    An upstream with 2 s of them looked idle and got small requests besides.
    """
    work = loads.Loads(peers=NoPeers())
    row = work.begin("u1", 0.9)
    late = clock.now() + 2.0
    assert work.total("u1", late).reading_s == 0.9
    told = loadreports.ReportedLoads()
    told.put("another", [loadreports.Load(upstream="u1", reading_s=0.9)], late)
    assert told.of("u1", late + 0.5).reading_s == 0.9
    work.note_prefilled(row)
    assert work.total("u1", late) == loadreports.Load(upstream="u1", streams=1)


def test_report_on_many_upstreams_is_short():
    rows = [
        loadreports.Load(upstream=f"plan-llm-{i}", reading_s=i / 8, streams=i, unread=i)
        for i in range(45)
    ]
    report = loadreports.LoadReport(work=loadreports.columns(rows, []))
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
def test_sums_are_those_of_what_was_told_lately(steps):
    """Adding up every report for each question took most of a large one's time."""
    told, rows, now = loadreports.ReportedLoads(), {}, 0.0
    for sender, loads_told, pause_s in steps:
        now += pause_s
        told.put(sender, loads_told, now)
        rows[sender] = (now, loads_told)
    valid = [
        load
        for at, sent in rows.values()
        for load in sent
        if now - at <= loadreports.TOLD_LASTS_S
    ]
    assert told.names(now) == {load.upstream for load in valid}
    for name in ("u1", "u2", "u3"):
        here = [load for load in valid if load.upstream == name]
        found = told.of(name, now)
        assert found.streams == sum(load.streams for load in here)
        assert found.unread == sum(load.unread for load in here)
        assert found.reading_s == round(sum(load.reading_s for load in here), 3)


def test_instances_are_ranked_again_only_when_a_member_changes(monkeypatch):
    """195 instances ranked each other ten times a second."""
    cfg = mesh.MeshSettings(address="127.0.0.1:1", secret=kit.SECRET)
    peers = mesh.Mesh(name="node-0", domain="d0", cfg=cfg, store=kit.FakeStore())
    for number in range(1, 195):
        peers.members._apply_update(hub(f"node-{number}", f"d{number % 5}"))
    first = peers.chosen("load", 16)
    assert peers.chosen("load", 16) is first
    gone = attrs.evolve(hub(first[0].name, "d0"), state=probes.DEAD)
    peers.members._apply_update(gone)
    assert gone.name not in {member.name for member in peers.chosen("load", 16)}
    assert gone.name not in peers.names()
