"""Connections to upstreams: reset when abandoned or when unexpected bytes arrive."""

import asyncio

import aiohttp
import pytest
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
