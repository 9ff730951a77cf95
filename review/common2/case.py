"""Runs a case: its record, its exit status and the end of its processes."""

import asyncio
import collections.abc
import pathlib
import sys
import tempfile
import time
import traceback

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 115.0


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing of the rule."""


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line, with the seconds since the start."""
        now = time.monotonic() if at is None else at
        self._file.write(f"{now - self._began_at:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


Play = collections.abc.Callable[
    [Record, pathlib.Path, bool], collections.abc.Awaitable[list[str]]
]


def main(play: Play, folder: pathlib.Path, *, has_trouble: bool) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it cannot run.

    `play` gets the record, a temporary folder and whether there is to be trouble. It
    returns what breaks the rule.
    """
    record = Record(folder / "record.txt")
    record.write(f"begins, {'with' if has_trouble else 'without'} the disruption")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temp:
            found = asyncio.run(_limited(play(record, pathlib.Path(temp), has_trouble)))
        for text in found:
            record.write(f"BROKEN: {text}")
        status = BROKEN if found else HELD
    except Exception as exc:
        record.write(f"could not run: {type(exc).__name__}: {exc}")
        traceback.print_exc()
    record.write(f"exit status {status}")
    record.close()
    print(f"exit status {status}; see {folder.name}/record.txt")
    sys.exit(status)


async def _limited(work: collections.abc.Awaitable[list[str]]) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        return await work
