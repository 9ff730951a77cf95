"""The processes under test: instances started by the command of the deploy file."""

import asyncio
import os
import pathlib
import signal
import socket
import tomllib

import aiohttp
import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
POLL_S = 0.1
STOP_TIMEOUT_S = 10.0
# Bounds of the users' small deployments (SYSTEM.md, "Bounds").
SETTINGS = """
node = "{name}"
role = "router"
class = "front"
serves = ["front", "control"]
ipAddress = "{host}"
zone = "{zone}"
region = "region"
internalPorts = [{peers}, {peers}]
seedAddresses = [{seeds}]
bootstrap = true
discovery = "platform"
entryKind = "virtual_ip"
heartbeatMs = 1200
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
processorShare = 0.537
processorCores = 2
memoryMb = 150
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configApplyMs = 2000
downgradeMs = 250
outerMs = 5000
strictRevocation = false
revokeMs = 5000
budgetRatio = 0.9
budgetWindowS = 10
budgetSlack = 56
exposeShare = 0.15
exposeSlack = 30
rollbackMs = 5000
coldFactor = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
sessionS = 5
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minimumLifetimeMs = 1000
"""


def free_ports(count):
    """Return ports that are free on the loopback addresses in use."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@attrs.frozen(kw_only=True)
class Place:
    """Where an instance runs: its name, loopback address, zone and store address."""

    name: str
    host: str
    zone: str
    store: str


class System:
    """The instances of one deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder for settings and logs.
    places : list of Place
        The instances to start.
    """

    def __init__(self, *, folder, places):
        self.folder = folder
        self.places = places
        names = ("peers", "front", "ready", "control", "metrics")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.processes = {}

    async def start(self):
        """Start all instances and wait until each one is ready."""
        for place in self.places:
            self._write_settings(place)
            await self._start_process(place)
        async with asyncio.timeout(START_TIMEOUT_S):
            for place in self.places:
                while not await self.is_ready(place):
                    await asyncio.sleep(POLL_S)

    async def stop(self):
        """End all instances."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()

    def front(self, place):
        """Return the address of an instance for clients."""
        return f"{place.host}:{self.ports['front']}"

    async def is_ready(self, place):
        """Return whether the readiness check of an instance passes."""
        url = f"http://{place.host}:{self.ports['ready']}/readiness"
        try:
            async with aiohttp.ClientSession() as http, http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def ended(self):
        """Return the names of the instances whose process has ended."""
        return [k for k, v in self.processes.items() if v.returncode is not None]

    async def _start_process(self, place):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["router"]
        log = (self.folder / f"{place.name}.log").open("ab")
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= role["env"] | {
            "MASTICPOST_BOOT": str(self.folder / f"{place.name}.toml"),
            "MASTICPOST_METRICS_PORT": str(self.ports["metrics"]),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.processes[place.name] = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def _write_settings(self, place):
        seeds = [f"{row.host}:{self.ports['control']}" for row in self.places[:3]]
        text = SETTINGS.format(
            name=place.name,
            host=place.host,
            zone=place.zone,
            store=place.store,
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            **self.ports,
        )
        (self.folder / f"{place.name}.toml").write_text(text)
