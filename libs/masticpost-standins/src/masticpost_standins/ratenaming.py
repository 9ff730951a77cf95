"""A rate that a stand-in names in its responses, and the requests that reach it."""

import collections.abc
import time

from aiohttp import web

from masticpost_standins import control

RATE_HEADER = "X-Upstream-Rate"


def add_to(app: web.Application, standin: control.StandIn) -> None:
    """Make an application name `faults.rate` and count requests while it is set."""

    @web.middleware
    async def count(
        req: web.Request, handler: collections.abc.Callable
    ) -> web.StreamResponse:
        if standin.faults.rate:
            standin.counts.limited_arrivals.append(time.time())
        return await handler(req)

    async def name_rate(req: web.Request, resp: web.StreamResponse) -> None:
        if standin.faults.rate:
            resp.headers[RATE_HEADER] = standin.faults.rate

    app.middlewares.append(count)
    app.on_response_prepare.append(name_rate)
