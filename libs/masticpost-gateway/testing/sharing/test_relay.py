"""What one instance learns from the store, all know, whoever reaches the store."""

import asyncio
import types

import result
from masticpost_common import clock
from masticpost_gateway.sharing import relay, replication
from masticpost_gateway.state import isolation, model, recordcache, source
from support import gatewaykit as kit


async def deployment(dep, count, stores=None):
    first = None
    for number in range(count):
        seeds = (first.cfg.mesh.address,) if first else ()
        store = stores[number] if stores else None
        made = await dep.add_node(f"node-{number}", seeds=seeds, store=store)
        first = first or made
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))


def version(made):
    return made.records.table.cfg.version if made.records.table else None


async def test_change_reaches_all_and_few_watch():
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 6)
        await kit.until(
            lambda: sum(n.watching.is_active for n in dep.nodes) == relay.WATCHERS
        )
        await dep.configure(kit.configuration(2))
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))


class Deaf:
    """A store that turns an instance away while the others are served."""

    def __init__(self, store):
        self.store = store
        self.is_deaf = False

    def __getattr__(self, name):
        if self.is_deaf and name in ("watch", "list_all"):
            return self._hang
        return getattr(self.store, name)

    async def _hang(self, *args):
        await asyncio.sleep(0.2)
        return result.Err(
            source.Fault(kind=source.FaultKind.NOT_KNOWN, message="silent")
        )


async def test_watcher_that_the_store_turns_away_learns_from_another():
    async with kit.Deployment() as dep:
        await dep.configure()
        stores = [Deaf(dep.store) for _ in range(4)]
        await deployment(dep, 4, stores)
        watchers = {m.name for m in dep.nodes[0].relay.watchers}
        deaf = [k for k in range(4) if f"node-{k}" in watchers][:2]
        for number in deaf:
            stores[number].is_deaf = True
        revoked = kit.configuration(
            2, customers=(model.Customer(name="acme", keys=("another",)),)
        )
        await dep.configure(revoked)
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))
        reply = await dep.call("/lookup/", via=deaf[0])
        assert reply.status == 401


async def test_what_one_helper_learns_all_know_though_no_watcher_is_served(monkeypatch):
    monkeypatch.setattr(relay, "STALE_S", 0.5)
    async with kit.Deployment() as dep:
        await dep.configure()
        stores = [Deaf(dep.store) for _ in range(5)]
        await deployment(dep, 5, stores)
        await kit.until(
            lambda: sum(n.watching.is_active for n in dep.nodes) >= relay.WATCHERS
        )
        helper = next(k for k in range(5) if not dep.nodes[k].relay.is_watcher)
        for number in set(range(5)) - {helper}:
            stores[number].is_deaf = True
        await dep.configure(kit.configuration(2))
        await kit.until(lambda: all(version(n) == 2 for n in dep.nodes))


async def test_instance_that_hears_nothing_watches_by_itself(monkeypatch):
    monkeypatch.setattr(relay, "STALE_S", 0.5)
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 5)
        lonely = next(n for n in dep.nodes if not n.relay.is_watcher)
        lonely.mesh.hub._handlers.pop("gateway-beat")
        lonely.mesh.hub._handlers.pop("gateway-changes")
        await kit.until(lambda: lonely.watching.is_active)
        await dep.configure(kit.configuration(3))
        await kit.until(lambda: version(lonely) == 3)


async def test_late_instance_gets_everything_from_the_others():
    async with kit.Deployment() as dep:
        await dep.configure(kit.configuration(4))
        await dep.add_worker("w1", kit.answers())
        await deployment(dep, 4)
        for kind in source.Kind:
            dep.store.fail(kind, source.FaultKind.NOT_DONE)
        seed = dep.nodes[0].cfg.mesh.address
        late = await dep.add_node("late", seeds=(seed,))
        assert version(late) == 4
        await kit.until(lambda: len(late.records.upstreams(0.0)) == 1)
        assert (await dep.call("/lookup/", via=4)).status == 200


async def test_bad_version_is_left_everywhere_though_each_saw_little():
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 4)
        order = model.RollOut(service="desk", target="v2", duration_s=100.0)
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", order)
        await kit.until(lambda: all("desk" in n.shared.trials.open for n in dep.nodes))
        for made in dep.nodes:
            made.shared.trials.record_answer("desk", "v2", is_good=False)
            for _ in range(10):
                made.shared.trials.record_answer("desk", "v1", is_good=True)
        await kit.until(lambda: dep.store.decisions)
        assert dep.store.decisions[0].state is model.RollOutState.ROLLED_BACK
        await kit.until(
            lambda: all(
                n.shared.trials.plan("desk", "s", "r").excluded == "v2"
                for n in dep.nodes
            )
        )


def lone_relay(count=1):
    """Return a relay that neither sends nor hears, one of `count` instances."""
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
        is_active=False, is_following=False, competing_instances=1.0
    )
    known = recordcache.RecordCache()
    silence = isolation.Isolation(has_others=lambda: count > 1, watch=watch)
    made = relay.Relay(
        peers=peers, records=known, watch=watch, trials=None, isolation=silence
    )
    made.watchers = rows[-relay.WATCHERS_OF_MANY :]
    return made


