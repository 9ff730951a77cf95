"""Stand-in for workers: plain answers and streams, as `PROTOCOL.md` describes them."""

import asyncio
import collections.abc
import dataclasses
import time

from common2 import httpio

ID = "x-masticpost-attempt-identifier"
EXPECTED = "x-masticpost-expected-instance"


@dataclasses.dataclass
class Run:
    """A request that a worker began to work on."""

    at: float
    worker: str
    request_id: str
    target: str
    headers: dict[str, str]
    body: bytes
    ended: str = ""


class Worker:
    """One worker; `work_s` is its work time, `events` and `gap_s` are its streams'."""

    def __init__(self, *, name: str, host: str, port: int, work_s: float = 0.02):
        self.name, self.host, self.port = name, host, port
        self.work_s, self.events, self.gap_s = work_s, 10, 0.05
        self.runs: list[Run] = []
        self.cold_until = 0.0
        self.on_run: collections.abc.Callable[[Run], None] = lambda run: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Address in the worker's entry."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self) -> None:
        """End at once: close the listener and reset every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, service: str, zone: str, **changes: object) -> dict:
        """Return the specification of the worker's entry in the store."""
        row = {"service": service, "address": self.address, "zone": zone}
        row |= {"version": "v1", "slotCount": 16, "state": "ready"}
        row |= {"coldLeftMs": 0, "seq": 1, "born": 1_700_000_000_000}
        return row | changes

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await httpio.read_head(reader)) is not None:
                await httpio.read_body(reader, req)
                if not req.is_whole:
                    return
                await self._answer(req, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: httpio.Message, writer) -> None:
        request_id = req.headers.get(ID, "")
        if req.start[1] == "/health":
            writer.write(httpio.encode("HTTP/1.1 200 OK", self._health()))
            return
        if req.headers.get(EXPECTED, self.name) != self.name:
            writer.write(self._response(421, request_id, b"", {}))
            return
        run = Run(
            at=time.monotonic(),
            worker=self.name,
            request_id=request_id,
            target=f"{req.start[0]} {req.start[1]}",
            headers=req.headers,
            body=req.body,
        )
        self.runs.append(run)
        self.on_run(run)
        try:
            await self._work(run, writer)
            run.ended = "answered"
        finally:
            run.ended = run.ended or "broken"

    def _health(self) -> dict[str, str]:
        head = {"X-Masticpost-Instance-Identifier": self.name}
        left_ms = int(1000 * (self.cold_until - time.monotonic()))
        if left_ms > 0:
            head["X-Masticpost-Cold-Milliseconds"] = str(left_ms)
        return head

    async def _work(self, run: Run, writer) -> None:
        await asyncio.sleep(self.work_s)
        if run.target.split(" ")[1].startswith("/streaming/"):
            await self._stream(run, writer)
            return
        body = f"answer of {self.name} to {run.request_id}".encode()
        writer.write(self._response(200, run.request_id, body, SIGNED))
        await writer.drain()

    async def _stream(self, run: Run, writer) -> None:
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head.append(f"X-Masticpost-Attempt-Identifier: {run.request_id}")
        head += [f"{name}: {value}" for name, value in SIGNED.items()]
        head += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        for number in range(int(run.headers.get("last-event-id") or 0), self.events):
            data = f"id: {number + 1}\ndata: {run.request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _response(self, status: int, request_id: str, body: bytes, more) -> bytes:
        head = {"X-Masticpost-Attempt-Identifier": request_id, **more}
        return httpio.encode(f"HTTP/1.1 {status} X", head, body)


SIGNED = {"X-Masticpost-Response-Signature": "signed-by-the-stand-in"}
