"""Runs a whole deployment on loopback: stand-ins, daemons and calls to them."""

import contextlib
import json
import pathlib
import ssl
import tempfile
import typing

import aiohttp
import result
from masticpost_common import clock
from masticpost_confsync import head
from masticpost_store import client

from masticpost_bench import callers, layout, procs, programs

NAMESPACE = "masticpost"
TLS_KINDS = ("engine", "plain", "rating")
READY_TIMEOUT_S = 40.0


class Deployment(callers.CallerClient):
    """Starts the stand-ins and daemons of a layout; kills them on exit.

    Parameters
    ----------
    plan : layout.Layout
        Layout to start.
    daemon_args : list of str, optional
        Additional arguments of every daemon.
    daemon_program : list of str, optional
        Command that starts a daemon, by default `masticpostd`.
    tls : programs.Tls, optional
        If given, daemons, upstreams and the rating service listen with TLS.
    """

    def __init__(
        self,
        *,
        plan: layout.Layout,
        daemon_args: list[str] | None = None,
        daemon_program: list[str] | None = None,
        tls: programs.Tls | None = None,
    ) -> None:
        super().__init__(plan=plan)
        self.tls = tls
        self.daemon_args = daemon_args or []
        self.daemon_program = daemon_program or [procs.program_path("masticpostd")]
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix="masticpost-"))
        self.peer_key = f"{layout.PEER_KEY}-{self.dir.name}"
        self.standins: dict[str, programs.StandIn] = {}
        self.generation = 0

    async def __aenter__(self) -> "Deployment":
        ssl_context = (
            ssl.create_default_context(cafile=self.tls.ca) if self.tls else True
        )
        connector = aiohttp.TCPConnector(limit=0, ssl=ssl_context)
        self.http = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=90)
        )
        try:
            await self._start_standins()
            await self.apply()
            for index in range(self.plan.instances):
                self.start_daemon(f"entry-{index}", self.plan.instance_domain(index))
            await self.publish_instance_list()
            await self.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for daemon in self.daemons.values():
            daemon.proc.kill()
        for standin in self.standins.values():
            standin.proc.kill()
        await self.http.close()

    async def _start_standins(self) -> None:
        self._start_standin("store", "object-api", {})
        self._start_standin("list", "instance-list", {})
        self._start_standin("rating", "rating", {})
        self._start_standin("weights", "weights", {"max_loads_s": 3.0})
        for spec in self.plan.engines:
            config = {"qualities": spec.qualities, **spec.extra}
            self._start_standin(spec.name, "engine", config)
        for plain in self.plan.plain_upstreams:
            self._start_standin(plain.name, "plain", dict(plain.extra))
        for standin in self.standins.values():
            await procs.wait_for(lambda s=standin: self._is_up(s), standin.name)

    async def _is_up(self, standin: programs.StandIn) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            async with self.http.get(f"{standin.control_url}/counts") as resp:
                return resp.status == 200
        return False

    def _start_standin(self, name: str, kind: str, config: dict) -> None:
        port, control_port = procs.free_ports(2)
        args = [
            procs.program_path("masticpost-standin"),
            kind,
            "--port",
            str(port),
            "--control-port",
            str(control_port),
            "--config",
            json.dumps(config),
        ]
        has_tls = self.tls is not None and kind in TLS_KINDS
        if has_tls:
            args += self.tls.server_args
        proc = procs.Proc(name=name, args=args, log_path=self.dir / f"{name}.log")
        proc.start()
        self.standins[name] = programs.StandIn(
            name=name,
            proc=proc,
            port=port,
            control_port=control_port,
            scheme="https" if has_tls else "http",
        )

    def start_daemon(self, name: str, domain: str, *extra: str) -> programs.Daemon:
        """Start a daemon on unused ports, with `extra` arguments."""
        port, peer_port = procs.free_ports(2)
        args = [
            *self.daemon_program,
            f"--name={name}",
            f"--domain={domain}",
            f"--listen={procs.HOST}:{port}",
            f"--peer-listen={procs.HOST}:{peer_port}",
            f"--store-url={self.standins['store'].url}",
            f"--instances-url={self.standins['list'].url}",
            f"--shards={self.plan.shards}",
            "--drain-grace-s=0.5",
            *self.daemon_args,
            *extra,
        ]
        if self.tls is not None:
            args += [*self.tls.server_args, f"--upstream-ca={self.tls.ca}"]
        env = {
            "MASTICPOST_PEER_KEYS": self.peer_key,
            "MASTICPOST_ADMIN_KEY": layout.ADMIN_KEY,
        }
        starts = len(list(self.dir.glob(f"{name}.*.log")))
        log_path = self.dir / f"{name}.{starts}.log"
        proc = procs.Proc(name=name, args=args, log_path=log_path, env=env)
        proc.start()
        daemon = programs.Daemon(
            name=name,
            domain=domain,
            proc=proc,
            port=port,
            peer_port=peer_port,
            scheme="https" if self.tls is not None else "http",
        )
        self.daemons[name] = daemon
        return daemon

    def store(self) -> client.Client:
        """Return a client of the object API; the caller closes it."""
        return client.Client(url=self.standins["store"].url, namespace=NAMESPACE)

    def text(self, changes: dict[str, dict[str, object]] | None = None) -> str:
        """Return the operators' text with some fields changed."""
        urls = {name: standin.url for name, standin in self.standins.items()}
        return layout.render_text(
            self.plan, urls, urls["rating"], urls["weights"], changes
        )

    async def apply(self, changes: dict[str, dict[str, object]] | None = None) -> int:
        """Apply the text with some fields changed and return its generation."""
        store = self.store()
        try:
            outcome = await head.apply(
                store,
                raw=self.text(changes),
                seen_generation=self.generation,
                author="bench",
                note="",
                at=clock.wall_ms(),
            )
        finally:
            await store.close()
        if outcome.is_err():
            raise RuntimeError(f"apply failed: {outcome.unwrap_err()}")
        assert isinstance(outcome, result.Ok)
        self.generation = outcome.unwrap().generation
        return self.generation

    async def try_apply(self, base_generation: int, price: float) -> bool:
        """Apply an edit made from `base_generation`; return whether it was accepted."""
        store = self.store()
        outcome = await head.apply(
            store,
            raw=self.text({"versions.small-1": {"input_price": price}}),
            seen_generation=base_generation,
            author="bench",
            note="",
            at=clock.wall_ms(),
        )
        await store.close()
        return outcome.is_ok()

    async def refresh_generation(self) -> None:
        """Read the accepted generation from the object API."""
        store = self.store()
        found = await head.read(store)
        await store.close()
        if found.is_ok() and found.unwrap() is not None:
            self.generation = found.unwrap().stored.generation

    async def publish_instance_list(self) -> None:
        """Put every daemon and upstream on the platform's instance list."""
        rows = [
            _list_entry("masticpost", d.name, d.peer_port, d.domain)
            for d in self.daemons.values()
        ]
        upstreams = (*self.plan.engines, *self.plan.plain_upstreams)
        rows += [
            _list_entry("upstreams", s.name, self.standins[s.name].port, s.domain)
            for s in upstreams
        ]
        await self.run_action("list", "put", rows)

    async def mark_leaving(self, name: str, service: str) -> None:
        """Mark a daemon or upstream as terminating on the platform's instance list."""
        if service == "masticpost":
            daemon = self.daemons[name]
            row = _list_entry(service, name, daemon.peer_port, daemon.domain)
        else:
            row = _list_entry(service, name, self.standins[name].port, "")
        await self.run_action("list", "put", [{**row, "terminating": True}])

    async def wait_ready(self, *names: str) -> None:
        """Wait until all daemons, or those named, are ready and see all members."""
        chosen = names or tuple(self.daemons)
        for name in chosen:
            await procs.wait_for(
                lambda n=name: self._is_ready(n), f"{name} ready", READY_TIMEOUT_S
            )
            self.daemons[name].was_ready = True

    async def _is_ready(self, name: str) -> bool:
        daemon = self.daemons[name]
        if not daemon.proc.is_running():
            raise RuntimeError(daemon.proc.exit_summary())
        with contextlib.suppress(aiohttp.ClientError):
            async with self.http.get(f"{daemon.url}/readyz") as resp:
                if resp.status != 200:
                    return False
            alive = sum(1 for d in self.daemons.values() if d.proc.is_running())
            status = await self.status(name)
            members = [m for m in status["members"] if m["state"] == "alive"]
            return len(members) >= alive
        return False

    async def status(self, name: str) -> typing.Any:
        """Return a daemon's status."""
        headers = {"Authorization": f"Bearer {layout.ADMIN_KEY}"}
        url = f"{self.daemons[name].url}/admin/status"
        async with self.http.get(url, headers=headers) as resp:
            return await resp.json()

    async def wait_generation(self, generation: int, timeout_s: float = 30.0) -> None:
        """Wait until every running daemon has put the generation in force."""
        for daemon in self.daemons.values():
            if daemon.proc.is_running():
                await procs.wait_for(
                    lambda d=daemon: self._has_generation(d, generation),
                    f"generation {generation} on {daemon.name}",
                    timeout_s,
                )

    async def _has_generation(self, daemon: programs.Daemon, generation: int) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            return (await self.status(daemon.name))["generation"] >= generation
        return False

    async def set_faults(self, name: str, **fields: object) -> None:
        """Set fault injection fields of a stand-in."""
        url = f"{self.standins[name].control_url}/faults"
        async with self.http.post(url, json=fields) as resp:
            resp.raise_for_status()

    async def counts(self, name: str) -> typing.Any:
        """Return the counters of a stand-in."""
        url = f"{self.standins[name].control_url}/counts"
        async with self.http.get(url) as resp:
            return await resp.json()

    async def run_action(
        self, name: str, action: str, body: object = None
    ) -> typing.Any:
        """Run an action of a stand-in, such as ``crash``, and return its reply."""
        url = f"{self.standins[name].control_url}/act/{action}"
        async with self.http.post(url, json=body) as resp:
            resp.raise_for_status()
            return await resp.json()

    async def booking_runs(self) -> dict[str, int]:
        """Return how often each booking ran on all stand-ins, by the caller's key."""
        total: dict[str, int] = {}
        for spec in self.plan.plain_upstreams:
            for scoped_key, runs in (await self.counts(spec.name))["runs"].items():
                key = scoped_key.partition(":")[2]
                total[key] = total.get(key, 0) + runs
        return total

    def logs(self) -> dict[str, list[dict[str, typing.Any]]]:
        """Return the parsed log lines, by daemon name and number of its start."""
        return {
            path.stem: [
                json.loads(line)
                for line in path.read_text().splitlines()
                if line.startswith("{")
            ]
            for path in sorted(self.dir.glob("*.*.log"))
        }


def _list_entry(service: str, name: str, port: int, zone: str) -> dict[str, object]:
    return {
        "service": service,
        "name": name,
        "host": procs.HOST,
        "port": port,
        "zone": zone,
    }
