"""Gateway nodes over a store in memory and scripted upstreams, in one process."""

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
from masticpost_gateway.routing import retryshare
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import mesh
from masticpost_gateway.state import model, source

NAMES = headers.HeaderNames()
HOST = "shop.example"
KEY = "key-of-a-customer"
WAIT_LIMIT_S = 10.0
SECRET = "a-shared-key-of-the-tests"


class FakeStore:
    """A `source.Source` in memory, shared by the nodes of a test."""

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
        """Write a record; None removes it."""
        async with self._changed:
            self.revision += 1
            entry = source.Entry(name=name, revision=self.revision, record=record)
            gone = record is None
            if gone:
                entry = self.rows[kind].pop(name)
            else:
                self.rows[kind][name] = entry
            self.log.append((self.revision, kind, source.Event(entry=entry, is_removed=gone)))
            self._changed.notify_all()

    def fail(self, kind, fault_kind):
        """Answer calls about `kind` with a fault, also those at work; None ends it."""
        self.faults[kind] = fault_kind

    def _fault(self, kind):
        found = self.faults.get(kind)
        if found is None:
            return None
        return result.Err(source.Fault(kind=found, message="as the test wants"))

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
                source.Fault(kind=source.FaultKind.HISTORY_GONE, message="gone")
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

    async def decide(self, entry, order):
        known = self.rows[source.Kind.ROLL_OUTS].get(entry.name)
        if known is None or known.revision != entry.revision:
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

    async def keep_quarantined(self, row):
        self.calls += 1
        self.quarantine_entries[row.fingerprint] = row
        return result.Ok(None)

    async def drop_quarantined(self, fingerprint):
        self.calls += 1
        self.quarantine_entries.pop(fingerprint, None)
        return result.Ok(None)

    async def close(self):
        return None


@attrs.frozen(kw_only=True)
class ReceivedRequest:
    """A request as an upstream got it."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        return self.headers.get("request-id", "")


Script = collections.abc.Callable[["ReceivedRequest", asyncio.StreamWriter], object]


class Worker:
    """An upstream that answers each request as its script says."""

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

    def crash(self):
        """End like a killed process: nothing listens, every connection is reset."""
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
                got = await _read_request(reader)
                self.requests.append(got)
                await self.script(got, writer)
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
    found = {}
    for line in lines:
        name, _, value = line.partition(":")
        found[name.strip().lower()] = value.strip()
    length = int(found.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return ReceivedRequest(method=method, target=target, headers=found, body=body)


def response_head(got, status=200, *, signed=True, **extra):
    """Return the head of an answer without its framing."""
    rows = [f"HTTP/1.1 {status} X", f"Request-Id: {got.request_id}"]
    if signed:
        rows.append("Answer-Signature: of-the-upstream")
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in extra.items()]
    return "\r\n".join(rows) + "\r\n"


def response(got, status=200, body=b"done", **extra):
    """Return a whole answer with a length."""
    framing = f"Content-Length: {len(body)}\r\n\r\n"
    return (response_head(got, status, **extra) + framing).encode() + body


def answers(status=200, body=b"done", **extra):
    """Return a script that always gives the same whole answer."""

    async def script(got, writer):
        writer.write(response(got, status, body, **extra))

    return script


def not_run(status=503, **extra):
    """Return a script that never runs a request."""
    return answers(status, b"full", Not_Run="1", **extra)


def reset(writer):
    """Reset the connection, so that the other side sees no clean end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def cut_connection(got, writer):
    """End the connection without an answer."""
    writer.transport.abort()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number, text="word"):
    return f"id: {number}\ndata: {text}-{number}\n\n".encode()


def streams(count, *, cut_after=None, confidence=90, pause_s=0.0, **extra):
    """Return a script that writes events, from the one after Last-Event-Id on."""

    async def script(got, writer):
        start = int(got.headers.get("last-event-id") or 0)
        kind = "text/event-stream"
        lead = response_head(got, Confidence=confidence, Content_Type=kind, **extra)
        writer.write((lead + "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(start + 1, count + 1):
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
    """What a caller got; `is_complete` is False for a cut body."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool = True


class Deployment:
    """A store, upstreams and nodes."""

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
        for made in self.nodes:
            await made.stop()
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
            "retries": retryshare.Bounds(ratio=1.0, slack=50.0),
            "mesh": mesh.MeshSettings(
                address=f"127.0.0.1:{peers}", seeds=tuple(seeds), secret=SECRET
            ),
        }
        cfg = node.NodeSettings(**{**fields, **changes})
        made = node.Node(cfg=cfg, store=store or self.store, names=NAMES)
        await made.start()
        self.nodes.append(made)
        await until(lambda: made.is_ready or self.store.rows is None)
        return made

    async def call(self, path, *, method="GET", body=None, via=0, http=None, **extra):
        """Send a request to a node and return what came back."""
        sent = {
            "Host": HOST,
            "Request-Id": f"req-{next(self._ids)}",
            "Request-Deadline-Ms": "3000",
            "Api-Key": KEY,
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        cfg = self.nodes[via].cfg
        url = yarl.URL(f"http://127.0.0.1:{cfg.callers.port}{path}", encoded=True)
        async with (http or self._http).request(
            method, url, data=body, headers=sent
        ) as resp:
            got, is_complete = b"", True
            try:
                async for data in resp.content.iter_any():
                    got += data
            except aiohttp.ClientError:
                is_complete = False
        return Reply(resp.status, dict(resp.headers), got, is_complete)


async def until(condition):
    """Wait for a condition; fails after a long time."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)
