"""Paths on which a connection ends around a stop: what was read gets its answer.

The tests run on uvloop as the daemons do; its timers come before its reads.
"""

import asyncio
import socket
import time

import pytest
import uvloop
from masticpost_common import clock
from masticpost_gateway import node
from masticpost_gateway.serving import plain, streaming
from support import gatewaykit as kit

GRACE_S = 8.0
LARGE = b"x" * 100_000


def run(test):
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(test)


def request(name, path="/lookup/1", *, body=None, size=None):
    method = "GET" if size is None and body is None else "POST"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {kit.HOST}",
        f"Request-Id: {name}",
        "Request-Deadline-Ms: 20000",
        f"Api-Key: {kit.KEY}",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {size or len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def connect(instance, rcvbuf=None):
    sock = socket.socket()
    if rcvbuf:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
    sock.connect((instance.cfg.callers.host, instance.cfg.callers.port))
    sock.setblocking(False)
    return sock


async def read(sock, limit_s=6.0):
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(sock, 65_536), limit_s)


async def read_all(sock, limit_s=6.0):
    received = b""
    while data := await read(sock, limit_s):
        received += data
    return received


async def ask(sock, text):
    await asyncio.get_running_loop().sock_sendall(sock, text)
    return await read(sock)


async def pause(length_s, begin):
    """Let the process do nothing else for a while, and call `begin` as it starts.

    It begins between the loop's reads, so that timers come before the next ones.
    """
    loop, done = asyncio.get_running_loop(), asyncio.Event()
    ours, other = socket.socketpair()

    def hold():
        loop.remove_reader(ours)
        begin()
        time.sleep(length_s)
        done.set()

    loop.add_reader(ours, hold)
    other.send(b"x")
    await done.wait()
    ours.close()
    other.close()


async def deploy(dep, script, **settings):
    worker = await dep.add_worker("w1", script)
    row = {"timeout_s": 30.0, "objective_s": 10.0, "gap_s": 2.0}
    routes = tuple(
        kit.route(name=made.name, path_prefix=made.path_prefix, kind=made.kind, **row)
        for made in (kit.LOOKUP, kit.BOOK, kit.CHAT)
    )
    await dep.configure(kit.configuration(routes=routes))
    instance = await dep.add_node(grace_s=GRACE_S, **settings)
    return worker, instance


async def stop(dep, instance):
    await instance.drain()
    await instance.stop()
    dep.nodes.clear()


# Guards against connections closed with a request unread, when the process did not run
# for a while around the close of idle connections, or the end of the drain.
@pytest.mark.parametrize("began_s", [1.4, 2.85])
def test_request_that_comes_while_the_process_does_not_run_is_answered(began_s):
    async def body():
        async with kit.Deployment() as dep:
            _, instance = await deploy(dep, kit.answers())
            sock = connect(instance)
            assert b"200" in await ask(sock, request("a"))
            stopping = asyncio.create_task(stop(dep, instance))
            await asyncio.sleep(began_s)
            if began_s > node.CLOSE_IDLE_AFTER_S:
                sock = connect(instance)
            await pause(0.5, lambda: sock.sendall(request("b")))
            assert (await read(sock))[:12] in (b"HTTP/1.1 200", b"HTTP/1.1 503")
            await stopping

    run(body())


# Guards against the second of two requests in one packet being dropped with the
# connection, when a stop begins before the first is answered.
@pytest.mark.parametrize("path", ["/lookup/1", "/chat/1"])
def test_requests_in_one_packet_are_all_answered_in_a_stop(path):
    script = kit.streams(3, pause_s=0.3) if path == "/chat/1" else slow_answer

    async def body():
        async with kit.Deployment() as dep:
            worker, instance = await deploy(dep, script)
            sock = connect(instance)
            text = None if path == "/lookup/1" else b"p"
            pair = [request(name, path, body=text) for name in "ab"]
            await asyncio.get_running_loop().sock_sendall(sock, b"".join(pair))
            await kit.until(lambda: worker.requests)
            stopping = asyncio.create_task(stop(dep, instance))
            received = await read_all(sock)
            assert received.count(b"HTTP/1.1 200") == 2
            assert len(worker.requests) == 2
            await stopping

    run(body())


async def slow_answer(req, writer):
    await asyncio.sleep(0.5)
    writer.write(kit.response(req))


