"""Applies the limits on callers to the connections of all listeners of a process."""

import asyncio
import collections
import collections.abc
import resource
import typing

import prometheus_client
from loguru import logger
from masticpost_common import clock

from masticpost_telemetry import callerbytes

CHECK_INTERVAL_S = 0.5
DEFAULT_LIMIT_BYTES = 16 * 2**20
# Limits by which a connection may be closed, as named in logs and metrics.
MEMORY, CONNECTIONS = "memory", "connections"
LIMITS = (MEMORY, CONNECTIONS, "head size", "head time", "body time", "answer time")


class Conn(callerbytes.Progress, typing.Protocol):
    """What the guard asks of a connection."""

    is_evictable: bool
    is_rejected: bool
    limits: collections.abc.Callable[[], callerbytes.CallerLimits]

    def held(self) -> int:
        """Return the bytes that the process holds for it."""

    def check(self, now: float) -> None:
        """Count what it holds, and reject it if it exceeds a time limit."""

    def reject(self, limit: str, *, is_abrupt: bool = False) -> None:
        """Fail its request, or close it; at once if `is_abrupt`."""


class Guard:
    """The account of the bytes held for callers, and the evictions that bound it.

    Parameters
    ----------
    limit : int
        Bytes that all connections may hold together.
    registry : prometheus_client.CollectorRegistry or None
        Where evictions are counted.
    """

    def __init__(
        self,
        *,
        limit: int = DEFAULT_LIMIT_BYTES,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self.account = callerbytes.ByteAccount(limit=limit)
        self.rejected: collections.Counter[str] = collections.Counter()
        self._rejections = prometheus_client.Counter(
            "masticpost_caller_rejections",
            "Connections of callers that were rejected or closed, by limit.",
            ["limit"],
            registry=registry,
        )
        held = prometheus_client.Gauge(
            "masticpost_caller_held_bytes",
            "Bytes held for callers: heads, bodies and answers not yet read.",
            registry=registry,
        )
        held.set_function(lambda: self.account.held)
        for name in LIMITS:
            self._rejections.labels(name)

    def open(self, conn: Conn, others: collections.abc.Iterable[Conn]) -> None:
        """Begin a connection's part; close the most stalled one beyond the limit."""
        now = clock.now()
        self.account.open(conn, now)
        self.update(conn)
        rows = [row for row in others if row in self.account.parts]
        if len(rows) <= conn.limits().connections:
            return
        evictable = [row for row in rows if row.is_evictable and row is not conn]
        victim = self.account.most_stalled(evictable, now) or conn
        self.reject(victim, CONNECTIONS, is_abrupt=True)

    def close(self, conn: Conn) -> None:
        """End a connection's part."""
        self.account.close(conn)

    def record_read(self, conn: Conn, size: int, now: float) -> None:
        """Count bytes that a caller sent."""
        self.account.move(conn, size, now)
        self.update(conn)

    def update(self, conn: Conn) -> None:
        """Count what a connection holds, and evict while too much is held."""
        self.account.hold(conn, 0 if conn.is_rejected else conn.held())
        while self.account.is_exceeded:
            victim = self.account.heaviest(lambda row: row.is_evictable, clock.now())
            if victim is None:
                return
            self.reject(victim, MEMORY)

    def reject(self, conn: Conn, limit: str, *, is_abrupt: bool = False) -> None:
        """Reject a connection; it holds nothing more, but counts until it is closed."""
        self.rejected[limit] += 1
        self._rejections.labels(limit).inc()
        self.account.hold(conn, 0)
        conn.reject(limit, is_abrupt=is_abrupt)

    def check(self, now: float) -> None:
        """Check every connection, and log what was rejected since the last check."""
        for conn in list(self.account.parts):
            conn.check(now)
        rejected, self.rejected = self.rejected, collections.Counter()
        for limit, count in rejected.items():
            logger.bind(
                event="caller", limit=limit, count=count, held=self.account.held
            ).warning("rejected callers beyond a limit")

    async def watch(self) -> None:
        """Check every connection periodically."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check(clock.now())


def descriptor_limit() -> int:
    """Return the number of descriptors that this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
