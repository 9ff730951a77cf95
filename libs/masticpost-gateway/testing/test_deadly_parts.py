"""Prompt parts that crash every upstream which begins to answer on them.

Guards against a fault reported by the users of harthy-booths (issue 27): requests that
share a deadly part, but are not identical, crashed one upstream after another.
"""

import asyncio
import contextlib
import itertools

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import causes, quarantine
from masticpost_gateway.state import source
from support import gatewaykit as kit

DEADLY_PART = "dead01"
FIRST_PART = "aa01"
RESTART_AFTER_S = 0.4
# From the head of an answer to the crash.
CRASH_AFTER_S = 0.02
PAUSE_S = 0.12
REQUESTS = 24
# Crashes until the part must be stopped, and requests after them.
MAX_CRASHES = 5 + 3
# With others beside them: sends later than this after the fifth crash.
STOPPED_AFTER_S = 3.0
MAX_SENDS_AFTER = 3
PATHS = {"plain": "/lookup/1", "once": "/book/1", "stream": "/chat/1"}
POSITIONS = {
    "first": f"{DEADLY_PART}:800",
    "middle": f"{FIRST_PART}:800,{DEADLY_PART}:400",
    "before others": f"{DEADLY_PART}:400,{FIRST_PART}:800",
}


def has_deadly_part(req):
    """Return whether any part but the last is deadly."""
    parts = [row.split(":")[0] for row in req.headers["prompt-prefix"].split(",")]
    return DEADLY_PART in parts[:-1]


class Fleet(kit.Deployment):
    """Upstreams that crash when they begin to answer on a deadly part, then restart."""

    def __init__(self):
        super().__init__()
        self.crashes = 0
        self.crashed_at = []
        self.deadly_at = []
        self._numbers = itertools.count()
        self._restarts = set()

    async def __aexit__(self, *exc):
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await super().__aexit__(*exc)

    async def set_up(self, *, upstreams, nodes):
        for number in range(upstreams):
            await self.add_worker(f"w{number}", self._script(number))
        await self.configure()
        await self.add_nodes(nodes)

    async def add_nodes(self, count, prefix="node"):
        for number in range(count):
            seeds = [node.cfg.mesh.address for node in self.nodes[:1]]
            await self.add_node(f"{prefix}-{number}", seeds=seeds)
        await kit.until(lambda: all(len(n.members()) == count for n in self.nodes))
        await kit.until(lambda: all(n.relay.watchers for n in self.nodes))

    def _script(self, number):
        async def script(req, writer):
            if has_deadly_part(req):
                self.deadly_at.append(clock.now())
                head = kit.response_head(req, Confidence=90)
                writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
                await writer.drain()
                await asyncio.sleep(CRASH_AFTER_S)
                self._crash(self.workers[number])
                raise ConnectionResetError
            await asyncio.sleep(0.02)
            if req.target.startswith("/chat/"):
                await kit.streams(4, pause_s=0.02)(req, writer)
                return
            await kit.answers()(req, writer)

        return script

    def _crash(self, worker):
        if not worker.is_up:
            return
        self.crashes += 1
        self.crashed_at.append(clock.now())
        worker.crash()
        task = asyncio.ensure_future(self._restart(worker))
        self._restarts.add(task)

    async def _restart(self, worker):
        await asyncio.sleep(RESTART_AFTER_S)
        await worker.start()
        record = worker.record(born_ms=worker.runs)
        await self.store.put(source.Kind.UPSTREAMS, worker.name, record)

    async def send(self, path, shared, via=0):
        """Send a request with the shared parts and a last part of its own."""
        number = next(self._numbers)
        return await self.call(
            path,
            method="POST",
            body=b"prompt %d" % number,
            via=via,
            Prompt_Prefix=f"{shared},f{number:x}:50",
            Token_Counts="1250,40",
        )

    async def send_deadly(self, path="/chat/1", shared=POSITIONS["middle"], via=0):
        with contextlib.suppress(Exception):
            return await self.send(path, shared, via)

    def sends_after_stop(self):
        """Return the sends of the deadly part that should not have been made."""
        if len(self.crashed_at) < 5:
            return 0
        stopped_at = self.crashed_at[4] + STOPPED_AFTER_S
        return sum(at > stopped_at for at in self.deadly_at)

    def quarantined(self):
        """Return what each instance has quarantined."""
        return [set(node.shared.crashes.quarantined(0.0)) for node in self.nodes]

    async def quarantine_deadly_part(self):
        """Send deadly requests until every instance has quarantined the part."""
        key = causes.part_key(DEADLY_PART)
        while not all(key in keys for keys in self.quarantined()):
            await self.send_deadly()
            await asyncio.sleep(PAUSE_S)


