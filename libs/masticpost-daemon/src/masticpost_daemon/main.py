"""Entry point of `masticpostd`."""

import asyncio
import signal
import sys

import docopt
import uvloop
from loguru import logger
from masticpost_common import findings
from masticpost_telemetry import logs

from masticpost_daemon import instance, settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
FAILURE_CHECK_INTERVAL_S = 0.5


def main() -> None:
    """Run an instance until SIGTERM or SIGINT."""
    try:
        cfg = settings.load(sys.argv[1:])
    except findings.FindingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    logs.configure(instance=cfg.name, level=cfg.log_level)
    sys.exit(uvloop.run(_run(cfg)))


async def _run(cfg: settings.Settings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    node = instance.Instance(cfg=cfg)
    try:
        await node.start()
    except OSError as exc:
        logger.error("cannot start instance: {}", exc)
        return EXIT_FAILED
    while not stop.is_set():
        if node.has_failed:
            logger.error("a component failed; exiting so that the instance is replaced")
            return EXIT_FAILED
        await _wait(stop, FAILURE_CHECK_INTERVAL_S)
    try:
        await node.drain()
    finally:
        await node.stop()
    return EXIT_OK


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
