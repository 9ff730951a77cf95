"""Machines of the system: their settings and processes, on loopback addresses."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import socket

from common2 import client, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = """node = "{name}"
role = "router"
class = "front"
serves = ["front", "control"]
ipAddress = "{host}"
zone = "{zone}"
region = "muscat"
internalPorts = [{peers}, {last}]
seedAddresses = [{seeds}]
bootstrap = true
toleranceMember = false
discovery = "platform"
entryKind = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", \
"stream", "tenants", "places", "platform", "rollout"]
[zones]
{zones}
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
processorShare = 1.0
processorCores = 1
memoryMb = {memory}
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
passMs = 120
reuseWindowS = 8.6
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
LAYOUT = (
    ("front-ruwi-1", "ruwi"),
    ("front-ruwi-2", "ruwi"),
    ("front-ruwi-3", "ruwi"),
    ("front-seeb-1", "seeb"),
    ("front-qurum-1", "qurum"),
    ("front-qurum-2", "qurum"),
    ("front-barka-1", "barka"),
    ("front-barka-2", "barka"),
)
START_TIMEOUT_S = 40.0


def free_ports(count: int) -> list[int]:
    """Return ports that no process listens on now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@dataclasses.dataclass
class Machine:
    """One machine; `pids` are all processes that were started on it."""

    name: str
    zone: str
    host: str
    process: asyncio.subprocess.Process | None = None

    def signal(self, signum: int) -> None:
        """Send a signal to the process of this machine, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)


class Deployment:
    """The machines of a small deployment and the store."""

    def __init__(self, folder: pathlib.Path, *, memory_mb: int = 150) -> None:
        self.folder, self.memory_mb = folder, memory_mb
        self.store = store.Store()
        self.machines = [
            Machine(name=name, zone=zone, host=f"127.0.7.{number + 1}")
            for number, (name, zone) in enumerate(LAYOUT)
        ]
        names = ("peers", "last", "front", "ready", "control", "metrics", "store")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))

    async def start(self) -> None:
        """Start the store and all machines, and wait until they are ready."""
        for machine in self.machines:
            await self.store.listen(machine.name, machine.host, self.ports["store"])
            self._write_settings(machine)
        for machine in self.machines:
            await self.start_machine(machine)
        await self.wait_ready(self.machines)

    async def start_machine(self, machine: Machine) -> None:
        """Start the process of a machine, as the deploy file says."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "MASTICPOST_BOOT": str(self._path(machine)),
            "MASTICPOST_PEER_KEYS": "set-a-secret-of-your-own-here",
            "MASTICPOST_METRICS_PORT": str(self.ports["metrics"]),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            "python3", "platform/start.py", cwd=ROOT, env=env, stdout=log, stderr=log
        )

    async def wait_ready(self, machines: list[Machine]) -> None:
        """Wait until machines say that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for machine in machines:
                while not await client.is_ready((machine.host, self.ports["ready"])):
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End every process that was started, and the store."""
        for machine in self.machines:
            machine.signal(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
        await self.store.close()

    def front(self, machine: Machine) -> tuple[str, int]:
        """Return the address for clients."""
        return machine.host, self.ports["front"]

    def _path(self, machine: Machine) -> pathlib.Path:
        return self.folder / f"{machine.name}.toml"

    def _write_settings(self, machine: Machine) -> None:
        control, zones = self.ports["control"], sorted({m.zone for m in self.machines})
        seeds = [f'"{row.host}:{control}"' for row in self.machines[2:5]]
        text = SETTINGS.format(
            name=machine.name,
            host=machine.host,
            zone=machine.zone,
            zones="\n".join(f'{zone} = "muscat"' for zone in zones),
            seeds=", ".join(seeds),
            memory=self.memory_mb,
            **{**self.ports, "store": f"{machine.host}:{self.ports['store']}"},
        )
        self._path(machine).write_text(text)


def configuration(version: int, keys: dict[str, list[str]], **route: object) -> dict:
    """Return a configuration with a safe and an unsafe route, and a stream."""
    rows = []
    for kind, service in (("safe", "desk"), ("unsafe", "desk"), ("streaming", "brain")):
        row = {"name": f"r-{kind}", "host": "shop.example", "kind": kind}
        row |= {"pathPrefix": f"/{kind}/", "timeoutMs": 4000, "objectiveMs": 400}
        row |= {"priority": 1, "service": service, "attempts": 3, "keyless": False}
        if kind == "streaming":
            row |= {"sticky": True, "resumable": True, "gapTargetMs": 1200}
            row |= {"timeoutMs": 12_000, "objectiveMs": 2000}
        rows.append(row | route)
    services = [
        {"name": name, "healthPath": "/health", "connectionLimit": 370}
        | {"protocol": "h1", "coldS": 3.0, "coldPerS": 7.7}
        for name in ("desk", "brain")
    ]
    limits = {"headerBytes": 16384, "bodyBytes": 4194304}
    limits |= {"headerMs": 3000, "idleMs": 15000}
    tenants = [{"name": name, "accessKeys": found} for name, found in keys.items()]
    return {
        "version": version,
        "routes": rows,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }
