"""Suspicion ends: a request that was near two crashes long ago runs again."""

import attrs
import pytest
from masticpost_shards import ops, owner, records, state, views

HOUR_MS = 60 * state.MINUTE_MS


@attrs.define(kw_only=True)
class FakePeers:
    name: str = "entry-0"

    def handle(self, kind, handler):
        return


@attrs.define(kw_only=True)
class FakeShards:
    peers: FakePeers = attrs.field(factory=FakePeers)
    shard_count: int = 1


@pytest.fixture
def view():
    return views.Views(shards=FakeShards())


def news(count, at):
    suspect = views.Suspect(fingerprint="f", count=count, at=at)
    return views.ViewNews(suspects=[suspect])


def test_quarantine_ends_after_its_time(view, monkeypatch):
    now = owner.wall_ms()
    view._learn(news(2, now))
    assert view.is_quarantined("f")
    monkeypatch.setattr(owner, "wall_ms", lambda: now + state.CRASH_KEPT_MS + 1)
    assert not view.is_quarantined("f")
    assert view.crash_count("f") == 0
    view._learn(news(1, now + state.CRASH_KEPT_MS))
    assert view.crash_count("f") == 1


def test_late_news_do_not_lower_the_count(view):
    now = owner.wall_ms()
    view._learn(news(2, now))
    view._learn(news(1, now - 10))
    assert view.is_quarantined("f")


def test_only_so_many_suspects_are_kept(view, monkeypatch):
    monkeypatch.setattr(views, "MAX_SUSPECTS", 10)
    now = owner.wall_ms()
    for number in range(50):
        suspect = views.Suspect(fingerprint=f"f{number}", count=1, at=now + number)
        view._learn(views.ViewNews(suspects=[suspect]))
    assert view.crash_count("f49") == 1
    assert len(view._suspects) <= 10


def test_crashes_far_apart_do_not_add_up():
    """Without a snapshot in between, as in an owner that has little to do."""
    working = state.State()
    counts = []
    for nonce, at in (("a", 0), ("b", 3 * HOUR_MS), ("c", 3 * HOUR_MS + 5)):
        crash = records.Crash(fingerprint="f", upstream="u", nonce=nonce, at=at)
        tell = ops.CrashTell(shard=0, crash=crash)
        counts.append(ops.decide(working, tell, lambda run: True).reply.count)
    assert counts == [1, 1, 2]
