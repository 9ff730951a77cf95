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

    The ports lie below the ephemeral range of outgoing connections, and every process
    allocates from a range of its own, so no port is taken before it is used.
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
    """Reserve a range of ports for this process and return its first port.

    The first port stays bound as long as this process runs, which reserves the range.

    Raises
    ------
    RuntimeError
        If all ranges are reserved by other processes.
    """
    for index in range(PORT_RANGE_COUNT):
        low = FIRST_PORT + index * PORTS_PER_RANGE
        lock = socket.socket()
        try:
            lock.bind((HOST, low))
        except OSError:
            lock.close()
            continue
        _RANGE_LOCKS.append(lock)
        return low
    raise RuntimeError(f"all {PORT_RANGE_COUNT} port ranges are reserved")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def program_path(name: str) -> str:
    """Return the path of a program installed beside this interpreter."""
    return str(pathlib.Path(sys.executable).parent / name)


@attrs.define(kw_only=True)
class Proc:
    """A child process whose output goes to a log file."""

    name: str
    args: list[str]
    log_path: pathlib.Path
    env: dict[str, str] = attrs.field(factory=dict)
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and append its output to the log file."""
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
        """Return whether the process was started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def exit_summary(self) -> str:
        """Return the exit code and the last output of a process that has exited."""
        with self.log_path.open("rb") as log:
            log.seek(max(0, log.seek(0, os.SEEK_END) - LOG_TAIL_BYTES))
            tail = log.read().decode(errors="replace")
        code = self.popen.returncode
        return f"{self.name} exited with code {code}, see {self.log_path}:\n{tail}"

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            self.popen.send_signal(signum)

    def kill(self) -> None:
        """Resume the process if it is stopped, kill it and wait for its exit."""
        if self.popen is None:
            return
        self.send_signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code; kill the process after the timeout."""
        self.send_signal(signal.SIGTERM)
        return await self.wait(timeout_s)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process and return its exit code; kill it after the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.is_running():
                    await asyncio.sleep(0.02)
        if self.is_running():
            self.kill()
        return self.popen.returncode


@attrs.define(kw_only=True)
class Usage:
    """Resources that a process has used; `cpu_s` is user plus system time."""

    cpu_s: float
    resident_bytes: int


def usage(pid: int) -> Usage:
    """Read the resources of a process from /proc."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(stat[11]) + int(stat[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
    )


async def wait_for(
    predicate: typing.Callable[[], typing.Awaitable[bool]],
    description: str,
    timeout_s: float = 30.0,
) -> None:
    """Wait until `predicate` returns true.

    Raises
    ------
    TimeoutError
        After `timeout_s`, with `description` in its message.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not await predicate():
                await asyncio.sleep(0.03)
    except TimeoutError:
        raise TimeoutError(f"waited {timeout_s} s for {description}") from None
