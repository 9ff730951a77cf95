"""Streams: forwarded completely, resumed after a cut, and escalated in time."""

import asyncio
import contextlib
import math
import time

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.learning import exposure, trial
from masticpost_gateway.routing import placement, retrybudget
from masticpost_gateway.serving import attempts, headers
from masticpost_gateway.state import model, source
from support import gatewaykit as kit

PROMPT = {"Token_Counts": "100,50", "Prompt_Prefix": "a1:60,b2:40"}
ROLL_OUT = model.RollOut(
    service="desk",
    target="v2",
    duration_s=10.0,
    state=model.RollOutState.RUNNING,
    share=0.0,
)


def events(count):
    return b"".join(kit.event(number) for number in range(1, count + 1))


async def test_stream_is_forwarded_completely():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(5))
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body, reply.is_complete) == (200, events(5), True)
        assert worker.requests[0].headers["request-model"] == "small"


async def test_cut_stream_resumes_elsewhere_without_loss_or_repeat():
    async with kit.Deployment() as dep:
        workers = [
            await dep.add_worker("w1", kit.streams(6, cut_after=3)),
            await dep.add_worker("w2", kit.streams(6)),
        ]
        await dep.configure()
        await dep.add_node()
        for _ in range(6):
            reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
            assert (reply.body, reply.is_complete) == (events(6), True)
        resumed = [req.headers.get("last-event-id") for req in workers[1].requests]
        assert set(resumed) <= {None, "3"}


async def test_begun_stream_waits_for_an_upstream_that_can_resume_it():
    """Guards against a stream cut because no upstream was ready at one moment (LOST).

    Its upstream ended when a roll-out was completed, the others had no budget for a
    second, and the time to wait for an upstream had begun with the request.
    """
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(6, cut_after=4, pause_s=0.3))
        await dep.configure()
        node = await dep.add_node()
        call = dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        reply = asyncio.create_task(call)
        await asyncio.sleep(attempts.WAIT_OBJECTIVE_SHARE * kit.CHAT.objective_s + 0.6)
        assert not reply.done()
        resuming = await dep.add_worker("w2", kit.streams(6))
        assert (await reply).body == events(6)
        assert reply.result().is_complete
        assert resuming.requests[0].headers["last-event-id"] == "4"
        assert not node.gateway.active_conns


async def test_begun_stream_resumes_at_its_upstream_that_has_restarted():
    """Guards against a stream cut since a run of the only upstream was tried before."""
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(6, cut_after=4))
        await dep.configure()
        await dep.add_node()
        call = dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        reply = asyncio.create_task(call)
        await kit.until(lambda: worker.requests)
        await asyncio.sleep(0.3)
        worker.script = kit.streams(6)
        entry = worker.record(born_ms=int(time.time() * 1000))
        await dep.store.put(source.Kind.UPSTREAMS, "w1", entry)
        assert ((await reply).body, reply.result().is_complete) == (events(6), True)


async def test_begun_stream_waits_for_retry_budget():
    """Guards against a stream cut at once since its instance had no retry left (LOST).

    Upstreams that stop when a roll-out is completed cut many streams together.
    """
    bounds = retrybudget.Bounds(ratio=0.0, slack=2.0, window_s=1.0)
    async with kit.Deployment() as dep:
        first = await dep.add_worker("w1", kit.streams(6, cut_after=4, pause_s=0.1))
        await dep.configure()
        node = await dep.add_node(retries=bounds)
        call = dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        reply = asyncio.create_task(call)
        await kit.until(lambda: first.requests)
        await dep.add_worker("w2", kit.streams(6))
        node.shared.retries.record_retry("desk", clock.now() + 0.3)
        assert ((await reply).body, reply.result().is_complete) == (events(6), True)


