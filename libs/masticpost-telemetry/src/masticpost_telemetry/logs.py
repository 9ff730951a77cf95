"""Structured logs: one JSON object per line on standard error.

Request bodies, answers and keys are never logged; callers pass ids and codes only.
"""

import logging
import os
import sys
import time
import typing

import attrs
import loguru
import msgspec
from aiohttp import http_exceptions

RESERVED = ("at", "level", "message", "instance", "module")


@attrs.frozen(kw_only=True)
class JsonSink:
    """Writes records as JSON lines.

    Parameters
    ----------
    instance : str
        Name that goes into every line.
    stream : file
        Where the lines go.
    """

    instance: str
    stream: typing.TextIO

    def __call__(self, message: "loguru.Message") -> None:
        """Write one record."""
        record = message.record
        row = {
            "at": record["time"].isoformat(),
            "level": record["level"].name.lower(),
            "message": record["message"],
            "instance": self.instance,
            "module": record["name"],
        }
        if record["exception"] is not None:
            row["exception"] = repr(record["exception"].value)
            row["trace"] = _stack_frames(record["exception"])
        extra = {k: v for k, v in record["extra"].items() if k not in RESERVED}
        line = msgspec.json.encode({**row, **extra}, enc_hook=str)
        self.stream.write(line.decode() + "\n")
        self.stream.flush()


def _stack_frames(exception: typing.Any) -> list[str]:
    """Return file, line and function of each frame, without values."""
    rows = []
    tb = exception.traceback
    while tb is not None:
        code = tb.tb_frame.f_code
        rows.append(f"{code.co_filename}:{tb.tb_lineno} {code.co_name}")
        tb = tb.tb_next
    return rows


class BoundedStream:
    """A text stream that never blocks and bounds the lines it writes.

    Lines over the rate, and lines that the reader of the pipe has no room for, are
    dropped and counted; the next line that is written tells how many.

    Parameters
    ----------
    fd : int
        File descriptor to write to; it is made non-blocking.
    lines_per_s : float
        Most lines a second in the long run.
    burst : float
        Most lines at once.

    Attributes
    ----------
    dropped, dropped_total : int
        Lines left out since the last written line, and since the start.
    """

    def __init__(
        self, *, fd: int, lines_per_s: float = 300.0, burst: float = 600.0
    ) -> None:
        os.set_blocking(fd, False)
        self.fd = fd
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.dropped = 0
        self.dropped_total = 0
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._unwritten = b""

    def write(self, line: str) -> None:
        """Write one line, or drop it."""
        if not self._take_token() or not self._flush_unwritten():
            self.dropped += 1
            self.dropped_total += 1
            return
        data = line.encode()
        if self.dropped:
            note = {"message": "log lines dropped", "dropped": self.dropped}
            data = msgspec.json.encode(note) + b"\n" + data
            self.dropped = 0
        self._unwritten = data
        self._flush_unwritten()

    def flush(self) -> None:
        """Write what a full pipe kept back, as far as there is room now."""
        self._flush_unwritten()

    def _take_token(self) -> bool:
        now = time.monotonic()
        gained = (now - self._refilled_at) * self.lines_per_s
        self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _flush_unwritten(self) -> bool:
        """Write the unfinished line; tell whether it is out."""
        while self._unwritten:
            try:
                written = os.write(self.fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads any more; there is no place left to report it.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


class LibraryHandler(logging.Handler):
    """Passes the records of libraries that use the standard logging on."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record, with its exception if there is one.

        The exception of a malformed request quotes the caller's bytes, keys
        included, so that only its kind is logged.
        """
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, http_exceptions.HttpProcessingError):
            logger = loguru.logger.bind(library=record.name, kind=type(exc).__name__)
            logger.warning("malformed request")
            return
        target = loguru.logger.opt(exception=record.exc_info)
        target.bind(library=record.name).log(record.levelname, record.getMessage())


def configure(
    *, instance: str, level: str, stream: typing.TextIO | None = None
) -> None:
    """Send every log of the process through `JsonSink`."""
    sink = JsonSink(instance=instance, stream=stream or sys.stderr)
    loguru.logger.remove()
    loguru.logger.add(sink, level=level.upper(), format="{message}", catch=True)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
