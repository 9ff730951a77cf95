"""Structured logs: one JSON object per line, by default on standard error.

Request bodies, answers and keys are never logged; log calls pass only ids and codes.
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
        Name of the instance, part of every line.
    stream : file
        Destination of the lines.
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
    """A text stream that never blocks and limits the rate of its lines.

    Lines over the rate, and lines for which the pipe has no room, are dropped and
    counted. A record with their number precedes the next line that is written.

    Parameters
    ----------
    fd : int
        File descriptor to write to; set to non-blocking mode.
    lines_per_s : float
        Sustained rate in lines per second.
    burst : float
        Size of the token bucket: most lines that are written at once.

    Attributes
    ----------
    dropped, dropped_total : int
        Lines dropped since the last written line, and since the start.
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
        """Write the rest of the last line, as far as the pipe has room."""
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
        """Write the rest of the last line; return whether none of it is left."""
        while self._unwritten:
            try:
                written = os.write(self.fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe, so that the error cannot be logged.
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


class LibraryHandler(logging.Handler):
    """Forwards the records of libraries that use `logging` to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record, with its exception if there is one.

        Of the exception of a malformed request only the class is logged: its message
        quotes bytes of the caller, which may contain keys.
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
    """Direct all logs of the process to a `JsonSink`."""
    sink = JsonSink(instance=instance, stream=stream or sys.stderr)
    loguru.logger.remove()
    loguru.logger.add(sink, level=level.upper(), format="{message}", catch=True)
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING, force=True)
