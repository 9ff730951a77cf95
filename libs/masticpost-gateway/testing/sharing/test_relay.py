"""Tests that changes of the store reach all instances, whichever of them watches it."""

import asyncio
import math
import types

import pytest
import result
from masticpost_common import clock
from masticpost_gateway.sharing import relay, replication, senders, statefetch
from masticpost_gateway.state import isolation, model, recordcache, source, watching
from support import gatewaykit as kit

WATCHES = replication.Standing(watches=True)
FOLLOWS = replication.Standing(watches=True, follows=True)


async def add_nodes(dep, count, stores=None):
    first = None
    for number in range(count):
        seeds = (first.cfg.mesh.address,) if first else ()
        store = stores[number] if stores else None
        node = await dep.add_node(f"node-{number}", seeds=seeds, store=store)
        first = first or node
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))


def version(node):
    return node.records.table.cfg.version if node.records.table else None


async def test_change_reaches_all_instances_while_few_of_them_watch():
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 6)
        await kit.until(
            lambda: sum(n.watching.is_active for n in dep.nodes) == relay.WATCHERS
        )
        await dep.configure(kit.configuration(2))
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))


class FailingStore:
    """A store that can fail for one instance while it serves the others."""

    def __init__(self, store):
        self.store = store
        self.is_failing = False

    def __getattr__(self, name):
        if self.is_failing and name in ("watch", "list_all"):
            return self._time_out
        return getattr(self.store, name)

    async def _time_out(self, *args):
        await asyncio.sleep(0.2)
        return result.Err(
            source.Fault(kind=source.FaultKind.NOT_KNOWN, message="silent")
        )


async def test_watcher_without_the_store_gets_changes_from_another():
    async with kit.Deployment() as dep:
        await dep.configure()
        stores = [FailingStore(dep.store) for _ in range(4)]
        await add_nodes(dep, 4, stores)
        watchers = {m.name for m in dep.nodes[0].relay.watchers}
        failing = [k for k in range(4) if f"node-{k}" in watchers][:2]
        for number in failing:
            stores[number].is_failing = True
        revoked = kit.configuration(
            2, customers=(model.Customer(name="acme", keys=("another",)),)
        )
        await dep.configure(revoked)
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))
        reply = await dep.call("/lookup/", via=failing[0])
        assert reply.status == 401


async def test_change_seen_by_one_fallback_watch_reaches_all_instances(monkeypatch):
    """The store serves none of the watchers, and only one of the other instances."""
    monkeypatch.setattr(statefetch, "STALE_AFTER_S", 0.5)
    async with kit.Deployment() as dep:
        await dep.configure()
        stores = [FailingStore(dep.store) for _ in range(5)]
        await add_nodes(dep, 5, stores)
        await kit.until(
            lambda: sum(n.watching.is_active for n in dep.nodes) >= relay.WATCHERS
        )
        fallback = next(k for k in range(5) if not dep.nodes[k].relay.is_watcher)
        for number in set(range(5)) - {fallback}:
            stores[number].is_failing = True
        await dep.configure(kit.configuration(2))
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))


async def test_instance_without_updates_falls_back_to_its_own_watch(monkeypatch):
    monkeypatch.setattr(statefetch, "STALE_AFTER_S", 0.5)
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 5)
        cut_off = next(n for n in dep.nodes if not n.relay.is_watcher)
        cut_off.mesh.hub._handlers.pop("gateway-beat")
        cut_off.mesh.hub._handlers.pop("gateway-changes")
        await kit.until(lambda: cut_off.watching.is_active)
        await dep.configure(kit.configuration(3))
        await kit.until(lambda: version(cut_off) == 3)


async def test_late_instance_gets_all_records_from_the_others():
    async with kit.Deployment() as dep:
        await dep.configure(kit.configuration(4))
        await dep.add_worker("w1", kit.answers())
        await add_nodes(dep, 4)
        for kind in source.Kind:
            dep.store.fail(kind, source.FaultKind.NOT_DONE)
        seed = dep.nodes[0].cfg.mesh.address
        late = await dep.add_node("late", seeds=(seed,))
        assert version(late) == 4
        await kit.until(lambda: len(late.records.upstreams(0.0)) == 1)
        assert (await dep.call("/lookup/", via=4)).status == 200


