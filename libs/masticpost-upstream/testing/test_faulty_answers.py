"""Answers of faulty upstreams, as operators of similar systems met them (issue 27)."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest
from masticpost_common import retry
from masticpost_upstream import connections, engine, faults, openai, plain, pool

EVENT_STREAM = "Content-Type: text/event-stream\r\n"


class Upstream:
    """A server that answers each request with its script.

    A script is called with the attempt id, the number of the request and a writer.
    """

    def __init__(self, script):
        self.script = script
        self.requests = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        self.server.close()

    def target(self, attempt_id):
        return pool.Target(
            upstream="up",
            url=f"http://127.0.0.1:{self.port}",
            attempt_id=attempt_id,
            deadline_s=3.0,
        )

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                rows = dict(row.split(": ", 1) for row in head.split("\r\n")[1:-2])
                await reader.readexactly(int(rows.get("content-length", 0)))
                self.requests += 1
                await self.script(rows["x-request-id"], self.requests, writer)
                await writer.drain()
        writer.close()


def response(status, body, framing=None):
    framing = f"Content-Length: {len(body)}\r\n" if framing is None else framing
    return f"HTTP/1.1 {status} X\r\n{framing}\r\n".encode() + body


def completion(attempt_id):
    choice = {
        "message": {"role": "assistant", "content": "hi"},
        "finish_reason": "stop",
    }
    return json.dumps({"id": f"chatcmpl-{attempt_id}", "choices": [choice]}).encode()


def chunk(attempt_id, text, finish_reason=None):
    choice = {"delta": {"content": text}, "finish_reason": finish_reason}
    row = {"id": f"chatcmpl-{attempt_id}", "choices": [choice]}
    return b"data: " + json.dumps(row).encode() + b"\n\n"


def whole_stream(attempt_id):
    return chunk(attempt_id, "hi", "stop") + b"data: [DONE]\n\n"


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


REQUEST = openai.EngineRequest(
    model="m", messages=[openai.Message(role="user", content="hi")]
)


async def complete(client, target):
    answer = await client.complete(target, REQUEST)
    return answer.completion.choices[0].message.content


async def stream(client, target):
    chunks = [row async for row in client.stream(target, REQUEST)]
    return "".join(row.choices[0].delta.content for row in chunks)


async def call(client, target):
    req = plain.PlainRequest(method="POST", path="/x", query="", headers={}, body=b"b")
    return (await client.call(target, req)).body


CALLS = {
    "complete": (engine.EngineClient, complete, completion, "hi"),
    "stream": (engine.EngineClient, stream, whole_stream, "hi"),
    "plain": (plain.PlainClient, call, lambda attempt_id: b"booked", b"booked"),
}


@contextlib.asynccontextmanager
async def client_of(kind):
    client_class, send, body, result = CALLS[kind]
    client = client_class()
    try:
        yield client, send, body, result
    finally:
        await client.pool.close()


@pytest.mark.parametrize("kind", CALLS)
async def test_refusal_repeated_on_a_kept_connection_answers_no_other_request(kind):
    """Guards against "not run" for a request that the upstream runs."""
    refused = []

    async def script(attempt_id, number, writer):
        if number == 1:
            refused.append(writer)
            writer.write(response(429, b"full"))
            return
        if writer in refused:
            writer.write(response(429, b"full"))
        writer.write(response(200, CALLS[kind][2](attempt_id)))

    async with (
        Upstream(script) as upstream,
        client_of(kind) as (client, send, _, result),
    ):
        with pytest.raises(faults.UpstreamError) as caught:
            await send(client, upstream.target("one"))
        assert caught.value.verdict is retry.Verdict.NOT_PROCESSED
        assert await send(client, upstream.target("two")) == result


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("surplus", [response(429, b"full"), b"noise"])
async def test_bytes_on_an_idle_connection_answer_no_request(kind, surplus):
    """Guards against a refusal of before that waits on a kept connection."""
    async with client_of(kind) as (client, send, body, result):

        async def script(attempt_id, number, writer):
            writer.write(response(200, body(attempt_id)))
            await writer.drain()
            await asyncio.sleep(0.03)
            writer.write(surplus)

        async with Upstream(script) as upstream:
            for attempt_id in ("one", "two", "three"):
                assert await send(client, upstream.target(attempt_id)) == result
                await asyncio.sleep(0.06)


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("framing", ["", "Content-Length: 6\r\n"])
async def test_answer_cut_in_its_head_is_no_answer(kind, framing):
    """Guards against a success with an empty body, framed as whole."""

    async def script(attempt_id, number, writer):
        writer.write(f"HTTP/1.1 200 X\r\n{framing}Content-Ty".encode())
        await writer.drain()
        writer.close()

    async with Upstream(script) as upstream, client_of(kind) as (client, send, *_):
        with pytest.raises(faults.UpstreamError) as caught:
            await send(client, upstream.target("one"))
        assert caught.value.verdict is retry.Verdict.NOT_KNOWN


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_answer_without_length_ends_with_its_connection(kind, pause_s):
    """Guards against refusing an answer whose parts arrive together."""
    async with client_of(kind) as (client, send, body, result):

        async def script(attempt_id, number, writer):
            writer.write(response(200, b"", framing=EVENT_STREAM))
            await asyncio.sleep(pause_s)
            writer.write(body(attempt_id))
            await asyncio.sleep(pause_s)
            writer.close()

        async with Upstream(script) as upstream:
            assert await send(client, upstream.target("one")) == result


@pytest.mark.parametrize("kind", CALLS)
async def test_answer_without_length_that_is_reset_is_not_complete(kind):
    """Guards against a short body that looks whole."""
    async with client_of(kind) as (client, send, body, _):

        async def script(attempt_id, number, writer):
            writer.write(response(200, body(attempt_id)[:-3], framing=EVENT_STREAM))
            await writer.drain()
            await asyncio.sleep(0.03)
            reset(writer)

        async with Upstream(script) as upstream:
            with pytest.raises(faults.UpstreamError) as caught:
                await send(client, upstream.target("one"))
            assert caught.value.verdict is retry.Verdict.NOT_KNOWN


@pytest.mark.parametrize("status", [200, 400, 500])
@pytest.mark.parametrize(
    "page", [b"error\n\ndata: page\n\n", b'data: {"error": 1}\n\n']
)
async def test_text_of_an_error_is_no_part_of_a_stream(status, page):
    """Guards against the page of an error in the middle of a caller's stream."""

    async def script(attempt_id, number, writer):
        writer.write(response(status, page))

    async with Upstream(script) as upstream, client_of("stream") as (client, *_):
        seen = []
        with pytest.raises(faults.UpstreamError):
            async for row in client.stream(upstream.target("one"), REQUEST):
                seen.append(row)
        assert not seen


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("status", ["000", "099", "101", "600", "999", "1000", "20"])
@pytest.mark.parametrize("is_interim", [False, True])
async def test_response_without_a_valid_status_is_no_answer(kind, status, is_interim):
    """Guards against an invalid status at the caller, and an answer after it."""

    async def script(attempt_id, number, writer):
        body = CALLS[kind][2](attempt_id)
        if is_interim:
            writer.write(f"HTTP/1.1 {status} X\r\n\r\n".encode())
            writer.write(response(200, body))
        else:
            writer.write(response(status, body))

    async with Upstream(script) as upstream, client_of(kind) as (client, send, *_):
        with pytest.raises(faults.UpstreamError) as caught:
            await send(client, upstream.target("one"))
        assert caught.value.verdict is retry.Verdict.NOT_KNOWN
        assert caught.value.kind is faults.FaultKind.CUT


