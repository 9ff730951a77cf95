"""Plain requests: forwarded unchanged, and retried only where that is safe."""

import asyncio
import gc

import aiohttp
import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.routing import retrybudget
from masticpost_gateway.serving import gateway
from masticpost_gateway.state import model, source
from support import gatewaykit as kit


async def test_request_and_answer_are_forwarded_unchanged():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers(201, b"booked"))
        await dep.configure()
        await dep.add_node()
        reply = await dep.call(
            "/book/7?crew=2%2F3", method="POST", body=b"\x00\xff", Session="s-1"
        )
        assert (reply.status, reply.body) == (201, b"booked")
        assert reply.headers["Answer-Signature"] == "of-the-upstream"
        req = worker.requests[0]
        assert (req.method, req.target, req.body) == (
            "POST",
            "/book/7?crew=2%2F3",
            b"\x00\xff",
        )
        assert req.headers["expected-instance"] == "w1"
        assert req.headers["customer"] == "acme"
        assert req.headers["session"] == "s-1"
        assert "api-key" not in req.headers
        assert 0 < int(req.headers["request-deadline-ms"]) <= 3000


async def test_callers_cannot_set_headers_of_the_gateway():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node()
        await dep.call(
            "/lookup/", Customer="other", Expected_Instance="w9", Urgency="0"
        )
        req = worker.requests[0]
        assert req.headers["customer"] == "acme"
        assert req.headers["expected-instance"] == "w1"
        assert "urgency" not in req.headers


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/", kit.KEY, 404), ("/lookup/", "stranger", 401)],
)
async def test_unknown_route_and_key_are_refused_for_good(path, key, status):
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node()
        reply = await dep.call(path, Api_Key=key)
        assert reply.status == status


async def test_unknown_key_is_not_final_with_an_old_configuration():
    async with kit.Deployment() as dep:
        await dep.configure()
        node = await dep.add_node()
        dep.store.fail(source.Kind.CONFIGURATION, source.FaultKind.NOT_DONE)
        node.records.views[source.Kind.CONFIGURATION].confirmed_at = -100.0
        await kit.until(
            lambda: source.Kind.CONFIGURATION in node.watching.failing_since
        )
        node.records.views[source.Kind.CONFIGURATION].confirmed_at = -100.0
        reply = await dep.call("/lookup/", Api_Key="stranger")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0


async def test_failed_idempotent_call_is_retried_elsewhere():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(500, b"failed"))
        await dep.add_worker("w2", kit.cut_connection)
        await dep.add_worker("w3", kit.answers(200, b"fine"))
        await dep.configure()
        await dep.add_node()
        replies = [await dep.call("/lookup/") for _ in range(6)]
        assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("script", [kit.cut_connection, kit.answers(500, b"failed")])
async def test_non_idempotent_call_that_may_have_run_is_not_retried(script):
    async with kit.Deployment() as dep:
        workers = [await dep.add_worker(f"w{k}", script) for k in range(3)]
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST", body=b"x")
        assert sum(len(worker.requests) for worker in workers) == 1
        assert reply.status in (500, 502)
        assert ("Answer-Signature" in reply.headers) == (reply.status == 500)


@pytest.mark.parametrize("status", [503, 421])
async def test_non_idempotent_call_that_has_not_run_is_retried_elsewhere(status):
    async with kit.Deployment() as dep:
        full = await dep.add_worker("w1", kit.not_run(status))
        fine = await dep.add_worker("w2", kit.answers())
        await dep.configure()
        await dep.add_node()
        replies = [await dep.call("/book/", method="POST") for _ in range(12)]
        assert {reply.status for reply in replies} == {200}
        assert full.requests
        assert len(fine.requests) == 12


