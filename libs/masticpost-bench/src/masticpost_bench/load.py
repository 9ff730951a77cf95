"""Open-loop load: requests are sent on schedule, however slow the answers are.

Latency counts from the time at which a request was due, so that a stalled system is not
hidden by requests that were sent late (coordinated omission).
"""

import asyncio
import collections
import random
import time

import attrs
from hdrh import histogram

from masticpost_bench import deployment

HISTOGRAM_MIN_MS = 1
HISTOGRAM_MAX_MS = 120_000
HISTOGRAM_DIGITS = 3


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request in a mix.

    `session_share` is the share of its requests that carry a session id.
    """

    name: str
    service: str
    weight: float
    prompt: str = ""
    stream: bool = False
    session_share: float = 0.0


@attrs.define(kw_only=True)
class Results:
    """Replies to a load: latency in milliseconds, counts by status and error code."""

    latency: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(
            HISTOGRAM_MIN_MS, HISTOGRAM_MAX_MS, HISTOGRAM_DIGITS
        )
    )
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    codes: collections.Counter = attrs.field(factory=collections.Counter)
    sent: int = 0
    keys: list[str] = attrs.field(factory=list)
    answered_keys: list[str] = attrs.field(factory=list)

    def percentile(self, percent: float) -> float:
        """Return a percentile (0 to 100) of the latency in milliseconds."""
        return self.latency.get_value_at_percentile(percent)


MIX = (
    Kind(name="question", service="setup", weight=0.6, prompt="[len=24]"),
    Kind(
        name="stream",
        service="setup",
        weight=0.25,
        prompt="[len=60]",
        stream=True,
        session_share=0.5,
    ),
    Kind(name="booking", service="crews", weight=0.15),
)


async def run(
    dep: deployment.Deployment,
    *,
    rate_s: float,
    seconds: float,
    seed: int,
    mix: tuple[Kind, ...] = MIX,
) -> Results:
    """Send requests as a Poisson process with a mean rate; wait for the answers."""
    rng = random.Random(seed)
    results = Results()
    started = time.monotonic()
    due = started
    tasks: set[asyncio.Task] = set()
    while due < started + seconds:
        due += rng.expovariate(rate_s)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        kind = rng.choices(mix, [k.weight for k in mix])[0]
        results.sent += 1
        coro = _send(dep, kind, f"{seed}-{results.sent}", rng.random(), due, results)
        task = asyncio.create_task(coro)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return results


async def _send(
    dep: deployment.Deployment,
    kind: Kind,
    name: str,
    drawn: float,
    due: float,
    results: Results,
) -> None:
    customer = int(drawn * 1e6) % len(dep.plan.customers)
    if kind.service == "crews":
        key = f"load-{name}"
        results.keys.append(key)
        reply = await dep.book(key, customer=customer)
        if reply.status == 201:
            results.answered_keys.append(key)
    else:
        headers = {}
        if drawn < kind.session_share:
            headers["X-Session-Id"] = f"session-{customer}-{int(drawn * 1000) % 8}"
        reply = await dep.chat(
            f"{name} {kind.prompt}",
            service=kind.service,
            stream=kind.stream,
            customer=customer,
            headers=headers,
        )
    results.statuses[reply.status] += 1
    if reply.code:
        results.codes[reply.code] += 1
    elapsed_ms = int((time.monotonic() - due) * 1000)
    results.latency.record_value(max(HISTOGRAM_MIN_MS, elapsed_ms))
