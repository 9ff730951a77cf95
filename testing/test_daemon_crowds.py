"""A product daemon as a process beside crowds of misbehaving clients.

Each scene guards against a process that outgrows its machine, runs out of descriptors
or serves nobody any more.
"""

import pytest
from masticpost_bench import deployment, layout, procs
from support import crowds

pytestmark = pytest.mark.alone

MEMORY_MB = 100
DESCRIPTORS = 96
BODY_BYTES = 1_000_000
PROGRAM = [
    "/bin/sh",
    "-c",
    f'ulimit -n {DESCRIPTORS}; MASTICPOST_MEMORY_MB={MEMORY_MB} exec "$0" "$@"',
    procs.program_path("masticpostd"),
]

STOCK, CHAT = "/v1/services/crews/stock/1", "/v1/chat/completions"
NO_ROUTE, READY, METRICS = "/nowhere", "/readyz", "/metrics"
SCENES = [
    (STOCK, "body in one piece"),
    (STOCK, "body in small pieces"),
    (STOCK, "body in one-byte chunks"),
    (STOCK, "body far over the limit"),
    (STOCK, "half head"),
    (STOCK, "endless head"),
    (STOCK, "short fields, pipelined"),
    (STOCK, "pipelined"),
    (CHAT, "body in chunks"),
    (CHAT, "slow body"),
    (NO_ROUTE, "chunks far over the limit"),
    (NO_ROUTE, "idle"),
    (READY, "body in one piece"),
    (METRICS, "pipelined"),
]


@pytest.mark.parametrize(("path", "shape"), SCENES)
async def test_daemon_stays_within_its_limits(path, shape):
    plan = layout.small(instances=1, engines=1, plain_upstreams=1)
    async with deployment.Deployment(plan=plan, daemon_program=PROGRAM) as dep:
        daemon = dep.daemons["entry-0"]

        async def is_answering():
            stock = await dep.call("GET", STOCK, headers={"Connection": "close"})
            ready = await dep.call("GET", READY, headers={"Connection": "close"})
            return stock.status == ready.status == 200

        await crowds.until(is_answering)
        target = crowds.Target(
            host=procs.HOST,
            port=daemon.port,
            path=path,
            body_bytes=BODY_BYTES,
            fields=("Host: a", f"Authorization: Bearer {plan.customers[0].key}"),
        )
        seen = await crowds.play(target, shape, daemon.proc.pid, is_answering)
        assert daemon.proc.is_running()
    assert seen.resident < MEMORY_MB * 2**20, seen
    assert seen.descriptors < DESCRIPTORS, seen
