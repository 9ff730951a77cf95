"""A cold start ends by successes that came after it was last told."""

import attrs
from masticpost_common import clock
from masticpost_shards import permits, records, views
from support import fakepeers

SHARD = 0
ENGINE = "engine-0"
RESOURCE = views.warmth_key(ENGINE)


@attrs.define(kw_only=True)
class Room:
    """A desk, the view that it follows, and what it found to be warm."""

    view: views.Views
    desk: permits.Desk
    warm: list[str] = attrs.field(factory=list)

    async def succeed(self):
        self.desk._held[RESOURCE]["n"] = 0.0
        back = permits.PermitReturn(
            shard=SHARD, resource=RESOURCE, nonce="n", is_success=True, successes=3
        )
        await self.desk.on_return(None, back)


def make_room():
    shards = fakepeers.FakeShards()
    room = Room(view=views.Views(shards=shards), desk=permits.Desk(shards=shards))
    room.desk.listen(room.warm.append, room.view.note_failure)
    room.view.on_cold(room.desk.begin_streak_anew)
    return room


def told_cold(view):
    warmth = records.Warmth(upstream=ENGINE, warm=False, at=clock.wall_ms())
    view._learn(views.ViewNews(warmth=[warmth]))


async def test_three_successes_end_a_cold_start():
    room = make_room()
    for _ in range(3):
        await room.succeed()
    assert room.warm == [RESOURCE]


async def test_successes_before_a_crash_do_not_count_after_it():
    """Nobody held a permit when it crashed; its restart was told by another."""
    room = make_room()
    await room.succeed()
    await room.succeed()
    told_cold(room.view)
    await room.succeed()
    assert room.warm == []
    await room.succeed()
    await room.succeed()
    assert room.warm == [RESOURCE]
