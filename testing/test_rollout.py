"""A bad version is stopped by itself; the text gives it another trial."""

import asyncio

import attrs
from masticpost_bench import deployment, layout, procs

QUALITIES = {"small-1": 0.80, "small-2": 0.55, "large-1": 0.96}
MAX_EXPOSED = 400


def rollout_plan():
    plan = layout.small()
    engines = tuple(attrs.evolve(e, qualities=dict(QUALITIES)) for e in plan.engines)
    versions = {
        **plan.versions,
        "small-1": {**plan.versions["small-1"], "share": 80},
        "small-2": {"model": "small", "share": 20},
    }
    return attrs.evolve(plan, engines=engines, versions=versions)


async def stops(dep, via):
    return [row["version"] for row in (await dep.status(via))["stops"]]


async def served(dep, count):
    """Return how many of some requests the new version answers."""
    works = [dep.chat(f"{i} [len=2]", stream=i % 2 == 0) for i in range(count)]
    replies = await deployment.gather_limited(6, works)
    good = [reply for reply in replies if reply.status == 200]
    return sum(r.headers["X-Model-Version"] == "small-2" for r in good)


async def test_bad_version_is_stopped_everywhere_and_may_be_tried_again():
    async with deployment.Deployment(plan=rollout_plan()) as dep:
        exposed = 0
        while "small-2" not in await stops(dep, "entry-0"):
            exposed += await served(dep, 30)
            assert exposed < MAX_EXPOSED
            await asyncio.sleep(0.2)
        for name in dep.daemons:

            async def knows(via=name):
                return "small-2" in await stops(dep, via)

            await procs.wait_for(knows, f"the stop on {name}")
        assert await served(dep, 60) == 0
        dep.daemons.pop("entry-0").proc.kill()
        dep.start_daemon("entry-9", "north")
        await dep.list_all()
        await dep.wait_ready()
        assert await served(dep, 60) == 0
        generation = await dep.apply({"versions.small-2": {"trial": 2}})
        await dep.wait_generation(generation)

        async def is_back():
            return await served(dep, 20) > 0

        await procs.wait_for(is_back, "the version's second trial")