async def test_bad_version_is_rolled_back_by_the_pooled_evidence_of_all_instances():
    """Each instance alone has seen too few failures for a verdict."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 4)
        order = model.RollOut(service="desk", target="v2", duration_s=100.0)
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", order)
        await kit.until(lambda: all("desk" in n.shared.trials.open for n in dep.nodes))
        for node in dep.nodes:
            node.shared.trials.answers.record_answer("desk", "v2", is_good=False)
            for _ in range(10):
                node.shared.trials.answers.record_answer("desk", "v1", is_good=True)
        await kit.until(lambda: dep.store.decisions)
        assert dep.store.decisions[0].state is model.RollOutState.ROLLED_BACK
        await kit.until(
            lambda: all(
                n.shared.trials.plan("desk", "s", "r").excluded == "v2"
                for n in dep.nodes
            )
        )


def make_relay(count=1):
    """Return the relay of one of `count` instances, which exchanges no messages."""
    rows = [
        types.SimpleNamespace(name=f"node-{k}", address=f"x:{k}") for k in range(count)
    ]
    hub = types.SimpleNamespace(handle=lambda kind, handler: None)
    members = types.SimpleNamespace(alive=lambda: rows)
    peers = types.SimpleNamespace(
        me=rows[0],
        hub=hub,
        others=lambda: rows,
        members=members,
        is_seed=True,
    )
    watch = types.SimpleNamespace(
        is_active=False,
        is_following=False,
        competing_instances=1.0,
        follows=lambda now: False,
        informed_since=math.inf,
    )
    watch.was_informed = types.MethodType(watching.StoreWatch.was_informed, watch)
    records = recordcache.RecordCache()
    detector = isolation.Isolation(has_others=lambda: count > 1, watch=watch)
    node_relay = relay.Relay(
        peers=peers, records=records, watch=watch, trials=None, isolation=detector
    )
    node_relay.watchers = rows[-relay.WATCHERS_IF_LARGE :]
    return node_relay


async def test_fallback_watches_call_the_store_no_more_often_than_the_watchers():
    """Guards against 80 instances that call a failed store at once.

    A store that no instance could reach got the calls of 75 instances in addition to
    those of the five watchers.
    """
    node_relay = make_relay(80)
    now = node_relay._started_at + 10.0
    node_relay._update_watch(now)
    assert node_relay.watch.is_active
    assert node_relay.watch.competing_instances == 1.0
    sender = node_relay.watchers[0].name
    envelope = types.SimpleNamespace(sender=sender, incarnation=1)
    body = replication.Heartbeat(views=[], bad=[], standing=WATCHES)
    await node_relay._on_heartbeat(envelope, body)
    node_relay._update_watch(clock.now())
    assert node_relay.watch.competing_instances == 80 / relay.WATCHERS_IF_LARGE


@pytest.mark.parametrize("is_informed", [True, False])
async def test_return_of_one_instance_is_no_outage_of_the_store(is_informed):
    """Guards against requests to an upstream that is gone (DRAIN, review/9).

    An instance came back after nine seconds without a link, and told the others that
    the store was back. They used an upstream that was removed just then for 2.2 s.
    """
    node_relay = make_relay(8)
    now = clock.now()
    record = model.Upstream(
        name="u", service="s", address="x:1", domain="a", version="v", slots=1
    )
    entry = source.Entry(name="u", revision=1, record=record)
    listing = source.Listing(entries=(entry,), at=1)
    node_relay.records.replace(source.Kind.UPSTREAMS, listing, now)
    for age_s in (4.0, 3.0, 2.0, 1.0, 0.0):
        if is_informed:
            node_relay.contact.note("watcher", FOLLOWS, now - age_s)
        node_relay._update_watch(now - age_s)
    body = replication.ReplicatedChanges(
        kind=source.Kind.UPSTREAMS,
        since=1,
        at=2,
        age_s=0.0,
        regained_s=0.3,
        changed=[],
        removed=["u"],
    )
    await node_relay._on_changes(types.SimpleNamespace(sender="back"), body)
    assert [row.name for row in node_relay.records.upstreams(now)] == (
        [] if is_informed else ["u"]
    )


def test_fallback_watch_lasts_for_its_minimum_duration():
    """Otherwise it would list all kinds again whenever its view is five seconds old."""
    node_relay = make_relay(80)
    now = node_relay._started_at + 10.0
    node_relay._update_watch(now)
    for kind in source.Kind:
        node_relay.records.replace(kind, source.Listing(entries=(), at=1), now)
    node_relay._update_watch(now + 0.9 * relay.FALLBACK_WATCH_S)
    assert node_relay.watch.is_active
    for kind in source.Kind:
        node_relay.records.confirm(kind, now + relay.FALLBACK_WATCH_S)
    node_relay.contact.note("watcher", FOLLOWS, now + relay.FALLBACK_WATCH_S)
    node_relay.watch.is_following = True
    node_relay._update_watch(now + 0.95 * relay.FALLBACK_WATCH_S)
    assert node_relay.watch.is_active
    node_relay._update_watch(now + 1.1 * relay.FALLBACK_WATCH_S)
    assert not node_relay.watch.is_active


def test_instance_that_is_chosen_only_briefly_does_not_watch():
    """Guards against too many watches when instances start together.

    37 of 80 watched, since they chose by member lists that were only half complete.
    """
    node_relay = make_relay()
    records, watch, me = node_relay.records, node_relay.watch, node_relay.peers.me
    now = clock.now()
    for kind in source.Kind:
        records.replace(kind, source.Listing(entries=(), at=1), now)
    node_relay.isolation.note_contact(now + relay.SETTLE_S)
    node_relay.watchers = [me]
    node_relay._update_watch(now)
    assert not watch.is_active
    node_relay.watchers = []
    node_relay._update_watch(now + 0.9 * relay.SETTLE_S)
    node_relay.watchers = [me]
    node_relay._update_watch(now + relay.SETTLE_S)
    assert not watch.is_active
    node_relay._update_watch(now + 2.1 * relay.SETTLE_S)
    assert watch.is_active
    node_relay.watchers = []
    node_relay._update_watch(now + 2.2 * relay.SETTLE_S)
    assert not watch.is_active


async def test_starting_instances_get_their_records_from_others_without_the_store():
    """Guards against a burst of calls to the store at the start of a deployment.

    195 instances listed four kinds each: 780 calls before the first request.
    """
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await add_nodes(dep, 1)
        seeds = (dep.nodes[0].cfg.mesh.address,)
        listed_kinds = []
        list_all = dep.store.list_all
        dep.store.list_all = lambda kind: (listed_kinds.append(kind), list_all(kind))[1]
        for number in range(1, 9):
            await dep.add_node(f"node-{number}", seeds=seeds)
            assert (await dep.call("/lookup/", via=number)).status == 200
        assert not listed_kinds


# Guards against "no upstream is in service" from an instance that counts as ready
# before it knows the upstreams, or which failure domains are out.
@pytest.mark.parametrize("kind", list(source.Kind))
async def test_instance_is_not_ready_before_it_knows_every_kind(kind):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        dep.store.fail(kind, source.FaultKind.NOT_DONE)
        starting = asyncio.ensure_future(dep.add_node())
        await kit.until(lambda: dep.store.calls > 2 * len(source.Kind))
        assert not starting.done()
        dep.store.fail(kind, None)
        instance = await starting
        assert instance.is_ready
        assert (await dep.call("/lookup/")).status == 200


async def test_instance_whose_seeds_do_not_answer_reads_the_store_itself():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node("node-0", seeds=("127.0.0.1:1",))
        assert (await dep.call("/lookup/")).status == 200


async def test_stale_state_of_another_is_used_at_the_start_only_without_the_store():
    """The store may have a newer state, unless it cannot be reached."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 1)
        old = dep.nodes[0]
        for kind in source.Kind:
            dep.store.fail(kind, source.FaultKind.NOT_DONE)
            old.records.views[kind].confirmed_at = clock.now() - 60.0
        store = kit.FakeStore()
        await store.put(source.Kind.CONFIGURATION, "main", kit.configuration(7))
        seeds = (old.cfg.mesh.address,)
        node = await dep.add_node("node-1", seeds=seeds, store=store)
        assert version(node) == 7
        dep.store = FailingStore(kit.FakeStore())
        dep.store.is_failing = True
        node = await dep.add_node("node-2", seeds=seeds, store=dep.store)
        assert version(node) in (1, 7)


