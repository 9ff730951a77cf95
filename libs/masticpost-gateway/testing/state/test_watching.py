"""Tests that the watch makes few calls, and backs off while the store fails."""

import asyncio

from masticpost_common import clock
from masticpost_gateway.state import model, recordcache, source, watching
from support import gatewaykit as kit

BURST = 40
INTERVAL_S = 0.02


async def test_upstreams_that_come_and_go_in_a_burst_are_read_in_batches():
    """Guards against one call to the store for each change.

    During a roll-out that replaced 45 upstreams, each watcher called 139 times in 26 s.
    """
    store, records = kit.FakeStore(), recordcache.RecordCache()
    watch = watching.StoreWatch(store=store, records=records)
    watch.is_active = True
    await watch.start()
    await kit.until(lambda: all(view.at >= 0 for view in records.views.values()))
    calls_before = store.calls
    for number in range(BURST):
        name = f"u{number}"
        record = model.Upstream(
            name=name, service="s", address="x:1", domain="a", version="v", slots=1
        )
        await store.put(source.Kind.UPSTREAMS, name, record)
        await asyncio.sleep(INTERVAL_S)
    await kit.until(lambda: len(records.views[source.Kind.UPSTREAMS].entries) == BURST)
    calls = store.calls - calls_before
    await watch.stop()
    assert calls < BURST / 2


async def test_upstream_that_leaves_long_after_an_outage_is_dropped(monkeypatch):
    """Guards against counting an outage as over only when the first watch is answered.

    The first watch after an outage returned 3 s later, with the removal of an upstream.
    The upstream counted as lapsed during the outage and got requests for another 2.2 s.
    """
    monkeypatch.setattr(recordcache, "MIN_OUTAGE_S", 0.05)
    monkeypatch.setattr(recordcache, "LAPSE_GRACE_S", 0.2)
    store, records = kit.FakeStore(), recordcache.RecordCache()
    record = model.Upstream(
        name="u", service="s", address="x:1", domain="a", version="v", slots=1
    )
    await store.put(source.Kind.UPSTREAMS, "u", record)
    watch = watching.StoreWatch(store=store, records=records)
    watch.is_active = True
    await watch.start()
    await kit.until(lambda: all(view.at >= 0 for view in records.views.values()))
    await store.put(source.Kind.UPSTREAMS, "u", record)
    store.fail(source.Kind.UPSTREAMS, source.FaultKind.NOT_KNOWN)
    await kit.until(lambda: source.Kind.UPSTREAMS in watch.failing_since)
    await asyncio.sleep(0.1)
    store.fail(source.Kind.UPSTREAMS, None)
    await asyncio.sleep(2 * watching.MAX_BACKOFF_S)
    await store.put(source.Kind.UPSTREAMS, "u", None)
    await kit.until(lambda: not records.views[source.Kind.UPSTREAMS].entries)
    await watch.stop()
    assert not records.lapsed


async def test_back_off_grows_with_the_number_of_competing_instances(monkeypatch):
    pauses = []

    async def record_pause(self, kind, pause_s):
        pauses.append(pause_s)
        await asyncio.sleep(0.0)

    monkeypatch.setattr(watching.StoreWatch, "_back_off", record_pause)
    store = kit.FakeStore()
    for kind in source.Kind:
        store.fail(kind, source.FaultKind.NOT_DONE)
    watch = watching.StoreWatch(store=store, records=recordcache.RecordCache())
    watch.is_active = True
    watch.competing_instances = 16.0
    await watch.start()
    await kit.until(lambda: len(pauses) >= 40)
    await watch.stop()
    assert min(pauses[-4:]) >= 0.5 * watching.MAX_BACKOFF_S * watch.competing_instances


async def test_starting_instance_waits_for_a_hanging_store_only_for_a_limited_time():
    """Only after that does it take a stale state from another instance."""

    class HangingStore(kit.FakeStore):
        async def list_all(self, kind):
            await asyncio.Event().wait()

    watch = watching.StoreWatch(store=HangingStore(), records=recordcache.RecordCache())
    assert watch.may_answer_soon(source.Kind.UPSTREAMS, clock.now())
    await watch.start()
    sent_at = clock.now()
    await asyncio.sleep(0)
    timeout_at = sent_at + watching.FIRST_ANSWER_TIMEOUT_S
    assert watch.may_answer_soon(source.Kind.UPSTREAMS, sent_at)
    assert not watch.may_answer_soon(source.Kind.UPSTREAMS, timeout_at + 1.0)
    await watch.stop()


async def test_starting_instance_does_not_wait_for_a_store_that_refuses():
    store = kit.FakeStore()
    store.fail(source.Kind.UPSTREAMS, source.FaultKind.NOT_DONE)
    watch = watching.StoreWatch(store=store, records=recordcache.RecordCache())
    await watch.start()
    await kit.until(
        lambda: not watch.may_answer_soon(source.Kind.UPSTREAMS, clock.now())
    )
    await watch.stop()


async def test_back_off_is_cut_short_while_requests_are_held(monkeypatch):
    """Guards against dispatching held requests by stale records.

    They were dispatched while the watch still backed off after a failed call.
    """
    monkeypatch.setattr(watching, "MIN_BACKOFF_S", 60.0)
    monkeypatch.setattr(watching, "MAX_URGENT_BACKOFF_S", 60.0)
    store, records = kit.FakeStore(), recordcache.RecordCache()
    watch = watching.StoreWatch(store=store, records=records)
    for kind in source.Kind:
        store.fail(kind, source.FaultKind.NOT_KNOWN)
    watch.is_active = watch.is_urgent = True
    await watch.start()
    await kit.until(lambda: len(watch.failing_since) == len(source.Kind))
    for kind in source.Kind:
        store.fail(kind, None)
    watch.held_requests = 1
    await kit.until(lambda: watch.is_following)
    await watch.stop()
