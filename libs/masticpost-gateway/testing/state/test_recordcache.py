"""Tests that cached records never go back and survive an outage of the store."""

import hypothesis
from hypothesis import strategies
from masticpost_gateway.state import model, recordcache, source
from support import gatewaykit as kit

UP = source.Kind.UPSTREAMS
CONFIG = source.Kind.CONFIGURATION


def upstream(name, **changes):
    fields = {
        "service": "s",
        "address": "127.0.0.1:1",
        "domain": "a",
        "version": "v1",
        "slots": 4,
    }
    return model.Upstream(name=name, **{**fields, **changes})


def listing(kind, at, *rows):
    entries = tuple(
        source.Entry(name=name, revision=rev, record=rec) for name, rev, rec in rows
    )
    return source.Listing(entries=entries, at=at)


def removal(name, rev):
    entry = source.Entry(name=name, revision=rev, record=None)
    return source.Event(entry=entry, is_removed=True)


@hypothesis.given(strategies.lists(strategies.integers(1, 40), min_size=1, max_size=30))
def test_active_configuration_never_gets_older(versions):
    records = recordcache.RecordCache()
    newest = 0
    for at, version in enumerate(versions, 1):
        cfg = kit.configuration(version)
        records.replace(CONFIG, listing(CONFIG, at, ("main", at, cfg)), 0.0)
        newest = max(newest, version)
        assert records.table.cfg.version == newest


def test_older_state_from_another_instance_is_ignored():
    records = recordcache.RecordCache()
    records.replace(UP, listing(UP, 9, ("u1", 9, upstream("u1"))), 0.0)
    records.replace(UP, listing(UP, 5), 1.0)
    assert [u.name for u in records.upstreams(1.0)] == ["u1"]


def test_upstream_removed_just_after_an_outage_is_used_for_the_grace_period():
    records = recordcache.RecordCache()
    records.replace(UP, listing(UP, 2, ("u1", 2, upstream("u1"))), 0.0)
    records.note_store_recovery(10.0)
    records.apply(UP, source.Changes(events=(removal("u1", 2),), at=3), 10.1)
    assert [u.name for u in records.upstreams(11.0)] == ["u1"]
    assert records.upstreams(10.0 + recordcache.LAPSE_GRACE_S) == []


def test_upstream_removed_without_an_outage_or_while_draining_is_dropped_at_once():
    records = recordcache.RecordCache()
    rows = (("u1", 2, upstream("u1")), ("u2", 2, upstream("u2", is_draining=True)))
    records.replace(UP, listing(UP, 2, *rows), 0.0)
    records.apply(UP, source.Changes(events=(removal("u1", 2),), at=3), 100.0)
    records.note_store_recovery(200.0)
    records.apply(UP, source.Changes(events=(removal("u2", 2),), at=4), 200.1)
    assert records.upstreams(200.2) == []


def test_undecodable_entry_is_no_upstream_and_does_not_affect_others():
    records = recordcache.RecordCache()
    rows = (("u1", 2, upstream("u1")), ("odd", 3, None))
    records.replace(UP, listing(UP, 3, *rows), 0.0)
    assert [u.name for u in records.upstreams(0.0)] == ["u1"]
