"""RecordCache never go back, and survive an outage of the store."""

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
def test_configuration_in_force_never_gets_older(versions):
    known = recordcache.RecordCache()
    newest = 0
    for at, version in enumerate(versions, 1):
        cfg = kit.configuration(version)
        known.replace(CONFIG, listing(CONFIG, at, ("main", at, cfg)), 0.0)
        newest = max(newest, version)
        assert known.table.cfg.version == newest


def test_older_state_from_another_instance_is_ignored():
    known = recordcache.RecordCache()
    known.replace(UP, listing(UP, 9, ("u1", 9, upstream("u1"))), 0.0)
    known.replace(UP, listing(UP, 5), 1.0)
    assert [u.name for u in known.upstreams(1.0)] == ["u1"]


def test_entry_that_goes_just_after_an_outage_is_used_until_it_is_due_back():
    known = recordcache.RecordCache()
    known.replace(UP, listing(UP, 2, ("u1", 2, upstream("u1"))), 0.0)
    known.regained(10.0)
    known.apply(UP, source.Changes(events=(removal("u1", 2),), at=3), 10.1)
    assert [u.name for u in known.upstreams(11.0)] == ["u1"]
    assert known.upstreams(10.0 + recordcache.LAPSE_GRACE_S) == []


def test_entry_that_goes_without_an_outage_or_while_draining_is_gone_at_once():
    known = recordcache.RecordCache()
    rows = (("u1", 2, upstream("u1")), ("u2", 2, upstream("u2", is_draining=True)))
    known.replace(UP, listing(UP, 2, *rows), 0.0)
    known.apply(UP, source.Changes(events=(removal("u1", 2),), at=3), 100.0)
    known.regained(200.0)
    known.apply(UP, source.Changes(events=(removal("u2", 2),), at=4), 200.1)
    assert known.upstreams(200.2) == []


def test_unreadable_entry_names_no_upstream_and_harms_no_other():
    known = recordcache.RecordCache()
    rows = (("u1", 2, upstream("u1")), ("odd", 3, None))
    known.replace(UP, listing(UP, 3, *rows), 0.0)
    assert [u.name for u in known.upstreams(0.0)] == ["u1"]
