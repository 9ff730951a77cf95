"""The HTTP application: requests that something else than their caller cancels."""

import asyncio
import contextlib
import types

import pytest
from aiohttp import web
from masticpost_entry import app
from masticpost_telemetry import account, callerconns, metrics

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: a\r\n\r\n"


@contextlib.asynccontextmanager
async def served(handler):
    """Serve a handler on a real socket as the application does."""
    meters = metrics.Metrics()
    rt = types.SimpleNamespace(
        in_flight=0,
        active_tasks=set(),
        is_ending=False,
        is_stopping=False,
        meters=meters,
    )
    made = web.Application()
    made.router.add_route("*", "/", app._instrument(rt, handler))
    runner = callerconns.CallerRunner(
        made,
        account=meters.account,
        id_header="X-Request-Id",
        handler_cancellation=True,
        shutdown_timeout=0.05,
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    rt.port = site._server.sockets[0].getsockname()[1]
    try:
        yield rt
    finally:
        await runner.cleanup()


# Guards against a cancellation by something else than the caller's leaving: it closed
# the connection without an answer.
async def test_cancellation_that_is_not_the_callers_is_answered():
    async def cancelled(rt, req, request_id):
        raise asyncio.CancelledError

    async with served(cancelled) as rt:
        reader, writer = await asyncio.open_connection("127.0.0.1", rt.port)
        writer.write(REQUEST)
        assert (await reader.read(65_536)).startswith(b"HTTP/1.1 502")
        writer.close()


# Guards against an error written into the middle of an answer that had begun.
async def test_answer_that_has_begun_is_cut_clean_when_it_is_cancelled():
    async def begun(rt, req, request_id):
        resp = web.StreamResponse()
        resp.content_length = 1000
        await resp.prepare(req)
        await resp.write(b"x" * 10)
        raise asyncio.CancelledError

    async with served(begun) as rt:
        reader, writer = await asyncio.open_connection("127.0.0.1", rt.port)
        writer.write(REQUEST)
        received = await reader.read()
        assert received.count(b"HTTP/1.1") == 1
        assert received.endswith(b"x" * 10)
        assert rt.meters.account.ends[account.End.CUT] == 1
        writer.close()


# Guards against requests dropped with their connection as an instance stops.
@pytest.mark.parametrize("count", [1, 3])
async def test_requests_in_one_packet_are_all_answered_in_a_stop(count):
    async def slow(rt, req, request_id):
        await asyncio.sleep(0.1)
        return web.Response(text="done")

    async with served(slow) as rt:
        reader, writer = await asyncio.open_connection("127.0.0.1", rt.port)
        writer.write(REQUEST * count)
        rt.is_stopping = True
        received = await reader.read()
        assert received.count(b"HTTP/1.1 200") == count
        assert rt.meters.account.ends[account.End.ANSWERED] == count
        writer.close()
