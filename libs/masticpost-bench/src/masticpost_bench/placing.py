"""Benchmark of the CPU time to choose an upstream, by number of upstreams."""

import json
import pathlib
import random
import time
import types

import attrs
from masticpost_decide import choice, tracker
from masticpost_entry import routing, subset
from masticpost_text import model

from masticpost_bench import benchmarks

SIZES = (5, 24, 240, 2400)
CHOICES = 2000
DOMAINS = 11


@attrs.frozen(kw_only=True)
class Row:
    """CPU time per choice in microseconds, and the number of upstreams examined."""

    upstreams: int
    choice_us: float
    looked_at: int


@benchmarks.BENCHMARKS.register("placing")
async def placing(args: dict[str, object]) -> int:
    """Print the time per choice for each number of upstreams; starts no processes."""
    rows = [measure(size) for size in SIZES]
    for row in rows:
        print(
            f"{row.upstreams:>5} upstreams: {row.choice_us:8.1f} us per choice, "
            f"{row.looked_at} upstreams examined"
        )
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    (out / "placing.json").write_text(json.dumps([attrs.asdict(r) for r in rows]))
    return 0


def measure(size: int) -> Row:
    """Measure the choice among `size` upstreams of one version."""
    rt = _runtime(size)
    requirements = routing.Requirements(target="v", policy="least-loaded", prefix="p")
    started = time.process_time()
    for _ in range(CHOICES):
        routing.choose(rt, requirements, routing.available_upstreams(rt, requirements))
    cpu_s = time.process_time() - started
    return Row(
        upstreams=size,
        choice_us=cpu_s / CHOICES * 1e6,
        looked_at=len(rt.upstream_states.all()),
    )


def _runtime(size: int) -> types.SimpleNamespace:
    """Return a stub of the runtime with the parts that a choice needs."""
    text = model.Text(
        deployment="bench",
        domains={f"d{i}": model.Domain(name=f"d{i}") for i in range(DOMAINS)},
        versions={"v": model.Version(name="v", model="m")},
        services={},
        upstreams={f"u{i}": _upstream(i) for i in range(size)},
        customers={},
    )
    views = types.SimpleNamespace(is_warm=lambda name: True)
    return types.SimpleNamespace(
        text=text,
        domain="d0",
        upstream_states=tracker.Tracker(),
        leaving_upstreams=set(),
        pools=subset.build(text, "entry-0"),
        choice_context=choice.Context(random=random.Random(1)),
        cluster=types.SimpleNamespace(shared_view=views),
        admission_control=types.SimpleNamespace(record_overload=lambda: None),
    )


def _upstream(number: int) -> model.Upstream:
    return model.Upstream(
        name=f"u{number}",
        url=f"http://10.0.{number // 256}.{number % 256}:8000",
        domain=f"d{number % DOMAINS}",
        serves=("v",),
    )