# Guards against an answer whose rest is lost with the process: its caller reads slowly,
# no handler is at work, and the drain ended without a look at what is unwritten.
def test_answer_to_a_slow_reader_is_written_whole_within_the_grace():
    async def body():
        async with kit.Deployment() as dep:
            _, instance = await deploy(dep, kit.answers(body=LARGE))
            sock = connect(instance, rcvbuf=4096)
            await asyncio.sleep(0.1)
            (conn,) = instance._runners[0].server.connections
            transport = conn.transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            await asyncio.get_running_loop().sock_sendall(sock, request("a"))
            await asyncio.sleep(0.5)
            assert not instance.gateway.active_conns
            assert transport.get_write_buffer_size() > 0
            reading = asyncio.create_task(read_late(sock, node.MIN_DRAIN_S + 0.6))
            began = clock.now()
            await stop(dep, instance)
            assert transport.get_write_buffer_size() == 0
            assert clock.now() - began < GRACE_S
            assert (await reading).endswith(LARGE)

    run(body())


async def read_late(sock, delay_s):
    await asyncio.sleep(delay_s)
    return await read_all(sock)


# Guards against a cancellation by something else than the caller's leaving: it closed
# the connection without an answer, and was logged as the caller's leaving.
@pytest.mark.parametrize(
    ("path", "module"), [("/lookup/1", plain), ("/chat/1", streaming)]
)
def test_cancellation_that_is_not_the_callers_is_answered(monkeypatch, path, module):
    async def cancelled(*args):
        raise asyncio.CancelledError

    monkeypatch.setattr(plain, "serve", cancelled)
    monkeypatch.setattr(streaming.StreamRelay, "serve", cancelled)

    async def body():
        async with kit.Deployment() as dep:
            _, instance = await deploy(dep, kit.answers())
            text = None if module is plain else b"p"
            received = await ask(connect(instance), request("a", path, body=text))
            assert received.startswith(b"HTTP/1.1 50")
            shown = instance.metrics.render().decode()
            assert 'outcome="caller-gone"' not in shown

    run(body())


# Guards against an error written into the middle of an answer that had begun, when the
# grace ends before a large answer has come whole.
def test_large_answer_that_has_begun_is_cut_clean_at_the_end_of_the_grace():
    async def begins(req, writer):
        writer.write(kit.response(req, body=b"x" * 4_000_000)[:3_000_000])
        await writer.drain()
        await asyncio.sleep(60)

    async def body():
        async with kit.Deployment() as dep:
            _, instance = await deploy(dep, begins)
            sock = connect(instance)
            await asyncio.get_running_loop().sock_sendall(sock, request("a"))
            reading = asyncio.create_task(read_all(sock, limit_s=GRACE_S))
            await asyncio.sleep(0.5)
            await stop(dep, instance)
            received = await reading
            assert received.startswith(b"HTTP/1.1 200")
            assert received.count(b"HTTP/1.1") == 1
            assert received.endswith(b"xxx")

    run(body())


# Guards against a connection that is closed without an answer when the instance ends
# while it reads the body.
def test_request_whose_body_is_read_at_the_end_is_answered():
    async def body():
        async with kit.Deployment() as dep:
            worker, instance = await deploy(dep, kit.answers())
            sock = connect(instance)
            text = request("a", "/book/1", body=b"part", size=100)
            await asyncio.get_running_loop().sock_sendall(sock, text)
            await kit.until(lambda: instance.gateway.active_conns)
            stopping = asyncio.create_task(stop(dep, instance))
            received = await read(sock, limit_s=GRACE_S)
            assert received.startswith(b"HTTP/1.1 503")
            await stopping
            assert not worker.requests

    run(body())


# Guards against work at upstreams for callers that left: a caller that closes its side
# while it waits counts as one that left, since both look the same here.
@pytest.mark.parametrize("is_half", [False, True])
def test_caller_that_closes_its_side_is_one_that_left(is_half):
    async def body():
        async with kit.Deployment() as dep:
            worker, instance = await deploy(dep, slow_answer)
            sock = connect(instance)
            await asyncio.get_running_loop().sock_sendall(sock, request("a"))
            await kit.until(lambda: worker.requests)
            if is_half:
                sock.shutdown(socket.SHUT_WR)
            else:
                sock.close()
            await kit.until(lambda: not instance.gateway.active_conns)
            shown = instance.metrics.render().decode()
            assert 'masticpost_account_ends_total{end="caller-left"} 1.0' in shown
            assert 'outcome="caller-gone"' in shown

    run(body())
