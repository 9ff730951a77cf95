"""Benchmark that runs a scenario under several policies and compares them."""

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
LONG_PREFIX = "Manual of line 4: torque, caps, labels, cleaning cycles. " * 40
NEW_VERSION = layout.NEW_VERSION
WARM_UP_REQUESTS = 600
WARM_UP_CONCURRENCY = 16


@attrs.define(kw_only=True)
class RequestResult:
    """One request of a run and its result; times in seconds.

    `due` counts from the start of the run. `status` 0 means that the connection failed,
    `quality` -1 that the answer has none. `first_s` is the time to the first bytes,
    `gap_s` the mean time between the chunks of the body.
    """

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
    def is_answered(self) -> bool:
        """Whether the request was answered."""
        return self.status in (200, 201)


@attrs.define(kw_only=True)
class RunResult:
    """Requests of a run, and the exposure of a version that is rolled out.

    `exposed` counts the requests that engines got for that version; the last one came
    `last_exposed_s` seconds after the first request of all.
    """

    requests: list[RequestResult]
    exposed: int
    last_exposed_s: float


@attrs.define(kw_only=True)
class Row:
    """Summary of a run under one policy; times in milliseconds.

    `exposed` counts the requests that engines got for a version that is rolled out,
    including the warm-up; the last one came `exposed_until_s` seconds after the first
    request. Costs are in millionths, `gap_p95` over answers of several chunks.
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
    """Run one scenario under the given policies, once per seed."""
    name = str(args["SCENARIO"])
    plan = scenarios.LAYOUTS[str(args["--deployment"])]()
    rows = []
    for seed in range(1, int(str(args["--seeds"])) + 1):
        for policy in str(args["--policy"]).split(","):
            scenario = scenarios.SCENARIOS.get(name)
            result = await run_once(plan, scenario, policy, seed)
            row = summarize(plan, scenario, policy, seed, result)
            rows.append(row)
            print(_format_row(row), flush=True)
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{plan.name}-{name}.json"
    path.write_text(json.dumps([attrs.asdict(row) for row in rows], indent=2))
    _plot(rows, out / f"{plan.name}-{name}.png")
    return 0


async def run_once(
    plan: layout.Layout, scenario: scenarios.Scenario, policy: str, seed: int
) -> RunResult:
    """Run a scenario once and return the result of every request."""
    plan = scenarios.apply_policy(scenario.prepare(plan), policy)
    async with deployment.Deployment(plan=plan) as dep:
        await _warm_up(dep)
        timeline = asyncio.create_task(scenario.timeline(dep))
        requests = await _open_loop(dep, scenario, seed)
        timeline.cancel()
        await asyncio.gather(timeline, return_exceptions=True)
        rows = [await dep.counts(engine.name) for engine in dep.plan.engines]
    times = [at for row in rows for at in row["dispatches"].get(NEW_VERSION, [])]
    return RunResult(
        requests=requests,
        exposed=len(times),
        last_exposed_s=_seconds_until_last(rows, times),
    )


def _seconds_until_last(rows: list[dict], times: list[float]) -> float:
    """Return the seconds from the engines' first request to the last of `times`."""
    all_times = [
        at for row in rows for sent_at in row["dispatches"].values() for at in sent_at
    ]
    return max(times) - min(all_times) if times else 0.0


async def _warm_up(dep: deployment.Deployment) -> None:
    """Send requests of the same mix, so that upstreams warm up and cascades learn."""
    rng = random.Random(0)
    mix = scenarios.MIXES[dep.plan.name]
    coros = [
        _send_request(dep, _draw_kind(mix, rng), 0.0, f"warm-{i}")
        for i in range(WARM_UP_REQUESTS)
    ]
    await callers.gather_limited(WARM_UP_CONCURRENCY, coros)


def _draw_kind(
    mix: tuple[scenarios.RequestKind, ...], rng: random.Random
) -> scenarios.RequestKind:
    return rng.choices(mix, [kind.weight for kind in mix])[0]


async def _open_loop(
    dep: deployment.Deployment, scenario: scenarios.Scenario, seed: int
) -> list[RequestResult]:
    rng = random.Random(seed)
    mix = scenarios.MIXES[dep.plan.name]
    started = time.monotonic()
    due = 0.0
    tasks = []
    while due < scenario.seconds:
        due += rng.expovariate(scenario.rate_s)
        await asyncio.sleep(max(0.0, started + due - time.monotonic()))
        name = f"{seed}-{len(tasks)}"
        tasks.append(
            asyncio.create_task(_send_request(dep, _draw_kind(mix, rng), due, name))
        )
    return list(await asyncio.gather(*tasks))


