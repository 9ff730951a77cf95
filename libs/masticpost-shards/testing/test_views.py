"""The shared view: a quarantine expires, and updates reach every instance.

A request suspected of two crashes long ago must run again.
"""

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
    return views.SharedView(shards=fakepeers.FakeShards())


def update(count, at):
    suspect = views.Suspect(fingerprint="f", count=count, at=at)
    return views.ViewUpdate(suspects=[suspect])


def test_quarantine_ends_after_its_time(view, monkeypatch):
    now = clock.wall_ms()
    view._merge(update(2, now))
    assert view.is_quarantined("f")
    monkeypatch.setattr(clock, "wall_ms", lambda: now + state.CRASH_RETENTION_MS + 1)
    assert not view.is_quarantined("f")
    assert view.crash_count("f") == 0
    view._merge(update(1, now + state.CRASH_RETENTION_MS))
    assert view.crash_count("f") == 1


def test_late_updates_do_not_lower_the_count(view):
    now = clock.wall_ms()
    view._merge(update(2, now))
    view._merge(update(1, now - 10))
    assert view.is_quarantined("f")


def test_number_of_suspects_is_limited(view, monkeypatch):
    monkeypatch.setattr(views, "MAX_SUSPECTS", 10)
    now = clock.wall_ms()
    for number in range(50):
        suspect = views.Suspect(fingerprint=f"f{number}", count=1, at=now + number)
        view._merge(views.ViewUpdate(suspects=[suspect]))
    assert view.crash_count("f49") == 1
    assert len(view._suspects) <= 10


def test_crashes_far_apart_do_not_add_up():
    """Old crashes expire even without a snapshot, as in an owner with little load."""
    working_state = state.State()
    counts = []
    for nonce, at in (("a", 0), ("b", 3 * HOUR_MS), ("c", 3 * HOUR_MS + 5)):
        crash = records.Crash(fingerprint="f", upstream="u", nonce=nonce, at=at)
        report = ops.PossibleCrashReport(shard=0, crash=crash)
        counts.append(ops.decide(working_state, report, lambda run: True).reply.count)
    assert counts == [1, 1, 2]


@attrs.define(kw_only=True)
class FakeMember:
    name: str
    address: str


class FakeMembers:
    def alive(self):
        return [FakeMember(name=name, address=name) for name in ("entry-0", "entry-1")]


@attrs.define(kw_only=True)
class LossyPeers(fakepeers.FakePeers):
    """The first `lost` messages get no answer in time."""

    lost: int
    received: list[object] = attrs.field(factory=list)

    async def call(self, address, body, timeout_s):
        if self.lost > 0:
            self.lost -= 1
            raise hub.PeerUnreachableError(address)
        self.received.append(body)
        return ops.Done()


async def test_update_without_acknowledgement_is_sent_again(monkeypatch):
    """Otherwise the instance sends to a cold upstream at full rate for seconds."""
    monkeypatch.setattr(views, "RESEND_PAUSE_S", 0.001)
    shards = fakepeers.FakeShards(peers=LossyPeers(lost=2), members=FakeMembers())
    view = views.SharedView(shards=shards)
    cold = records.Warmth(upstream="engine-0", warm=False, at=1)
    await view._broadcast(views.ViewUpdate(warmth=[cold]))
    async with asyncio.timeout(20):
        while not shards.peers.received:
            await asyncio.sleep(0.001)
    assert shards.peers.received[0].warmth == [cold]


@attrs.define(kw_only=True)
class SlowShards(fakepeers.FakeShards):
    """Commits wait until `go` is set."""

    go: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_called: asyncio.Event = attrs.field(factory=asyncio.Event)

    def shard_of(self, key):
        return 0

    async def call(self, op, timeout_s):
        self.is_called.set()
        await self.go.wait()
        return ops.WarmthReply(warmth=op.warmth)


@pytest.mark.parametrize("fails", [False, True])
async def test_upstream_that_crashes_while_reported_warm_is_cold(fails):
    shards = SlowShards(peers=LossyPeers(lost=0), members=FakeMembers())
    view = views.SharedView(shards=shards)
    reporting = asyncio.create_task(view.report_warm("engine-0"))
    await shards.is_called.wait()
    if fails:
        view.record_failure("engine-0")
    shards.go.set()
    await reporting
    reported = [row.warm for update in shards.peers.received for row in update.warmth]
    assert view.is_warm("engine-0") is not fails
    assert reported[-1] is not fails
