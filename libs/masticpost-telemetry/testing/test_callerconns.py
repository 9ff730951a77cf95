"""Callers' connections on real sockets: the account, and what aiohttp must still do."""

import asyncio
import contextlib
import socket
import struct
import time

import attrs
import prometheus_client
import pytest
import uvloop
from aiohttp import web
from masticpost_common import clock
from masticpost_telemetry import account, callerbytes, callerconns, callerguard

ID = "Request-Id"
LARGE = b"x" * 4_000_000


def request(name, path="/"):
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n{ID}: {name}\r\n\r\n".encode()


class Scene:
    """A server on a real socket, with a handler that does what the path says."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.account = account.Account(registry=self.registry)
        self.held = asyncio.Event()
        self.handled = []

    async def handle(self, req):
        self.handled.append(req.headers.get(ID))
        if req.path == "/hold":
            await self.held.wait()
        if req.path == "/cancel":
            raise asyncio.CancelledError
        if req.path == "/body":
            try:
                return web.Response(body=await callerconns.read_body(req, 100_000))
            except callerconns.BODY_ERRORS as exc:
                resp = web.Response(status=503, text=type(exc).__name__)
                resp.force_close()
                return resp
        if req.path == "/large":
            return web.Response(body=LARGE)
        resp = web.Response(text="done")
        if req.path == "/refused":
            resp[callerconns.REFUSED_KEY] = True
        return resp

    def ends(self):
        return {end: n for end, n in self.account.ends.items() if n}

    def shown(self, name):
        return self.registry.get_sample_value(f"masticpost_account_{name}_total")

    async def until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                for conn in list(self.account.conns):
                    conn.settle()
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def scene(kind="server", **settings):
    made = Scene()
    fields = {"account": made.account, "id_header": ID, "handler_cancellation": True}
    fields |= {"access_log": None, **settings}
    if kind == "server":
        server = callerconns.CallerServer(made.handle, **fields)
        runner = web.ServerRunner(server, shutdown_timeout=0.05)
    else:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", made.handle)
        runner = callerconns.CallerRunner(app, shutdown_timeout=0.05, **fields)
    await runner.setup()
    made.runner = runner
    made.server = runner.server
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    made.port = site._server.sockets[0].getsockname()[1]
    try:
        yield made
    finally:
        await runner.cleanup()


def run(test):
    """Run a test's coroutine on the loop that the daemons use."""
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(test)


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


def connect(port, **options):
    sock = socket.socket()
    if "rcvbuf" in options:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options["rcvbuf"])
    sock.connect(("127.0.0.1", port))
    return sock


async def answer(sock, size=65_536):
    sock.setblocking(False)
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, size), 5)


async def read_all(sock):
    received = b""
    while data := await answer(sock):
        received += data
    return received


# Guards against requests that end without an account of how.
@pytest.mark.parametrize("kind", ["server", "application"])
@pytest.mark.parametrize(
    ("path", "end"),
    [
        ("/", account.End.ANSWERED),
        ("/refused", account.End.REFUSED),
        ("/cancel", account.End.CUT),
    ],
)
def test_each_request_ends_in_one_way(kind, path, end):
    async def body():
        async with scene(kind) as made:
            sock = connect(made.port)
            sock.sendall(request("a", path))
            await answer(sock)
            await made.until(made.ends)
            assert made.ends() == {end: 1}
            assert made.account.balance().difference == 0
            sock.close()
            await made.until(lambda: not made.account.conns)
            assert made.account.balance() == account.Balance(parsed=1, accounted=1)

    run(body())


