"""Connections to upstreams: reset when abandoned or when unexpected bytes arrive."""

import asyncio

import aiohttp
import attrs
import pytest
from masticpost_gateway.state import source
from masticpost_gateway.upstreams import conns
from support import gatewaykit as kit

# More than the buffers of a loopback connection can hold.
LARGE_BODY = b"b" * 4_000_000


async def test_delayed_request_is_not_delivered_after_its_caller_disconnects():
    """Guards against delivery to the upstream seconds after the caller disconnected."""
    may_read = asyncio.Event()
    received = bytearray()
    ended = asyncio.Event()

    async def serve(reader, writer):
        await may_read.wait()
        try:
            while data := await reader.read(65_536):
                received.extend(data)
        except ConnectionError:
            pass
        finally:
            writer.close()
            ended.set()

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.cut_connection)
        await worker.stop()
        server = await asyncio.start_server(serve, "127.0.0.1", worker.port, limit=1024)
        await dep.configure()
        instance = await dep.add_node()
        async with aiohttp.ClientSession() as http:
            call = dep.call("/lookup/", method="POST", body=LARGE_BODY, http=http)
            task = asyncio.create_task(call)
            await kit.until(
                lambda: any(
                    row.outstanding
                    for row in instance.shared.chooser.healths._rows.values()
                )
            )
            task.cancel()
        await kit.until(lambda: not instance.gateway.active_conns)
        may_read.set()
        async with asyncio.timeout(kit.WAIT_LIMIT_S):
            await ended.wait()
        server.close()
    assert len(received) < len(LARGE_BODY)


@pytest.mark.parametrize("path", ["/chat/", "/book/"])
async def test_upstream_that_is_no_longer_listed_ends_what_it_has_begun(
    monkeypatch, path
):
    """Guards against answers cut as the pool of an upstream that leaves closes (LOST).

    A leaving upstream serves for many seconds after its entry is removed.
    """
    monkeypatch.setattr(conns, "KEEPALIVE_S", 0.2)
    may_end = asyncio.Event()

    async def serve(req, writer):
        if path == "/chat/":
            content_type = "text/event-stream"
            head = kit.response_head(req, Confidence=90, Content_Type=content_type)
            writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            writer.write(kit.chunk(kit.event(1)))
        await may_end.wait()
        writer.write(kit.response(req) if path == "/book/" else b"0\r\n\r\n")

    timeouts = {"timeout_s": 20.0, "gap_s": 20.0, "objective_s": 20.0}
    routes = [attrs.evolve(row, **timeouts) for row in (kit.BOOK, kit.CHAT)]
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", serve)
        await dep.configure(kit.configuration(routes=tuple(routes)))
        instance = await dep.add_node()
        call = dep.call(path, method="POST", body=b"p", Request_Deadline_Ms="20000")
        reply = asyncio.create_task(call)
        await kit.until(lambda: worker.requests)
        await dep.store.put(source.Kind.UPSTREAMS, "w1", None)
        await kit.until(lambda: instance.shared.pools._closing)
        await asyncio.sleep(4 * conns.KEEPALIVE_S)
        may_end.set()
        assert ((await reply).status, reply.result().is_complete) == (200, True)
        assert len(worker.requests) == 1
        await kit.until(lambda: not instance.shared.pools._closing)


@pytest.mark.parametrize(
    "unexpected", [b"x", b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"]
)
async def test_bytes_on_an_idle_connection_reset_it(unexpected):
    writers = []

    async def script(req, writer):
        writer.write(kit.response(req))
        writers.append(writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        await dep.call("/book/", method="POST", body=b"x")
        writers[0].write(unexpected)
        await kit.until(lambda: worker.disconnects)
        reply = await dep.call("/book/", method="POST", body=b"x")
    assert (reply.status, reply.body) == (200, b"done")
    assert worker.connections == 2


async def test_healthy_connection_is_reused():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node()
        for _ in range(5):
            await dep.call("/book/", method="POST", body=b"x")
    assert worker.connections == 1
