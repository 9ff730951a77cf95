"""Runs a scenario under several policies and reports them side by side."""

import asyncio
import collections
import json
import pathlib
import random
import re
import time
import zlib

import aiohttp
import attrs

from masticpost_bench import (
    benchmarks,
    callers,
    costbound,
    deployment,
    layout,
    scenarios,
)

QUALITY = re.compile(rb"q=([0-9.]+)")
USAGE = re.compile(rb'"completion_tokens":(\d+),"prompt_tokens":(\d+)')
MANUAL = "Manual of line 4: torque, caps, labels, cleaning cycles. " * 40
NEW_VERSION = layout.NEW_VERSION
WARM_UP = 600
WARM_UP_AT_ONCE = 16


@attrs.define(kw_only=True)
class Shot:
    """One request of a run; times in seconds, `due` from the start of the run."""

    due: float
    service: str
    difficulty: float
    status: int = 0
    ran: str = ""
    code: str = ""
    first_s: float = 0.0
    total_s: float = 0.0
    gap_s: float = 0.0
    quality: float = -1.0
    cost: float = 0.0
    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def is_good(self) -> bool:
        """Whether the request was answered."""
        return self.status in (200, 201)


@attrs.define(kw_only=True)
class Fired:
    """The requests of a run, and what engines got for a version that is rolled out."""

    shots: list[Shot]
    exposed: int
    last_s: float


@attrs.define(kw_only=True)
class Row:
    """Summary of a run under one policy; times in milliseconds.

    `exposed` counts what engines got for a version that is rolled out, warm-up
    included; the last one came `exposed_until_s` seconds after the first request.
    """

    scenario: str
    policy: str
    seed: int
    sent: int
    answered: float
    refused: int
    broken: int
    cost_per_request: float
    oracle_cost: float
    quality: dict[str, float]
    first_p50: float
    first_p95: float
    first_p99: float
    gap_p95: float
    total_p99: float
    window_answered: float
    window_total_p99: float
    exposed: int
    exposed_until_s: float
    codes: dict[str, int]


@benchmarks.BENCHMARKS.register("run")
async def run(args: dict[str, object]) -> int:
    """Run one scenario under the policies and seeds given."""
    name = str(args["SCENARIO"])
    plan = scenarios.LAYOUTS[str(args["--deployment"])]()
    rows = []
    for seed in range(1, int(str(args["--seeds"])) + 1):
        for policy in str(args["--policy"]).split(","):
            chosen = scenarios.SCENARIOS.get(name)
            fired = await fire(plan, chosen, policy, seed)
            row = summarize(plan, chosen, policy, seed, fired)
            rows.append(row)
            print(_line(row), flush=True)
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{plan.name}-{name}.json"
    path.write_text(json.dumps([attrs.asdict(row) for row in rows], indent=2))
    _plot(rows, out / f"{plan.name}-{name}.png")
    return 0


async def fire(
    plan: layout.Layout, chosen: scenarios.Scenario, policy: str, seed: int
) -> Fired:
    """Run a scenario once and return every request."""
    plan = scenarios.apply_policy(chosen.prepare(plan), policy)
    async with deployment.Deployment(plan=plan) as dep:
        await _warm_up(dep)
        timeline = asyncio.create_task(chosen.timeline(dep))
        shots = await _open_loop(dep, chosen, seed)
        timeline.cancel()
        await asyncio.gather(timeline, return_exceptions=True)
        rows = [await dep.counts(engine.name) for engine in dep.plan.engines]
    times = [at for row in rows for at in row["dispatches"].get(NEW_VERSION, [])]
    return Fired(shots=shots, exposed=len(times), last_s=_span(rows, times))


def _span(rows: list[dict], times: list[float]) -> float:
    """Return the seconds from the first request of all to the last of `times`."""
    every = [at for row in rows for found in row["dispatches"].values() for at in found]
    return max(times) - min(every) if times else 0.0