FRAMINGS = {
    "no length": ("1.1", "", b"part"),
    "identity": ("1.1", "Transfer-Encoding: identity\r\n", b"part"),
    "chunked": ("1.1", "Transfer-Encoding: chunked\r\n", b"4\r\npart\r\n"),
    "length": ("1.1", "Content-Length: 9\r\n", b"part"),
    "HTTP/1.0": ("1.0", "", b"part"),
    "HTTP/1.0 kept": (
        "1.0",
        "Connection: keep-alive\r\nContent-Length: 9\r\n",
        b"part",
    ),
}


@contextlib.asynccontextmanager
async def partial_upstream(framing, finish):
    """Serve a part of an answer without reading the body of the request."""
    version, extra, part = FRAMINGS[framing]

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/{version} 200 X\r\n{extra}\r\n".encode() + part)
        await writer.drain()
        await finish(writer)

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.bind(("127.0.0.1", 0))
    url = f"http://127.0.0.1:{sock.getsockname()[1]}"
    async with await asyncio.start_server(serve, sock=sock, limit=1024):
        yield pool.Target(upstream="up", url=url, attempt_id="one", deadline_s=3.0)


def plain_request(method, body):
    return plain.PlainRequest(method=method, path="/x", query="", headers={}, body=body)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("method, upload", [("POST", b"u" * 900_000), ("GET", b"")])
@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_answer_reset_while_the_request_is_written_is_not_complete(
    framing, method, upload, pause_s
):
    """Guards against a part of a body that looks whole."""

    async def finish(writer):
        await asyncio.sleep(pause_s)
        reset(writer)

    async with (
        partial_upstream(framing, finish) as target,
        client_of("plain") as (client, *_),
    ):
        with pytest.raises(faults.UpstreamError) as caught:
            await client.call(target, plain_request(method, upload))
        assert caught.value.verdict is retry.Verdict.NOT_KNOWN


async def test_answer_whose_connection_is_closed_here_is_not_complete():
    """Guards against a part that looks whole as a write fails or the pool closes."""

    async def finish(writer):
        await asyncio.sleep(1.0)
        reset(writer)

    async with (
        partial_upstream("no length", finish) as target,
        client_of("plain") as (client, *_),
    ):
        asyncio.get_running_loop().call_later(0.1, abort_connections, client)
        with pytest.raises(faults.UpstreamError) as caught:
            await client.call(target, plain_request("GET", b""))
        assert caught.value.verdict is retry.Verdict.NOT_KNOWN


def abort_connections(client):
    for conn in client.pool.session().connector._acquired:
        conn.transport.abort()


async def test_end_that_is_read_after_a_reset_is_no_end():
    """Guards against a reset whose error a failed write has taken."""
    loop, accepted = asyncio.get_running_loop(), asyncio.Event()

    async def serve(reader, writer):
        reset(writer)
        accepted.set()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        sock = socket.socket()
        sock.connect(server.sockets[0].getsockname())
        await accepted.wait()
        await asyncio.sleep(0.02)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert sock.recv(1) == b""
        conn = connections.GuardedProtocol(loop)
        conn.transport = Transport(sock)
        conn.eof_received()
        sock.close()
    assert not conn.is_ended


@pytest.mark.parametrize("method, status", [("GET", 204), ("HEAD", 200)])
async def test_answer_without_a_body_needs_no_end_of_its_connection(method, status):
    """Guards against a failure, as the connection is closed here after the head."""

    async def script(attempt_id, number, writer):
        writer.write(response(status, b"", framing=""))

    async with Upstream(script) as upstream, client_of("plain") as (client, *_):
        target = upstream.target("one")
        answer = await client.call(target, plain_request(method, b""))
        assert answer.status == status


class Transport:
    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock
