"""Scenarios, policies, and the request mixes of both deployments."""

import asyncio
import collections.abc

import attrs
from masticpost_common import registry

from masticpost_bench import callers, deployment, layout

Timeline = collections.abc.Callable[
    [deployment.Deployment], collections.abc.Awaitable[None]
]


Prepare = collections.abc.Callable[[layout.Layout], layout.Layout]


def unchanged(plan: layout.Layout) -> layout.Layout:
    """Return the layout as it is."""
    return plan


@attrs.frozen(kw_only=True)
class Scenario:
    """A load and the events during it; times in seconds from its start.

    `rate_s` is in requests per second. `window` is the interval that is also reported
    on its own, such as the time around a change. `prepare` changes the layout before
    the deployment starts.
    """

    name: str
    rate_s: float
    seconds: float
    timeline: Timeline
    window: tuple[float, float]
    prepare: Prepare = unchanged


SCENARIOS: registry.Registry[Scenario] = registry.Registry(kind="scenario")


def scenario(
    name: str, *, rate_s: float, seconds: float, window: tuple[float, float]
) -> collections.abc.Callable[[Timeline], Timeline]:
    """Register a timeline as a scenario."""

    def add(timeline: Timeline) -> Timeline:
        SCENARIOS.register(name)(
            Scenario(
                name=name,
                rate_s=rate_s,
                seconds=seconds,
                timeline=timeline,
                window=window,
            )
        )
        return timeline

    return add


@scenario("steady", rate_s=30, seconds=20, window=(0, 20))
async def steady(dep: deployment.Deployment) -> None:
    """Constant load without faults."""


@scenario("peak", rate_s=90, seconds=20, window=(0, 20))
async def peak(dep: deployment.Deployment) -> None:
    """Three times the steady load, without faults."""


@scenario("domain", rate_s=30, seconds=30, window=(6, 30))
async def domain(dep: deployment.Deployment) -> None:
    """A failure domain is taken out of service and put back after 10 s."""
    name = dep.plan.domains[0]
    await asyncio.sleep(8)
    await dep.apply({f"domains.{name}": {"out": True}})
    await asyncio.sleep(10)
    await dep.apply()


@scenario("pool-loss", rate_s=30, seconds=24, window=(6, 24))
async def pool_loss(dep: deployment.Deployment) -> None:
    """Two engines crash at once and restart cold after 4 s."""
    await asyncio.sleep(8)
    for engine in dep.plan.engines[:2]:
        await dep.set_faults(engine.name, down_s=4.0)
        await dep.run_action(engine.name, "crash")


@scenario("store-out", rate_s=30, seconds=30, window=(6, 30))
async def store_out(dep: deployment.Deployment) -> None:
    """The object API is unavailable for 12 s."""
    await asyncio.sleep(8)
    await dep.set_faults("store", outage="abort")
    await asyncio.sleep(12)
    await dep.set_faults("store", outage="")


@scenario("instance-loss", rate_s=30, seconds=24, window=(6, 24))
async def instance_loss(dep: deployment.Deployment) -> None:
    """Two instances are killed; the load balancer stops using them at once."""
    await asyncio.sleep(8)
    for name in ("entry-0", "entry-1"):
        dep.daemons[name].proc.kill()


@scenario("flood", rate_s=30, seconds=20, window=(4, 20))
async def flood(dep: deployment.Deployment) -> None:
    """One large customer sends four times the load of all others."""
    await asyncio.sleep(5)
    coros = [dep.chat(f"flood {number} [len=40]", customer=0) for number in range(1200)]
    await callers.gather_limited(120, coros)


@scenario("cold-restart", rate_s=30, seconds=30, window=(6, 30))
async def cold_restart(dep: deployment.Deployment) -> None:
    """All engines crash at once and restart cold after 1 s."""
    await asyncio.sleep(8)
    for engine in dep.plan.engines:
        await dep.set_faults(engine.name, down_s=1.0)
    coros = [dep.run_action(engine.name, "crash") for engine in dep.plan.engines]
    await asyncio.gather(*coros)