async def _warm_up(dep: deployment.Deployment) -> None:
    """Let upstreams get warm and cascades learn, under the same mix."""
    draw = random.Random(0)
    mix = scenarios.MIXES[dep.plan.name]
    coros = [_shoot(dep, _draw(mix, draw), 0.0, f"warm-{i}") for i in range(WARM_UP)]
    await callers.gather_limited(WARM_UP_AT_ONCE, coros)


def _draw(
    mix: tuple[scenarios.RequestKind, ...], draw: random.Random
) -> scenarios.RequestKind:
    return draw.choices(mix, [kind.weight for kind in mix])[0]


async def _open_loop(
    dep: deployment.Deployment, chosen: scenarios.Scenario, seed: int
) -> list[Shot]:
    draw = random.Random(seed)
    mix = scenarios.MIXES[dep.plan.name]
    started = time.monotonic()
    due = 0.0
    tasks = []
    while due < chosen.seconds:
        due += draw.expovariate(chosen.rate_s)
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        name = f"{seed}-{len(tasks)}"
        tasks.append(asyncio.create_task(_shoot(dep, _draw(mix, draw), due, name)))
    return list(await asyncio.gather(*tasks))


async def _shoot(
    dep: deployment.Deployment, kind: scenarios.RequestKind, due: float, name: str
) -> Shot:
    """Send one request and time its answer."""
    shot = Shot(due=due, service=kind.service, difficulty=kind.difficulty)
    customer = zlib.crc32(name.encode()) % len(dep.plan.customers)
    headers = {"Authorization": f"Bearer {dep.plan.customers[customer].key}"}
    if kind.request_class:
        headers["X-Request-Class"] = kind.request_class
    if not kind.output_words:
        headers["Idempotency-Key"] = f"run-{name}"
        path = _operation_path(dep, kind)
        body: object = {"crew": name}
    else:
        path = "/v1/chat/completions"
        prompt = f"{name} [len={kind.output_words}] [hard={kind.difficulty}]"
        content = MANUAL + prompt if kind.has_long_prompt else prompt
        body = {
            "model": kind.service,
            "messages": [{"role": "user", "content": content}],
            "stream": kind.stream,
            "stream_options": {"include_usage": True} if kind.stream else None,
        }
    await _timed(dep, shot, path, headers, body)
    return shot


def _operation_path(dep: deployment.Deployment, kind: scenarios.RequestKind) -> str:
    """Return the path of the non-idempotent operation of a plain service."""
    operations = dep.plan.services[kind.service]["operations"]
    path = next(op["path"] for op in operations if op.get("idempotent") is False)
    return f"/v1/services/{kind.service}{path}"


async def _timed(
    dep: deployment.Deployment,
    shot: Shot,
    path: str,
    headers: dict[str, str],
    body: object,
) -> None:
    started = time.monotonic()
    content = b""
    chunks = 0
    try:
        async with dep.http.post(
            f"{dep.pick().url}{path}", json=body, headers=headers
        ) as resp:
            async for chunk in resp.content.iter_any():
                if not content:
                    shot.first_s = time.monotonic() - started
                content += chunk
                chunks += 1
        shot.status = resp.status
        shot.ran = resp.headers.get("X-Request-Ran", "")
        shot.cost = float(resp.headers.get("X-Request-Cost", 0.0))
    except (aiohttp.ClientError, TimeoutError, OSError):
        shot.status = 0
    shot.total_s = time.monotonic() - started
    if chunks > 1:
        shot.gap_s = (shot.total_s - shot.first_s) / (chunks - 1)
    if shot.status >= 400:
        shot.code = json.loads(content)["error"]["code"]
    found = QUALITY.search(content)
    if found and shot.status == 200:
        shot.quality = float(found.group(1))
        _read_usage(dep, shot, content, resp.headers["X-Model-Version"])


