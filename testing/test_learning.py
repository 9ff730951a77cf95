"""What cascades learnt outlives the instances that learnt it."""

import attrs
from masticpost_bench import callers, deployment, layout, procs

HARD = "hard {number} [len=2] [hard=0.6]"
HARD_TARGET = 0.75
LEAST_LARGE = 0.1
EASY = "easy {number} [len=2] [hard=0.1]"
ASKED = 60


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
        dep.chat(EASY.format(number=n), stream=True, via=via) for n in range(count)
    ]
    replies = await callers.gather_limited(4, coros)
    versions = [reply.headers["X-Model-Version"] for reply in replies]
    return versions.count("small-1") / count


async def test_new_instance_starts_from_what_the_others_learnt():
    """It can learn nothing itself: the rating service is out when it starts."""
    async with deployment.Deployment(plan=learning_plan()) as dep:

        async def is_learnt():
            return await cheap_share(dep, "entry-0", ASKED) > 0.9

        await procs.wait_for(is_learnt, "entry-0 to learn", 60.0)
        await dep.set_faults("rating", outage="abort")
        daemon = dep.start_daemon("entry-9", "south")
        await dep.publish_instance_list()
        await dep.wait_ready()

        async def is_told():
            return await cheap_share(dep, daemon.name) > 0.9

        await procs.wait_for(is_told, "entry-9 to be told", 60.0)
        for name in ("entry-0", "entry-1", "entry-2"):
            assert await dep.daemons.pop(name).proc.stop() == 0
        assert await cheap_share(dep, daemon.name) > 0.8


async def test_target_is_kept_while_answers_cannot_be_rated():
    """A plan that rates the cheap answer and escalates would accept every one."""
    plan = learning_plan()
    setup = {**plan.services["setup"], "quality_target": HARD_TARGET}
    plan = attrs.evolve(plan, services={**plan.services, "setup": setup})
    async with deployment.Deployment(plan=plan) as dep:

        async def large_share():
            coros = [
                dep.chat(HARD.format(number=n), via="entry-0") for n in range(ASKED)
            ]
            replies = await callers.gather_limited(4, coros)
            versions = [reply.headers["X-Model-Version"] for reply in replies]
            return versions.count("large-1") / ASKED

        for _ in range(4):
            await large_share()
        await dep.set_faults("rating", outage="abort")
        await large_share()
        assert await large_share() > LEAST_LARGE
