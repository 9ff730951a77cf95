"""Benchmarks of recovery: takeovers, propagation of edits, outages of the store."""

import asyncio
import json
import pathlib
import time

import attrs

from masticpost_bench import benchmarks, demo, deployment, layout, load

TAKEOVER_ROUNDS = 20
POLL_S = 0.02
LEAD_IN_S = 2.0  # before the first edit or outage
SPREAD_ROUNDS = 12
DOMAIN_OUT_S = 2.0
DOMAIN_BACK_S = 2.0
ROUND_TIMEOUT_S = 20.0
CATCH_UP_TIMEOUT_S = 90.0


@attrs.define(kw_only=True)
class Takeovers:
    """Seconds from the kill of a shard owner until all its shards are served again."""

    seconds: list[float]

    def percentile(self, share: float) -> float:
        """Return a percentile in seconds; `share` is from 0 to 1."""
        ordered = sorted(self.seconds)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@benchmarks.BENCHMARKS.register("takeover")
async def takeover(args: dict[str, object]) -> int:
    """Kill shard owners and measure the time until their shards are served again."""
    takeovers = Takeovers(seconds=[])
    async with deployment.Deployment(plan=layout.lineswitch()) as dep:
        for number in range(TAKEOVER_ROUNDS):
            takeovers.seconds.append(await _measure_takeover(dep, number))
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    (out / "takeover.json").write_text(json.dumps(attrs.asdict(takeovers)))
    print(
        f"{TAKEOVER_ROUNDS} kills: p50 {takeovers.percentile(0.5):.2f} s, "
        f"p99 and worst {takeovers.percentile(0.99):.2f} s"
    )
    return 0


async def _measure_takeover(dep: deployment.Deployment, number: int) -> float:
    owned_by = {
        name: {row["shard"] for row in (await dep.status(name))["shards"]}
        for name in sorted(dep.daemons)
    }
    victim, shards = max(owned_by.items(), key=lambda item: len(item[1]))
    daemon = dep.daemons.pop(victim)
    daemon.proc.kill()
    started = time.monotonic()
    while time.monotonic() - started < ROUND_TIMEOUT_S:
        owned = set()
        for name in dep.daemons:
            rows = (await dep.status(name))["shards"]
            owned |= {row["shard"] for row in rows if row["is_serving"]}
        if shards <= owned:
            break
        await asyncio.sleep(POLL_S)
    elapsed = time.monotonic() - started
    dep.start_daemon(f"entry-{100 + number}", daemon.domain)
    await dep.publish_instance_list()
    await dep.wait_ready()
    return elapsed


@benchmarks.BENCHMARKS.register("spread")
async def spread(args: dict[str, object]) -> int:
    """Take failure domains out; time until the edit is in force and new work stops."""
    in_force, last_requests = [], []
    async with deployment.Deployment(plan=layout.lineswitch()) as dep:
        task = asyncio.create_task(
            load.run(dep, rate_s=40, seconds=SPREAD_ROUNDS * 5.5, seed=1)
        )
        await asyncio.sleep(LEAD_IN_S)
        for number in range(SPREAD_ROUNDS):
            domain = dep.plan.domains[number % len(dep.plan.domains)]
            edited_at = time.time()
            generation = await dep.apply({f"domains.{domain}": {"out": True}})
            await dep.wait_generation(generation)
            in_force.append(time.time() - edited_at)
            await asyncio.sleep(DOMAIN_OUT_S)
            names = [e.name for e in dep.plan.engines if e.domain == domain]
            rows = [await dep.counts(name) for name in names]
            late_s = max(row["last_request_at"] for row in rows) - edited_at
            last_requests.append(max(0.0, late_s))
            await dep.apply()
            await asyncio.sleep(DOMAIN_BACK_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    print(
        f"{SPREAD_ROUNDS} edits: in force everywhere within "
        f"{max(in_force):.2f} s, last request to a domain taken out at most "
        f"{max(last_requests):.2f} s after the edit"
    )
    return 0


@benchmarks.BENCHMARKS.register("outage")
async def outage(args: dict[str, object]) -> int:
    """Run load during an outage of the object API; compare bills with answers."""
    seconds = float(str(args["--seconds"]))
    rate_s = float(str(args["--rate"]))
    async with deployment.Deployment(plan=layout.lineswitch()) as dep:
        await load.run(dep, rate_s=rate_s, seconds=8, seed=1)
        await asyncio.sleep(LEAD_IN_S)
        before = await _count_answered_bills(dep)
        await dep.set_faults("store", outage="abort")
        during = await load.run(dep, rate_s=rate_s, seconds=seconds, seed=2)
        pending_bills = [
            (await dep.status(name))["bills_waiting"] for name in dep.daemons
        ]
        pids = [d.proc.pid for d in dep.daemons.values()]
        await dep.set_faults("store", outage="")
        restored_at = time.monotonic()
        answered = during.statuses[200] + during.statuses[201]
        billed = 0
        while time.monotonic() - restored_at < CATCH_UP_TIMEOUT_S:
            billed = await _count_answered_bills(dep) - before
            if billed >= answered and not any(
                [(await dep.status(name))["bills_waiting"] for name in dep.daemons]
            ):
                break
            await asyncio.sleep(0.5)
        caught_up_s = time.monotonic() - restored_at
        runs = await dep.booking_runs()
    print(
        f"outage {seconds:.0f} s at {rate_s:.0f}/s: sent {during.sent}, answered "
        f"{answered}, statuses {dict(during.statuses)}, codes {dict(during.codes)}"
    )
    print(
        f"bills pending at the end {sum(pending_bills)} on {len(pids)} instances, "
        f"billed {billed}, caught up {caught_up_s:.1f} s after the outage, "
        f"bookings run more than once: {sum(1 for n in runs.values() if n > 1)}"
    )
    return 0 if billed == answered else 1


async def _count_answered_bills(dep: deployment.Deployment) -> int:
    rows = await demo.bill_totals(dep)
    return sum(row.requests for row in rows if row.state in ("answered", "partial"))
