"""Decisions about the bytes that a process holds for its callers.

No network and no clock: times are arguments, in seconds of one monotonic clock.
"""

import collections.abc
import typing

import attrs

# Part of the memory of a process that may be held for callers.
MEMORY_SHARE = 0.12
# The largest body is held once more while its pieces are joined.
LARGEST_BODIES = 3
# A caller makes progress when this many bytes have moved, so that one that sends or
# reads byte by byte counts as stalled.
PROGRESS_BYTES = 4_096
# Keeps the weight of a caller that has just made progress above zero.
MIN_STALL_S = 0.1
# Descriptors of a process that are not for callers and their requests: those for peers,
# the store and files.
RESERVED_DESCRIPTORS = 48
MIN_CONNECTIONS = 8
# Estimates of what Python objects take beside the bytes themselves.
CONNECTION_BYTES = 16_384
REQUEST_BYTES = 2_048
FIELD_BYTES = 400


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the callers of one listener; times in seconds.

    Attributes
    ----------
    connections : int
        Most connections at a time.
    body_bytes : int
        Largest body.
    head_bytes, fields : int
        Largest head of a request, and most fields in it.
    head_s : float
        Time from the first byte of a head to its last.
    body_gap_s : float
        Time between two parts of a body.
    read_gap_s : float
        Time within which a caller reads some of an answer that waits for it.
    idle_s : float
        Time for which an idle connection stays open.
    """

    connections: int = 1_024
    body_bytes: int = 65_536
    head_bytes: int = 65_536
    fields: int = 128
    head_s: float = 30.0
    body_gap_s: float = 15.0
    read_gap_s: float = 30.0
    idle_s: float = 75.0


def connection_limit(descriptors: int) -> int:
    """Return the callers' part of a process's descriptors.

    A request takes one for its caller and one for its upstream.
    """
    return max(MIN_CONNECTIONS, (descriptors - RESERVED_DESCRIPTORS) // 2)


def side_connection_limit(descriptors: int) -> int:
    """Return the connection limit of a listener for checks or operators."""
    return max(MIN_CONNECTIONS, connection_limit(descriptors) // 4)


def byte_limit(memory_bytes: float, body_bytes: int) -> int:
    """Return the bytes that a process may hold for its callers."""
    return max(int(MEMORY_SHARE * memory_bytes), LARGEST_BODIES * body_bytes)


def head_cost(fields: collections.abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return an estimate of the memory that the head of a request takes."""
    return REQUEST_BYTES + sum(
        FIELD_BYTES + 2 * (len(name) + len(value)) for name, value in fields
    )


class Progress(typing.Protocol):
    """What `find_overdue` asks of a connection; times are None if not applicable."""

    head_since: float | None
    body_since: float | None
    answer_since: float | None


def find_overdue(conn: Progress, limits: CallerLimits, now: float) -> str:
    """Return the limit on time that a connection exceeds, or an empty string."""
    waits = (
        ("head time", conn.head_since, limits.head_s),
        ("body time", conn.body_since, limits.body_gap_s),
        ("answer time", conn.answer_since, limits.read_gap_s),
    )
    for name, since, limit_s in waits:
        if since is not None and now - since > limit_s:
            return name
    return ""


@attrs.define(kw_only=True)
class Part:
    """What one connection holds, and when it last made progress.

    Attributes
    ----------
    held : int
        Bytes that the process holds for it.
    progressed_at : float
        Time of its last progress.
    moved : int
        Bytes that have moved since then.
    """

    held: int = 0
    progressed_at: float
    moved: int = 0

    def weight(self, now: float) -> float:
        """Return the bytes held times the seconds without progress."""
        return self.held * (now - self.progressed_at + MIN_STALL_S)


class ByteAccount:
    """The bytes that all connections of callers hold together.

    Parameters
    ----------
    limit : int
        Bytes beyond which a connection must be evicted.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.parts: dict[object, Part] = {}

    def open(self, key: object, now: float) -> None:
        """Begin the part of a connection."""
        self.parts[key] = Part(progressed_at=now)

    def close(self, key: object) -> None:
        """End the part of a connection."""
        part = self.parts.pop(key, None)
        if part is not None:
            self.held -= part.held

    def hold(self, key: object, size: int) -> None:
        """Set what a connection holds."""
        part = self.parts.get(key)
        if part is not None:
            self.held += size - part.held
            part.held = size

    def move(self, key: object, size: int, now: float) -> None:
        """Count bytes that came from a caller or went to it."""
        part = self.parts.get(key)
        if part is None:
            return
        part.moved += size
        if part.moved >= PROGRESS_BYTES:
            part.moved = 0
            part.progressed_at = now

    def restart(self, key: object, now: float) -> None:
        """Count the end of a request as progress."""
        if key in self.parts:
            self.parts[key].progressed_at = now

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.held > self.limit

    def heaviest(
        self, is_evictable: collections.abc.Callable[[object], bool], now: float
    ) -> object | None:
        """Return the connection that holds most and makes least progress."""
        rows = [key for key in self.parts if is_evictable(key)]
        return max(rows, key=lambda key: self.parts[key].weight(now), default=None)

    def most_stalled(
        self, keys: collections.abc.Iterable[object], now: float
    ) -> object | None:
        """Return the connection of `keys` without progress for the longest time."""
        rows = [key for key in keys if key in self.parts]
        return min(rows, key=lambda key: self.parts[key].progressed_at, default=None)
