"""Stand-in for the object API: ConfigMaps of one namespace, in memory."""

import asyncio
import collections
import time

import attrs
import msgspec
from aiohttp import web

from masticpost_standins import control

PREFIX = "/api/v1/namespaces/{namespace}/configmaps"
MAX_OBJECT_BYTES = 1_400_000
# Time for which past states are retained, for `Faults.stale_s`.
HISTORY_S = 30.0


@attrs.define(kw_only=True)
class Config:
    """Rate limits, in calls per second; 0 for no limit."""

    max_reads_s: float = 0.0
    max_writes_s: float = 0.0


@attrs.define(kw_only=True)
class Faults:
    """Injected faults.

    Attributes
    ----------
    outage : str
        Empty, ``abort`` (connections cut), ``hang`` (no response) or ``error`` (503).
    delay_s : float
        Added to each call, in seconds.
    lose_write_answers : int
        How many of the next writes take effect but get no response.
    stale_s : float
        Reads, lists and watches show the state of this many seconds ago.
    """

    outage: str = ""
    delay_s: float = 0.0
    lose_write_answers: int = 0
    stale_s: float = 0.0


@attrs.define(kw_only=True)
class Counts:
    """Numbers since the start; a watch counts as one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    conflicts: int = 0
    throttled: int = 0
    bytes_written: int = 0
    largest_value: int = 0


@attrs.define(kw_only=True)
class Meta:
    """Object metadata."""

    name: str
    resourceVersion: str = ""  # noqa: N815
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Item:
    """A ConfigMap."""

    metadata: Meta
    binaryData: dict[str, str] = attrs.field(factory=dict)  # noqa: N815
    apiVersion: str = "v1"  # noqa: N815
    kind: str = "ConfigMap"


@attrs.define(kw_only=True)
class ItemList:
    """A list of ConfigMaps."""

    metadata: Meta
    items: list[Item]


@attrs.define(kw_only=True)
class Event:
    """An event of a watch, sent as one line."""

    type: str
    object: Item


class ObjectApi(control.StandIn):
    """The object API."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self.items: dict[str, Item] = {}
        self.version = 0
        self._history: collections.deque[tuple[float, dict[str, Item], int]] = (
            collections.deque()
        )
        self._changed = asyncio.Condition()
        self._recent_calls: dict[str, collections.deque[float]] = {
            "reads": collections.deque(),
            "writes": collections.deque(),
        }
        self.actions["names"] = self._list_names

    async def _list_names(self, body: bytes) -> list[str]:
        return sorted(self.items)

    def make_app(self) -> web.Application:
        """Return the API's application."""
        app = web.Application(client_max_size=MAX_OBJECT_BYTES)
        app.router.add_get(PREFIX, self.list_or_watch)
        app.router.add_get(PREFIX + "/{name}", self.get)
        app.router.add_post(PREFIX, self.create)
        app.router.add_put(PREFIX + "/{name}", self.update)
        app.router.add_delete(PREFIX + "/{name}", self.delete)
        return app

    async def _begin_call(self, req: web.Request, kind: str) -> web.Response | None:
        """Count a call, apply faults and rate limits; return a refusal or None."""
        setattr(self.counts, kind, getattr(self.counts, kind) + 1)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.outage == "abort":
            control.abort(req)
        if self.faults.outage == "hang":
            await control.hang()
        if self.faults.outage == "error":
            return web.Response(status=503, text="outage")
        if kind in self._recent_calls and self._is_over_rate(kind):
            self.counts.throttled += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        return None

    def _is_over_rate(self, kind: str) -> bool:
        limit = self.cfg.max_reads_s if kind == "reads" else self.cfg.max_writes_s
        if not limit:
            return False
        recent = self._recent_calls[kind]
        now = time.monotonic()
        while recent and recent[0] < now - 1.0:
            recent.popleft()
        if len(recent) >= limit:
            return True
        recent.append(now)
        return False

    def _visible_items(self) -> tuple[dict[str, Item], int]:
        """Return the objects and the version that reads see, stale if so configured."""
        if not self.faults.stale_s:
            return self.items, self.version
        until = time.monotonic() - self.faults.stale_s
        visible: tuple[dict[str, Item], int] = ({}, 0)
        for at, items, version in self._history:
            if at <= until:
                visible = (items, version)
        return visible

    def _save_history(self) -> None:
        """Record the current state, and drop those too old to be read."""
        now = time.monotonic()
        self._history.append((now, dict(self.items), self.version))
        while self._history and self._history[0][0] < now - HISTORY_S:
            if len(self._history) > 1 and self._history[1][0] > now - HISTORY_S:
                break
            self._history.popleft()

    async def get(self, req: web.Request) -> web.StreamResponse:
        """Read one object."""
        refusal = await self._begin_call(req, "reads")
        if refusal is not None:
            return refusal
        item = self._visible_items()[0].get(req.match_info["name"])
        if item is None:
            return web.Response(status=404, text="not found")
        return _json(item)

    async def list_or_watch(self, req: web.Request) -> web.StreamResponse:
        """List objects by label, or watch one by name."""
        if req.query.get("watch") == "1":
            return await self._watch(req)
        refusal = await self._begin_call(req, "reads")
        if refusal is not None:
            return refusal
        selector = req.query.get("labelSelector", "")
        labels = dict(part.split("=", 1) for part in selector.split(",") if part)
        items, version = self._visible_items()
        found = [
            item
            for item in items.values()
            if labels.items() <= item.metadata.labels.items()
        ]
        meta = Meta(name="", resourceVersion=str(version))
        return _json(ItemList(metadata=meta, items=found))

    async def create(self, req: web.Request) -> web.StreamResponse:
        """Create an object; 409 if it already exists."""
        refusal = await self._begin_call(req, "writes")
        if refusal is not None:
            return refusal
        item = msgspec.json.decode(await req.read(), type=Item)
        if item.metadata.name in self.items:
            self.counts.conflicts += 1
            return web.Response(status=409, text="already exists")
        return await self._store(req, item)

    async def update(self, req: web.Request) -> web.StreamResponse:
        """Replace an object; 409 if its version differs from the one in the request."""
        refusal = await self._begin_call(req, "writes")
        if refusal is not None:
            return refusal
        item = msgspec.json.decode(await req.read(), type=Item)
        current = self.items.get(req.match_info["name"])
        if current is None:
            return web.Response(status=404, text="not found")
        expected_version = item.metadata.resourceVersion
        if expected_version and expected_version != current.metadata.resourceVersion:
            self.counts.conflicts += 1
            return web.Response(status=409, text="the object has been modified")
        return await self._store(req, item)

    async def delete(self, req: web.Request) -> web.StreamResponse:
        """Delete an object."""
        refusal = await self._begin_call(req, "writes")
        if refusal is not None:
            return refusal
        if self.items.pop(req.match_info["name"], None) is None:
            return web.Response(status=404, text="not found")
        self.version += 1
        self._save_history()
        return web.json_response({"kind": "Status", "status": "Success"})

    async def _store(self, req: web.Request, item: Item) -> web.Response:
        size = sum(len(value) * 3 // 4 for value in item.binaryData.values())
        if size > 1_048_576:
            return web.Response(status=413, text="too large")
        self.version += 1
        item.metadata.resourceVersion = str(self.version)
        self.items[item.metadata.name] = item
        self.counts.bytes_written += size
        self.counts.largest_value = max(self.counts.largest_value, size)
        self._save_history()
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            control.abort(req)
        return _json(item)

    async def _watch(self, req: web.Request) -> web.StreamResponse:
        refusal = await self._begin_call(req, "watches")
        if refusal is not None:
            return refusal
        name = req.query["fieldSelector"].partition("=")[2]
        seen = int(req.query.get("resourceVersion") or 0)
        until = time.monotonic() + float(req.query.get("timeoutSeconds", "60"))
        resp = web.StreamResponse()
        await resp.prepare(req)
        while time.monotonic() < until:
            if self.faults.outage:
                control.abort(req)
            item = self._visible_items()[0].get(name)
            if item is not None and int(item.metadata.resourceVersion) > seen:
                seen = int(item.metadata.resourceVersion)
                event = Event(type="MODIFIED", object=item)
                await resp.write(msgspec.json.encode(event) + b"\n")
            try:
                async with asyncio.timeout(0.25), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
        return resp


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
