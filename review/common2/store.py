"""Stand-in for the platform's metadata store, as `PROTOCOL.md` describes it."""

import asyncio
import collections
import collections.abc
import copy
import json
import time
import urllib.parse

from common2 import httpio

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
ANSWER_S = 0.004
LONGEST_WATCH_S = 35.0
JUST_S = 0.5
RESET, SILENT = -1, -2
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


def _ignore(*_: str) -> None:
    """Do nothing."""


class Store:
    """Objects by kind and name; each machine reaches it at an address of its own.

    Attributes
    ----------
    turned_away : dict of str to str
        Machines whose calls are refused, and how: a status, ``reset`` or ``silent``.
    acknowledged : list of tuple
        Time, kind and name of each write of the operator and the workers.
    watched_at : dict of str to float
        When each machine last asked for changes.
    answered_at : dict of str to float
        When a machine last got an answer to a question for changes, by kind.
    link_delay_s : dict of str to float
        Delay of each answer on its way to a machine, in seconds.
    on_list : callable
        Called with machine, kind and `after` when a page of a list was read.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = collections.defaultdict(dict)
        self.revision = 100
        self.events: list[tuple[int, str, dict]] = []
        self.turned_away: dict[str, str] = {}
        self.acknowledged: list[tuple[float, str, str]] = []
        self.watched_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.link_delay_s: dict[str, float] = {}
        self.on_list: collections.abc.Callable[[str, str, str], None] = _ignore
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, str] = {}

    async def listen(self, machine: str, host: str, port: int) -> None:
        """Serve one machine at an address."""

        async def serve(reader, writer) -> None:
            await self._serve(machine, reader, writer)

        self._servers.append(await asyncio.start_server(serve, host, port))

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def turn_away(self, machines: list[str], how: str) -> None:
        """Refuse all calls of these machines from now on, also waiting ones."""
        self.turned_away.update(dict.fromkeys(machines, how))
        for writer, machine in list(self._writers.items()):
            if machine in machines and how != "silent":
                writer.transport.abort()

    async def wait_for_answers(self, kinds: tuple[str, ...]) -> None:
        """Wait until machines have just heard that nothing of these kinds changed."""
        async with asyncio.timeout(LONGEST_WATCH_S):
            while True:
                oldest = min(self.answered_at.get(kind, 0.0) for kind in kinds)
                if time.monotonic() - oldest < JUST_S:
                    return
                await asyncio.sleep(0.02)

    async def put(self, kind: str, name: str, spec: object) -> float:
        """Write as the operator or a worker; return when it was acknowledged."""
        old = self.objects[kind].get(name, {})
        obj = {**old, "specification": spec}
        await self._change(kind, name, obj, is_removed=False)
        return self._acknowledge(kind, name)

    async def remove(self, kind: str, name: str) -> float:
        """Remove an object; return when it was acknowledged."""
        await self._change(kind, name, self.objects[kind][name], is_removed=True)
        return self._acknowledge(kind, name)

    def _acknowledge(self, kind: str, name: str) -> float:
        now = time.monotonic()
        self.acknowledged.append((now, kind, name))
        return now

    async def _change(self, kind: str, name: str, obj: dict, *, is_removed: bool):
        async with self._changed:
            self.revision += 1
            old = self.objects[kind].pop(name, {})
            created = old.get("metadata", {}).get("created", self.revision)
            meta = {"name": name, "revision": self.revision, "created": created}
            meta |= {"finalizers": [], "deleting": False}
            obj = {"status": None, **obj, "metadata": meta}
            if not is_removed:
                self.objects[kind][name] = obj
            event = {"removed": is_removed, "object": copy.deepcopy(obj)}
            self.events.append((self.revision, kind, event))
            self._changed.notify_all()
        return obj

    async def _serve(self, machine: str, reader, writer) -> None:
        self._writers[writer] = machine
        try:
            while (req := await httpio.read_head(reader)) is not None:
                await httpio.read_body(reader, req)
                status, body = await self._refuse_or_answer(machine, req)
                if status == RESET:
                    writer.transport.abort()
                    return
                start = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"
                head = {"Content-Type": "application/json"}
                writer.write(httpio.encode(start, head, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _refuse_or_answer(self, machine: str, req) -> tuple[int, object]:
        await asyncio.sleep(ANSWER_S)
        self.calls[machine] += 1
        status, body = self._refusal(machine) or await self._answer(machine, req)
        refused = self._refusal(machine)
        if refused is None:
            await asyncio.sleep(self.link_delay_s.get(machine, 0.0))
            return status, body
        if refused[0] == SILENT:
            await asyncio.sleep(3600)
        return refused

    def _refusal(self, machine: str) -> tuple[int, object] | None:
        how = self.turned_away.get(machine)
        if how is None:
            return None
        return {"reset": RESET, "silent": SILENT}.get(how) or int(how), {}

    async def _answer(self, machine: str, req) -> tuple[int, object]:
        method, target = req.start[0], req.start[1]
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
        kind, rest = parts[0], parts[1:]
        if method != "GET":
            return await self._write(method, kind, rest, req, args)
        if rest:
            found = self.objects[kind].get(rest[0])
            return (200, found) if found else (404, {})
        if "watch" in args:
            self.watched_at[machine] = time.monotonic()
            return await self._watch(kind, int(args["watch"]), int(args["waitMs"]))
        page = self._list(kind, args.get("after", ""))
        self.on_list(machine, kind, args.get("after", ""))
        return 200, page

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for name in self.objects[kind] if name > after)
        items, size = [], 0
        for name in names[:PAGE_ITEMS]:
            items.append(copy.deepcopy(self.objects[kind][name]))
            size += len(json.dumps(items[-1]))
            if size > PAGE_BYTES:
                break
        has_more = len(items) < len(names)
        return {"items": items, "hasMore": has_more, "at": self.revision}

    async def _watch(self, kind: str, at: int, wait_ms: int) -> tuple[int, object]:
        def pending() -> list[dict]:
            return [e for rev, k, e in self.events if rev > at and k == kind]

        try:
            async with asyncio.timeout(min(wait_ms, 30_000) / 1000), self._changed:
                await self._changed.wait_for(pending)
        except TimeoutError:
            pass
        self.answered_at[kind] = time.monotonic()
        return 200, {"events": pending(), "at": self.revision}

    async def _write(self, method, kind, rest, req, args) -> tuple[int, object]:
        body = json.loads(req.body or b"{}")
        name = rest[0] if rest else body["metadata"]["name"]
        old = self.objects[kind].get(name)
        if method == "POST" and old is not None:
            return 409, old
        if method != "POST" and old is None:
            return 404, {}
        wanted = args.get("revision", body.get("metadata", {}).get("revision"))
        has_bound = old is not None and wanted is not None
        if has_bound and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            return 200, await self._change(kind, name, old, is_removed=True)
        field = "status" if rest[1:] == ["status"] else "specification"
        obj = {**(old or {}), field: body.get(field)}
        if old is not None and old.get(field) == body.get(field):
            return 200, old
        return 200, await self._change(kind, name, obj, is_removed=False)
