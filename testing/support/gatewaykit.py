"""Gateway instances with an in-memory store and scripted upstreams in one process."""

import asyncio
import collections.abc
import contextlib
import itertools
import socket
import struct

import aiohttp
import attrs
import result
import yarl
from masticpost_bench import procs
from masticpost_gateway import node
from masticpost_gateway.routing import retrybudget
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import mesh
from masticpost_gateway.state import model, source

NAMES = headers.HeaderNames()
HOST = "shop.example"
KEY = "key-of-a-customer"
WAIT_LIMIT_S = 10.0
SECRET = "a-shared-key-of-the-tests"


class FakeStore:
    """An in-memory `source.Source`, shared by the instances of a test."""

    def __init__(self):
        self.revision = 1
        self.rows = {kind: {} for kind in source.Kind}
        self.log = []
        self.oldest_revision = 0
        self.registered = {}
        self.quarantine_entries = {}
        self.faults = {}
        self.decisions = []
        self.calls = 0
        self._changed = asyncio.Condition()

    async def put(self, kind, name, record):
        """Write a record, or remove it if `record` is None."""
        async with self._changed:
            self.revision += 1
            entry = source.Entry(name=name, revision=self.revision, record=record)
            is_removed = record is None
            if is_removed:
                entry = self.rows[kind].pop(name)
            else:
                self.rows[kind][name] = entry
            self.log.append(
                (self.revision, kind, source.Event(entry=entry, is_removed=is_removed))
            )
            self._changed.notify_all()

    def fail(self, kind, fault_kind):
        """Fail calls for `kind`, including pending ones; None ends the failure."""
        self.faults[kind] = fault_kind

    def _fault(self, kind):
        fault_kind = self.faults.get(kind)
        if fault_kind is None:
            return None
        return result.Err(source.Fault(kind=fault_kind, message="injected by the test"))

    async def list_all(self, kind):
        self.calls += 1
        fault = self._fault(kind)
        if fault is not None:
            return fault
        entries = tuple(self.rows[kind].values())
        return result.Ok(source.Listing(entries=entries, at=self.revision))

    async def watch(self, kind, at, wait_s):
        self.calls += 1
        fault = self._fault(kind)
        if fault is not None:
            return fault
        if at < self.oldest_revision:
            return result.Err(
                source.Fault(
                    kind=source.FaultKind.HISTORY_GONE, message="history removed"
                )
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, at))
        late_fault = self._fault(kind)
        if late_fault is not None:
            return late_fault
        return result.Ok(
            source.Changes(events=tuple(self._events(kind, at)), at=self.revision)
        )

    def _events(self, kind, at):
        return [event for rev, k, event in self.log if rev > at and k is kind]

    async def update_roll_out(self, entry, order):
        current = self.rows[source.Kind.ROLL_OUTS].get(entry.name)
        if current is None or current.revision != entry.revision:
            return result.Err(
                source.Fault(kind=source.FaultKind.CONFLICT, message="changed")
            )
        self.decisions.append(order)
        await self.put(source.Kind.ROLL_OUTS, entry.name, order)
        return result.Ok(self.rows[source.Kind.ROLL_OUTS][entry.name])

    async def register(self, me):
        self.registered[me.name] = me
        return result.Ok(None)

    async def instances(self):
        return result.Ok(list(self.registered.values()))

    async def quarantined(self):
        return result.Ok(list(self.quarantine_entries.values()))

    async def put_quarantined(self, row):
        self.calls += 1
        self.quarantine_entries[row.key] = row
        return result.Ok(None)

    async def remove_quarantined(self, key):
        self.calls += 1
        self.quarantine_entries.pop(key, None)
        return result.Ok(None)

    async def close(self):
        return None


@attrs.frozen(kw_only=True)
class ReceivedRequest:
    """A request as received by an upstream."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        return self.headers.get("request-id", "")


Script = collections.abc.Callable[["ReceivedRequest", asyncio.StreamWriter], object]


class Worker:
    """An upstream that responds to each request with its script.

    Attributes
    ----------
    requests : list of ReceivedRequest
        All requests received.
    disconnects : int
        Connections that the other side closed or reset.
    connections : int
        Connections accepted.
    runs : int
        Number of the current run (process lifetime), from 1.
    """

    def __init__(
        self, *, name, script, service="desk", domain="a", version="v1", port=0
    ):
        self.name = name
        self.script = script
        self.service = service
        self.domain = domain
        self.version = version
        self.requests = []
        self.disconnects = 0
        self.connections = 0
        self.port = port or procs.free_ports(1)[0]
        self.runs = 1
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        return self

    async def stop(self):
        self._server.close()

    @property
    def is_up(self):
        """Whether the current run listens."""
        return self._server.is_serving()

    def crash(self):
        """Act like a killed process: stop listening and reset every connection."""
        self._server.close()
        self.runs += 1
        for writer in list(self._writers):
            reset(writer)

    def record(self, **changes):
        fields = {
            "name": self.name,
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "domain": self.domain,
            "version": self.version,
            "slots": 8,
        }
        return model.Upstream(**{**fields, **changes})

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                req = await _read_request(reader)
                self.requests.append(req)
                await self.script(req, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnects += 1
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return ReceivedRequest(method=method, target=target, headers=fields, body=body)


def response_head(req, status=200, *, signed=True, **extra):
    """Return the head of a response, without a body length or encoding."""
    rows = [f"HTTP/1.1 {status} X", f"Request-Id: {req.request_id}"]
    if signed:
        rows.append("Answer-Signature: of-the-upstream")
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in extra.items()]
    return "\r\n".join(rows) + "\r\n"


def response(req, status=200, body=b"done", **extra):
    """Return a complete response with a Content-Length."""
    framing = f"Content-Length: {len(body)}\r\n\r\n"
    return (response_head(req, status, **extra) + framing).encode() + body


def answers(status=200, body=b"done", **extra):
    """Return a script that always sends the same complete response."""

    async def script(req, writer):
        writer.write(response(req, status, body, **extra))

    return script


def not_run(status=503, **extra):
    """Return a script that refuses every request without running it."""
    return answers(status, b"full", Not_Run="1", **extra)


def reset(writer):
    """Reset the connection, so that the other side sees an error."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def cut_connection(req, writer):
    """Abort the connection without a response."""
    writer.transport.abort()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number, text="word"):
    return f"id: {number}\ndata: {text}-{number}\n\n".encode()


