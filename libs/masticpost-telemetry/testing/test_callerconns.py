"""Callers' connections on real sockets: the account, and what aiohttp must still do."""

import asyncio
import contextlib
import socket
import struct

import prometheus_client
import pytest
import uvloop
from aiohttp import web
from masticpost_telemetry import account, callerconns

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
