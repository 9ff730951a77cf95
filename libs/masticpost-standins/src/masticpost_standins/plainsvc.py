"""Stand-in for a plain service: stock lookups, crew bookings and payments."""

import asyncio
import time

import attrs
from aiohttp import web

from masticpost_standins import control, ratenaming


@attrs.define(kw_only=True)
class Config:
    """Time of a call, and one-way delay of the network link, in seconds."""

    work_s: float = 0.005
    link_delay_s: float = 0.0


@attrs.define(kw_only=True)
class Faults:
    """Injected faults.

    Attributes
    ----------
    outage : str
        Empty, ``abort`` (connections cut), ``hang`` (no response) or ``error`` (500).
    cut_before, cut_after : int
        How many of the next bookings lose their connection before or after they run.
    cut_late : int
        How many of the next bookings lose their connection and run `late_s` seconds
        later.
    late_s : float
        Delay of bookings counted by `cut_late`, in seconds.
    delay_s : float
        Added before a booking runs, in seconds.
    cross_answers : int
        How many of the next responses carry another request's id.
    pad_bytes : int
        Bytes added to the body of each booking's response.
    rate : str
        Rate named in each response, in requests per second; empty for none.
    """

    outage: str = ""
    cut_before: int = 0
    cut_after: int = 0
    cut_late: int = 0
    late_s: float = 0.5
    delay_s: float = 0.0
    cross_answers: int = 0
    pad_bytes: int = 0
    rate: str = ""


@attrs.define(kw_only=True)
class Counts:
    """Calls that ran.

    Attributes
    ----------
    lookups : int
        Number of stock lookups.
    asked : int
        Number of queries about the state of a booking or payment.
    runs : dict of str to int
        Number of runs of bookings and payments, by idempotency key.
    last_request_at : float
        Wall-clock seconds of the last request.
    limited_arrivals : list of float
        Wall-clock seconds of the requests received while `Faults.rate` is set.
    """

    lookups: int = 0
    asked: int = 0
    runs: dict[str, int] = attrs.field(factory=dict)
    last_request_at: float = 0.0
    limited_arrivals: list[float] = attrs.field(factory=list)


class PlainService(control.StandIn):
    """The service; it does not deduplicate by idempotency key."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self._late_runs: set[asyncio.Future] = set()

    def make_app(self) -> web.Application:
        """Return the service's application."""
        app = web.Application()
        ratenaming.add_to(app, self)
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
        """Look up the stock of an article; idempotent."""
        await self._begin_call(req)
        self.counts.lookups += 1
        if self.faults.outage == "error":
            return web.Response(status=500)
        await asyncio.sleep(self.cfg.work_s)
        body = {"sku": req.match_info["sku"], "pallets": 7}
        return web.json_response(body, headers=self._headers(req))

    async def book(self, req: web.Request) -> web.Response:
        """Book or pay; a repeated key runs again."""
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
        """Run a booking after a delay, even if its caller disconnects."""
        await asyncio.sleep(delay_s)
        self.counts.runs[key] = self.counts.runs.get(key, 0) + 1

    async def by_key(self, req: web.Request) -> web.Response:
        """Return how often a booking or payment ran; 404 if it never did."""
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