def streams(count, *, cut_after=None, confidence=90, pause_s=0.0, **extra):
    """Return a script that writes the events after Last-Event-Id, up to `count`.

    With `cut_after`, the connection is aborted in the middle of the event after it.
    """

    async def script(req, writer):
        last_id = int(req.headers.get("last-event-id") or 0)
        content_type = "text/event-stream"
        head = response_head(
            req, Confidence=confidence, Content_Type=content_type, **extra
        )
        writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(last_id + 1, count + 1):
            if cut_after is not None and number > cut_after:
                writer.write(b"5\r\nid: ")
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")

    return script


def route(**changes):
    fields = {
        "name": "lookup",
        "host": HOST,
        "path_prefix": "/lookup/",
        "kind": model.CallKind.IDEMPOTENT,
        "targets": (model.Target(service="desk", weight=1.0),),
        "timeout_s": 3.0,
        "objective_s": 0.5,
        "attempts": 3,
    }
    return model.Route(**{**fields, **changes})


BOOK = route(
    name="book",
    path_prefix="/book/",
    kind=model.CallKind.NON_IDEMPOTENT,
    attempts=1,
)
LOOKUP = route()
CHAT = route(
    name="chat",
    path_prefix="/chat/",
    kind=model.CallKind.RESUMABLE_STREAM,
    levels=("small", "large"),
    timeout_s=5.0,
    objective_s=2.0,
    gap_s=1.0,
)


def configuration(version=1, routes=(BOOK, LOOKUP, CHAT), **changes):
    fields = {
        "services": (model.Service(name="desk"),),
        "customers": (model.Customer(name="acme", keys=(KEY,)),),
    }
    return model.Configuration(version=version, routes=routes, **{**fields, **changes})


@attrs.define
class Reply:
    """A response as received by a caller; `is_complete` is False for a cut body."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool = True


class Deployment:
    """A store, upstreams and gateway instances."""

    def __init__(self):
        self.store = FakeStore()
        self.nodes = []
        self.workers = []
        self._ids = itertools.count(1)
        self._http = None

    async def __aenter__(self):
        self._http = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exc):
        await self._http.close()
        for instance in self.nodes:
            await instance.stop()
        for worker in self.workers:
            await worker.stop()

    async def add_worker(self, name, script, *, record=None, **fields):
        worker = await Worker(name=name, script=script, **fields).start()
        self.workers.append(worker)
        entry = worker.record(**(record or {}))
        await self.store.put(source.Kind.UPSTREAMS, name, entry)
        return worker

    async def configure(self, cfg=None):
        cfg = cfg or configuration()
        await self.store.put(source.Kind.CONFIGURATION, "main", cfg)

    async def add_node(self, name="one", *, store=None, seeds=(), **changes):
        callers, ready, peers = procs.free_ports(3)
        fields = {
            "name": name,
            "domain": "a",
            "callers": node.Address(host="127.0.0.1", port=callers),
            "ready": node.Address(host="127.0.0.1", port=ready),
            "retries": retrybudget.Bounds(ratio=1.0, slack=50.0),
            "mesh": mesh.MeshSettings(
                address=f"127.0.0.1:{peers}", seeds=tuple(seeds), secret=SECRET
            ),
        }
        cfg = node.NodeSettings(**{**fields, **changes})
        instance = node.Node(cfg=cfg, store=store or self.store, names=NAMES)
        await instance.start()
        self.nodes.append(instance)
        await until(lambda: instance.is_ready or self.store.rows is None)
        return instance

    async def call(self, path, *, method="GET", body=None, via=0, http=None, **extra):
        """Send a request to the instance at index `via` and return the reply."""
        request_headers = {
            "Host": HOST,
            "Request-Id": f"req-{next(self._ids)}",
            "Request-Deadline-Ms": "3000",
            "Api-Key": KEY,
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        cfg = self.nodes[via].cfg
        url = yarl.URL(f"http://127.0.0.1:{cfg.callers.port}{path}", encoded=True)
        async with (http or self._http).request(
            method, url, data=body, headers=request_headers
        ) as resp:
            received, is_complete = b"", True
            try:
                async for data in resp.content.iter_any():
                    received += data
            except aiohttp.ClientError:
                is_complete = False
        return Reply(resp.status, dict(resp.headers), received, is_complete)


async def until(condition):
    """Wait until a condition holds; time out after `WAIT_LIMIT_S` seconds."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)
