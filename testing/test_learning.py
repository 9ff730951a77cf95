"""Estimates of cascades are shared and survive the instances that made them."""

import attrs
from masticpost_bench import callers, deployment, layout, procs

HARD_PROMPT = "hard {number} [len=2] [hard=0.6]"
HARD_TARGET = 0.75
MIN_LARGE_SHARE = 0.1
EASY_PROMPT = "easy {number} [len=2] [hard=0.1]"
REQUESTS = 60


def learning_plan():
    plan = layout.small(instances=3)
    setup = {
        **plan.services["setup"],
        "cascade": "expected-cost",
        "quality_target": 0.7,
    }
    return attrs.evolve(plan, services={**plan.services, "setup": setup})


async def cheap_share(dep, via, count=20):
    """Return the share of streams that the cheap model answers at an instance."""
    coros = [
        dep.chat(EASY_PROMPT.format(number=n), stream=True, via=via)
        for n in range(count)
    ]
    replies = await callers.gather_limited(4, coros)
    versions = [reply.headers["X-Model-Version"] for reply in replies]
    return versions.count("small-1") / count


async def test_new_instance_starts_from_the_estimates_of_others():
    """The new instance cannot learn by itself: the rating service is unavailable."""
    async with deployment.Deployment(plan=learning_plan()) as dep:

        async def has_learned():
            return await cheap_share(dep, "entry-0", REQUESTS) > 0.9

        await procs.wait_for(has_learned, "estimates of entry-0", 60.0)
        await dep.set_faults("rating", outage="abort")
        daemon = dep.start_daemon("entry-9", "south")
        await dep.publish_instance_list()
        await dep.wait_ready()

        async def has_shared_estimates():
            return await cheap_share(dep, daemon.name) > 0.9

        await procs.wait_for(
            has_shared_estimates, "estimates shared with entry-9", 60.0
        )
        for name in ("entry-0", "entry-1", "entry-2"):
            assert await dep.daemons.pop(name).proc.stop() == 0
        assert await cheap_share(dep, daemon.name) > 0.8


async def test_quality_target_is_met_while_answers_cannot_be_rated():
    """Without ratings, a plan to rate and escalate would accept every cheap answer."""
    plan = learning_plan()
    setup = {**plan.services["setup"], "quality_target": HARD_TARGET}
    plan = attrs.evolve(plan, services={**plan.services, "setup": setup})
    async with deployment.Deployment(plan=plan) as dep:

        async def large_share():
            coros = [
                dep.chat(HARD_PROMPT.format(number=n), via="entry-0")
                for n in range(REQUESTS)
            ]
            replies = await callers.gather_limited(4, coros)
            versions = [reply.headers["X-Model-Version"] for reply in replies]
            return versions.count("large-1") / REQUESTS

        for _ in range(4):
            await large_share()
        await dep.set_faults("rating", outage="abort")
        await large_share()
        assert await large_share() > MIN_LARGE_SHARE
