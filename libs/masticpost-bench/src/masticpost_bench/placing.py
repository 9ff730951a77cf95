"""Time to choose an upstream, by the number of upstreams of a version."""

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
    """Microseconds of processor time per choice, and upstreams that were looked at."""

    upstreams: int
    choice_us: float
    looked_at: int


@benchmarks.BENCHMARKS.register("placing")
async def placing(args: dict[str, object]) -> int:
    """Print a row per number of upstreams; no process is started."""
    rows = [measure(size) for size in SIZES]
    for row in rows:
        print(
            f"{row.upstreams:>5} upstreams: {row.choice_us:8.1f} us a choice, "
            f"{row.looked_at} looked at"
        )
    out = pathlib.Path(str(args["--out"]))
    out.mkdir(parents=True, exist_ok=True)
    (out / "placing.json").write_text(json.dumps([attrs.asdict(r) for r in rows]))
    return 0


def measure(size: int) -> Row:
    """Time choices among `size` upstreams of one version."""
    rt = _runtime(size)
    requirements = routing.Requirements(target="v", policy="least-loaded", prefix="p")
    started = time.process_time()
    for _ in range(CHOICES):
        routing.choose(rt, requirements, routing.available_upstreams(rt, requirements))
    spent = time.process_time() - started
    return Row(
        upstreams=size,
        choice_us=spent / CHOICES * 1e6,
        looked_at=len(rt.upstream_states.all()),
    )


def _runtime(size: int) -> types.SimpleNamespace:
    """Return the parts of an instance that a choice needs."""
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
