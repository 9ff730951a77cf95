"""Every outcome of a request occurs, and `explain` finds it in the log."""

import asyncio
import contextlib
import hashlib
import io

import aiohttp
import attrs
import loguru
import pytest
from masticpost_cli import timeline
from masticpost_common import clock, registry
from masticpost_gateway.learning import quarantine
from masticpost_gateway.serving import call, gateway, outcomes
from masticpost_gateway.state import model, source
from masticpost_telemetry import logs
from support import gatewaykit as kit

ID = "5f1d0c7e4a90b233"
SCENARIOS = registry.Registry(kind="scenario")


@contextlib.contextmanager
def captured_log():
    """Yield the stream of log lines, in the format of a daemon."""
    stream = io.StringIO()
    loguru.logger.remove()
    sink = logs.JsonSink(instance="one", stream=stream)
    loguru.logger.add(sink, level="INFO", format="{message}")
    yield stream
    loguru.logger.remove()


async def start(dep, script=None, cfg=None):
    if script is not None:
        await dep.add_worker("w1", script)
    await dep.configure(cfg)
    return await dep.add_node()


async def send_request(dep, path, **extra):
    return await dep.call(path, Request_Id=ID, **extra)


async def never_answer(req, writer):
    await asyncio.sleep(30.0)


@SCENARIOS.register(outcomes.Outcome.ANSWERED)
async def answered(dep):
    await start(dep, kit.answers())
    assert (await send_request(dep, "/lookup/")).status == 200


@SCENARIOS.register(outcomes.Outcome.CUT)
async def cut(dep):
    chat = attrs.evolve(kit.CHAT, attempts=1)
    cfg = kit.configuration(routes=(chat,))
    await start(dep, kit.streams(5, cut_after=2), cfg)
    reply = await send_request(dep, "/chat/", method="POST", body=b"x")
    assert not reply.is_complete


@SCENARIOS.register(outcomes.Outcome.CALLER_GONE)
async def caller_gone(dep):
    await start(dep, never_answer)
    async with aiohttp.ClientSession() as http:
        task = asyncio.create_task(send_request(dep, "/lookup/", http=http))
        await kit.until(lambda: dep.workers[0].requests)
        task.cancel()
    await kit.until(lambda: not dep.nodes[0].gateway.active_conns)


@SCENARIOS.register(outcomes.Outcome.NO_CONFIGURATION)
async def no_configuration(dep):
    node = await start(dep, kit.answers())
    node.records.table = None
    assert (await send_request(dep, "/lookup/")).status == 503


@SCENARIOS.register(outcomes.Outcome.CONFIGURATION_TOO_OLD)
async def configuration_too_old(dep):
    node = await start(dep, kit.answers())
    dep.store.fail(source.Kind.CONFIGURATION, source.FaultKind.NOT_DONE)
    await kit.until(lambda: source.Kind.CONFIGURATION in node.watching.failing_since)
    node.records.views[source.Kind.CONFIGURATION].confirmed_at = -100.0
    assert (await send_request(dep, "/nowhere/")).status == 503


@SCENARIOS.register(outcomes.Outcome.NO_ROUTE)
async def no_route(dep):
    await start(dep, kit.answers())
    assert (await send_request(dep, "/nowhere/")).status == 404


@SCENARIOS.register(outcomes.Outcome.UNKNOWN_KEY)
async def unknown_key(dep):
    await start(dep, kit.answers())
    assert (await send_request(dep, "/lookup/", Api_Key="stranger")).status == 401


@SCENARIOS.register(outcomes.Outcome.TOO_LARGE)
async def too_large(dep):
    limits = model.Limits(body_bytes=10)
    await start(dep, kit.answers(), kit.configuration(limits=limits))
    reply = await send_request(dep, "/book/", method="POST", body=b"x" * 11)
    assert reply.status == 413


@SCENARIOS.register(outcomes.Outcome.TOO_SLOW)
async def too_slow(dep):
    instance = await start(dep, kit.answers())
    instance.caller_limits = attrs.evolve(instance.caller_limits, body_gap_s=0.1)
    fields = f"Host: {kit.HOST}\r\nApi-Key: {kit.KEY}\r\nRequest-Id: {ID}\r\n"
    address = instance.cfg.callers
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = f"POST /book/ HTTP/1.1\r\n{fields}Content-Length: 2\r\n\r\n"
    writer.write(head.encode() + b"x")
    assert (await reader.read()).startswith(b"HTTP/1.1 408")
    writer.close()


@SCENARIOS.register(outcomes.Outcome.STOPPING)
async def stopping(dep):
    node = await start(dep, kit.answers())
    node.shared.closing_at = clock.now() - gateway.ACCEPT_AFTER_STOP_S - 1.0
    assert (await send_request(dep, "/lookup/")).status == 503


@SCENARIOS.register(outcomes.Outcome.NOT_RUN)
async def not_run(dep):
    await start(dep, kit.not_run())
    assert (await send_request(dep, "/book/", method="POST")).status == 503


@SCENARIOS.register(outcomes.Outcome.UPSTREAM_FAILED)
async def upstream_failed(dep):
    await start(dep, kit.cut_connection)
    assert (await send_request(dep, "/book/", method="POST")).status == 502


@SCENARIOS.register(outcomes.Outcome.QUARANTINED)
async def quarantined(dep):
    node = await start(dep, kit.answers())
    head, body = "/lookup/6", b"deadly"
    crashes = node.shared.crashes
    digest = hashlib.blake2b(digest_size=call.FINGERPRINT_BYTES)
    digest.update(b"acme\0POST\0" + head.encode() + b"\0" + body)
    row = quarantine.Quarantine(at=clock.now())
    crashes.add_quarantine(digest.hexdigest(), row)
    reply = await dep.call(head, method="POST", body=body, Request_Id=ID)
    assert reply.status == 503


@SCENARIOS.register(outcomes.Outcome.TIMEOUT)
async def timeout(dep):
    book = attrs.evolve(kit.BOOK, timeout_s=0.3)
    await start(dep, never_answer, kit.configuration(routes=(book,)))
    assert (await send_request(dep, "/book/", method="POST")).status == 504


@pytest.mark.parametrize("outcome", list(outcomes.Outcome))
async def test_explain_finds_the_outcome_by_request_id(outcome):
    with captured_log() as stream:
        async with kit.Deployment() as dep:
            await SCENARIOS.get(outcome)(dep)
            await kit.until(lambda: ID in stream.getvalue())
    lines = timeline.LogLines()
    lines.read(stream.getvalue().splitlines())
    (end,) = timeline.build_timeline(lines, ID).ends
    assert end.rest["outcome"] == outcome
