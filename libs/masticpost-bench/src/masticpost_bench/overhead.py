"""Overhead of one instance, compared with direct calls to the same stand-in."""

import asyncio
import json
import pathlib
import time

import aiohttp
import attrs
import msgspec
from hdrh import histogram

from masticpost_bench import benchmarks, callers, deployment, layout, procs

PROMPT = "quick question [len=1]"
WARM_UP_REQUESTS = 200
HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3
PACED_RATE_S = 400.0


@attrs.define(kw_only=True)
class Measurement:
    """Result of one measurement; times in milliseconds."""

    target: str
    connections: int
    requests: int
    errors: int
    requests_s: float
    is_paced: bool
    p50_ms: float
    p99_ms: float
    cpu_per_request_ms: float = 0.0
    requests_per_core_s: float = 0.0
    resident_mb: float = 0.0


@benchmarks.BENCHMARKS.register("overhead")
async def overhead(args: dict[str, object]) -> int:
    """Measure direct calls and calls through an instance at 1 and 64 connections."""
    seconds = float(str(args["--seconds"]))
    base = layout.small(instances=1, engines=1, plain_upstreams=1)
    fast = attrs.evolve(
        base.engines[0],
        extra={"step_s": 0.0, "step_per_seq_s": 0.0, "max_running": 512},
        max_concurrent=512,
    )
    plan = attrs.evolve(base, engines=(fast,))
    rows = []
    async with deployment.Deployment(plan=plan) as dep:
        await _warm_up(dep)
        for connections in (1, 64):
            rows.append(await _measure(dep, "direct", connections, seconds))
            rows.append(await _measure(dep, "instance", connections, seconds))
        for target in ("direct", "instance"):
            rows.append(await _measure(dep, target, 64, seconds, rate_s=PACED_RATE_S))
    _report(rows, pathlib.Path(str(args["--out"])))
    return 0 if not any(row.errors for row in rows) else 1


async def _warm_up(dep: deployment.Deployment) -> None:
    coros = [dep.chat(PROMPT) for _ in range(WARM_UP_REQUESTS)]
    await callers.gather_limited(4, coros)


async def _measure(
    dep: deployment.Deployment,
    target: str,
    connections: int,
    seconds: float,
    rate_s: float = 0.0,
) -> Measurement:
    """Measure in a closed loop, or at `rate_s` with latency from the due times."""
    hist = histogram.HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    daemon = dep.pick("entry-0")
    until = time.monotonic() + seconds
    before = procs.usage(daemon.proc.pid)
    started = time.monotonic()
    connector = aiohttp.TCPConnector(limit=connections)
    async with aiohttp.ClientSession(connector=connector) as http:
        if rate_s:
            errors = await _send_at_rate(dep, http, target, rate_s, seconds, hist)
        else:
            errors = await asyncio.gather(
                *(
                    _send_in_turn(dep, http, target, until, hist)
                    for _ in range(connections)
                )
            )
    elapsed = time.monotonic() - started
    after = procs.usage(daemon.proc.pid)
    count = hist.get_total_count()
    cpu_s = after.cpu_s - before.cpu_s
    is_instance = target == "instance"
    return Measurement(
        target=target,
        connections=connections,
        requests=count,
        errors=sum(errors),
        requests_s=count / elapsed,
        is_paced=rate_s > 0,
        p50_ms=hist.get_value_at_percentile(50) / 1000,
        p99_ms=hist.get_value_at_percentile(99) / 1000,
        cpu_per_request_ms=cpu_s / count * 1000 if is_instance else 0.0,
        requests_per_core_s=count / cpu_s if is_instance else 0.0,
        resident_mb=after.resident_bytes / 2**20 if is_instance else 0.0,
    )


async def _send_in_turn(
    dep: deployment.Deployment,
    http: aiohttp.ClientSession,
    target: str,
    until: float,
    hist: histogram.HdrHistogram,
) -> int:
    """Send requests one after the other until the monotonic time `until`."""
    errors = 0
    while time.monotonic() < until:
        errors += await _send(dep, http, target, time.monotonic(), hist)
    return errors


async def _send_at_rate(
    dep: deployment.Deployment,
    http: aiohttp.ClientSession,
    target: str,
    rate_s: float,
    seconds: float,
    hist: histogram.HdrHistogram,
) -> list[int]:
    """Send requests at a fixed rate, however slow the answers are (open loop)."""
    started = time.monotonic()
    tasks = []
    for number in range(round(rate_s * seconds)):
        due = started + number / rate_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.create_task(_send(dep, http, target, due, hist)))
    return await asyncio.gather(*tasks)


async def _send(
    dep: deployment.Deployment,
    http: aiohttp.ClientSession,
    target: str,
    due: float,
    hist: histogram.HdrHistogram,
) -> int:
    """Send one request and record the time since it was due; return 1 on an error."""
    if target == "direct":
        url, model = dep.standins["engine-0"].url, "small-1"
    else:
        url, model = dep.pick("entry-0").url, "setup"
    key = dep.plan.customers[0].key
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    message = {"role": "user", "content": PROMPT}
    body = msgspec.json.encode({"model": model, "messages": [message]})
    async with http.post(
        f"{url}/v1/chat/completions", data=body, headers=headers
    ) as resp:
        await resp.read()
    hist.record_value(int((time.monotonic() - due) * 1e6))
    return int(resp.status != 200)


def _report(rows: list[Measurement], out: pathlib.Path) -> None:
    out.mkdir(parents=True, exist_ok=True)
    data = [attrs.asdict(row) for row in rows]
    (out / "overhead.json").write_text(json.dumps(data, indent=2))
    for row in rows:
        print(
            f"{row.target:<9} {row.connections:>3} conn  {row.requests_s:>8.0f}/s "
            f"{'paced' if row.is_paced else 'closed'}  "
            f"p50 {row.p50_ms:>7.2f} ms  p99 {row.p99_ms:>7.2f} ms  "
            f"cpu {row.cpu_per_request_ms:.3f} ms/req  "
            f"{row.requests_per_core_s:>6.0f} req/core-s  "
            f"{row.resident_mb:>5.0f} MB  errors {row.errors}"
        )
