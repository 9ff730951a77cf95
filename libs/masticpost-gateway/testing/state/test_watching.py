"""A burst of changes costs the store few calls."""

import asyncio

from masticpost_common import clock
from masticpost_gateway.state import model, recordcache, source, watching
from support import gatewaykit as kit

BURST = 40
BETWEEN_S = 0.02


async def test_upstreams_that_come_and_go_in_a_burst_are_read_in_batches():
    """A roll-out replaced 45 upstreams: each watcher asked 139 times in 26 s."""
    store, known = kit.FakeStore(), recordcache.RecordCache()
    made = watching.StoreWatch(store=store, records=known)
    made.is_active = True
    await made.start()
    await kit.until(lambda: all(view.at >= 0 for view in known.views.values()))
    before = store.calls
    for number in range(BURST):
        name = f"u{number}"
        record = model.Upstream(
            name=name, service="s", address="x:1", domain="a", version="v", slots=1
        )
        await store.put(source.Kind.UPSTREAMS, name, record)
        await asyncio.sleep(BETWEEN_S)
    await kit.until(lambda: len(known.views[source.Kind.UPSTREAMS].entries) == BURST)
    used = store.calls - before
    await made.stop()
    assert used < BURST / 2


async def test_upstream_that_leaves_long_after_the_store_came_back_is_gone(monkeypatch):
    """The first watch after an outage was answered 3 s later, by just this change.

    The upstream was taken for one that lapsed during the outage and got requests for
    2.2 s more.
    """
    monkeypatch.setattr(recordcache, "OUTAGE_AFTER_S", 0.05)
    monkeypatch.setattr(recordcache, "LAPSE_GRACE_S", 0.2)
    store, known = kit.FakeStore(), recordcache.RecordCache()
    record = model.Upstream(
        name="u", service="s", address="x:1", domain="a", version="v", slots=1
    )
    await store.put(source.Kind.UPSTREAMS, "u", record)
    made = watching.StoreWatch(store=store, records=known)
    made.is_active = True
    await made.start()
    await kit.until(lambda: all(view.at >= 0 for view in known.views.values()))
    await store.put(source.Kind.UPSTREAMS, "u", record)
    store.fail(source.Kind.UPSTREAMS, source.FaultKind.NOT_KNOWN)
    await kit.until(lambda: source.Kind.UPSTREAMS in made.failing_since)
    await asyncio.sleep(0.1)
    store.fail(source.Kind.UPSTREAMS, None)
    await asyncio.sleep(2 * watching.MAX_PAUSE_S)
    await store.put(source.Kind.UPSTREAMS, "u", None)
    await kit.until(lambda: not known.views[source.Kind.UPSTREAMS].entries)
    await made.stop()
    assert not known.lapsed


async def test_calls_to_a_lost_store_are_as_rare_as_many_share_them(monkeypatch):
    pauses = []

    async def note(self, kind, pause_s):
        pauses.append(pause_s)
        await asyncio.sleep(0.0)

    monkeypatch.setattr(watching.StoreWatch, "_pause", note)
    store = kit.FakeStore()
    for kind in source.Kind:
        store.fail(kind, source.FaultKind.NOT_DONE)
    made = watching.StoreWatch(store=store, records=recordcache.RecordCache())
    made.is_active = True
    made.sharers = 16.0
    await made.start()
    await kit.until(lambda: len(pauses) >= 40)
    await made.stop()
    assert min(pauses[-4:]) >= 0.5 * watching.MAX_PAUSE_S * made.sharers


async def test_store_that_hangs_is_waited_for_only_a_while_by_one_that_starts():
    """A state of unknown age is taken from another instance only then."""

    class Hanging(kit.FakeStore):
        async def list_all(self, kind):
            await asyncio.Event().wait()

    made = watching.StoreWatch(store=Hanging(), records=recordcache.RecordCache())
    assert made.may_tell_first(source.Kind.UPSTREAMS, clock.now())
    await made.start()
    asked_at = clock.now()
    await asyncio.sleep(0)
    later = asked_at + watching.FIRST_ANSWER_S
    assert made.may_tell_first(source.Kind.UPSTREAMS, asked_at)
    assert not made.may_tell_first(source.Kind.UPSTREAMS, later + 1.0)
    await made.stop()


async def test_store_that_refuses_is_not_waited_for_by_one_that_starts():
    store = kit.FakeStore()
    store.fail(source.Kind.UPSTREAMS, source.FaultKind.NOT_DONE)
    made = watching.StoreWatch(store=store, records=recordcache.RecordCache())
    await made.start()
    await kit.until(lambda: not made.may_tell_first(source.Kind.UPSTREAMS, clock.now()))
    await made.stop()


async def test_store_is_asked_at_once_while_work_is_held(monkeypatch):
    """Held work was sent by old beliefs while the watch paused after a lost call."""
    monkeypatch.setattr(watching, "FIRST_PAUSE_S", 60.0)
    monkeypatch.setattr(watching, "URGENT_PAUSE_S", 60.0)
    store, known = kit.FakeStore(), recordcache.RecordCache()
    made = watching.StoreWatch(store=store, records=known)
    for kind in source.Kind:
        store.fail(kind, source.FaultKind.NOT_KNOWN)
    made.is_active = made.is_urgent = True
    await made.start()
    await kit.until(lambda: len(made.failing_since) == len(source.Kind))
    for kind in source.Kind:
        store.fail(kind, None)
    made.held = 1
    await kit.until(lambda: made.is_told)
    await made.stop()
