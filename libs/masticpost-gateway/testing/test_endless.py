"""Bytes that are no answer and come without end, until the gateway closes."""

import asyncio
import contextlib

import pytest
from support import gatewaykit as kit

BLOCK = 65_536
# What an upstream can write on a connection before it notices that the other side has
# closed: the largest answer that is taken, and the buffers on the way.
MAX_WRITTEN = 24 * 2**20
HEAD_END = "\r\n\r\n"
EVENT = kit.chunk(kit.event(1))


def lead(got, framing):
    kind = "text/event-stream"
    head = kit.response_head(got, Confidence=90, Content_Type=kind)
    return (head + framing + HEAD_END).encode()


def answer(got, body):
    return lead(got, f"Content-Length: {len(body)}") + body


NOISE = b"x" * BLOCK
CHUNKED = "Transfer-Encoding: chunked"

IN_HEAD = {
    "a status line": lambda got: (b"HTTP/1.1 200 ", NOISE),
    "no HTTP": lambda got: (b"", NOISE),
    "header fields": lambda got: (b"HTTP/1.1 200 X\r\n", b"Field: value\r\n" * 5000),
    "one header field": lambda got: (b"HTTP/1.1 200 X\r\nField: ", NOISE),
    "interim answers": lambda got: (b"", b"HTTP/1.1 103 X\r\n\r\n" * 4000),
}
IN_BODY = {
    "chunk extension": lambda got: (lead(got, CHUNKED) + b"5;a=", NOISE),
    "chunk size": lambda got: (lead(got, CHUNKED), b"0" * BLOCK),
    "a body without length": lambda got: (lead(got, "X: y"), NOISE),
    "chunks that are no events": lambda got: (lead(got, CHUNKED), kit.chunk(NOISE)),
}
AFTER_ANSWER = {
    "beyond the length": lambda got: (answer(got, kit.event(1)), NOISE),
    "beyond the last chunk": lambda got: (
        lead(got, CHUNKED) + EVENT + b"0\r\n\r\n",
        NOISE,
    ),
    "after connection: close": lambda got: (
        answer(got, kit.event(1)).replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
        NOISE,
    ),
    "answers nobody asked for": lambda got: (
        answer(got, kit.event(1)),
        answer(got, kit.event(2)) * 200,
    ),
}
TRAILERS = {
    "trailer fields": lambda got: (
        lead(got, CHUNKED) + EVENT + b"0\r\n",
        b"Field: value\r\n" * 5000,
    ),
}


class Endless:
    """A script that writes without end; `written` is the most on one connection."""

    def __init__(self, parts):
        self.parts = parts
        self.written = 0
        self.is_closed = False

    async def __call__(self, got, writer):
        first, rest = self.parts(got)
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


async def served_beside(parts, path):
    """Send requests to an endless upstream and a good one; return the replies."""
    endless = Endless(parts)
    good = kit.streams(1) if path == "/chat/" else kit.answers(body=kit.event(1))
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", endless)
        await dep.add_worker("w2", good)
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
async def test_head_without_end_is_left_for_another_upstream(parts, path):
    replies = await served_beside(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", IN_BODY.values(), ids=IN_BODY.keys())
async def test_body_without_end_is_left_for_another_upstream(parts, path):
    replies = await served_beside(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", TRAILERS.values(), ids=TRAILERS.keys())
async def test_trailers_without_end_do_not_hold_the_request(parts, path):
    replies = await served_beside(parts, path)
    assert {r.body for r in replies} == {kit.event(1)}


@pytest.mark.parametrize("path", ["/lookup/", "/chat/"])
@pytest.mark.parametrize("parts", AFTER_ANSWER.values(), ids=AFTER_ANSWER.keys())
async def test_bytes_after_an_answer_reach_nobody(parts, path):
    replies = await served_beside(parts, path)
    assert {(r.status, r.body, r.is_complete) for r in replies} == {
        (200, kit.event(1), True)
    }


@pytest.mark.parametrize("parts", [*IN_HEAD.values(), *IN_BODY.values()])
async def test_caller_of_a_call_that_may_have_run_is_answered_in_time(parts):
    endless = Endless(parts)
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", endless)
        await dep.configure()
        await dep.add_node()
        reply = await dep.call("/book/", method="POST", body=b"x")
        await kit.until(lambda: endless.is_closed)
    assert reply.status in (502, 504)
    assert endless.written < MAX_WRITTEN
