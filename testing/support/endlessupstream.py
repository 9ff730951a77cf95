"""A process with a faulty upstream, which sends without end, or with a sound one.

Run as ``python -m support.endlessupstream SCENE PORT``. The faulty upstream answers
each request with the bytes of the scene until the connection is closed. The sound one,
scene `SOUND`, has a process of its own, so that it is not kept from answering.
"""

import asyncio
import gzip
import itertools
import sys

BLOCK = 65_536
JUNK = b"x" * BLOCK
SSE = "text/event-stream"


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def head(fields, framing, content_type=SSE):
    """Return a valid head for either daemon; it echoes the ids of the request."""
    rows = [
        "HTTP/1.1 200 X",
        f"Request-Id: {fields.get('request-id', '')}",
        f"X-Request-Id: {fields.get('x-request-id', '')}",
        "Answer-Signature: of-the-upstream",
        "Confidence: 90",
        f"Content-Type: {content_type}",
        framing,
    ]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked"
PLAIN = "X: y"

# A scene that is not endless, to compare with: each connection is reset.
RESET = "reset"
SOUND = "sound"
# For each scene what is sent once, given the fields of the request, and then repeated.
SCENES = {
    "no status line": (lambda fields: b"", JUNK),
    "a field without end": (lambda fields: b"HTTP/1.1 200 X\r\nField: ", JUNK),
    "fields": (lambda fields: b"HTTP/1.1 200 X\r\n", b"Field: value\r\n" * 5000),
    "interim responses": (lambda fields: b"", b"HTTP/1.1 103 X\r\n\r\n" * 4000),
    "chunks": (lambda fields: head(fields, CHUNKED), chunk(JUNK)),
    "one chunk": (lambda fields: head(fields, CHUNKED) + b"fffffffffff\r\n", JUNK),
    "a chunk extension": (lambda fields: head(fields, CHUNKED) + b"5;a=", JUNK),
    "a length": (lambda fields: head(fields, f"Content-Length: {10**12}"), JUNK),
    "no length": (lambda fields: head(fields, PLAIN), JUNK),
    "trailers": (
        lambda fields: head(fields, CHUNKED) + chunk(b"id: 1\ndata: x\n\n") + b"0\r\n",
        b"Field: value\r\n" * 5000,
    ),
    "lines": (lambda fields: head(fields, CHUNKED), chunk(b"data: word\n" * 5000)),
    "comments": (lambda fields: head(fields, CHUNKED), chunk(b": c\n\n" * 8000)),
    "empty lines": (lambda fields: head(fields, CHUNKED), chunk(b"\n" * BLOCK)),
    "one event again": (
        lambda fields: head(fields, CHUNKED),
        chunk(b"id: 1\ndata: word\n\n" * 4000),
    ),
    "unfolding": (
        lambda fields: head(fields, CHUNKED + "\r\nContent-Encoding: gzip"),
        chunk(gzip.compress(b"x" * 2**26)),
    ),
    "an error's body": (
        lambda fields: head(fields, PLAIN).replace(b"200 X", b"500 X", 1),
        JUNK,
    ),
}


async def serve_endless(scene, port):
    first, rest = SCENES.get(scene, (lambda fields: b"", b""))

    async def serve(reader, writer):
        try:
            fields = await read_head(reader)
            writer.write(first(fields))
            while rest:
                writer.write(rest)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(serve, "127.0.0.1", port)


async def serve_sound(port):
    numbers = itertools.count()

    async def serve(reader, writer):
        try:
            while True:
                fields = await read_head(reader)
                is_stream = "accept" in fields and SSE in fields["accept"]
                body = b"id: 1\ndata: word\n\n" if is_stream else b"done"
                framing = f"Content-Length: {len(body)}\r\nNumber: {next(numbers)}"
                writer.write(head(fields, framing) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(serve, "127.0.0.1", port)


async def read_head(reader):
    """Return the fields of a request, by lower-case name, and skip its body."""
    rows = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[1:-2]
    fields = {}
    for row in rows:
        name, _, value = row.partition(":")
        fields[name.lower()] = value.strip()
    await reader.readexactly(int(fields.get("content-length", 0)))
    return fields


async def main(scene, port):
    is_sound = scene == SOUND
    made = serve_sound(int(port)) if is_sound else serve_endless(scene, int(port))
    server = await made
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
