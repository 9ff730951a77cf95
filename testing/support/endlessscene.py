"""A gateway, or the product daemon's clients, beside endless bytes.

Run as ``python -m support.endlessscene DAEMON PATH COUNT SECONDS ENDLESS SOUND`` with
the ports of `support.endlessupstream`; prints its figures as JSON.
"""

import asyncio
import contextlib
import itertools
import json
import resource
import sys
import time

import aiohttp
import uvloop
from loguru import logger
from masticpost_gateway.state import model, source
from masticpost_upstream import engine, faults, openai, plain, pool

from support import gatewaykit as kit

BAD, GOOD = "bad", "good"
SOUND_PERIOD_S = 0.02
WARM_UP_S = 0.5
# Pause of a caller whose request has failed.
AGAIN_S = 0.2


async def own_peak():
    return peak_mb()


def peak_mb():
    """Return the most memory that this process had, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class Callers:
    """Sound calls at a steady pace, and as many as wanted of the others at once.

    Parameters
    ----------
    bad_call, sound_call : callable
        Send one call, and return whether its answer looks whole.
    peak : callable
        Returns the most memory that the process had, in MB.
    """

    def __init__(self, *, bad_call, sound_call, peak):
        self.bad_call, self.sound_call, self.peak = bad_call, sound_call, peak
        self.sent = self.sound = self.ended = self.whole = 0
        self.times_s = []

    async def keep_calling(self, until):
        while time.monotonic() < until:
            is_whole = await self.bad_call()
            self.whole += bool(is_whole)
            self.ended += 1
            await asyncio.sleep(AGAIN_S)

    async def call_sound(self, until):
        tasks = []
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(self._call_one()))
            self.sent += 1
            await asyncio.sleep(SOUND_PERIOD_S)
        await asyncio.wait(tasks, timeout=5.0)

    async def _call_one(self):
        began = time.monotonic()
        is_sound = await self.sound_call()
        self.sound += is_sound
        self.times_s.append(time.monotonic() - began)

    async def play(self, count, seconds):
        """Return the figures of a scene with `count` bad calls at a time."""
        await self.call_sound(time.monotonic() + WARM_UP_S)
        self.sent = self.sound = 0
        self.times_s.clear()
        before = await self.peak()
        began, cpu = time.monotonic(), time.process_time()
        until = began + seconds
        bad = [asyncio.create_task(self.keep_calling(until)) for _ in range(count)]
        await self.call_sound(until)
        await asyncio.wait(bad, timeout=10.0)
        times = sorted(self.times_s)
        return {
            "growth_mb": await self.peak() - before,
            "sent": self.sent,
            "sound": self.sound,
            "late_s": times[int(0.95 * len(times))] if times else 99.0,
            "ended": self.ended,
            "whole": self.whole,
            "took_s": time.monotonic() - began,
            "cpu_s": time.process_time() - cpu,
        }


async def serve_gateway(path, seconds, ports):
    """Serve a gateway whose two services have one upstream each, until it is killed."""
    routes = [
        kit.route(
            name=name,
            path_prefix=f"/{name}{path}",
            kind=kind_of(path),
            targets=(model.Target(service=name, weight=1.0),),
            attempts=1,
            timeout_s=seconds,
            objective_s=seconds,
            gap_s=seconds,
        )
        for name in (BAD, GOOD)
    ]
    services = tuple(model.Service(name=name) for name in (BAD, GOOD))
    async with kit.Deployment() as dep:
        for name, port in zip((BAD, GOOD), ports, strict=True):
            row = kit.Worker(name=name, script=None, service=name, port=port).record()
            await dep.store.put(source.Kind.UPSTREAMS, name, row)
        await dep.configure(kit.configuration(routes=routes, services=services))
        instance = await dep.add_node()
        print(instance.cfg.callers.port, flush=True)
        await asyncio.to_thread(sys.stdin.readline)
        print(json.dumps({"peak_mb": peak_mb()}), flush=True)
        await asyncio.to_thread(sys.stdin.readline)
        print(json.dumps({"peak_mb": peak_mb()}), flush=True)


async def play_gateway(path, count, seconds, ports):
    """Play the scene against a gateway in a process of its own."""
    made = ["-m", "support.endlessscene", "serve", path, "0", str(seconds), *ports]
    server = await asyncio.create_subprocess_exec(
        sys.executable,
        *map(str, made),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    port = int(await server.stdout.readline())

    async def peak():
        server.stdin.write(b"\n")
        return json.loads(await server.stdout.readline())["peak_mb"]

    numbers = itertools.count()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:

        async def call(name):
            fields = {
                "Host": kit.HOST,
                "Request-Id": f"req-{next(numbers)}",
                "Request-Deadline-Ms": str(int(seconds * 1000)),
                "Api-Key": kit.KEY,
                "Accept": "text/event-stream" if path == "/chat/" else "*/*",
            }
            url = f"http://127.0.0.1:{port}/{name}{path}"
            async with http.post(url, data=b"p", headers=fields) as resp:
                await resp.read()
                return resp.status == 200

        async def bad_call():
            with contextlib.suppress(aiohttp.ClientError):
                return await call(BAD)

        callers = Callers(bad_call=bad_call, sound_call=lambda: call(GOOD), peak=peak)
        try:
            return await callers.play(count, seconds)
        finally:
            server.kill()
            await server.wait()


def kind_of(path):
    is_stream = path == "/chat/"
    return model.CallKind.RESUMABLE_STREAM if is_stream else model.CallKind.IDEMPOTENT


async def play_clients(path, count, seconds, ports):
    """Play the scene with the clients through which the product daemon calls."""
    plain_client = plain.PlainClient()
    engine_client = engine.EngineClient()
    req = plain.PlainRequest(method="POST", path="/", query="", headers={}, body=b"p")
    chat = openai.EngineRequest(model="m", messages=[], stream=True)

    def target(port):
        return pool.Target(
            upstream="u",
            url=f"http://127.0.0.1:{port}",
            attempt_id="a",
            deadline_s=seconds,
        )

    async def bad_call():
        try:
            if path == "/chat/":
                async for _ in engine_client.stream(target(ports[0]), chat):
                    pass
                return True
            return (await plain_client.call(target(ports[0]), req)).status == 200
        except faults.UpstreamError:
            return False

    async def sound_call():
        reply = await plain_client.call(target(ports[1]), req)
        return reply.status == 200 and reply.body == b"done"

    callers = Callers(bad_call=bad_call, sound_call=sound_call, peak=own_peak)
    figures = await callers.play(count, seconds)
    await plain_client.pool.close()
    await engine_client.pool.close()
    return figures


async def main(daemon, path, count, seconds, *ports):
    logger.remove()
    ports = tuple(map(int, ports))
    if daemon == "serve":
        await serve_gateway(path, float(seconds), ports)
        return
    play = play_gateway if daemon == "gateway" else play_clients
    print(json.dumps(await play(path, int(count), float(seconds), ports)), flush=True)


if __name__ == "__main__":
    uvloop.run(main(*sys.argv[1:]))