async def test_stream_cut_by_a_completed_roll_out_goes_on_at_the_new_version():
    """Guards against retries from one upstream of a stopped version to the next."""
    async with kit.Deployment() as dep:
        old = await dep.add_worker("w1", kit.streams(6, cut_after=4, pause_s=0.3))
        await dep.configure()
        bounds = exposure.Bounds(share=1.0, slack=50.0)
        node = await dep.add_node(trial_bounds=bounds)
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", ROLL_OUT)
        call = dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        reply = asyncio.create_task(call)
        await kit.until(lambda: old.requests)
        other = await dep.add_worker("w2", kit.streams(6))
        new = await dep.add_worker("w3", kit.streams(6), record={"version": "v2"})
        state = model.RollOutState.COMPLETED
        done = attrs.evolve(ROLL_OUT, state=state, share=1.0)
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", done)
        assert (await reply).body == events(6)
        assert node.shared.trials.completed_plan("desk").preferred == "v2"
        assert not other.requests
        assert new.requests[0].headers["last-event-id"] == "4"


async def test_escalation_does_not_take_a_session_from_its_version():
    """Guards against sessions that an escalation moves to another version (PINNED).

    The version on trial had no budget left for the second attempt.
    """
    async with kit.Deployment() as dep:
        script = kit.streams(3, confidence=0)
        on_trial = await dep.add_worker("w1", script, record={"version": "v2"})
        other = await dep.add_worker("w2", kit.streams(3))
        await dep.configure()
        trials = (await dep.add_node()).shared.trials
        trials.plan = lambda *subject: trial.VersionPlan(preferred="v2")
        trials.allows = lambda service, version: (
            version == "v1" or not on_trial.requests
        )
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(3), True)
        assert len(on_trial.requests) == 1
        assert not other.requests


async def test_begun_stream_does_not_wait_longer_than_for_a_stalled_upstream():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(6, cut_after=4))
        chat = attrs.evolve(kit.CHAT, gap_s=0.2, timeout_s=30.0)
        await dep.configure(kit.configuration(routes=(chat,)))
        await dep.add_node()
        async with asyncio.timeout(2.0):
            reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(4), False)


async def test_stream_that_cannot_resume_does_not_look_complete():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(6, cut_after=2))
        once = attrs.evolve(kit.CHAT, kind=model.CallKind.STREAM)
        await dep.configure(kit.configuration(routes=(once,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert reply.body == events(2)
        assert not reply.is_complete


async def test_cut_stream_logs_no_error_of_the_http_server(caplog):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(5, cut_after=2))
        chat = attrs.evolve(kit.CHAT, attempts=1)
        await dep.configure(kit.configuration(routes=(chat,)))
        node = await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"x")
        assert (reply.is_complete, reply.body) == (False, events(2))
        await kit.until(lambda: not node.gateway.active_conns)
    assert not [row for row in caplog.records if row.name == "aiohttp.server"]


async def test_answer_of_low_confidence_is_escalated_to_the_largest_model():
    async def script(req, writer):
        doubtful = req.headers["request-model"] == "small"
        await kit.streams(3, confidence=10 if doubtful else 20)(req, writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(3), True)
        assert [req.headers["request-model"] for req in worker.requests] == [
            "small",
            "large",
        ]


async def test_low_confidence_escalates_a_prompt_of_unknown_size():
    """A caller need not send the size and the parts of its prompt."""
    async with kit.Deployment() as dep:

        async def script(req, writer):
            is_small = req.headers["request-model"] == "small"
            await kit.streams(2, confidence=20 if is_small else 95)(req, writer)

        worker = await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"x")
        assert (reply.status, reply.body) == (200, events(2))
        assert [req.headers["request-model"] for req in worker.requests] == [
            "small",
            "large",
        ]