def _read_usage(
    dep: deployment.Deployment, shot: Shot, content: bytes, version: str
) -> None:
    """Take tokens from the answer, and a stream's cost from its tokens."""
    found = USAGE.findall(content)
    if not found:
        return
    shot.output_tokens, shot.prompt_tokens = map(int, found[-1])
    if not shot.cost:
        shot.cost = costbound.request_cost(
            dep.plan, version, shot.prompt_tokens, shot.output_tokens
        )


def summarize(
    plan: layout.Layout,
    chosen: scenarios.Scenario,
    policy: str,
    seed: int,
    fired: Fired,
) -> Row:
    """Return the summary of a run."""
    shots = fired.shots
    good = [s for s in shots if s.is_good]
    models = [s for s in good if s.quality >= 0]
    low, high = chosen.window
    inside = [s for s in shots if low <= s.due < high]
    inside_good = [s for s in inside if s.is_good]
    firsts = [s.first_s for s in models]
    return Row(
        scenario=chosen.name,
        policy=policy,
        seed=seed,
        sent=len(shots),
        answered=len(good) / len(shots),
        refused=sum(1 for s in shots if s.status >= 400),
        broken=sum(1 for s in shots if s.status == 0),
        cost_per_request=_mean([s.cost for s in models]) * 1e6,
        oracle_cost=_oracle(plan, models) * 1e6,
        quality=_quality(models),
        first_p50=_percentile(firsts, 0.5),
        first_p95=_percentile(firsts, 0.95),
        first_p99=_percentile(firsts, 0.99),
        gap_p95=_percentile([s.gap_s for s in models if s.gap_s], 0.95),
        total_p99=_percentile([s.total_s for s in good], 0.99),
        window_answered=len(inside_good) / max(1, len(inside)),
        window_total_p99=_percentile([s.total_s for s in inside_good], 0.99),
        exposed=fired.exposed,
        exposed_until_s=fired.last_s,
        codes=dict(collections.Counter(s.code for s in shots if s.code)),
    )


def _oracle(plan: layout.Layout, models: list[Shot]) -> float:
    known = [
        costbound.KnownRequest(
            service=s.service,
            difficulty=s.difficulty,
            prompt_tokens=s.prompt_tokens,
            output_tokens=s.output_tokens,
        )
        for s in models
    ]
    cost = costbound.oracle_cost(plan, known, *layout.QUALITIES)
    return cost / max(1, len(models))


def _quality(shots: list[Shot]) -> dict[str, float]:
    grouped = collections.defaultdict(list)
    for shot in shots:
        grouped[shot.service].append(shot.quality)
    return {name: round(_mean(values), 3) for name, values in sorted(grouped.items())}


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _line(row: Row) -> str:
    return (
        f"{row.scenario:<13} {row.policy:<17} seed {row.seed}  sent {row.sent:>5} "
        f"answered {row.answered:.4f} refused {row.refused} broken {row.broken}  "
        f"cost {row.cost_per_request:>6.1f}e-6 (oracle {row.oracle_cost:.1f}) "
        f"quality {row.quality}  "
        f"first {row.first_p50:.0f}/{row.first_p95:.0f}/{row.first_p99:.0f} ms "
        f"gap p95 {row.gap_p95:.1f}  total p99 {row.total_p99:.0f}  "
        f"window {row.window_answered:.4f} p99 {row.window_total_p99:.0f}  "
        f"exposed {row.exposed} until {row.exposed_until_s:.0f} s  "
        f"{row.codes or ''}"
    )


def _plot(rows: list[Row], path: pathlib.Path) -> None:
    """Write a bar plot of first-token p95 and cost per policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    names = [f"{row.policy} #{row.seed}" for row in rows]
    left.barh(names, [row.first_p95 for row in rows])
    left.set_xlabel("first token p95, ms")
    right.barh(names, [row.cost_per_request for row in rows])
    right.set_xlabel("cost per model request, 1e-6")
    figure.suptitle(rows[0].scenario)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
