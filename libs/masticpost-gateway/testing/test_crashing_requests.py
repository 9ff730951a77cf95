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


class Beside:
    """Callers whose requests are no danger, at every instance, until `stop`."""

    def __init__(self, dep, *, callers, path, bodies):
        self.dep = dep
        self.path = path
        self.bodies = bodies
        self.replies = []
        self._tasks = [asyncio.ensure_future(self._ask(k)) for k in range(callers)]

    async def _ask(self, number):
        while True:
            via = number % len(self.dep.nodes)
            body = self.bodies(number, len(self.replies))
            method = "GET" if body is None else "POST"
            with contextlib.suppress(Exception):
                reply = await self.dep.call(
                    self.path, method=method, body=body, via=via
                )
                self.replies.append(reply)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def blamed(self):
        return [reply for reply in self.replies if b"quarantined" in reply.body]


def distinct(caller, number):
    return f"plan {caller}.{number}".encode()


def identical(caller, number):
    return None


BESIDE = {"streams": ("/chat/9", distinct), "identical": ("/lookup/9", identical)}


async def slowly(got, writer):
    """Answer each request, each of them at work for a while."""
    if got.target.startswith("/chat/"):
        await kit.streams(4, pause_s=0.05)(got, writer)
        return
    await asyncio.sleep(0.1)
    await kit.answers()(got, writer)


@pytest.mark.parametrize("beside", BESIDE)
async def test_requests_beside_a_deadly_one_are_not_quarantined(beside):
    """Requests that only stand beside crashes, or have identical ones answered."""
    path, bodies = BESIDE[beside]
    async with Fleet() as dep:
        await dep.begin(upstreams=5, nodes=3, script=slowly)
        others = Beside(dep, callers=24, path=path, bodies=bodies)
        for number in range(REPEATS):
            await dep.send_deadly(PATHS["stream"], number % 3)
            await asyncio.sleep(PAUSE_S)
        await others.stop()
        assert len(others.replies) > 100
        assert not others.blamed()
        assert dep.crashes <= 3 + MOST_AFTER_THIRD


async def test_upstreams_that_end_by_themselves_quarantine_nobody():
    """Each upstream ends three times while the same requests come again."""
    async with Fleet() as dep:
        await dep.begin(upstreams=3, nodes=2, script=slowly)
        others = Beside(dep, callers=8, path="/chat/9", bodies=lambda k, n: b"%d" % k)
        for worker in dep.workers * 3:
            await asyncio.sleep(0.2)
            worker.crash()
            await dep._come_back(worker)
        await others.stop()
        assert len(others.replies) > 50
        assert not others.blamed()


async def test_instance_that_starts_later_knows_who_is_quarantined():
    """A fresh instance would run a request that the others refuse."""
    async with Fleet() as dep:
        await dep.begin(upstreams=6, nodes=3)
        while not dep.nodes[0].shared.crashes.quarantined(0.0):
            await dep.send_deadly(PATHS["once"], 0)
        made = await dep.add_node("late", seeds=[dep.nodes[0].cfg.mesh.address])
        await kit.until(lambda: made.shared.crashes.quarantined(0.0))
        crashes = dep.crashes
        reply = await dep.send_deadly(PATHS["once"], 3)
        assert dep.crashes == crashes
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert reply.body.startswith(b"quarantined")


async def test_attempt_that_has_run_is_not_told_that_it_has_not():
    """The attempt with the third crash ran: "not run" would be false."""
    async with Fleet() as dep:
        await dep.begin(upstreams=6, nodes=1)
        replies = [await dep.send_deadly(PATHS["plain"], 0) for _ in range(3)]
        assert [reply.status for reply in replies] == [502, 503, 503]


async def test_restart_of_all_instances_forgets_no_quarantine():
    """All instances at once would begin to count again."""
    async with Fleet() as dep:
        await dep.begin(upstreams=6, nodes=3)
        while not dep.nodes[0].shared.crashes.quarantined(0.0):
            await dep.send_deadly(PATHS["once"], 0)
        await kit.until(lambda: dep.store.quarantine_entries)
        before, dep.nodes = dep.nodes, []
        for made in before:
            await made.stop()
        for number in range(3):
            seeds = [made.cfg.mesh.address for made in dep.nodes[:1]]
            await dep.add_node(f"new-{number}", seeds=seeds)
        quarantined = [made.shared.crashes.quarantined for made in dep.nodes]
        await kit.until(lambda: all(found(0.0) for found in quarantined))
        assert (await dep.send_deadly(PATHS["once"], 2)).status == 503
