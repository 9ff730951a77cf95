"""Stand-in for the platform's list of instances, which lags behind changes."""

import json
import time

import attrs
import msgspec
from aiohttp import web

from masticpost_standins import control

PREFIX = "/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices"
SERVICE_LABEL = "kubernetes.io/service-name"


@attrs.define(kw_only=True)
class Config:
    """Nothing to configure."""


@attrs.define(kw_only=True)
class Faults:
    """Injected faults.

    Attributes
    ----------
    lag_s : float
        The list shows the state of this many seconds ago.
    outage : bool
        Whether connections are cut.
    """

    lag_s: float = 0.5
    outage: bool = False


@attrs.define(kw_only=True)
class Counts:
    """Number of calls since the start."""

    reads: int = 0


@attrs.define(kw_only=True)
class Row:
    """A listed instance or upstream."""

    service: str
    name: str
    host: str
    port: int
    zone: str
    terminating: bool = False


class InstanceList(control.StandIn):
    """The list; rows are set through the control port."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self._history: list[tuple[float, dict[str, Row]]] = [(0.0, {})]
        self._odd_rows: list[str] = []
        self.actions["put"] = self._put
        self.actions["put-odd"] = self._put_odd
        self.actions["remove"] = self._remove

    def make_app(self) -> web.Application:
        """Return the list's application."""
        app = web.Application()
        app.router.add_get(PREFIX, self.list_slices)
        return app

    async def _put(self, body: bytes) -> int:
        rows = dict(self._history[-1][1])
        for row in msgspec.json.decode(body, type=list[Row]):
            rows[row.name] = row
        self._history.append((time.monotonic(), rows))
        return len(rows)

    async def _put_odd(self, body: bytes) -> int:
        """Add rows to every list as they are, which may be no JSON."""
        self._odd_rows = msgspec.json.decode(body, type=list[str])
        return len(self._odd_rows)

    async def _remove(self, body: bytes) -> int:
        rows = dict(self._history[-1][1])
        for name in msgspec.json.decode(body, type=list[str]):
            rows.pop(name, None)
        self._history.append((time.monotonic(), rows))
        return len(rows)

    async def list_slices(self, req: web.Request) -> web.StreamResponse:
        """Return one endpoint slice per row of the requested service."""
        self.counts.reads += 1
        if self.faults.outage:
            control.abort(req)
        until = time.monotonic() - self.faults.lag_s
        rows = [rows for at, rows in self._history if at <= until][-1]
        service = req.query["labelSelector"].partition("=")[2]
        items = [_slice(row) for row in rows.values() if row.service == service]
        rendered = ",".join([*self._odd_rows, *map(json.dumps, items)])
        text = f'{{"kind": "EndpointSliceList", "items": [{rendered}]}}'
        return web.json_response(text=text)


def _slice(row: Row) -> dict[str, object]:
    return {
        "metadata": {"name": row.name, "labels": {SERVICE_LABEL: row.service}},
        "ports": [{"name": "main", "port": row.port}],
        "endpoints": [
            {
                "addresses": [row.host],
                "zone": row.zone,
                "targetRef": {"name": row.name},
                "conditions": {
                    "ready": not row.terminating,
                    "terminating": row.terminating,
                },
            }
        ],
    }
