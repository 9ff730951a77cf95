"""Stand-in for clients: sends requests at a steady rate and records the answers."""

import asyncio
import itertools
import time

import aiohttp
import attrs

from harness import worker

DEADLINE = "X-Masticpost-Deadline-Milliseconds"
MS_PER_S = 1000
# A client waits a little longer than its deadline for the answer.
PATIENCE_S = 0.5


@attrs.define(kw_only=True)
class Sent:
    """A request and its answer; times in monotonic seconds, status 0 without one."""

    request_id: str
    place: str
    path: str
    at: float
    status: int = 0
    is_signed: bool = False
    body: str = ""
    ended_at: float = 0.0


class Callers:
    """Clients of all instances.

    Parameters
    ----------
    fronts : dict of str to str
        Addresses of the instances, by name.
    host : str
        Host of the routes.
    key : str
        Key of a tenant.
    """

    def __init__(self, *, fronts, host, key, deadline_s=4.0):
        self.fronts, self.host, self.key = fronts, host, key
        self.deadline_s = deadline_s
        self.sent = []
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._http = None

    async def start(self):
        """Open the sessions."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10.0)
        self._http = aiohttp.ClientSession(connector=connector)

    async def stop(self):
        """Wait for the answers that are due, then close."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._http.close()

    async def load(self, *, paths, per_s, until):
        """Send requests to the instances and paths in turn until a time."""
        targets = itertools.cycle(itertools.product(paths, sorted(self.fronts)))
        due = time.monotonic()
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            (method, path), place = next(targets)
            task = asyncio.create_task(self.send(place, method, path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += 1.0 / per_s

    async def send(self, place, method, path):
        """Send one request to an instance; a new client attempt with its own id."""
        row = Sent(
            request_id=f"r-{next(self._numbers):08x}",
            place=place,
            path=path,
            at=time.monotonic(),
        )
        self.sent.append(row)
        try:
            async with asyncio.timeout(self.deadline_s + PATIENCE_S):
                await self._exchange(row, method)
        except (aiohttp.ClientError, OSError, TimeoutError):
            row.status = 0
        row.ended_at = time.monotonic()
        return row

    async def _exchange(self, row, method):
        headers = {
            "Host": self.host,
            "Api-Key": self.key,
            worker.ID: row.request_id,
            DEADLINE: str(int(self.deadline_s * MS_PER_S)),
        }
        url = f"http://{self.fronts[row.place]}{row.path}{row.request_id}"
        data = b"order" if method == "POST" else None
        async with self._http.request(method, url, headers=headers, data=data) as resp:
            row.body = await resp.text()
            row.status = resp.status
            row.is_signed = worker.SIGNATURE in resp.headers