async def test_answer_is_kept_when_no_upstream_is_ready_for_a_larger_model():
    """Guards against an answer that is dropped for one that no upstream can begin.

    The caller got 502, as the request had run, though the answer was there.
    """
    async with kit.Deployment() as dep:
        script = kit.streams(3, confidence=10)
        await dep.add_worker("w1", script, record={"cold_left_s": 30.0})
        services = (model.Service(name="desk", cold_rate=1.0),)
        chat = attrs.evolve(kit.CHAT, objective_s=0.4)
        await dep.configure(kit.configuration(services=services, routes=(chat,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (200, events(3))


async def test_only_connection_to_an_upstream_is_free_for_an_escalation():
    async def script(req, writer):
        doubtful = req.headers["request-model"] == "small"
        await kit.streams(3, confidence=10 if doubtful else 90)(req, writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        services = (model.Service(name="desk", max_connections=1),)
        await dep.configure(kit.configuration(services=services))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert reply.is_complete
        used = [req.headers["request-model"] for req in worker.requests]
        assert used == ["small", "large"]


URGENT = attrs.evolve(kit.CHAT, name="urgent", path_prefix="/urgent/", priority=0)


@pytest.mark.parametrize(
    ("is_contended", "path", "expected"),
    [
        (True, "/urgent/", "3"),
        (True, "/chat/", "8"),
        (False, "/urgent/", "1"),
        (False, "/chat/", "7"),
    ],
)
async def test_urgency_is_sent_by_priority_and_slack(is_contended, path, expected):
    """Guards against a change for deployments whose settings do not ask for it."""
    routes = (attrs.evolve(kit.CHAT, priority=2), URGENT)
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(2))
        await dep.configure(kit.configuration(routes=routes))
        await dep.add_node(is_contended=is_contended)
        await dep.call(path, method="POST", body=b"p", **PROMPT)
        assert worker.requests[0].headers["urgency"] == expected


@pytest.mark.parametrize(
    ("is_contended", "path", "models"),
    [
        (True, "/urgent/", ["small", "large"]),
        (True, "/chat/", ["small"]),
        (False, "/urgent/", ["small", "large"]),
        (False, "/chat/", ["small", "large"]),
    ],
)
async def test_escalation_under_backlog_depends_on_priority(is_contended, path, models):
    """Guards against escalations of catalogue-quote that delay project-review.

    Without the setting both are escalated, as before.
    """

    async def script(req, writer):
        is_small = req.headers["request-model"] == "small"
        await kit.streams(2, confidence=20 if is_small else 95)(req, writer)

    routes = (attrs.evolve(kit.CHAT, priority=2), URGENT)
    async with kit.Deployment() as dep:
        workers = [await dep.add_worker(name, script) for name in ("w1", "w2")]
        await dep.configure(kit.configuration(routes=routes))
        node = await dep.add_node(is_contended=is_contended)
        node.shared.placement.speeds.of("desk", "large").prefill_token_s = 6e-5
        node.loads.begin("w2", 4.0)
        extra = {"Token_Counts": "20000,50", "Prompt_Prefix": "a1:19000,b2:1000"}
        await dep.call(path, method="POST", body=b"p", **extra)
        rows = [req for worker in workers for req in worker.requests]
        assert [req.headers["request-model"] for req in rows] == models


@pytest.mark.parametrize(
    ("is_contended", "path", "is_rejected"),
    [(True, "/chat/", True), (True, "/urgent/", False), (False, "/chat/", False)],
)
async def test_request_that_cannot_meet_its_deadline_is_rejected_at_once(
    is_contended, path, is_rejected
):
    """Guards against late rejections, and streams that are cut at their deadline.

    The queue holds prompts of all priorities, so that it says nothing on when a more
    urgent one is read.
    """
    routes = (attrs.evolve(kit.CHAT, priority=2), URGENT)
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(2))
        await dep.configure(kit.configuration(routes=routes))
        node = await dep.add_node(is_contended=is_contended)
        node.loads.begin("w1", 20.0)
        reply = await dep.call(path, method="POST", body=b"p", **PROMPT)
        assert reply.status == (503 if is_rejected else 200)
        assert bool(worker.requests) is not is_rejected
        if is_rejected:
            assert 0 <= float(reply.headers["Retry-After"]) <= 3.0 / 3
            line = b'overload_total{decision="rejected",route="chat"} 1.0'
            assert line in node.metrics.render()


async def test_customer_over_its_share_yields_while_capacity_is_short():
    """Guards against one customer whose long prompts delay those of the others."""
    customers = tuple(
        model.Customer(name=name, keys=(name,)) for name in ("large", "b", "c")
    )
    routes = (attrs.evolve(kit.CHAT, priority=2), URGENT)
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(2))
        await dep.configure(kit.configuration(routes=routes, customers=customers))
        node = await dep.add_node(is_contended=True)
        shares = node.shared.contention.shares_of("desk", 0)
        for name, work_s in (("large", 9.0), ("b", 1.0), ("c", 1.0)):
            shares.record(name, work_s, clock.now())
        for queued_s in (0.0, 0.8):
            work = node.loads.begin("w1", queued_s)
            for key in ("large", "b"):
                extra = {**PROMPT, "Api_Key": key}
                await dep.call("/urgent/", method="POST", body=b"p", **extra)
            node.loads.end(work)
        assert [req.headers["urgency"] for req in worker.requests] == list("3343")


async def test_server_error_is_forwarded_when_no_upstream_succeeds():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(500, b"failed"))
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (500, b"failed")
        assert reply.headers["Answer-Signature"] == "of-the-upstream"


