"""Answers of faulty upstreams, as operators of similar systems met them (issue 27).

Each is tried with a single answer and with a stream.
"""

import asyncio
import socket

import pytest
from support import gatewaykit as kit

PATHS = {"single": "/book/1", "stream": "/chat/1"}
EVENT_STREAM = "text/event-stream"
# An error page whose lines could be taken for an event.
ERROR_PAGE = b"error\n\nid: 3\ndata: page-of-an-error\n\n"


def events(count):
    return b"".join(kit.event(number) for number in range(1, count + 1))


def both_kinds(test):
    return pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)(test)


async def start(dep, *scripts):
    workers = [
        await dep.add_worker(f"w{number}", script)
        for number, script in enumerate(scripts)
    ]
    await dep.configure()
    await dep.add_node()
    return workers


def whole_body(req):
    return events(3) if req.target.startswith("/chat/") else b"all of it"


def head_without_length(req):
    extra = {"Content_Type": EVENT_STREAM, "Confidence": 90}
    return (kit.response_head(req, **extra) + "\r\n").encode()


@both_kinds
async def test_refusal_repeated_on_a_kept_connection_answers_no_other_request(path):
    """Guards against "not run" for a request that an upstream runs."""
    refused, runs = [], []

    async def script(req, writer):
        if not refused:
            refused.append((req, writer))
            await kit.not_run()(req, writer)
            return
        runs.append(req)
        (earlier, its_writer), *_ = refused
        if its_writer is writer:
            await kit.not_run()(earlier, writer)
            await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(head_without_length(req) + whole_body(req))
        await writer.drain()
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, script)
        while not runs:
            reply = await dep.call(path, method="POST", body=b"p")
            await asyncio.sleep(0.05)
        assert (reply.status, len(runs)) == (200, 1)


@both_kinds
async def test_refusal_of_an_earlier_request_is_not_taken_for_one_of_this(path):
    """Guards against a second run: the upstream may be running the request."""

    async def script(req, writer):
        refusal = kit.response(req, 503, b"full", Not_Run="1")
        other = req.request_id.encode()
        writer.write(refusal.replace(other, b"of-an-earlier-request"))

    async with kit.Deployment() as dep:
        workers = await start(dep, script, script)
        reply = await dep.call(path, method="POST", body=b"p", Request_Id="mine")
        assert reply.status != 503
        if path == PATHS["single"]:
            assert sum(len(worker.requests) for worker in workers) == 1


@pytest.mark.parametrize(
    "status, content_type",
    [(200, "text/plain")]
    + [
        (status, content_type)
        for status in (400, 404, 500, 503)
        for content_type in ("text/plain", EVENT_STREAM)
    ],
)
async def test_text_of_an_error_is_not_added_to_a_begun_stream(status, content_type):
    """Guards against the page of the second upstream in the caller's stream."""
    failing = kit.answers(status, ERROR_PAGE, Content_Type=content_type)

    async def script(req, writer):
        if "last-event-id" in req.headers:
            await failing(req, writer)
            return
        await kit.streams(5, cut_after=2)(req, writer)

    async with kit.Deployment() as dep:
        await start(dep, script, script)
        reply = await dep.call("/chat/1", method="POST", body=b"p")
        assert (reply.body, reply.is_complete) == (events(2), False)


@pytest.mark.parametrize("status", [400, 404, 422])
async def test_error_before_the_first_event_is_forwarded_whole(status):
    async with kit.Deployment() as dep:
        await start(dep, kit.answers(status, b"no such model"))
        reply = await dep.call("/chat/1", method="POST", body=b"p")
        assert (reply.status, reply.body) == (status, b"no such model")
        assert reply.is_complete


@both_kinds
@pytest.mark.parametrize("framing", ["", "Content-Length: 9\r\n"])
@pytest.mark.parametrize("ending", ["", "\r\n", "\r", ": of-the-up"])
async def test_answer_cut_in_its_head_is_no_answer(path, framing, ending):
    """Guards against a success with an empty body, framed as whole."""

    async def script(req, writer):
        head = f"HTTP/1.1 200 X\r\nRequest-Id: {req.request_id}\r\n"
        head += f"Answer-Signature: s\r\n{framing}Confidence{ending}"
        writer.write(head.encode())
        await writer.drain()
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, script)
        reply = await dep.call(path, method="POST", body=b"p")
        assert reply.status == 502


@both_kinds
@pytest.mark.parametrize("pauses", [(), ("head",), ("body",), ("head", "body")])
async def test_answer_without_length_ends_with_its_connection(path, pauses):
    """Guards against 502 when head, body and the end arrive together."""

    async def script(req, writer):
        writer.write(head_without_length(req))
        if "head" in pauses:
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(whole_body(req))
        if "body" in pauses:
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.close()

    async with kit.Deployment() as dep:
        (worker,) = await start(dep, script)
        reply = await dep.call(path, method="POST", body=b"p")
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == whole_body(worker.requests[0])
        assert len(worker.requests) == 1


@both_kinds
@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_answer_without_length_that_is_reset_is_not_complete(path, pause_s):
    """Guards against a short body that looks whole."""

    async def script(req, writer):
        writer.write(head_without_length(req) + whole_body(req))
        await writer.drain()
        await asyncio.sleep(pause_s)
        kit.reset(writer)

    async with kit.Deployment() as dep:
        await start(dep, script)
        reply = await dep.call(path, method="POST", body=b"p")
        assert reply.status == 502 or not reply.is_complete


async def test_stream_without_length_that_ends_inside_an_event_is_resumed():
    """Guards against a stream that looks complete before its last event."""

    async def script(req, writer):
        last_id = int(req.headers.get("last-event-id") or 0)
        body = b"".join(kit.event(number) for number in range(last_id + 1, 6))
        writer.write(head_without_length(req) + (body if last_id else body[:-3]))
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, script, script)
        reply = await dep.call("/chat/1", method="POST", body=b"p")
        assert (reply.status, reply.is_complete) == (200, True)
        assert reply.body == events(5)


