"""Connections to upstreams: reset when given up, ended by bytes nobody asked for."""

import asyncio

import aiohttp
import pytest
from support import gatewaykit as kit

# More than the buffers of a loopback connection hold.
LARGE_BODY = b"b" * 4_000_000


async def test_request_that_is_held_up_is_not_delivered_after_its_caller_has_gone():
    """It reached an upstream seconds after the caller had left."""
    reads = asyncio.Event()
    got = bytearray()
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reads.wait()
        try:
            while data := await reader.read(65_536):
                got.extend(data)
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
        made = await dep.add_node()
        async with aiohttp.ClientSession() as http:
            call = dep.call("/lookup/", method="POST", body=LARGE_BODY, http=http)
            task = asyncio.create_task(call)
            await kit.until(
                lambda: any(
                    row.outstanding
                    for row in made.shared.chooser.healths._rows.values()
                )
            )
            task.cancel()
        await kit.until(lambda: not made.gateway.busy)
        reads.set()
        async with asyncio.timeout(kit.WAIT_LIMIT_S):
            await ended.wait()
        server.close()
    assert len(got) < len(LARGE_BODY)


@pytest.mark.parametrize("late", [b"x", b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"])
async def test_bytes_on_an_idle_connection_end_it(late):
    writers = []

    async def script(got, writer):
        writer.write(kit.response(got))
        writers.append(writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        await dep.call("/book/", method="POST", body=b"x")
        writers[0].write(late)
        await kit.until(lambda: worker.disconnects)
        reply = await dep.call("/book/", method="POST", body=b"x")
    assert (reply.status, reply.body) == (200, b"done")
    assert worker.connections == 2


async def test_sound_connection_is_used_again():
    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", kit.answers())
        await dep.configure()
        await dep.add_node()
        for _ in range(5):
            await dep.call("/book/", method="POST", body=b"x")
    assert worker.connections == 1
