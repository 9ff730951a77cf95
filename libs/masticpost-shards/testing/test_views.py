"""Suspicion ends: a request that was near two crashes long ago runs again."""

import asyncio

import attrs
import pytest
from masticpost_common import clock
from masticpost_peers import hub
from masticpost_shards import ops, records, state, views
from support import fakepeers

HOUR_MS = 60 * state.MINUTE_MS


@pytest.fixture
def view():
    return views.Views(shards=fakepeers.FakeShards())


def news(count, at):
    suspect = views.Suspect(fingerprint="f", count=count, at=at)
    return views.ViewNews(suspects=[suspect])


def test_quarantine_ends_after_its_time(view, monkeypatch):
    now = clock.wall_ms()
    view._learn(news(2, now))
    assert view.is_quarantined("f")
    monkeypatch.setattr(clock, "wall_ms", lambda: now + state.CRASH_KEPT_MS + 1)
    assert not view.is_quarantined("f")
    assert view.crash_count("f") == 0
    view._learn(news(1, now + state.CRASH_KEPT_MS))
    assert view.crash_count("f") == 1


def test_late_news_do_not_lower_the_count(view):
    now = clock.wall_ms()
    view._learn(news(2, now))
    view._learn(news(1, now - 10))
    assert view.is_quarantined("f")


def test_only_so_many_suspects_are_kept(view, monkeypatch):
    monkeypatch.setattr(views, "MAX_SUSPECTS", 10)
    now = clock.wall_ms()
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


@attrs.define(kw_only=True)
class FakeMember:
    name: str
    address: str


class FakeMembers:
    def alive(self):
        return [FakeMember(name=name, address=name) for name in ("entry-0", "entry-1")]


@attrs.define(kw_only=True)
class DeafPeers(fakepeers.FakePeers):
    """The first messages to a peer get no answer in time."""

    lost: int
    heard: list[object] = attrs.field(factory=list)

    async def call(self, address, body, timeout_s):
        if self.lost > 0:
            self.lost -= 1
            raise hub.PeerUnreachableError(address)
        self.heard.append(body)
        return ops.Done()


async def test_news_that_an_instance_did_not_confirm_are_sent_again(monkeypatch):
    """Else it goes on sending to a cold upstream as to a warm one for seconds."""
    monkeypatch.setattr(views, "PUSH_PAUSE_S", 0.001)
    shards = fakepeers.FakeShards(peers=DeafPeers(lost=2), members=FakeMembers())
    view = views.Views(shards=shards)
    cold = records.Warmth(upstream="engine-0", warm=False, at=1)
    await view._push(views.ViewNews(warmth=[cold]))
    async with asyncio.timeout(20):
        while not shards.peers.heard:
            await asyncio.sleep(0.001)
    assert shards.peers.heard[0].warmth == [cold]


@attrs.define(kw_only=True)
class SlowShards(fakepeers.FakeShards):
    """Commits wait until they are let go."""

    go: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_asked: asyncio.Event = attrs.field(factory=asyncio.Event)

    def shard_of(self, key):
        return 0

    async def call(self, op, timeout_s):
        self.is_asked.set()
        await self.go.wait()
        return ops.WarmthReply(warmth=op.warmth)


@pytest.mark.parametrize("fails", [False, True])
async def test_upstream_that_crashes_while_it_is_told_warm_is_cold(fails):
    shards = SlowShards(peers=DeafPeers(lost=0), members=FakeMembers())
    view = views.Views(shards=shards)
    telling = asyncio.create_task(view.tell_warm("engine-0"))
    await shards.is_asked.wait()
    if fails:
        view.note_failure("engine-0")
    shards.go.set()
    await telling
    told = [row.warm for news in shards.peers.heard for row in news.warmth]
    assert view.is_warm("engine-0") is not fails
    assert told[-1] is not fails
