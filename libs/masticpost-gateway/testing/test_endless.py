"""Endless bytes from an upstream that are not a valid response."""

import asyncio
import contextlib

import pytest
from support import gatewaykit as kit

BLOCK = 65_536
# Bytes that an upstream can write to a connection before it sees that the other side
# has closed it: the largest accepted response and the buffers in between.
MAX_WRITTEN = 24 * 2**20
HEAD_END = "\r\n\r\n"
EVENT = kit.chunk(kit.event(1))


def stream_head(req, framing):
    content_type = "text/event-stream"
    head = kit.response_head(req, Confidence=90, Content_Type=content_type)
    return (head + framing + HEAD_END).encode()


def response(req, body):
    return stream_head(req, f"Content-Length: {len(body)}") + body


GARBAGE = b"x" * BLOCK
CHUNKED = "Transfer-Encoding: chunked"

IN_HEAD = {
    "a status line": lambda req: (b"HTTP/1.1 200 ", GARBAGE),
    "no HTTP": lambda req: (b"", GARBAGE),
    "header fields": lambda req: (b"HTTP/1.1 200 X\r\n", b"Field: value\r\n" * 5000),
    "one header field": lambda req: (b"HTTP/1.1 200 X\r\nField: ", GARBAGE),
    "interim responses": lambda req: (b"", b"HTTP/1.1 103 X\r\n\r\n" * 4000),
}
IN_BODY = {
    "chunk extension": lambda req: (stream_head(req, CHUNKED) + b"5;a=", GARBAGE),
    "chunk size": lambda req: (stream_head(req, CHUNKED), b"0" * BLOCK),
    "a body without length": lambda req: (stream_head(req, "X: y"), GARBAGE),
    "chunks without events": lambda req: (
        stream_head(req, CHUNKED),
        kit.chunk(GARBAGE),
    ),
}
AFTER_RESPONSE = {
    "beyond the length": lambda req: (response(req, kit.event(1)), GARBAGE),
    "beyond the last chunk": lambda req: (
        stream_head(req, CHUNKED) + EVENT + b"0\r\n\r\n",
        GARBAGE,
    ),
    "after connection: close": lambda req: (
        response(req, kit.event(1)).replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
        GARBAGE,
    ),
    "unsolicited responses": lambda req: (
        response(req, kit.event(1)),
        response(req, kit.event(2)) * 200,
    ),
}
TRAILERS = {
    "trailer fields": lambda req: (
        stream_head(req, CHUNKED) + EVENT + b"0\r\n",
        b"Field: value\r\n" * 5000,
    ),
}


class EndlessScript:
    """A script that writes endlessly.

    Attributes
    ----------
    written : int
        Largest number of endless bytes written to one connection.
    """

    def __init__(self, parts):
        self.parts = parts
        self.written = 0
        self.is_closed = False

    async def __call__(self, req, writer):
        first, rest = self.parts(req)
        writer.write(first)
        written = 0
        try:
            while True:
                writer.write(rest)
                written += len(rest)
                self.written = max(self.written, written)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.is_closed = True
            with contextlib.suppress(ConnectionError):
                await writer.drain()


async def replies_with_one_endless_upstream(parts, path):
    """Send requests to an endless upstream and a healthy one; return the replies."""
    endless = EndlessScript(parts)
    healthy = kit.streams(1) if path == "/chat/" else kit.answers(body=kit.event(1))
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", endless)
        await dep.add_worker("w2", healthy)
        await dep.configure()
        await dep.add_node()
        replies = []
        while not endless.written or len(replies) < 4:
            assert len(replies) < 40
            replies.append(await dep.call(path, method="POST", body=b"p"))
        await kit.until(lambda: endless.is_closed)
    assert endless.written < MAX_WRITTEN
    return replies


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", IN_HEAD.values(), ids=IN_HEAD.keys())
async def test_endless_head_is_retried_at_another_upstream(parts, path):
    replies = await replies_with_one_endless_upstream(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", IN_BODY.values(), ids=IN_BODY.keys())
async def test_endless_body_is_retried_at_another_upstream(parts, path):
    replies = await replies_with_one_endless_upstream(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", TRAILERS.values(), ids=TRAILERS.keys())
async def test_endless_trailers_do_not_block_the_request(parts, path):
    replies = await replies_with_one_endless_upstream(parts, path)
    assert {r.body for r in replies} == {kit.event(1)}


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", AFTER_RESPONSE.values(), ids=AFTER_RESPONSE.keys())
async def test_bytes_after_a_response_reach_no_caller(parts, path):
    replies = await replies_with_one_endless_upstream(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("parts", [*IN_HEAD.values(), *IN_BODY.values()])
async def test_caller_of_a_request_that_may_have_run_gets_a_timely_error(parts):
    endless = EndlessScript(parts)
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", endless)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST", body=b"x")
        await kit.until(lambda: endless.is_closed)
    assert reply.status in (502, 504)
    assert endless.written < MAX_WRITTEN