async def test_call_that_no_upstream_can_run_is_refused_with_retry_after():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.not_run())
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    "extra",
    [{"signed": False}, {"Request_Id": "of-another"}, {"Content_Encoding": "gzip"}],
)
async def test_answer_that_does_not_belong_to_the_request_is_not_forwarded(extra):
    async with kit.Deployment() as dep:

        async def script(req, writer):
            changed = attrs.evolve(
                req, headers={"request-id": extra.get("Request_Id", req.request_id)}
            )
            rest = {k: v for k, v in extra.items() if k != "Request_Id"}
            writer.write(kit.response(changed, 200, b"wrong", **rest))

        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST")
        assert reply.status == 502
        assert b"wrong" not in reply.body


async def test_body_without_length_that_ends_with_its_connection_is_complete():
    async with kit.Deployment() as dep:

        async def script(req, writer):
            writer.write((kit.response_head(req) + "\r\n").encode())
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(b"all of it")
            await writer.drain()
            writer.close()

        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST")
        assert (reply.status, reply.body) == (200, b"all of it")


async def test_body_without_length_on_a_reset_connection_is_not_forwarded():
    async with kit.Deployment() as dep:

        async def script(req, writer):
            writer.write((kit.response_head(req) + "\r\nhalf of").encode())
            await writer.drain()
            await asyncio.sleep(0.05)
            kit.reset(writer)

        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST")
        assert reply.status == 502


async def test_surplus_second_answer_reaches_no_caller():
    async with kit.Deployment() as dep:

        async def script(req, writer):
            writer.write(kit.response(req, 200, req.request_id.encode()))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(kit.response(req, 200, b"again " + req.request_id.encode()))

        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        for number in range(8):
            reply = await dep.call("/lookup/", Request_Id=f"mine-{number}")
            assert reply.status != 200 or reply.body == f"mine-{number}".encode()
            await asyncio.sleep(0.03 * (number % 3))


async def test_request_to_a_silent_upstream_ends_at_the_routes_timeout():
    async def silent(req, writer):
        await asyncio.sleep(30)

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", silent)
        book = attrs.evolve(kit.BOOK, timeout_s=0.4)
        await dep.configure(kit.configuration(routes=(book,)))
        await dep.add_node()
        started_at = clock.now()
        reply = await dep.call("/book/", method="POST")
        assert reply.status == 504
        assert clock.now() - started_at >= 0.3


async def test_upstream_connection_is_closed_when_the_caller_disconnects():
    async def slow(req, writer):
        await asyncio.sleep(1.0)
        writer.write(kit.response(req))

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", slow)
        await dep.configure()
        await dep.add_node()
        async with aiohttp.ClientSession() as http:
            task = asyncio.create_task(dep.call("/lookup/", http=http))
            await kit.until(lambda: worker.requests)
            task.cancel()
        await kit.until(lambda: worker.disconnects)


async def test_drain_closes_idle_connections_and_serves_the_others():
    async def slow(req, writer):
        await asyncio.sleep(2.5 if req.target.endswith("slow") else 0)
        writer.write(kit.response(req))

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", slow)
        await dep.configure()
        node = await dep.add_node()
        await dep.call("/book/", method="POST")
        async with aiohttp.ClientSession() as http:
            busy = asyncio.create_task(dep.call("/book/slow", method="POST", http=http))
            await kit.until(lambda: node.gateway.active_conns)
            draining = asyncio.create_task(node.drain())
            await kit.until(lambda: not node.is_ready)
            await kit.until(lambda: len(node._runners[0].server.connections) <= 1)
            assert not draining.done()
            reply = await busy
        assert reply.status == 200
        await draining


async def test_new_configuration_removes_a_route_and_keeps_another():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.configure()
        node = await dep.add_node()
        await dep.configure(kit.configuration(2, routes=(kit.BOOK,)))
        await kit.until(lambda: node.records.table.cfg.version == 2)
        assert (await dep.call("/lookup/")).status == 404
        assert (await dep.call("/book/", method="POST")).status == 200


