"""What callers see: answers, refusals and the common error format."""

import asyncio
import json
import time

import attrs
import pytest
import pytest_asyncio
from masticpost_bench import callers, deployment, layout, procs
from support import workload

pytestmark = [
    pytest.mark.asyncio(loop_scope="module"),
    pytest.mark.xdist_group("entry"),
]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def dep():
    plan = layout.small()
    limited = attrs.evolve(
        plan.customers[1], models=("large",), services=("setup",), max_concurrent=1
    )
    plan = attrs.evolve(plan, customers=(plan.customers[0], limited))
    async with deployment.Deployment(plan=plan) as started:
        yield started


async def test_complete_answer(dep):
    reply = await dep.chat("hello [len=5]")
    assert reply.status == 200
    words = "".join(workload.expected_words("hello [len=5]", "small-1", 0.8))
    body = reply.json()
    assert body["choices"][0]["message"]["content"] == words
    assert body["model"] == "small-1"
    assert body["usage"]["completion_tokens"] == 5


async def test_streamed_answer(dep):
    reply = await dep.chat("hello [len=7]", stream=True)
    assert reply.headers["Content-Type"].startswith("text/event-stream")
    expected = workload.expected_words("hello [len=7]", "small-1", 0.8)
    assert callers.stream_words(reply.body) == expected
    assert reply.body.endswith(b"data: [DONE]\n\n")
    ids = {
        json.loads(line[6:])["id"]
        for line in reply.body.splitlines()
        if line.startswith(b"data: {")
    }
    assert len(ids) == 1


async def test_request_id_is_returned(dep):
    reply = await dep.chat("x", headers={"X-Request-Id": "mine-1"})
    assert reply.headers["X-Request-Id"] == "mine-1"
    assert reply.json()["id"] == "chatcmpl-mine-1"


async def test_models_are_listed(dep):
    reply = await dep.call("GET", "/v1/models")
    assert [row["id"] for row in reply.json()["data"]] == ["setup"]


async def test_customer_runs_only_on_allowed_models(dep):
    reply = await dep.chat("x [len=2]", customer=1)
    assert reply.headers["X-Model-Version"] == "large-1"


def chat_body(**fields):
    body = {"model": "setup", "messages": [{"role": "user", "content": "x"}]}
    return {**body, **fields}


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", {}, 400, "bad_request"),
        (b"[" * 5000, {}, 400, "bad_request"),
        (b"\xff\xfe", {}, 400, "bad_request"),
        (chat_body(messages=[]), {}, 400, "bad_request"),
        (chat_body(messages="x"), {}, 400, "bad_request"),
        (chat_body(n=2), {}, 400, "bad_request"),
        (chat_body(max_tokens=0), {}, 400, "bad_request"),
        (chat_body(model="none"), {}, 404, "unknown_service"),
        (chat_body(model="crews"), {}, 404, "unknown_service"),
        (chat_body(), {"Authorization": "Bearer nobody"}, 401, "unauthenticated"),
        (chat_body(), {"Authorization": "Basic x"}, 401, "unauthenticated"),
        (chat_body(), {"X-Request-Timeout-Ms": "soon"}, 400, "bad_header"),
        (chat_body(), {"X-Request-Timeout-Ms": "0"}, 504, "deadline_exceeded"),
        (chat_body(), {"X-Session-Id": "a b"}, 400, "bad_header"),
        (b"x" * 1_100_000, {}, 413, "too_large"),
    ],
)
async def test_bad_chat_requests(dep, body, headers, status, code):
    reply = await dep.call("POST", "/v1/chat/completions", body=body, headers=headers)
    assert (reply.status, reply.code, reply.ran) == (status, code, "no")


async def test_customer_not_allowed(dep):
    reply = await dep.call("GET", "/v1/services/crews/stock/1", customer=1)
    assert (reply.status, reply.code) == (403, "not_allowed")


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/nowhere", 404, "http_404"),
        ("PUT", "/v1/chat/completions", 405, "http_405"),
        ("GET", "/v1/services/none/x", 404, "unknown_service"),
        ("GET", "/v1/services/crews/other", 404, "unknown_operation"),
        ("GET", "/v1/services/crews/stock/..%2Fbookings", 400, "bad_path"),
        ("POST", "/v1/services/crews/bookings", 400, "idempotency_key_needed"),
        ("GET", "/admin/status", 401, "unauthenticated"),
    ],
)
async def test_bad_paths(dep, method, path, status, code):
    reply = await dep.call(method, path)
    assert (reply.status, reply.code) == (status, code)


async def test_plain_service_is_passed_through(dep):
    reply = await dep.call("GET", "/v1/services/crews/stock/17")
    assert reply.json() == {"sku": "17", "pallets": 7}


async def test_booking_runs_once_when_repeated_through_any_instance(dep):
    replies = await asyncio.gather(
        *(dep.book("once", via=f"entry-{i % 3}") for i in range(12))
    )
    assert {reply.status for reply in replies} == {201}
    assert {reply.body for reply in replies} == {replies[0].body}
    assert (await dep.booking_runs())["once"] == 1


