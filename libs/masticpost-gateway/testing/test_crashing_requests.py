"""Requests that crash every upstream that runs them, and requests running beside them.

Guards against a fault reported by the users of lineswitch-tw (issue 21): a request that
had crashed three upstreams was sent to more upstreams by every instance it reached.
"""

import asyncio
import contextlib

import pytest
from masticpost_gateway.state import source
from support import gatewaykit as kit

DEADLY = b"deadly"
RESTART_AFTER_S = 0.4
PAUSE_S = 0.15
REPEATS = 16
# Crashes that are allowed after the third one.
MAX_CRASHES_AFTER_THIRD = 3
PATHS = {"plain": "/lookup/1", "once": "/book/1", "stream": "/chat/1"}


class Fleet(kit.Deployment):
    """Upstreams that crash when they begin to run a deadly request, then restart."""

    def __init__(self):
        super().__init__()
        self.crashes = 0
        self._restarts = set()

    async def __aexit__(self, *exc):
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await super().__aexit__(*exc)

    async def set_up(self, *, upstreams, nodes, script=None):
        normal = script or by_path
        for number in range(upstreams):
            await self.add_worker(f"w{number}", self._crash_script(number, normal))
        await self.configure()
        for number in range(nodes):
            seeds = [node.cfg.mesh.address for node in self.nodes[:1]]
            await self.add_node(f"node-{number}", seeds=seeds)
        await kit.until(lambda: all(len(n.members()) == nodes for n in self.nodes))
        await kit.until(lambda: all(n.relay.watchers for n in self.nodes))

    def _crash_script(self, number, normal):
        async def script(req, writer):
            if req.body != DEADLY:
                await normal(req, writer)
                return
            worker = self.workers[number]
            self.crashes += 1
            worker.crash()
            task = asyncio.ensure_future(self._restart(worker))
            self._restarts.add(task)
            raise ConnectionResetError

        return script

    async def _restart(self, worker):
        await asyncio.sleep(RESTART_AFTER_S)
        await worker.start()
        record = worker.record(born_ms=worker.runs)
        await self.store.put(source.Kind.UPSTREAMS, worker.name, record)

    async def send_deadly(self, path, via):
        with contextlib.suppress(Exception):
            return await self.call(path, method="POST", body=DEADLY, via=via)


async def by_path(req, writer):
    if req.target.startswith("/chat/"):
        await kit.streams(3)(req, writer)
    else:
        await kit.answers()(req, writer)


@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("nodes", [1, 4])
async def test_request_that_crashed_three_upstreams_crashes_at_most_three_more(
    kind, nodes
):
    """Guards against sending each repeat of it to an upstream, at every instance."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=nodes)
        for number in range(REPEATS):
            await dep.send_deadly(PATHS[kind], number % nodes)
            await asyncio.sleep(PAUSE_S)
        assert dep.crashes <= 3 + MAX_CRASHES_AFTER_THIRD


class HarmlessCallers:
    """Callers that send harmless requests to every instance until `stop`."""

    def __init__(self, dep, *, callers, path, bodies):
        self.dep = dep
        self.path = path
        self.bodies = bodies
        self.replies = []
        self._tasks = [asyncio.ensure_future(self._run(k)) for k in range(callers)]

    async def _run(self, number):
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

    def quarantined(self):
        return [reply for reply in self.replies if b"quarantined" in reply.body]


def distinct(caller, number):
    return f"plan {caller}.{number}".encode()


def identical(caller, number):
    return None


HARMLESS = {"streams": ("/chat/9", distinct), "identical": ("/lookup/9", identical)}


async def slowly(req, writer):
    """Respond after a delay, so that requests overlap."""
    if req.target.startswith("/chat/"):
        await kit.streams(4, pause_s=0.05)(req, writer)
        return
    await asyncio.sleep(0.1)
    await kit.answers()(req, writer)


@pytest.mark.parametrize("requests", HARMLESS)
async def test_requests_beside_a_deadly_one_are_not_quarantined(requests):
    """Guards against blaming requests that only run on upstreams that crash.

    Either each request is distinct, or identical requests get responses elsewhere.
    """
    path, bodies = HARMLESS[requests]
    async with Fleet() as dep:
        await dep.set_up(upstreams=5, nodes=3, script=slowly)
        others = HarmlessCallers(dep, callers=24, path=path, bodies=bodies)
        for number in range(REPEATS):
            await dep.send_deadly(PATHS["stream"], number % 3)
            await asyncio.sleep(PAUSE_S)
        await others.stop()
        assert len(others.replies) > 100
        assert not others.quarantined()
        assert dep.crashes <= 3 + MAX_CRASHES_AFTER_THIRD


async def test_upstreams_that_crash_by_themselves_cause_no_quarantine():
    """Each upstream crashes three times while the same requests are repeated."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=3, nodes=2, script=slowly)
        others = HarmlessCallers(
            dep, callers=8, path="/chat/9", bodies=lambda k, n: b"%d" % k
        )
        for worker in dep.workers * 3:
            await asyncio.sleep(0.2)
            worker.crash()
            await dep._restart(worker)
        await others.stop()
        assert len(others.replies) > 50
        assert not others.quarantined()


async def test_instance_that_starts_later_learns_the_quarantined_requests():
    """Guards against a new instance that runs a request which the others refuse."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=3)
        while not dep.nodes[0].shared.crashes.quarantined(0.0):
            await dep.send_deadly(PATHS["once"], 0)
        instance = await dep.add_node("late", seeds=[dep.nodes[0].cfg.mesh.address])
        await kit.until(lambda: instance.shared.crashes.quarantined(0.0))
        crashes = dep.crashes
        reply = await dep.send_deadly(PATHS["once"], 3)
        assert dep.crashes == crashes
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert reply.body.startswith(b"quarantined")


async def test_caller_is_not_told_not_run_for_an_attempt_that_ran():
    """The attempt with the third crash has run, so "not run" would be false."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=1)
        replies = [await dep.send_deadly(PATHS["plain"], 0) for _ in range(3)]
        assert [reply.status for reply in replies] == [502, 503, 503]


async def test_quarantine_survives_a_restart_of_all_instances():
    """Guards against instances that restart together and count crashes from zero."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=3)
        while not dep.nodes[0].shared.crashes.quarantined(0.0):
            await dep.send_deadly(PATHS["once"], 0)
        await kit.until(lambda: dep.store.quarantine_entries)
        stopped, dep.nodes = dep.nodes, []
        for instance in stopped:
            await instance.stop()
        for number in range(3):
            seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
            await dep.add_node(f"new-{number}", seeds=seeds)
        quarantined = [node.shared.crashes.quarantined for node in dep.nodes]
        await kit.until(lambda: all(read(0.0) for read in quarantined))
        assert (await dep.send_deadly(PATHS["once"], 2)).status == 503
