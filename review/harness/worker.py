"""Stand-in for a worker of the users' platform, as PROTOCOL.md describes it."""

import asyncio
import time

import attrs
from aiohttp import web

ID = "X-Masticpost-Attempt-Identifier"
EXPECTED = "X-Masticpost-Expected-Instance"
SIGNATURE = "X-Masticpost-Response-Signature"
NOT_RUN = "X-Masticpost-Not-Executed"
INSTANCE = "X-Masticpost-Instance-Identifier"
TENANT = "X-Masticpost-Tenant"
# Requests that wait for a slot, per slot.
QUEUE_FACTOR = 4


@attrs.frozen(kw_only=True)
class Run:
    """A request that a worker began to run; `at` is in monotonic seconds."""

    request_id: str
    worker: str
    version: str
    service: str
    path: str
    tenant: str
    at: float


class Worker:
    """Serves requests on a loopback port: one answer each, after some work.

    Attributes
    ----------
    work_s : float
        Duration of a request.
    fails : callable
        Given a request id, returns whether the run fails with status 500.
    runs : list of Run
        The requests that began to run, in order.
    """

    def __init__(self, *, name, service, zone, version="v1", slots=64, work_s=0.06):
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots, self.work_s = version, slots, work_s
        self.fails = lambda request_id: False
        self.runs = []
        self.failed = {}
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._runner = None
        self.address = ""

    async def start(self):
        """Listen."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.01)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        return self

    async def stop(self):
        """Exit: stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, state="ready", seq=1):
        """Return the entry that this worker writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slotCount": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": seq,
        }

    async def _handle(self, req):
        request_id = req.headers.get(ID, "")
        if req.path == "/health":
            return web.Response(status=200, headers={INSTANCE: self.name})
        if req.headers.get(EXPECTED, self.name) != self.name:
            return self._answer(request_id, 421, not_run=True)
        if not request_id:
            return self._answer(request_id, 400, not_run=True)
        if self.waiting >= QUEUE_FACTOR * self.slots:
            return self._answer(request_id, 503, not_run=True)
        await req.read()
        return await self._run(req, request_id)

    async def _run(self, req, request_id):
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self._note_run(req, request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._free.release()
        if self.fails(request_id):
            self.failed[request_id] = time.monotonic()
            return self._answer(request_id, 500)
        return self._answer(request_id, 200)

    def _note_run(self, req, request_id):
        self.runs.append(
            Run(
                request_id=request_id,
                worker=self.name,
                version=self.version,
                service=self.service,
                path=req.path,
                tenant=req.headers.get(TENANT, ""),
                at=time.monotonic(),
            )
        )

    def _answer(self, request_id, status, *, not_run=False):
        headers = {ID: request_id, INSTANCE: self.name}
        if not_run:
            headers[NOT_RUN] = "1"
        else:
            headers[SIGNATURE] = f"signed-by-{self.name}"
        text = "" if not_run else f"answer of {self.name} to {request_id}"
        return web.Response(status=status, headers=headers, text=text)
