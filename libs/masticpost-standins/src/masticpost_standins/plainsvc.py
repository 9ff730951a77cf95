"""Stand-in for a plain service: stock lookups, crew bookings and payments."""

import asyncio
import time

import attrs
from aiohttp import web

from masticpost_standins import control


@attrs.define(kw_only=True)
class Config:
    """Time of a call, and of the link one way, in seconds."""

    work_s: float = 0.005
    link_delay_s: float = 0.0


@attrs.define(kw_only=True)
class Faults:
    """What goes wrong.

    Attributes
    ----------
    outage : str
        Empty, ``abort``, ``hang`` or ``error``.
    cut_before, cut_after : int
        So many of the next bookings are cut before or after they ran.
    cut_late : int
        So many of the next bookings are cut and run `late_s` seconds later.
    delay_s : float
        Added before a booking runs.
    cross_answers : int
        So many of the next answers echo another request's id.
    """

    outage: str = ""
    cut_before: int = 0
    cut_after: int = 0
    cut_late: int = 0
    late_s: float = 0.5
    delay_s: float = 0.0
    cross_answers: int = 0
    pad_bytes: int = 0


@attrs.define(kw_only=True)
class Counts:
    """What ran: lookups, and runs of bookings and payments by key."""

    lookups: int = 0
    asked: int = 0
    runs: dict[str, int] = attrs.field(factory=dict)
    last_request_at: float = 0.0


class PlainService(control.StandIn):
    """The service; it does not recognise repeated keys."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self._late_runs: set[asyncio.Future] = set()

    def make_app(self) -> web.Application:
        """Return the service's application."""
        app = web.Application()
        app.router.add_get("/stock/{sku}", self.stock)
        app.router.add_post("/bookings", self.book)
        app.router.add_post("/payments", self.book)
        app.router.add_get("/bookings/by-key/{key}", self.by_key)
        app.router.add_get("/payments/by-key/{key}", self.by_key)
        return app

    async def _begin_call(self, req: web.Request) -> None:
        self.counts.last_request_at = time.time()
        if self.faults.outage == "abort":
            control.abort(req)
        if self.faults.outage == "hang":
            await control.hang()
        await asyncio.sleep(2 * self.cfg.link_delay_s)

    def _headers(self, req: web.Request) -> dict[str, str]:
        if self.faults.cross_answers > 0:
            self.faults.cross_answers -= 1
            return {"X-Request-Id": "another-request"}
        return {"X-Request-Id": req.headers.get("X-Request-Id", "")}

    async def stock(self, req: web.Request) -> web.Response:
        """Look up a stock; idempotent."""
        await self._begin_call(req)
        self.counts.lookups += 1
        if self.faults.outage == "error":
            return web.Response(status=500)
        await asyncio.sleep(self.cfg.work_s)
        body = {"sku": req.match_info["sku"], "pallets": 7}
        return web.json_response(body, headers=self._headers(req))

    async def book(self, req: web.Request) -> web.Response:
        """Book or pay; every call that gets here runs."""
        await self._begin_call(req)
        key = req.headers.get("Idempotency-Key", "")
        await req.read()
        if self.faults.cut_before > 0:
            self.faults.cut_before -= 1
            control.abort(req)
        if self.faults.cut_late > 0:
            self.faults.cut_late -= 1
            late_s = self.faults.late_s
            self._late_runs.add(asyncio.ensure_future(self._run_after(late_s, key)))
            control.abort(req)
        await asyncio.shield(self._run_after(self.faults.delay_s, key))
        if self.faults.cut_after > 0:
            self.faults.cut_after -= 1
            control.abort(req)
        if self.faults.outage == "error":
            return web.Response(status=500)
        await asyncio.sleep(self.cfg.work_s)
        body = {"key": key, "run": self.counts.runs[key]}
        if self.faults.pad_bytes:
            body["pad"] = "x" * self.faults.pad_bytes
        return web.json_response(body, status=201, headers=self._headers(req))

    async def _run_after(self, delay_s: float, key: str) -> None:
        """Run a booking; it goes on when its caller goes away."""
        await asyncio.sleep(delay_s)
        self.counts.runs[key] = self.counts.runs.get(key, 0) + 1

    async def by_key(self, req: web.Request) -> web.Response:
        """Tell what became of a booking or payment; 404 where it never ran."""
        await self._begin_call(req)
        self.counts.asked += 1
        if self.faults.outage == "error":
            return web.Response(status=500)
        key = req.match_info["key"]
        runs = self.counts.runs.get(key, 0)
        headers = self._headers(req)
        if not runs:
            return web.Response(status=404, headers=headers)
        return web.json_response({"key": key, "run": runs}, headers=headers)
