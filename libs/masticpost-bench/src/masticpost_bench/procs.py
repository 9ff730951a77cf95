"""Starts and stops the real programs as processes on loopback."""

import asyncio
import contextlib
import functools
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import typing

import attrs

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 20.0
FIRST_PORT = 10_000
LOG_TAIL_BYTES = 2_000
PORT_RANGE_COUNT = 16
PORTS_PER_RANGE = 1_300
_PORT_COUNTER = itertools.count(random.Random(os.getpid()).randrange(PORTS_PER_RANGE))

_RANGE_LOCKS: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return distinct ports that nothing listens on.

    They lie below the range of outgoing connections, and every process takes them from
    a range of its own, so that none is taken between here and its use.
    """
    low = _reserve_port_range()
    found: list[int] = []
    while len(found) < count:
        port = low + 1 + next(_PORT_COUNTER) % (PORTS_PER_RANGE - 1)
        if _is_free(port):
            found.append(port)
    return found


@functools.cache
def _reserve_port_range() -> int:
    """Return the first port of a range that no other process has.

    The first port stays bound for as long as this process runs, which keeps others out.
    """
    for number in range(PORT_RANGE_COUNT):
        low = FIRST_PORT + number * PORTS_PER_RANGE
        guard = socket.socket()
        try:
            guard.bind((HOST, low))
        except OSError:
            guard.close()
            continue
        _RANGE_LOCKS.append(guard)
        return low
    raise RuntimeError(f"{PORT_RANGE_COUNT} processes take ports already")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def program_path(name: str) -> str:
    """Return the path of an installed program beside this interpreter."""
    return str(pathlib.Path(sys.executable).parent / name)


@attrs.define(kw_only=True)
class Proc:
    """A process that was started here."""

    name: str
    args: list[str]
    log_path: pathlib.Path
    env: dict[str, str] = attrs.field(factory=dict)
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output goes to the log file."""
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self.args,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.env},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def exit_summary(self) -> str:
        """Tell how a process that has ended did so: its code and its last output."""
        with self.log_path.open("rb") as log:
            log.seek(max(0, log.seek(0, os.SEEK_END) - LOG_TAIL_BYTES))
            last = log.read().decode(errors="replace")
        code = self.popen.returncode
        return f"{self.name} ended with code {code}, see {self.log_path}:\n{last}"

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.popen is None:
            return
        self.send_signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit code."""
        self.send_signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Return the exit code of a process that ends; kill it if it does not."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.is_running():
                    await asyncio.sleep(0.02)
        if self.is_running():
            self.kill()
        return self.popen.returncode


@attrs.define(kw_only=True)
class Usage:
    """Resources of a process so far; `cpu_s` is user and system time."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Read a process's resources from the kernel's table."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
    )


async def wait_for(
    check: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    timeout_s: float = 30.0,
) -> None:
    """Wait until `check` is true; raises `TimeoutError` with `what`."""
    try:
        async with asyncio.timeout(timeout_s):
            while not await check():
                await asyncio.sleep(0.03)
    except TimeoutError:
        raise TimeoutError(f"waited {timeout_s} s for {what}") from None