async def test_failure_domain_taken_out_of_service_gets_no_requests():
    async with kit.Deployment() as dep:
        out = await dep.add_worker("w1", kit.answers(), domain="a")
        await dep.add_worker("w2", kit.answers(), domain="b")
        await dep.configure()
        node = await dep.add_node()
        await dep.store.put(source.Kind.DOMAINS_OUT, "a", model.DomainOut(domain="a"))
        await kit.until(lambda: node.records.domains_out() == {"a"})
        for _ in range(10):
            assert (await dep.call("/lookup/")).status == 200
        assert not out.requests


async def test_request_that_arrives_late_in_the_shutdown_is_refused(monkeypatch):
    monkeypatch.setattr(gateway, "ACCEPT_AFTER_STOP_S", 0.0)
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.configure()
        node = await dep.add_node()
        node.shared.closing_at = clock.now() - 0.01
        reply = await dep.call("/book/", method="POST")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert reply.headers["Connection"] == "close"
        assert not worker.requests


async def test_unreachable_upstreams_do_not_spend_the_retry_budget():
    """Guards against refusals when many upstreams are down.

    With the 16 upstreams of a domain down, each failed connect spent retry budget, and
    requests were refused after five of them.
    """
    bounds = retrybudget.Bounds(ratio=0.0, slack=0.0)
    async with kit.Deployment() as dep:
        for number in range(12):
            dead = await dep.add_worker(f"dead-{number}", kit.answers())
            await dead.stop()
        live = await dep.add_worker("live", kit.answers())
        await dep.configure()
        node = await dep.add_node(retries=bounds)
        await kit.until(lambda: len(node.records.upstreams(0.0)) == 13)
        for _ in range(4):
            assert (await dep.call("/lookup/")).status == 200
        assert len(live.requests) == 4
        counts = node.shared.retries._counts_of("desk", clock.now())
        assert not counts.retries


async def test_address_taken_over_by_another_upstream_is_avoided_at_once():
    async with kit.Deployment() as dep:
        moved = await dep.add_worker("w1", kit.not_run(421))
        await dep.add_worker("w2", kit.answers())
        await dep.configure()
        await dep.add_node()
        for _ in range(20):
            assert (await dep.call("/lookup/")).status == 200
        assert len(moved.requests) <= 2


async def test_connection_that_fails_later_logs_no_unretrieved_exception():
    """Guards against a logged traceback for each lost connection of a stream."""
    loop = asyncio.get_running_loop()
    reported = []
    loop.set_exception_handler(
        lambda loop, context: reported.append(context["message"])
    )
    async with kit.Deployment() as dep:

        async def script(req, writer):
            writer.write((kit.response_head(req) + "\r\nhalf of").encode())
            await writer.drain()
            await asyncio.sleep(0.03)
            kit.reset(writer)

        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        assert (await dep.call("/book/", method="POST")).status == 502
    gc.collect()
    await asyncio.sleep(0)
    assert reported == []


async def test_requests_that_wait_at_once_do_not_exceed_the_retry_budget():
    """Guards against one retry left that each waiting request takes for its own."""
    bounds = retrybudget.Bounds(ratio=0.0, slack=3.0)
    async with kit.Deployment() as dep:
        failing = [
            await dep.add_worker(f"w{number}", kit.answers(500, b"failed"))
            for number in range(3)
        ]
        await dep.configure()
        node = await dep.add_node(retries=bounds)
        hold = node.shared.isolation.hold_while_isolated

        async def hold_retries(left_s):
            if sum(len(worker.requests) for worker in failing) >= 8:
                await asyncio.sleep(0.05)
            await hold(left_s)

        node.shared.isolation.hold_while_isolated = hold_retries
        await asyncio.gather(*(dep.call("/lookup/") for _ in range(8)))
        sent = sum(len(worker.requests) for worker in failing)
        assert 8 < sent <= 8 + bounds.slack
        counts = node.shared.retries._counts_of("desk", clock.now())
        assert len(counts.retries) == sent - 8
