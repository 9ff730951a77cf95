"""Only successes after the last report of a cold start count towards its end."""

import attrs
from masticpost_common import clock
from masticpost_shards import permits, records, views
from support import fakepeers

SHARD = 0
ENGINE = "engine-0"
RESOURCE = views.warmth_key(ENGINE)


@attrs.define(kw_only=True)
class Harness:
    """An issuer, the view that resets its streaks, and the resources it found warm."""

    view: views.SharedView
    issuer: permits.PermitIssuer
    warm: list[str] = attrs.field(factory=list)

    async def succeed(self):
        self.issuer._leases[RESOURCE]["n"] = 0.0
        back = permits.PermitReturn(
            shard=SHARD, resource=RESOURCE, nonce="n", is_success=True, successes=3
        )
        await self.issuer.on_return(None, back)


def make_harness():
    shards = fakepeers.FakeShards()
    harness = Harness(
        view=views.SharedView(shards=shards),
        issuer=permits.PermitIssuer(shards=shards),
    )
    harness.issuer.listen(harness.warm.append, harness.view.record_failure)
    harness.view.set_cold_listener(harness.issuer.reset_streak)
    return harness


def report_cold(view):
    warmth = records.Warmth(upstream=ENGINE, warm=False, at=clock.wall_ms())
    view._merge(views.ViewUpdate(warmth=[warmth]))


async def test_three_successes_end_a_cold_start():
    harness = make_harness()
    for _ in range(3):
        await harness.succeed()
    assert harness.warm == [RESOURCE]


async def test_successes_before_a_crash_do_not_count_after_it():
    """No permit was in use at the crash; another instance reported the restart."""
    harness = make_harness()
    await harness.succeed()
    await harness.succeed()
    report_cold(harness.view)
    await harness.succeed()
    assert harness.warm == []
    await harness.succeed()
    await harness.succeed()
    assert harness.warm == [RESOURCE]