@scenario("crashing", rate_s=30, seconds=24, window=(6, 24))
async def crashing(dep: deployment.Deployment) -> None:
    """A caller repeats a request that crashes the engine it runs on."""
    await asyncio.sleep(8)
    for _ in range(20):
        await dep.chat("please [crash]")
        await asyncio.sleep(0.5)


def _rollout(name: str, quality: float) -> None:
    """Register a roll-out of a version of the cheap model with this quality."""

    def prepare(plan: layout.Layout) -> layout.Layout:
        return layout.with_rollout(plan, quality)

    async def timeline(dep: deployment.Deployment) -> None:
        """No events besides the roll-out."""

    SCENARIOS.register(name)(
        Scenario(
            name=name,
            rate_s=90,
            seconds=40,
            timeline=timeline,
            window=(0, 40),
            prepare=prepare,
        )
    )


for _name, _quality in (("good", 0.8), ("mild", 0.74), ("medium", 0.65), ("bad", 0.4)):
    _rollout(f"rollout-{_name}", _quality)


@attrs.frozen(kw_only=True)
class Policy:
    """Text fields that select a policy.

    `services` are fields of every model service, `versions` fields by version.
    """

    services: dict[str, str] = attrs.field(factory=dict)
    versions: dict[str, dict[str, object]] = attrs.field(factory=dict)


# The new version gets a fixed share of 20 %, without stages.
FIXED_SHARES: dict[str, dict[str, object]] = {
    "small-1": {"share": 80},
    layout.NEW_VERSION: {"share": 20, "stages": []},
}
# As FIXED_SHARES, and the new version is never stopped for bad results.
NO_STOP = {
    **FIXED_SHARES,
    layout.NEW_VERSION: {**FIXED_SHARES[layout.NEW_VERSION], "judge": "never"},
}
POLICIES: dict[str, Policy] = {
    "ours": Policy(),
    "best": Policy(services={"cascade": "best"}),
    "cheapest": Policy(services={"cascade": "cheapest"}),
    "threshold": Policy(services={"cascade": "threshold"}),
    "round-robin": Policy(services={"choice": "round-robin"}),
    "random": Policy(services={"choice": "random"}),
    "least-outstanding": Policy(services={"choice": "least-outstanding"}),
    "two-choices": Policy(services={"choice": "two-choices"}),
    "fixed-share": Policy(versions=FIXED_SHARES),
    "no-stop": Policy(versions=NO_STOP),
}


def apply_policy(plan: layout.Layout, policy: str) -> layout.Layout:
    """Return the layout with the text fields of a policy."""
    chosen = POLICIES[policy]
    services = {
        name: {**row, **chosen.services} if "levels" in row else row
        for name, row in plan.services.items()
    }
    versions = {
        name: {**row, **chosen.versions.get(name, {})}
        for name, row in plan.versions.items()
    }
    return attrs.evolve(plan, services=services, versions=versions)


@attrs.frozen(kw_only=True)
class RequestKind:
    """A kind of request in a mix; `output_words` is 0 for a plain service."""

    service: str
    weight: float
    output_words: int
    difficulty: float
    stream: bool = False
    request_class: str = ""
    has_long_prompt: bool = False


MIXES = {
    "lineswitch": (
        RequestKind(
            service="setup", weight=0.6, output_words=20, difficulty=0.1, stream=True
        ),
        RequestKind(
            service="planner",
            weight=0.25,
            output_words=60,
            difficulty=0.8,
            stream=True,
            request_class="plan",
            has_long_prompt=True,
        ),
        RequestKind(service="crews", weight=0.15, output_words=0, difficulty=0.0),
    ),
    "alharthy": (
        RequestKind(service="checks", weight=0.55, output_words=12, difficulty=0.2),
        RequestKind(
            service="explain", weight=0.25, output_words=40, difficulty=0.4, stream=True
        ),
        RequestKind(
            service="checks",
            weight=0.08,
            output_words=24,
            difficulty=0.9,
            request_class="hard",
        ),
        RequestKind(service="orders", weight=0.12, output_words=0, difficulty=0.0),
    ),
}
LAYOUTS = {"lineswitch": layout.lineswitch, "alharthy": layout.al_harthy}