# Guards against a cancellation by anything else being taken for the caller's leaving.
@pytest.mark.parametrize("is_reset", [False, True])
def test_leaving_is_seen_on_the_connection(is_reset):
    async def body():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(request("a", "/hold") + request("b"))
            await made.until(lambda: made.handled)
            linger = struct.pack("ii", int(is_reset), 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock.close()
            await made.until(lambda: not made.account.conns)
            assert made.ends() == {account.End.CALLER_LEFT: 2}
            assert made.account.balance() == account.Balance(parsed=2, accounted=2)

    run(body())


# Guards against a request that is parsed, held by no handler, and forgotten uncounted.
def test_request_that_no_handler_has_seen_is_counted():
    async def body():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(request("a", "/hold") + request("b"))
            await made.until(lambda: made.handled)
            next(iter(made.account.conns)).transport.close()
            await made.until(lambda: not made.account.conns)
            assert made.handled == ["a"]
            assert made.ends() == {account.End.CUT: 1, account.End.UNSEEN: 1}

    run(body())


def test_difference_is_counted_once_it_lasts():
    async def body():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(request("a"))
            await answer(sock)
            made.account.check()
            made.account.ends[account.End.ANSWERED] -= 1
            made.account.check()
            assert made.shown("differences") == 0
            made.account.check()
            made.account.check()
            assert made.shown("differences") == 1

    run(body())


# Guards against a connection that is closed with a request unread in its socket, when
# the process did not run for a while: timers come before the read.
@pytest.mark.parametrize("way", ["idle", "keepalive"])
def test_request_that_waits_in_the_socket_after_a_pause_is_read(way):
    async def body():
        keepalive_s = 0.3 if way == "keepalive" else 75.0
        async with scene(keepalive_timeout=keepalive_s) as made:
            sock = connect(made.port)
            sock.sendall(request("a"))
            assert b"200" in await answer(sock)
            loop = asyncio.get_running_loop()
            if way == "idle":
                loop.call_later(0.3, made.server.close_idle)
            await pause(0.5, lambda: sock.sendall(request("b")))
            assert b"200" in await answer(sock)
            assert made.handled == ["a", "b"]
            assert not made.shown("closed_unread")

    run(body())


def test_request_that_waits_in_the_socket_as_the_listener_closes_is_read():
    async def body():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(request("a"))
            assert b"200" in await answer(sock)
            sock.sendall(request("b"))
            await made.server.end(made.runner.sites, clock.now() + 2)
            assert b"200" in await answer(sock)
            assert made.handled == ["a", "b"]

    run(body())


# Guards against a connection that is reset as the listener closes, before it was
# accepted: its request came while the process did not run.
def test_connection_that_waits_to_be_accepted_is_served_as_the_listener_closes():
    async def body():
        async with scene() as made:
            socks = [connect(made.port) for _ in range(20)]
            for number, sock in enumerate(socks):
                sock.sendall(request(str(number)))
            await made.server.end(made.runner.sites, clock.now() + 2)
            for sock in socks:
                assert b"200" in await answer(sock)
            with pytest.raises(OSError):
                connect(made.port)

    run(body())


# Guards against an answer whose rest is lost with the process's buffers.
def test_answer_to_a_slow_reader_is_written_before_the_end():
    async def body():
        async with scene() as made:
            sock = connect(made.port, rcvbuf=4096)
            sock.sendall(
                request("a", "/large").replace(
                    b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
                )
            )
            await made.until(lambda: made.handled)
            (conn,) = made.account.conns
            assert conn.unwritten() > 0
            reading = asyncio.create_task(read_all(sock))
            await made.server.end(made.runner.sites, clock.now() + 4)
            assert conn.unwritten() == 0
            assert (await reading).endswith(LARGE)
            assert made.ends() == {account.End.ANSWERED: 1}

    run(body())


def test_answer_that_is_not_read_is_given_up_and_counted():
    async def body():
        async with scene() as made:
            sock = connect(made.port, rcvbuf=4096)
            sock.sendall(request("a", "/large"))
            await made.until(lambda: made.handled)
            await asyncio.sleep(0.1)
            began = clock.now()
            await made.server.end(made.runner.sites, began + 0.5)
            assert clock.now() - began < 1.0
        assert sum(made.ends().values()) == 1
        assert account.End.ANSWERED not in made.ends()

    run(body())


LIMITS = callerbytes.CallerLimits(head_bytes=2_000, head_s=0.2, body_gap_s=0.2)
POST = b"POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


# Guards against a limit that holds a client's bytes or its connection forever.
@pytest.mark.parametrize(
    ("sent", "found"),
    [
        (b"GET / HTTP/1.1\r\nHost: a", b""),
        (b"GET / HTTP/1.1\r\n" + b"F: " + b"f" * 3_000, b"HTTP/1.1 431"),
        (b"GET / HTTP/1.1\r\nHost: " + b"a" * 3_000 + b"\r\n\r\n", b"HTTP/1.1 431"),
        (POST % 5 + b"abc", b"BodyRejectedError"),
        (POST % 100_001, b"BodyTooLargeError"),
        (POST % 60_000 + b"b" * 50_000, b"BodyRejectedError"),
        (POST % 50_000 + b"b" * 50_000, b"b" * 50_000),
    ],
)
def test_connection_beyond_a_limit_is_closed_after_its_answer(sent, found):
    async def body():
        guard = callerguard.Guard(limit=120_000)
        async with scene(guard=guard, limits=lambda: LIMITS) as made:
            watching = asyncio.create_task(guard.watch())
            sock = connect(made.port)
            sock.sendall(sent)
            received = await answer(sock)
            while found not in received:
                received += await answer(sock)
            if b"200 OK" not in received:
                await read_all(sock)
            await made.until(lambda: not made.server.connections or sock.close())
            await made.until(lambda: not guard.account.held)
            watching.cancel()

    run(body())


# Guards against descriptors that callers keep by reading nothing.
def test_caller_that_reads_nothing_is_given_up():
    async def body():
        limits = attrs.evolve(LIMITS, read_gap_s=0.2)
        guard = callerguard.Guard()
        async with scene(guard=guard, limits=lambda: limits) as made:
            watching = asyncio.create_task(guard.watch())
            sock = connect(made.port, rcvbuf=4096)
            sock.sendall(request("a", "/large"))
            await made.until(lambda: made.handled)
            await made.until(lambda: not guard.account.parts)
            watching.cancel()

    run(body())


# Guards against aiohttp changing what it does not publish and this module uses.
def test_private_parts_of_aiohttp_are_as_the_module_expects():
    async def body():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(request("a", "/hold") + request("b"))
            await made.until(lambda: made.handled)
            (conn,) = made.account.conns
            assert conn.parsed_count == 2
            assert conn.open_ids == ["b", "a"]
            assert conn.is_owing
            assert conn.has_more
            assert not conn.is_waiting
            sock.sendall(b"GET ")
            made.held.set()
            await answer(sock)
            await made.until(lambda: conn.is_waiting)
            await made.until(lambda: not conn.is_owing)
            conn.settle()
            assert not conn.open_ids
            sock.sendall(request("c")[4:])
            assert conn.unread() == len(request("c")) - 4
            assert conn.is_owing
            await made.until(lambda: made.ends() == {account.End.ANSWERED: 3})

    run(body())


# Guards against a TypeError for a connection closed at once with its body complete.
def test_body_of_a_connection_closed_at_once_is_rejected():
    async def test():
        async with scene() as made:
            sock = connect(made.port)
            sock.sendall(
                b"POST /body HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            await made.until(lambda: made.handled)
            (conn,) = made.account.conns
            payload = conn._reader
            made.server.guard.reject(conn, callerguard.CONNECTIONS, is_abrupt=True)
            payload.feed_eof()
            with pytest.raises(callerconns.BodyRejectedError):
                await conn.read_body(payload, 100)
            sock.close()

    run(test())