async def test_upstream_connection_is_closed_when_the_caller_leaves_a_stream():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(200, pause_s=0.05))
        await dep.configure()
        await dep.add_node()
        task = asyncio.create_task(
            dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        )
        await kit.until(lambda: worker.requests)
        task.cancel()
        await kit.until(lambda: worker.disconnects)


async def test_slow_output_is_measured_before_the_stream_ends():
    """Guards against stale output speeds in the choice of the model.

    With overloaded upstreams, answers were cut 8 s after the model was chosen.
    """
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(60, pause_s=0.05))
        await dep.configure()
        node = await dep.add_node()
        speed = node.shared.placement.speeds.of("desk", "small")
        task = asyncio.create_task(
            dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        )
        await kit.until(lambda: speed.decode_samples)
        assert not task.done()
        assert speed.decode_token_s > 0.03
        task.cancel()


async def test_connection_closes_after_its_stream_when_draining():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.streams(10, pause_s=0.05))
        await dep.configure()
        node = await dep.add_node()
        task = asyncio.create_task(
            dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        )
        await kit.until(lambda: node.gateway.active_conns)
        conn = next(iter(node.gateway.active_conns))
        await asyncio.sleep(0.2)
        node.shared.closing_at = clock.now()
        reply = await task
        assert (reply.body, reply.is_complete) == (events(10), True)
        await kit.until(lambda: conn.transport is None)


async def test_prompt_counts_as_cached_from_its_dispatch_on():
    """Guards against needless prefill of one prefix at several upstreams at once.

    It happened with a shared manual of 12,000 tokens.
    """
    go = asyncio.Event()

    async def script(req, writer):
        await go.wait()
        await kit.streams(2)(req, writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.configure()
        node = await dep.add_node()
        manual = {"Token_Counts": "12500,50", "Prompt_Prefix": "a1:12000,b1:500"}
        call = dep.call("/chat/", method="POST", body=b"p", **manual)
        task = asyncio.create_task(call)
        await kit.until(lambda: worker.requests)
        assert (
            node.shared.placement.uncached_tokens("w1", prefill_of_same_manual()) == 500
        )
        go.set()
        await task


def prefill_of_same_manual():
    parts = (
        headers.Part(name="a1", tokens=12_000),
        headers.Part(name="new", tokens=500),
    )
    prompt = headers.Prompt(parts=parts, tokens_in=12_500, tokens_out=50)
    return placement.Prefill(service="desk", model="small", prompt=prompt)


SLOW_S = 1.2
TIGHT_ROUTE = attrs.evolve(kit.CHAT, objective_s=0.2, gap_s=0.1)


def late_streams(count, wait_s):
    """Return a script that writes a stream after a pause."""

    async def script(req, writer):
        await asyncio.sleep(wait_s)
        await kit.streams(count)(req, writer)

    return script


def busy_with_long_stream(script):
    """Return a script that answers request "long" with a long stream."""

    async def run(req, writer):
        if req.request_id == "long":
            return await kit.streams(200, pause_s=0.02)(req, writer)
        return await script(req, writer)

    return run


@contextlib.asynccontextmanager
async def long_stream(dep):
    """Keep an upstream active with a stream of another request."""
    task = asyncio.create_task(
        dep.call("/chat/", method="POST", body=b"p", Request_Id="long", **PROMPT)
    )
    await kit.until(lambda: any(worker.requests for worker in dep.workers))
    yield
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_busy_upstream_is_waited_for_while_no_other_is_healthy():
    """With few upstreams under load, the last healthy one answers late, but it does."""
    async with kit.Deployment() as dep:
        await dep.add_worker("busy", busy_with_long_stream(late_streams(3, SLOW_S)))
        await dep.configure(kit.configuration(routes=(TIGHT_ROUTE,)))
        node = await dep.add_node()
        dead = await dep.add_worker("dead", kit.cut_connection)
        await kit.until(lambda: len(node.records.upstreams(0.0)) == 2)
        entry = next(u for u in node.records.upstreams(0.0) if u.name == "dead")
        node.shared.chooser.health_of(entry).ejected_until = math.inf
        async with long_stream(dep):
            reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (200, events(3))
        assert not dead.requests


async def test_last_allowed_attempt_is_not_cut_for_being_slow():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", busy_with_long_stream(late_streams(3, SLOW_S)))
        once = attrs.evolve(TIGHT_ROUTE, attempts=1)
        await dep.configure(kit.configuration(routes=(once,)))
        await dep.add_node()
        async with long_stream(dep):
            reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (200, events(3))


async def test_pause_in_a_stream_is_waited_out_while_no_other_can_resume():
    async def script(req, writer):
        lead = kit.response_head(req, Confidence=90, Content_Type="text/event-stream")
        writer.write((lead + "Transfer-Encoding: chunked\r\n\r\n").encode())
        writer.write(kit.chunk(kit.event(1)))
        await writer.drain()
        await asyncio.sleep(SLOW_S)
        writer.write(kit.chunk(kit.event(2)) + b"0\r\n\r\n")

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", busy_with_long_stream(script))
        await dep.configure(kit.configuration(routes=(TIGHT_ROUTE,)))
        await dep.add_node()
        async with long_stream(dep):
            reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(2), True)


