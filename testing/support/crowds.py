"""Crowds of misbehaving clients against one process, and what the process held.

A scene checks no times and no share of served requests, only that the process lives,
stays under its bounds, and answers an ordinary request.
"""

import asyncio
import collections.abc
import contextlib
import os
import pathlib

import attrs

# Connections that misbehave in the same way at the same time.
CROWD = 72
# Time for which a crowd is left as it is, once it has sent what it could.
HOLD_S = 1.0
SEND_LIMIT_S = 5.0
SAMPLE_S = 0.02
ANSWER_LIMIT_S = 30.0
ASK_AGAIN_S = 0.3
SMALL_PIECE = 4_096
CHUNK = 65_536
ONE_BYTE_CHUNKS = 262_144
# Fields of a request that stays below the parser's limit on their number.
SHORT_FIELDS = 120


@attrs.frozen(kw_only=True)
class Target:
    """Where a crowd sends its requests.

    Attributes
    ----------
    fields : tuple of str
        Header lines of every request, without line ends.
    body_bytes : int
        Size of the largest body within the limits.
    """

    host: str
    port: int
    path: str
    body_bytes: int
    fields: tuple[str, ...] = ("Host: a",)

    def head(self, *more, method="POST"):
        lines = [f"{method} {self.path} HTTP/1.1", *self.fields, *more]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


Pieces = collections.abc.Iterator[bytes]
SHAPES: dict[str, collections.abc.Callable[[Target], Pieces]] = {}


def shape(name):
    def add(pieces):
        SHAPES[name] = pieces
        return pieces

    return add


def in_pieces(size, piece):
    while size > 0:
        yield b"b" * min(size, piece)
        size -= piece


def in_chunks(size, piece):
    for data in in_pieces(size, piece):
        yield b"%x\r\n%s\r\n" % (len(data), data)


@shape("body in one piece")
def body_in_one_piece(to):
    yield to.head(f"Content-Length: {to.body_bytes}")
    yield b"b" * (to.body_bytes - 1)


@shape("body in small pieces")
def body_in_small_pieces(to):
    yield to.head(f"Content-Length: {to.body_bytes}")
    yield from in_pieces(to.body_bytes - 1, SMALL_PIECE)


@shape("body in chunks")
def body_in_chunks(to):
    yield to.head("Transfer-Encoding: chunked")
    yield from in_chunks(to.body_bytes - 1, CHUNK)


@shape("body in one-byte chunks")
def body_in_one_byte_chunks(to):
    yield to.head("Transfer-Encoding: chunked")
    for _ in range(ONE_BYTE_CHUNKS // SMALL_PIECE):
        yield b"1\r\nb\r\n" * SMALL_PIECE


@shape("whole body")
def whole_body(to):
    yield to.head(f"Content-Length: {to.body_bytes}")
    yield b"b" * to.body_bytes


@shape("body far over the limit")
def body_far_over_the_limit(to):
    yield to.head(f"Content-Length: {16 * to.body_bytes}")
    yield from in_pieces(16 * to.body_bytes - 1, CHUNK)


@shape("chunks far over the limit")
def chunks_far_over_the_limit(to):
    yield to.head("Transfer-Encoding: chunked")
    yield from in_chunks(16 * to.body_bytes, CHUNK)


@shape("slow body")
def slow_body(to):
    yield to.head(f"Content-Length: {to.body_bytes}")
    yield b"b"


@shape("half head")
def half_head(to):
    yield to.head(method="GET")[:-3]


@shape("endless head")
def endless_head(to):
    yield to.head(method="GET")[:-2]
    for number in range(SHORT_FIELDS):
        yield b"F%d: %s\r\n" % (number, b"f" * 30_000)


@shape("short fields, pipelined")
def short_fields(to):
    fields = [f"F{number}: f" for number in range(SHORT_FIELDS)]
    for _ in range(1_000):
        yield to.head(*fields, method="GET")


@shape("half head of short fields")
def half_head_of_short_fields(to):
    yield to.head(method="GET")[:-2]
    for number in range(SHORT_FIELDS):
        yield b"F%d: f\r\n" % number


@shape("pipelined")
def pipelined(to):
    for _ in range(4_000):
        yield to.head(method="GET")


@shape("idle")
def idle(to):
    yield b""


@attrs.define
class Highest:
    """The most that a process was seen to hold; sizes in bytes."""

    resident: int = 0
    descriptors: int = 0

    def look(self, pid):
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        size_kb = int(status.partition("VmRSS:")[2].split()[0])
        self.resident = max(self.resident, size_kb * 1024)
        self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{pid}/fd")))

    async def watch(self, pid):
        while True:
            self.look(pid)
            await asyncio.sleep(SAMPLE_S)


async def until(ask):
    """Ask until the answer is yes."""
    async with asyncio.timeout(ANSWER_LIMIT_S):
        while not await ask():
            await asyncio.sleep(ASK_AGAIN_S)


async def misbehave(to, pieces, writers):
    """Send what the other side takes, and read nothing."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(to.host, to.port, limit=1)
        writers.append(writer)
        reader._transport.pause_reading()
        async with asyncio.timeout(SEND_LIMIT_S):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()


async def play(to, shape_name, pid, ask):
    """Play a crowd, and return what the process held.

    Parameters
    ----------
    ask : callable
        Sends one ordinary request, and returns whether it was answered.
    """
    highest, writers = Highest(), []
    watching = asyncio.create_task(highest.watch(pid))
    try:
        async with asyncio.TaskGroup() as group:
            for _ in range(CROWD):
                group.create_task(misbehave(to, SHAPES[shape_name](to), writers))
        await asyncio.sleep(HOLD_S)
        await until(ask)
        assert not watching.done()
    finally:
        watching.cancel()
        for writer in writers:
            writer.transport.abort()
    return highest
