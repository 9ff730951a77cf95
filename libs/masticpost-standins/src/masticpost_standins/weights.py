"""Stand-in for the weight store: serves weights at a limited rate."""

import collections
import time

import attrs
from aiohttp import web

from masticpost_standins import control


@attrs.define(kw_only=True)
class Config:
    """Rate limit, in loads per second."""

    max_loads_s: float = 2.0


@attrs.define(kw_only=True)
class Faults:
    """Injected faults; with `outage`, connections are cut."""

    outage: bool = False


@attrs.define(kw_only=True)
class Counts:
    """Number of loads served and throttled."""

    loads: int = 0
    throttled: int = 0


class WeightStore(control.StandIn):
    """The weight store."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self._recent_loads: collections.deque[float] = collections.deque()

    def make_app(self) -> web.Application:
        """Return the store's application."""
        app = web.Application()
        app.router.add_get("/weights/{version}", self.load)
        return app

    async def load(self, req: web.Request) -> web.Response:
        """Serve weights, or refuse with 429 above the rate limit."""
        if self.faults.outage:
            control.abort(req)
        now = time.monotonic()
        while self._recent_loads and self._recent_loads[0] < now - 1.0:
            self._recent_loads.popleft()
        if len(self._recent_loads) >= self.cfg.max_loads_s:
            self.counts.throttled += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        self._recent_loads.append(now)
        self.counts.loads += 1
        return web.Response(body=b"weights of " + req.match_info["version"].encode())