async def test_eighty_instances_help_at_the_pace_of_the_watchers():
    """A store that was lost to all got the calls of 75 instances beside five."""
    made = lone_relay(80)
    now = made._started_at + 10.0
    made._switch(now)
    assert made.watch.is_active
    assert made.watch.competing_instances == 1.0
    sender = made.watchers[0].name
    envelope = types.SimpleNamespace(sender=sender, incarnation=1)
    await made._on_beat(envelope, replication.Heartbeat(views=[], bad=[]))
    made._switch(clock.now())
    assert made.watch.competing_instances == 80 / relay.WATCHERS_OF_MANY


def test_helper_stays_for_a_while():
    """Else it would list everything anew each time its view is five seconds old."""
    made = lone_relay(80)
    now = made._started_at + 10.0
    made._switch(now)
    for kind in source.Kind:
        made.records.replace(kind, source.Listing(entries=(), at=1), now)
    made._switch(now + 0.9 * relay.HELP_S)
    assert made.watch.is_active
    for kind in source.Kind:
        made.records.confirm(kind, now + relay.HELP_S)
    made.isolation.note_contact(now + relay.HELP_S)
    made._switch(now + 1.1 * relay.HELP_S)
    assert not made.watch.is_active


def test_instance_that_is_chosen_for_a_moment_does_not_watch():
    """Eighty that start together: 37 watched, by member lists that were half full."""
    made = lone_relay()
    known, watch, me = made.records, made.watch, made.peers.me
    now = clock.now()
    for kind in source.Kind:
        known.replace(kind, source.Listing(entries=(), at=1), now)
    made.isolation.note_contact(now + relay.SETTLE_S)
    made.watchers = [me]
    made._switch(now)
    assert not watch.is_active
    made.watchers = []
    made._switch(now + 0.9 * relay.SETTLE_S)
    made.watchers = [me]
    made._switch(now + relay.SETTLE_S)
    assert not watch.is_active
    made._switch(now + 2.1 * relay.SETTLE_S)
    assert watch.is_active
    made.watchers = []
    made._switch(now + 2.2 * relay.SETTLE_S)
    assert not watch.is_active


async def test_instances_that_start_are_told_by_others_and_spare_the_store():
    """195 instances listed four kinds each: 780 calls before the first request."""
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await deployment(dep, 1)
        seeds = (dep.nodes[0].cfg.mesh.address,)
        lists = []
        listed = dep.store.list_all
        dep.store.list_all = lambda kind: (lists.append(kind), listed(kind))[1]
        for number in range(1, 9):
            await dep.add_node(f"node-{number}", seeds=seeds)
            assert (await dep.call("/lookup/", via=number)).status == 200
        assert not lists


async def test_instance_whose_seeds_are_gone_asks_the_store_itself():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node("node-0", seeds=("127.0.0.1:1",))
        assert (await dep.call("/lookup/")).status == 200


async def test_state_that_another_has_not_confirmed_lately_is_not_taken_at_the_start():
    """The store may know better; it is taken when the store cannot be asked."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 1)
        old = dep.nodes[0]
        for kind in source.Kind:
            dep.store.fail(kind, source.FaultKind.NOT_DONE)
            old.records.views[kind].confirmed_at = clock.now() - 60.0
        store = kit.FakeStore()
        await store.put(source.Kind.CONFIGURATION, "main", kit.configuration(7))
        seeds = (old.cfg.mesh.address,)
        made = await dep.add_node("node-1", seeds=seeds, store=store)
        assert version(made) == 7
        dep.store = Deaf(kit.FakeStore())
        dep.store.is_deaf = True
        made = await dep.add_node("node-2", seeds=seeds, store=dep.store)
        assert version(made) in (1, 7)


async def test_each_instance_is_told_by_a_watcher_of_its_own_domain():
    """Both tellers lay in other domains for most, beyond a cut and over long links."""
    async with kit.Deployment() as dep:
        await dep.configure()
        first = None
        for number in range(9):
            seeds = (first.cfg.mesh.address,) if first else ()
            made = await dep.add_node(
                f"node-{number}", seeds=seeds, domain="abc"[number % 3]
            )
            first = first or made
        await kit.until(lambda: all(len(n.members()) == 9 for n in dep.nodes))
        await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in dep.nodes))
        watchers = [n for n in dep.nodes if n.relay.is_watcher]
        assert len({n.cfg.domain for n in watchers}) == 3
        for told in dep.nodes:
            if told in watchers:
                continue
            address = told.cfg.mesh.address
            tellers = [n for n in watchers if address in n.relay.recipients()]
            assert len(tellers) == relay.TOLD_BY
            assert told.cfg.domain in {n.cfg.domain for n in tellers}


async def test_watcher_that_has_not_begun_to_watch_is_not_taken_for_news():
    """Those that it told sent by old beliefs, without asking the store themselves."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await deployment(dep, 5)
        made = next(n for n in dep.nodes if not n.relay.is_watcher)
        heard = []
        made.relay.isolation = types.SimpleNamespace(note_contact=heard.append)
        teller = types.SimpleNamespace(sender=made.relay.watchers[0].name)
        for watches in (False, True):
            heard.clear()
            body = replication.Heartbeat(views=[], bad=[], watches=watches)
            await relay.Relay._on_beat(made.relay, teller, body)
            assert bool(heard) == watches
