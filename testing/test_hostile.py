"""The daemon keeps serving after 10,000 malformed or hostile requests."""

import asyncio
import json

import hypothesis
import pytest
from hypothesis import strategies
from masticpost_bench import callers, deployment, layout, procs

EXAMPLES = 500
MAX_REQUESTS_PER_EXAMPLE = 20
EXPECTED_STATUSES = {502, 503, 504}
PATHS = [
    "/v1/chat/completions",
    "/v1/models",
    "/v1/services/crews/bookings",
    "/v1/services/crews/stock/1",
    "/v1/services/%00/..",
    "/admin/status",
    "/livez",
    "/",
]
METHODS = ["GET", "POST", "PUT", "HEAD", "DELETE", "OPTIONS", "BREW"]
HEADER_NAMES = [
    "Authorization",
    "Idempotency-Key",
    "X-Session-Id",
    "X-Request-Id",
    "X-Request-Timeout-Ms",
    "Content-Type",
    "Content-Length",
    "Transfer-Encoding",
    "Expect",
    "Content-Encoding",
]

junk = strategies.binary(max_size=40)
values = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(allow_nan=False),
    strategies.text(max_size=12),
)
bodies = strategies.one_of(
    junk,
    strategies.dictionaries(
        strategies.sampled_from(
            ["model", "messages", "stream", "max_tokens", "n", "stop", "seed", "x"]
        ),
        strategies.one_of(
            values,
            strategies.lists(
                strategies.dictionaries(
                    strategies.sampled_from(["role", "content", "name"]), values
                ),
                max_size=3,
            ),
            strategies.sampled_from(["setup", "crews"]),
        ),
    ).map(lambda data: json.dumps(data).encode()),
)
requests = strategies.tuples(
    strategies.sampled_from(METHODS),
    strategies.sampled_from(PATHS),
    strategies.dictionaries(strategies.sampled_from(HEADER_NAMES), junk, max_size=4),
    bodies,
    strategies.booleans(),
)


def render(request, key):
    """Return the bytes of a request, with headers and body exactly as generated."""
    method, path, headers, body, is_customer = request
    rows = [f"{method} {path} HTTP/1.1".encode(), b"Host: x", b"Connection: close"]
    if is_customer:
        headers = {**headers, "Authorization": b"Bearer " + key}
    if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
        headers = {**headers, "Content-Length": str(len(body)).encode()}
    rows += [name.encode() + b": " + value for name, value in headers.items()]
    return b"\r\n".join(rows) + b"\r\n\r\n" + body


async def send(port, data):
    """Send bytes and return the status of the answer, 0 if there is none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        line = await asyncio.wait_for(reader.readline(), 20)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


@pytest.mark.xdist_group("hostile")
def test_daemon_keeps_serving_after_hostile_requests():
    loop = asyncio.new_event_loop()
    dep = deployment.Deployment(plan=layout.small(instances=1))
    loop.run_until_complete(dep.__aenter__())
    daemon = dep.daemons["entry-0"]
    key = dep.plan.customers[0].key.encode()
    statuses = set()
    sent = 0

    @hypothesis.given(
        strategies.lists(requests, min_size=20, max_size=MAX_REQUESTS_PER_EXAMPLE)
    )
    @hypothesis.settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
        phases=[hypothesis.Phase.generate],
    )
    def send_batch(batch):
        nonlocal sent
        sent += len(batch)
        coros = [send(daemon.port, render(request, key)) for request in batch]
        statuses.update(loop.run_until_complete(callers.gather_limited(10, coros)))

    try:
        send_batch()
        loop.run_until_complete(check_serving(dep))
        lines = [row for rows in dep.logs().values() for row in rows]
    finally:
        loop.run_until_complete(dep.__aexit__())
        loop.close()
    assert sent >= 10_000
    assert daemon.proc.popen is not None
    unexpected = {s for s in statuses if s >= 500} - EXPECTED_STATUSES
    assert not unexpected
    assert not [row for row in lines if "exception" in row]


async def check_serving(dep):
    assert dep.daemons["entry-0"].proc.is_running()
    reply = await dep.chat("x [len=2]")
    assert reply.status == 200
    usage = procs.usage(dep.daemons["entry-0"].proc.pid)
    assert usage.resident_bytes < 256 * 2**20
