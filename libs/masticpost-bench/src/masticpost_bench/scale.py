"""Cost of the control traffic by instances, shards and request rate.

The slopes in docs/CAPACITY.md come from this benchmark.
"""

import asyncio
import json
import pathlib
import time

import attrs

from masticpost_bench import benchmarks, deployment, layout, load, procs

SETTLE_S = 6.0
SETTLE_PER_INSTANCE_S = 0.8


@attrs.define(kw_only=True)
class Cost:
    """Mean cost of one instance during a measurement.

    Reads, writes and watches of the store are totals of the deployment.
    """

    instances: int
    rate_s: float
    shards: int
    upstreams: int
    cpu_percent: float
    resident_mb: float
    peer_sent_bytes_s: float
    peer_sent_messages_s: float
    store_reads_s: float
    store_writes_s: float
    store_watches_s: float
    store_written_bytes_s: float
    p50_ms: float = 0.0
    p99_ms: float = 0.0


@attrs.define(kw_only=True)
class Sample:
    """Counters at one time `at` (monotonic seconds), summed over the instances."""

    at: float
    cpu_s: float
    sent_bytes: int
    sent_messages: int
    resident_bytes: int
    reads: int
    writes: int
    watches: int
    written_bytes: int


async def _sample(dep: deployment.Deployment) -> Sample:
    statuses = [await dep.status(name) for name in dep.daemons]
    usages = [procs.usage(d.proc.pid) for d in dep.daemons.values()]
    counts = await dep.counts("store")
    return Sample(
        at=time.monotonic(),
        cpu_s=sum(u.cpu_s for u in usages),
        sent_bytes=sum(s["peer_traffic"]["sent_bytes"] for s in statuses),
        sent_messages=sum(s["peer_traffic"]["sent"] for s in statuses),
        resident_bytes=sum(u.resident_bytes for u in usages),
        reads=counts["reads"],
        writes=counts["writes"],
        watches=counts["watches"],
        written_bytes=counts["bytes_written"],
    )


async def measure(
    plan: layout.Layout, *, rate_s: float, seconds: float, seed: int = 1
) -> Cost:
    """Run a deployment at a request rate and return the mean cost of an instance."""
    async with deployment.Deployment(plan=plan) as dep:
        if rate_s:
            await load.run(dep, rate_s=rate_s, seconds=SETTLE_S, seed=seed + 1)
        else:
            await asyncio.sleep(SETTLE_S + SETTLE_PER_INSTANCE_S * plan.instances)
        before = await _sample(dep)
        results = load.Results()
        if rate_s:
            results = await load.run(dep, rate_s=rate_s, seconds=seconds, seed=seed)
        else:
            await asyncio.sleep(seconds)
        after = await _sample(dep)
    return _cost(plan, rate_s, before, after, results)


def _cost(
    plan: layout.Layout,
    rate_s: float,
    before: Sample,
    after: Sample,
    results: load.Results,
) -> Cost:
    elapsed_s = after.at - before.at
    count = plan.instances
    return Cost(
        instances=count,
        rate_s=rate_s,
        shards=plan.shards,
        upstreams=len(plan.engines) + len(plan.plain_upstreams),
        cpu_percent=100 * (after.cpu_s - before.cpu_s) / elapsed_s / count,
        resident_mb=after.resident_bytes / count / 2**20,
        peer_sent_bytes_s=(after.sent_bytes - before.sent_bytes) / elapsed_s / count,
        peer_sent_messages_s=(after.sent_messages - before.sent_messages)
        / elapsed_s
        / count,
        store_reads_s=(after.reads - before.reads) / elapsed_s,
        store_writes_s=(after.writes - before.writes) / elapsed_s,
        store_watches_s=(after.watches - before.watches) / elapsed_s,
        store_written_bytes_s=(after.written_bytes - before.written_bytes) / elapsed_s,
        p50_ms=results.percentile(50) if rate_s else 0.0,
        p99_ms=results.percentile(99) if rate_s else 0.0,
    )


@benchmarks.BENCHMARKS.register("scale")
async def scale(args: dict[str, object]) -> int:
    """Measure idle by number of instances and shards, and under load by rate."""
    seconds = float(str(args["--seconds"]))
    rows = []
    for instances in (8, 16, 32):
        rows.append(
            await _measure_and_print(layout.lineswitch(instances), 0.0, seconds)
        )
    for shards in (16, 32):
        plan = attrs.evolve(layout.lineswitch(8), shards=shards)
        rows.append(await _measure_and_print(plan, 0.0, seconds))
    for rate_s in (20.0, 60.0, 120.0):
        rows.append(await _measure_and_print(layout.lineswitch(8), rate_s, seconds))
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    data = [attrs.asdict(row) for row in rows]
    (out / "scale.json").write_text(json.dumps(data, indent=2))
    return 0


async def _measure_and_print(
    plan: layout.Layout, rate_s: float, seconds: float
) -> Cost:
    row = await measure(plan, rate_s=rate_s, seconds=seconds)
    print(
        f"{row.instances:>3} inst {row.shards:>3} shards {row.rate_s:>5.0f}/s  "
        f"cpu {row.cpu_percent:>5.2f}%  {row.resident_mb:>5.1f} MB  "
        f"peers {row.peer_sent_bytes_s:>7.0f} B/s {row.peer_sent_messages_s:>6.1f}/s  "
        f"store {row.store_reads_s:>5.1f} r/s {row.store_writes_s:>6.1f} w/s "
        f"{row.store_watches_s:>4.2f} watches/s {row.store_written_bytes_s:>8.0f} B/s"
        f"  p50 {row.p50_ms:>4.0f} p99 {row.p99_ms:>5.0f} ms",
        flush=True,
    )
    return row