async def _send_request(
    dep: deployment.Deployment, kind: scenarios.RequestKind, due: float, name: str
) -> RequestResult:
    """Send one request and return its result."""
    req = RequestResult(due=due, service=kind.service, difficulty=kind.difficulty)
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
        content = LONG_PREFIX + prompt if kind.has_long_prompt else prompt
        body = {
            "model": kind.service,
            "messages": [{"role": "user", "content": content}],
            "stream": kind.stream,
            "stream_options": {"include_usage": True} if kind.stream else None,
        }
    await _send_timed(dep, req, path, headers, body)
    return req


def _operation_path(dep: deployment.Deployment, kind: scenarios.RequestKind) -> str:
    """Return the path of the non-idempotent operation of a plain service."""
    operations = dep.plan.services[kind.service]["operations"]
    path = next(op["path"] for op in operations if op.get("idempotent") is False)
    return f"/v1/services/{kind.service}{path}"


async def _send_timed(
    dep: deployment.Deployment,
    req: RequestResult,
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
                    req.first_s = time.monotonic() - started
                content += chunk
                chunks += 1
        req.status = resp.status
        req.ran = resp.headers.get("X-Request-Ran", "")
        req.cost = float(resp.headers.get("X-Request-Cost", 0.0))
    except (aiohttp.ClientError, TimeoutError, OSError):
        req.status = 0
    req.total_s = time.monotonic() - started
    if chunks > 1:
        req.gap_s = (req.total_s - req.first_s) / (chunks - 1)
    if req.status >= 400:
        req.code = json.loads(content)["error"]["code"]
    found = QUALITY.search(content)
    if found and req.status == 200:
        req.quality = float(found.group(1))
        _read_usage(dep, req, content, resp.headers["X-Model-Version"])


def _read_usage(
    dep: deployment.Deployment, req: RequestResult, content: bytes, version: str
) -> None:
    """Read token counts from the answer; compute the cost if no header gave it."""
    found = USAGE.findall(content)
    if not found:
        return
    req.output_tokens, req.prompt_tokens = map(int, found[-1])
    if not req.cost:
        req.cost = costbound.request_cost(
            dep.plan, version, req.prompt_tokens, req.output_tokens
        )


def summarize(
    plan: layout.Layout,
    scenario: scenarios.Scenario,
    policy: str,
    seed: int,
    result: RunResult,
) -> Row:
    """Summarize a run."""
    requests = result.requests
    answered = [s for s in requests if s.is_answered]
    model_requests = [s for s in answered if s.quality >= 0]
    low, high = scenario.window
    in_window = [s for s in requests if low <= s.due < high]
    answered_in_window = [s for s in in_window if s.is_answered]
    first_times = [s.first_s for s in model_requests]
    return Row(
        scenario=scenario.name,
        policy=policy,
        seed=seed,
        sent=len(requests),
        answered=len(answered) / len(requests),
        refused=sum(1 for s in requests if s.status >= 400),
        broken=sum(1 for s in requests if s.status == 0),
        cost_per_request=_mean([s.cost for s in model_requests]) * 1e6,
        oracle_cost=_oracle(plan, model_requests) * 1e6,
        quality=_quality(model_requests),
        first_p50=_percentile(first_times, 0.5),
        first_p95=_percentile(first_times, 0.95),
        first_p99=_percentile(first_times, 0.99),
        gap_p95=_percentile([s.gap_s for s in model_requests if s.gap_s], 0.95),
        total_p99=_percentile([s.total_s for s in answered], 0.99),
        window_answered=len(answered_in_window) / max(1, len(in_window)),
        window_total_p99=_percentile([s.total_s for s in answered_in_window], 0.99),
        exposed=result.exposed,
        exposed_until_s=result.last_exposed_s,
        codes=dict(collections.Counter(s.code for s in requests if s.code)),
    )


def _oracle(plan: layout.Layout, model_requests: list[RequestResult]) -> float:
    known_requests = [
        costbound.KnownRequest(
            service=s.service,
            difficulty=s.difficulty,
            prompt_tokens=s.prompt_tokens,
            output_tokens=s.output_tokens,
        )
        for s in model_requests
    ]
    cost = costbound.oracle_cost(plan, known_requests, *layout.QUALITIES)
    return cost / max(1, len(model_requests))


def _quality(requests: list[RequestResult]) -> dict[str, float]:
    grouped = collections.defaultdict(list)
    for req in requests:
        grouped[req.service].append(req.quality)
    return {name: round(_mean(values), 3) for name, values in sorted(grouped.items())}


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _format_row(row: Row) -> str:
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
    """Write a bar plot of first-token p95 and cost by policy."""
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
