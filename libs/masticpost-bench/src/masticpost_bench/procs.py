"""Starts and stops the real programs as processes on loopback."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import attrs

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 20.0


def free_ports(count: int) -> list[int]:
    """Return distinct ports that were free a moment ago."""
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def program(name: str) -> str:
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

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.popen is None:
            return
        self.send(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit code."""
        self.send(signal.SIGTERM)
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