ROUTES = {"idempotent": "/lookup/1", **PATHS}
# No statuses of a response; 101 is none either, since no upgrade is asked for.
INVALID_STATUSES = ("000", "099", "101", "600", "999", "1000", "20", "-20", "2x0")


def all_routes(test):
    return pytest.mark.parametrize("path", ROUTES.values(), ids=ROUTES)(test)


@all_routes
@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("extra", [{}, {"Not_Run": "1"}], ids=["plain", "not run"])
async def test_response_without_a_valid_status_is_no_answer(path, status, extra):
    """Guards against an invalid status at the caller, and a second execution."""

    async def script(req, writer):
        content_type = EVENT_STREAM if "/chat/" in req.target else "text/plain"
        body = whole_body(req)
        writer.write(
            kit.response(req, status, body, Content_Type=content_type, **extra)
        )

    async with kit.Deployment() as dep:
        workers = await start(dep, script, script)
        reply = await dep.call(path, method="POST", body=b"p")
        assert reply.status == 502
        runs = sum(len(worker.requests) for worker in workers)
        assert runs == (1 if path == PATHS["single"] else 2)


@all_routes
@pytest.mark.parametrize("interim", ["000", "099", "600"])
async def test_interim_response_without_a_valid_status_ends_the_attempt(path, interim):
    """Guards against an answer read after bytes that are no response."""

    async def faulty(req, writer):
        writer.write(f"HTTP/1.1 {interim} X\r\n\r\n".encode())
        writer.write(head_without_length(req) + whole_body(req))
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, faulty)
        assert (await dep.call(path, method="POST", body=b"p")).status == 502


@all_routes
@pytest.mark.parametrize("interim", ["100", "102", "103", "199"])
async def test_interim_responses_precede_the_answer(path, interim):
    """Guards against a valid answer taken for a faulty one."""

    async def script(req, writer):
        writer.write(f"HTTP/1.1 {interim} X\r\n\r\n".encode())
        writer.write(head_without_length(req) + whole_body(req))
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, script)
        assert (await dep.call(path, method="POST", body=b"p")).status == 200


@pytest.mark.parametrize("path", [ROUTES["idempotent"], PATHS["stream"]])
async def test_request_that_may_repeat_is_answered_by_another_upstream(path):
    """Guards against 502 where a second upstream can answer."""

    async def sound(req, writer):
        writer.write(head_without_length(req) + whole_body(req))
        writer.close()

    async with kit.Deployment() as dep:
        await start(dep, kit.answers("600"), kit.answers("099"), sound)
        for _ in range(4):
            assert (await dep.call(path, method="POST", body=b"p")).status == 200


class HeadReader:
    """Reads the heads of requests and leaves their bodies unread."""

    def __init__(self, reader):
        self.readuntil = reader.readuntil

    async def readexactly(self, count):
        return b""


class HeadWorker(kit.Worker):
    """An upstream that answers while the request is still being written."""

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", self.port))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=1024)
        return self

    async def _serve(self, reader, writer):
        await super()._serve(HeadReader(reader), writer)


# Version and header of a body that is cut, and its start as sent.
FRAMINGS = {
    "no length": ("1.1", "", lambda body: body),
    "identity": ("1.1", "Transfer-Encoding: identity\r\n", lambda body: body),
    "chunked": ("1.1", "Transfer-Encoding: chunked\r\n", kit.chunk),
    "length": ("1.1", "Content-Length: 900\r\n", lambda body: body),
    "HTTP/1.0": ("1.0", "", lambda body: body),
    "HTTP/1.0 kept": (
        "1.0",
        "Connection: keep-alive\r\nContent-Length: 900\r\n",
        lambda body: body,
    ),
}
UPLOAD = b"u" * 900_000


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    "method, path, upload",
    [("POST", path, UPLOAD) for path in ROUTES.values()]
    + [("GET", ROUTES["idempotent"], None)],
)
@pytest.mark.parametrize("pause_s", [0.0, 0.03])
async def test_answer_reset_while_the_request_is_written_is_not_complete(
    framing, method, path, upload, pause_s, monkeypatch
):
    """Guards against a part of a body that looks whole, and a second execution."""
    version, extra, encode = FRAMINGS[framing]

    async def script(req, writer):
        head = kit.response_head(req, Content_Type=EVENT_STREAM, Confidence=90)
        head = head.replace("HTTP/1.1", f"HTTP/{version}") + extra + "\r\n"
        writer.write(head.encode() + encode(whole_body(req)))
        await writer.drain()
        await asyncio.sleep(pause_s)
        kit.reset(writer)

    monkeypatch.setattr(kit, "Worker", HeadWorker)
    async with kit.Deployment() as dep:
        (worker,) = await start(dep, script)
        reply = await dep.call(path, method=method, body=upload)
        assert worker.requests
        assert reply.status == 502 or not reply.is_complete
        assert path != PATHS["single"] or len(worker.requests) == 1


@pytest.mark.parametrize("method, status", [("GET", 204), ("GET", 304), ("HEAD", 200)])
async def test_answer_without_a_body_needs_no_end_of_its_connection(method, status):
    """Guards against 502, as the connection is closed here once the head is read."""

    async def script(req, writer):
        head = kit.response_head(req, status, Connection="close")
        writer.write((head + "\r\n").encode())

    async with kit.Deployment() as dep:
        (worker,) = await start(dep, script)
        assert (await dep.call("/lookup/1", method=method)).status == status
        assert len(worker.requests) == 1