async def test_booking_with_a_large_answer_is_answered_once_and_not_run_again(dep):
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, pad_bytes=100_000)
    first = await dep.book("large")
    again = await dep.book("large")
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, pad_bytes=0)
    assert (first.status, len(first.body) > 100_000) == (201, True)
    assert (again.status, again.code, again.ran) == (409, "answer_not_kept", "yes")
    assert (await dep.booking_runs())["large"] == 1


async def test_same_key_with_another_body_is_refused(dep):
    await dep.book("mixed", "crew a")
    reply = await dep.book("mixed", "crew b")
    assert (reply.status, reply.code) == (422, "idempotency_mismatch")


async def test_key_of_an_unknown_customer_runs_no_booking(dep):
    key = {"Idempotency-Key": "shared", "Authorization": "Bearer nobody"}
    reply = await dep.call("POST", "/v1/services/crews/bookings", headers=key)
    assert reply.status == 401
    assert "shared" not in await dep.booking_runs()


async def test_customer_limit_is_refused_at_once(dep):
    coros = [dep.chat("x [len=400]", customer=1, via="entry-0") for _ in range(4)]
    replies = await asyncio.gather(*coros)
    refused = [reply for reply in replies if reply.status == 429]
    assert refused
    assert {reply.code for reply in refused} == {"customer_limit"}
    assert all(reply.headers["Retry-After"] == "1" for reply in refused)


async def test_deadline_is_enforced(dep):
    reply = await dep.chat(
        "x [len=4000]", headers={"X-Request-Timeout-Ms": "300"}, via="entry-0"
    )
    assert reply.status in (502, 504)
    assert reply.ran == "maybe"


async def test_request_of_a_disconnected_caller_is_cancelled_at_the_engine(dep):
    async def cancelled_count():
        rows = [await dep.counts(e.name) for e in dep.plan.engines]
        return sum(row["cancelled"] for row in rows)

    before = await cancelled_count()
    task = asyncio.create_task(dep.chat("x [len=5000]", stream=True))
    await asyncio.sleep(0.5)
    task.cancel()

    async def is_cancelled():
        return await cancelled_count() > before

    await procs.wait_for(is_cancelled, "the cancellation at the engine")


async def test_slow_body_is_refused(dep):
    daemon = dep.pick("entry-0")
    reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
    key = dep.plan.customers[0].key
    writer.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer " + key.encode() + b"\r\n"
        b"Content-Length: 100\r\n\r\n{"
    )
    await writer.drain()
    line = await asyncio.wait_for(reader.readline(), 30)
    assert b"408" in line
    writer.close()


async def test_logs_contain_no_prompt_and_no_key(dep):
    secret = "a-prompt-nobody-may-read"
    await dep.chat(secret, headers={"X-Request-Id": "logged-1"})
    for rows in dep.logs().values():
        raw = json.dumps(rows)
        assert secret not in raw
        assert dep.plan.customers[0].key not in raw
        assert layout.PEER_KEY not in raw
        assert layout.ADMIN_KEY not in raw


async def test_metrics_are_in_the_prometheus_format(dep):
    reply = await dep.call("GET", "/metrics")
    assert b"# TYPE masticpost_requests_total counter" in reply.body
    assert b"masticpost_generation 1.0" in reply.body


async def test_session_keeps_its_version_over_a_share_change(dep):
    async def version(session):
        reply = await dep.chat("x [len=2]", headers={"X-Session-Id": session})
        return reply.headers["X-Model-Version"]

    before = {f"s{i}": await version(f"s{i}") for i in range(6)}
    generation = await dep.apply({"versions.small-1": {"state": "draining"}})
    await dep.wait_generation(generation)
    after = {name: await version(name) for name in before}
    new = await dep.chat("x [len=2]")
    generation = await dep.apply()
    await dep.wait_generation(generation)
    assert before == after
    assert new.headers["X-Model-Version"] == "large-1"


async def test_session_of_a_withdrawn_version_is_moved_permanently(dep):
    session = {"X-Session-Id": "moving"}
    assert (await dep.chat("x [len=2]", headers=session)).status == 200
    generation = await dep.apply({"versions.small-1": {"state": "withdrawn"}})
    await dep.wait_generation(generation)
    replies = [await dep.chat("x [len=2]", headers=session) for _ in range(4)]
    generation = await dep.apply()
    await dep.wait_generation(generation)
    replies += [await dep.chat("x [len=2]", headers=session) for _ in range(4)]
    assert {reply.headers["X-Model-Version"] for reply in replies} == {"large-1"}


async def test_withdrawn_version_gets_no_new_work(dep):
    stop = asyncio.Event()

    async def caller():
        while not stop.is_set():
            await dep.chat("x [len=3]")

    tasks = [asyncio.create_task(caller()) for _ in range(6)]
    await asyncio.sleep(0.5)
    generation = await dep.apply({"versions.small-1": {"state": "withdrawn"}})
    await dep.wait_generation(generation)
    in_force_at = time.time()
    await asyncio.sleep(1.5)
    stop.set()
    await asyncio.gather(*tasks)
    for spec in dep.plan.engines:
        row = await dep.counts(spec.name)
        late = [at for at in row["dispatches"].get("small-1", []) if at > in_force_at]
        assert not late
    generation = await dep.apply()
    await dep.wait_generation(generation)
