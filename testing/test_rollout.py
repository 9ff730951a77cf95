"""Staged roll-outs: bad versions stop automatically, the text can retry them."""

import asyncio

import attrs
from masticpost_bench import callers, deployment, layout, procs

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


async def stopped_versions(dep, via):
    rows = (await dep.status(via))["trials"]
    return [row["version"] for row in rows if row["is_stopped"]]


async def count_served(dep, count):
    """Send `count` requests; return how many the new version answers."""
    coros = [dep.chat(f"{i} [len=2]", stream=i % 2 == 0) for i in range(count)]
    replies = await callers.gather_limited(6, coros)
    answered = [reply for reply in replies if reply.status == 200]
    return sum(r.headers["X-Model-Version"] == "small-2" for r in answered)


async def test_bad_version_is_stopped_everywhere_until_a_new_trial():
    async with deployment.Deployment(plan=rollout_plan()) as dep:
        exposed = 0
        while "small-2" not in await stopped_versions(dep, "entry-0"):
            exposed += await count_served(dep, 30)
            assert exposed < MAX_EXPOSED
            await asyncio.sleep(0.2)
        for name in dep.daemons:

            async def is_stopped(via=name):
                return "small-2" in await stopped_versions(dep, via)

            await procs.wait_for(is_stopped, f"the stop on {name}")
        assert await count_served(dep, 60) == 0
        dep.daemons.pop("entry-0").proc.kill()
        dep.start_daemon("entry-9", "north")
        await dep.publish_instance_list()
        await dep.wait_ready()
        assert await count_served(dep, 60) == 0
        generation = await dep.apply({"versions.small-2": {"trial": 2}})
        await dep.wait_generation(generation)

        async def is_back():
            return await count_served(dep, 20) > 0

        await procs.wait_for(is_back, "the version's second trial")


def staged_plan(quality, stage_s=0.3, samples=8):
    plan = rollout_plan()
    qualities = {**QUALITIES, "small-2": quality}
    engines = tuple(attrs.evolve(e, qualities=qualities) for e in plan.engines)
    versions = {
        **plan.versions,
        "small-1": {**plan.versions["small-1"], "share": 0},
        "small-2": {
            "model": "small",
            "share": 100,
            "stages": [10.0, 40.0],
            "stage_s": stage_s,
            "stage_samples": samples,
        },
    }
    return attrs.evolve(plan, engines=engines, versions=versions)


async def stages(dep):
    """Return the stage of the new version on every running instance."""
    found = {}
    for name in dep.daemons:
        rows = (await dep.status(name))["trials"]
        reported = [row["stage"] for row in rows if row["version"] == "small-2"]
        found[name] = reported[0] if reported else 0
    return found


async def wait_for_stage(dep, number):
    """Send requests until every instance is at a stage; stages never decrease."""
    last = {}

    async def is_reached():
        await count_served(dep, 20)
        now = await stages(dep)
        for name, stage in now.items():
            assert stage >= last.get(name, 0)
        last.update(now)
        return min(now.values()) >= number

    await procs.wait_for(is_reached, f"stage {number}", 60.0)


async def test_good_version_passes_its_stages_up_to_its_share():
    async with deployment.Deployment(plan=staged_plan(0.80)) as dep:
        await wait_for_stage(dep, 1)
        for name in ("entry-0", "entry-1"):
            dep.daemons.pop(name).proc.kill()
            dep.start_daemon(f"{name}0", "north")
            await dep.publish_instance_list()
            await dep.wait_ready()
        assert min((await stages(dep)).values()) >= 1
        await wait_for_stage(dep, 2)
        assert await count_served(dep, 40) == 40


async def test_bad_version_is_stopped_in_its_first_stage():
    async with deployment.Deployment(plan=staged_plan(0.45, samples=40)) as dep:
        while "small-2" not in await stopped_versions(dep, "entry-0"):
            await count_served(dep, 30)
            assert max((await stages(dep)).values()) == 0
        assert await count_served(dep, 40) == 0


async def test_no_stage_starts_while_it_cannot_be_committed():
    async with deployment.Deployment(plan=staged_plan(0.80)) as dep:
        await count_served(dep, 20)
        before = await stages(dep)
        await dep.set_faults("store", outage="abort")
        for _ in range(8):
            await count_served(dep, 20)
        assert await stages(dep) == before
        await dep.set_faults("store", outage="")
        await wait_for_stage(dep, 2)


async def test_status_shows_a_rollout_that_waits_for_samples():
    async with deployment.Deployment(plan=staged_plan(0.80, samples=5000)) as dep:

        async def is_shown():
            await count_served(dep, 20)
            rows = [r for n in dep.daemons for r in (await dep.status(n))["rollouts"]]
            return any(0 < row["samples"] < row["needed_samples"] for row in rows)

        await procs.wait_for(is_shown, "the roll-out in the status")
        assert max((await stages(dep)).values()) == 0