async def test_upstream_silent_to_all_requests_is_given_up_before_the_deadline():
    """Guards against requests that wait for a hung upstream until their deadline.

    With four of 45 upstreams hung, such requests never came back.
    """
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", late_streams(3, 30.0))
        await dep.configure(kit.configuration(routes=(TIGHT_ROUTE,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert reply.status == 502


async def test_silent_upstream_with_queued_prefill_is_waited_for():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", late_streams(3, SLOW_S))
        await dep.configure(kit.configuration(routes=(TIGHT_ROUTE,)))
        node = await dep.add_node()
        node.loads.begin("w1", SLOW_S)
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (200, events(3))


async def test_request_moves_from_a_silent_upstream_to_a_faster_one():
    async with kit.Deployment() as dep:

        async def script(req, writer):
            is_first = sum(len(worker.requests) for worker in dep.workers) == 1
            await asyncio.sleep(30.0 if is_first else 0.0)
            await kit.streams(3)(req, writer)

        for name in ("w1", "w2"):
            await dep.add_worker(name, script)
        await dep.configure(kit.configuration(routes=(TIGHT_ROUTE,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.status, reply.body) == (200, events(3))
        assert [len(worker.requests) for worker in dep.workers] == [1, 1]


@pytest.mark.parametrize("first", [0, 2])
async def test_stream_that_trickles_bytes_without_events_is_abandoned(first):
    """Guards against counting each byte as progress.

    Such a stream held its request until the deadline.
    """
    stalled = []

    async def script(req, writer):
        if stalled:
            await kit.streams(4)(req, writer)
            return
        stalled.append(req)
        lead = kit.response_head(req, Confidence=90, Content_Type="text/event-stream")
        writer.write((lead + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(1, first + 1):
            writer.write(kit.chunk(kit.event(number)))
        while True:
            writer.write(kit.chunk(b":"))
            await writer.drain()
            await asyncio.sleep(0.05)

    async with kit.Deployment() as dep:
        workers = [await dep.add_worker(f"w{k}", script) for k in range(2)]
        chat = attrs.evolve(kit.CHAT, gap_s=0.1)
        await dep.configure(kit.configuration(routes=(chat,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(4), True)
        await kit.until(lambda: any(worker.disconnects for worker in workers))


async def test_slow_but_healthy_stream_is_not_cut():
    """Each event comes long after the route's gap time, and no other is faster."""
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.streams(4, pause_s=0.4))
        chat = attrs.evolve(kit.CHAT, gap_s=0.2)
        await dep.configure(kit.configuration(routes=(chat,)))
        await dep.add_node()
        reply = await dep.call("/chat/", method="POST", body=b"p", **PROMPT)
        assert (reply.body, reply.is_complete) == (events(4), True)
        assert len(worker.requests) == 1