async def test_each_instance_is_updated_by_a_watcher_of_its_own_domain():
    """Guards against updates that depend on links between failure domains.

    For most instances both watchers were in other failure domains: behind a network
    partition, and over long-distance links.
    """
    async with kit.Deployment() as dep:
        await dep.configure()
        first = None
        for number in range(9):
            seeds = (first.cfg.mesh.address,) if first else ()
            node = await dep.add_node(
                f"node-{number}", seeds=seeds, domain="abc"[number % 3]
            )
            first = first or node
        await kit.until(lambda: all(len(n.members()) == 9 for n in dep.nodes))
        await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in dep.nodes))
        watchers = [n for n in dep.nodes if n.relay.is_watcher]
        assert len({n.cfg.domain for n in watchers}) == 3
        for node in dep.nodes:
            if node in watchers:
                continue
            address = node.cfg.mesh.address
            updating = [n for n in watchers if address in n.relay.recipients()]
            assert len(updating) == senders.SENDERS_PER_INSTANCE
            assert node.cfg.domain in {n.cfg.domain for n in updating}


async def test_heartbeat_of_a_watcher_that_does_not_watch_yet_is_no_contact():
    """Guards against dispatching by stale records.

    The recipients of such a watcher did so, and did not query the store themselves.
    """
    async with kit.Deployment() as dep:
        await dep.configure()
        await add_nodes(dep, 5)
        node = next(n for n in dep.nodes if not n.relay.is_watcher)
        contacts = []
        node.relay.isolation = types.SimpleNamespace(note_contact=contacts.append)
        envelope = types.SimpleNamespace(sender=node.relay.watchers[0].name)
        for watches in (False, True):
            contacts.clear()
            standing = replication.Standing(watches=watches)
            body = replication.Heartbeat(views=[], bad=[], standing=standing)
            await relay.Relay._on_heartbeat(node.relay, envelope, body)
            assert bool(contacts) == watches
