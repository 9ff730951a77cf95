"""Requests that crash each upstream that begins to run them, and those beside them.

Seen by the users on lineswitch-tw (issue 21): a request under which three upstreams had
ended was sent to upstreams again and again, by whatever instance it came to.
"""

import asyncio
import contextlib

import pytest
from masticpost_gateway.state import source
from support import gatewaykit as kit

DEADLY = b"deadly"
BACK_AFTER_S = 0.4
PAUSE_S = 0.15
REPEATS = 16
# What the promise allows beyond the third crash.
MOST_AFTER_THIRD = 3
PATHS = {"plain": "/lookup/1", "once": "/book/1", "stream": "/chat/1"}


class Fleet(kit.Deployment):
    """Upstreams that crash when they begin to run a deadly request, and come back."""

    def __init__(self):
        super().__init__()
        self.crashes = 0
        self._returns = set()

    async def __aexit__(self, *exc):
        for task in self._returns:
            task.cancel()
        await asyncio.gather(*self._returns, return_exceptions=True)
        await super().__aexit__(*exc)

    async def begin(self, *, upstreams, nodes, script=None):
        usual = script or by_path
        for number in range(upstreams):
            await self.add_worker(f"w{number}", self._deadly(number, usual))
        await self.configure()
        for number in range(nodes):
            seeds = [made.cfg.mesh.address for made in self.nodes[:1]]
            await self.add_node(f"node-{number}", seeds=seeds)
        await kit.until(lambda: all(len(n.members()) == nodes for n in self.nodes))
        await kit.until(lambda: all(n.relay.watchers for n in self.nodes))

    def _deadly(self, number, usual):
        async def script(got, writer):
            if got.body != DEADLY:
                await usual(got, writer)
                return
            worker = self.workers[number]
            self.crashes += 1
            worker.crash()
            task = asyncio.ensure_future(self._come_back(worker))
            self._returns.add(task)
            raise ConnectionResetError

        return script

    async def _come_back(self, worker):
        await asyncio.sleep(BACK_AFTER_S)
        await worker.start()
        record = worker.record(born_ms=worker.runs)
        await self.store.put(source.Kind.UPSTREAMS, worker.name, record)

    async def send_deadly(self, path, via):
        with contextlib.suppress(Exception):
            return await self.call(path, method="POST", body=DEADLY, via=via)


async def by_path(got, writer):
    if got.target.startswith("/chat/"):
        await kit.streams(3)(got, writer)
    else:
        await kit.answers()(got, writer)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("nodes", [1, 4])
async def test_request_that_crashed_three_upstreams_is_sent_on_three_times_at_most(
    kind, nodes
):
    """It was sent on for each of its repeats, at every instance."""
    async with Fleet() as dep:
        await dep.begin(upstreams=6, nodes=nodes)
        for number in range(REPEATS):
            await dep.send_deadly(PATHS[kind], number % nodes)
            await asyncio.sleep(PAUSE_S)
        assert dep.crashes <= 3 + MOST_AFTER_THIRD
