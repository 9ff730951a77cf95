"""Stand-in for the rating service: reads the quality that the engine wrote."""

import asyncio
import random
import re

import attrs
import msgspec
from aiohttp import web

from masticpost_standins import control

# First word of an answer of the engine stand-in.
QUALITY_PATTERN = re.compile(r"q=([0-9.]+)")


@attrs.define(kw_only=True)
class Config:
    """Behaviour of the service.

    Attributes
    ----------
    noise : float
        Standard deviation of the score.
    work_s : float
        Time of a rating, in seconds.
    seed : int
        Seed of noise and failures.
    """

    noise: float = 0.05
    work_s: float = 0.02
    seed: int = 1


@attrs.define(kw_only=True)
class Faults:
    """Injected faults.

    Attributes
    ----------
    outage : str
        Empty, ``abort`` (connections cut) or ``hang`` (no response).
    delay_s : float
        Added to each call, in seconds.
    fail_share : float
        Share of calls that fail with 503, from 0 to 1.
    """

    outage: str = ""
    delay_s: float = 0.0
    fail_share: float = 0.0


@attrs.define(kw_only=True)
class Counts:
    """Number of ratings by version."""

    ratings: dict[str, int] = attrs.field(factory=dict)


class RatingService(control.StandIn):
    """The rating service."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self.random = random.Random(cfg.seed)

    def make_app(self) -> web.Application:
        """Return the service's application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_post("/v1/rate", self.rate)
        return app

    async def rate(self, req: web.Request) -> web.Response:
        """Rate an answer."""
        if self.faults.outage == "abort":
            control.abort(req)
        if self.faults.outage == "hang":
            await control.hang()
        await asyncio.sleep(self.cfg.work_s + self.faults.delay_s)
        if self.random.random() < self.faults.fail_share:
            return web.Response(status=503)
        rate_request = msgspec.json.decode(await req.read(), type=dict[str, str])
        found = QUALITY_PATTERN.search(rate_request["answer"])
        quality = float(found.group(1)) if found else 0.0
        version = rate_request["version"]
        self.counts.ratings[version] = self.counts.ratings.get(version, 0) + 1
        score = min(1.0, max(0.0, self.random.gauss(quality, self.cfg.noise)))
        return web.json_response({"score": score})
