"""`make demo`: sends three kinds of requests to a deployment; prints a table."""

import asyncio
import time

import attrs
from masticpost_cli import bills
from masticpost_shards import log

from masticpost_bench import benchmarks, callers, deployment, layout

LONG_PROMPT = "Plan the changeover from water to juice. [hard=0.9] [len=40]"
SHORT_PROMPT = "Which cap torque for line 3? [len=16]"
BILL_TIMEOUT_S = 10.0


@attrs.define(kw_only=True)
class Row:
    """A row of the printed table; times in milliseconds."""

    what: str
    service: str
    version: str
    instance: str
    status: int
    first_token_ms: float
    total_ms: float
    cost: str


@benchmarks.BENCHMARKS.register("demo")
async def demo(args: dict[str, object]) -> int:
    """Run the demo; return 0 if all is answered, run once and billed once."""
    plan = layout.lineswitch()
    print(
        f"starting {plan.instances} instances, {len(plan.engines)} engines, "
        f"{len(plan.plain_upstreams)} booking workers"
    )
    async with deployment.Deployment(plan=plan) as dep:
        print(f"generation {dep.generation} in force on every instance")
        rows = [
            await _stream(dep),
            await _cascade(dep),
            *await _bookings(dep),
        ]
        billed = await _wait_for_bills(dep, len(rows) - 1)
        runs = await dep.booking_runs()
        codes = await asyncio.gather(*(d.proc.stop() for d in dep.daemons.values()))
    _print(rows)
    print(f"\nbills: {billed} for {len(rows) - 1} requests (a repeat is not billed)")
    print(f"runs of the booking, sent twice with one key: {runs}")
    print(f"exit codes of the instances: {sorted(set(codes))}")
    is_answered = all(row.status in (200, 201) for row in rows)
    ran_once = runs == {"demo-booking": 1} and billed == len(rows) - 1
    return 0 if is_answered and ran_once and set(codes) == {0} else 1


async def _stream(dep: deployment.Deployment) -> Row:
    """Send a streaming request and measure the time to its first bytes."""
    daemon = dep.pick()
    body = {
        "model": "setup",
        "messages": [{"role": "user", "content": SHORT_PROMPT}],
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {dep.plan.customers[0].key}"}
    url = f"{daemon.url}/v1/chat/completions"
    started = time.monotonic()
    async with dep.http.post(url, json=body, headers=headers) as resp:
        await resp.content.readline()
        first_s = time.monotonic() - started
        await resp.read()
    reply = callers.Reply(
        status=resp.status,
        headers=resp.headers,
        elapsed_s=time.monotonic() - started,
    )
    return _row("stream", "setup", daemon.name, reply, first_s * 1000)


async def _cascade(dep: deployment.Deployment) -> Row:
    daemon = dep.pick()
    reply = await dep.chat(LONG_PROMPT, service="setup", via=daemon.name)
    return _row("cascade", "setup", daemon.name, reply, reply.elapsed_s * 1000)


async def _bookings(dep: deployment.Deployment) -> list[Row]:
    rows = []
    for what in ("booking", "same again"):
        daemon = dep.pick()
        reply = await dep.book("demo-booking", via=daemon.name)
        rows.append(_row(what, "crews", daemon.name, reply, reply.elapsed_s * 1000))
    return rows


def _row(
    what: str,
    service: str,
    instance: str,
    reply: callers.Reply,
    first_ms: float,
) -> Row:
    return Row(
        what=what,
        service=service,
        version=reply.headers.get("X-Model-Version", "-"),
        instance=instance,
        status=reply.status,
        first_token_ms=first_ms,
        total_ms=reply.elapsed_s * 1000,
        cost=reply.headers.get("X-Request-Cost", "-"),
    )


async def _wait_for_bills(dep: deployment.Deployment, expected: int) -> int:
    """Return the number of bills once it reaches `expected`, or after the timeout."""
    until = time.monotonic() + BILL_TIMEOUT_S
    while time.monotonic() < until:
        count = await count_bills(dep)
        if count >= expected:
            break
        await asyncio.sleep(0.1)
    return count


async def count_bills(dep: deployment.Deployment) -> int:
    """Return the number of bills in the object API."""
    return sum(row.requests for row in await bill_totals(dep))


async def bill_totals(dep: deployment.Deployment) -> list:
    """Return the totals of the bills in the object API."""
    store = dep.store()
    states = []
    try:
        for shard in range(dep.plan.shards):
            listed = await store.list({log.SHARD_LABEL: f"{shard:04d}"})
            states.append(log.replay(listed.unwrap(), shard).state)
    finally:
        await store.close()
    return bills.sum_totals(states)


def _print(rows: list[Row]) -> None:
    header = ("WHAT", "SERVICE", "VERSION", "INSTANCE", "STATUS")
    print()
    print("{:<11} {:<8} {:<8} {:<9} {:<7}".format(*header), end="")
    print(f"{'FIRST ms':>9} {'TOTAL ms':>9} {'COST':>12}")
    for row in rows:
        print(
            f"{row.what:<11} {row.service:<8} {row.version:<8} {row.instance:<9} "
            f"{row.status:<7}{row.first_token_ms:>9.1f} {row.total_ms:>9.1f} "
            f"{row.cost:>12}"
        )
