"""A session keeps its version while the owner of its pin is unavailable."""

import asyncio
import time

import attrs
import pytest
from masticpost_common import errors
from masticpost_shards import directory, ops, sessions

KEY = sessions.session_key("c", "s", "session")


@attrs.define(kw_only=True)
class FakeStore:
    is_down: bool = False


@attrs.define(kw_only=True)
class FakeShards:
    """Pins in memory.

    The first `failures` calls fail; then `lost_durable` durable calls fail and lose
    all pins.
    """

    pins: dict[str, str] = attrs.field(factory=dict)
    failures: int = 0
    lost_durable: int = 0
    store: FakeStore = attrs.field(factory=FakeStore)

    def shard_of(self, key):
        return 0

    async def call(self, op, *, timeout_s):
        if self.failures > 0:
            self.failures -= 1
            raise directory.ShardUnavailableError("shard 0")
        if op.durable and self.lost_durable > 0:
            self.lost_durable -= 1
            self.pins.clear()
            raise directory.ShardUnavailableError("shard 0")
        pinned = self.pins.get(op.pin.key)
        if pinned is not None and pinned != op.replaces:
            return ops.PinReply(version=pinned, is_new=False)
        self.pins[op.pin.key] = op.pin.version
        return ops.PinReply(version=op.pin.version, is_new=True)


def deadline():
    return time.monotonic() + 5.0


async def test_pin_of_another_instance_is_kept():
    client = sessions.Sessions(shards=FakeShards(pins={KEY: "v1"}))
    assert (await client.pin(KEY, "v2", deadline())).version == "v1"


async def test_version_is_never_guessed_while_no_owner_answers():
    """Answering with the proposed version would move the session off its pin."""
    client = sessions.Sessions(shards=FakeShards(pins={KEY: "v1"}, failures=1))
    with pytest.raises(errors.RefusalError) as caught:
        await client.pin(KEY, "v2", deadline())
    refusal = caught.value.refusal
    assert (refusal.code, refusal.ran) == ("session_unavailable", errors.RAN_NO)
    assert refusal.retry_after_s
    assert (await client.pin(KEY, "v2", deadline())).version == "v1"


async def test_pin_that_its_owner_lost_is_sent_again(monkeypatch):
    """If the owner ends before its commit, the pin is sent to the next owner."""
    monkeypatch.setattr(sessions, "RETRY_PAUSE_S", 0.01)
    shards = FakeShards(lost_durable=1)
    client = sessions.Sessions(shards=shards)
    pinned = await client.pin(KEY, "v1", deadline())
    assert await pinned.durable == "v1"
    async with asyncio.timeout(10):
        while shards.pins.get(KEY) != "v1":
            await asyncio.sleep(0.01)
    other = sessions.Sessions(shards=shards)
    assert (await other.pin(KEY, "v2", deadline())).version == "v1"