@pytest.mark.parametrize("shared", POSITIONS.values(), ids=POSITIONS)
@pytest.mark.parametrize("nodes", [1, 4])
@pytest.mark.parametrize("kind", PATHS)
async def test_part_that_crashed_five_upstreams_crashes_at_most_three_more(
    kind, nodes, shared
):
    """Guards against counting crashes for identical requests only."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=nodes)
        for number in range(REQUESTS):
            await dep.send_deadly(PATHS[kind], shared, number % nodes)
            await asyncio.sleep(PAUSE_S)
        assert dep.crashes <= MAX_CRASHES


class SoundCallers:
    """Callers whose requests share the customer and the first part."""

    def __init__(self, dep, *, callers, path):
        self.dep = dep
        self.path = path
        self.replies = []
        self._tasks = [asyncio.ensure_future(self._run(k)) for k in range(callers)]

    async def _run(self, number):
        while True:
            with contextlib.suppress(Exception):
                shared = f"{FIRST_PART}:800,cc{number}:300"
                via = number % len(self.dep.nodes)
                self.replies.append(await self.dep.send(self.path, shared, via))
            await asyncio.sleep(PAUSE_S)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.mark.parametrize("kind", PATHS)
async def test_sound_requests_with_its_other_parts_are_served(kind):
    """Guards against blaming the parts and the requests beside a deadly part."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=3)
        others = SoundCallers(dep, callers=12, path=PATHS[kind])
        for number in range(2 * REQUESTS):
            await dep.send_deadly(PATHS[kind], via=number % 3)
            await asyncio.sleep(PAUSE_S)
            if number == REQUESTS:
                others.replies.clear()
        await others.stop()
        assert dep.sends_after_stop() <= MAX_SENDS_AFTER
        assert len(others.replies) > 50
        assert {reply.status for reply in others.replies} == {200}
        blamed = filter(causes.is_part, set.union(*dep.quarantined()))
        assert set(blamed) == {causes.part_key(DEADLY_PART)}


async def test_request_with_the_part_is_told_when_to_return():
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=1)
        await dep.quarantine_deadly_part()
        reply = await dep.send_deadly()
        assert reply.status == 503
        assert reply.body.startswith(b"quarantined")
        assert float(reply.headers["Retry-After"]) > 0


async def test_part_at_the_last_place_is_no_part_of_other_requests():
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=1)
        await dep.quarantine_deadly_part()
        reply = None
        while reply is None or reply.body.startswith(b"not-run"):
            reply = await dep.call("/chat/1", Prompt_Prefix=f"{DEADLY_PART}:50")
        assert reply.status == 200


async def test_late_instance_and_a_restart_of_all_know_the_part():
    """Guards against instances that start and count crashes from zero."""
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=3)
        await dep.quarantine_deadly_part()
        key = causes.part_key(DEADLY_PART)
        await kit.until(lambda: key in dep.store.quarantine_entries)
        seeds = [dep.nodes[0].cfg.mesh.address]
        late = await dep.add_node("late", seeds=seeds)
        await kit.until(lambda: key in late.shared.crashes.quarantined(0.0))
        stopped, dep.nodes = dep.nodes, []
        for instance in stopped:
            await instance.stop()
        await dep.add_nodes(3, prefix="new")
        await kit.until(lambda: all(key in keys for keys in dep.quarantined()))
        crashes = dep.crashes
        assert (await dep.send_deadly(via=2)).status == 503
        assert dep.crashes == crashes


@pytest.mark.parametrize("is_deadly", [True, False])
async def test_quarantined_part_is_tried_once_and_freed_if_it_is_answered(is_deadly):
    """Guards against a part that was blamed wrongly and is refused for good."""
    part = DEADLY_PART if is_deadly else FIRST_PART
    key = causes.part_key(part)
    async with Fleet() as dep:
        await dep.set_up(upstreams=6, nodes=3)
        at = clock.now() - quarantine.TRIAL_AFTER_S
        for node in dep.nodes:
            row = quarantine.Quarantine(at=at)
            node.shared.crashes.add_quarantine(key, row)
        replies = []
        for number in range(9):
            replies.append(await dep.send("/chat/1", f"{part}:80", number % 3))
            await asyncio.sleep(PAUSE_S)
        assert dep.crashes == is_deadly
        if is_deadly:
            assert not any(reply.status == 200 for reply in replies)
            return
        assert {reply.status for reply in replies[3:]} == {200}
        assert not any(dep.quarantined())
