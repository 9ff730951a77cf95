"""Detection of unplanned exits of upstream processes.

A run is one process lifetime of an upstream. A cut connection alone does not show that
the run has ended: network faults, overloaded upstreams and corrupt responses cut
connections too. A run has ended when nothing listens at its address any more, or when
its store entry is removed or replaced although it has not announced that it leaves.
"""

import asyncio
import collections.abc
import enum
import math
import socket

import attrs
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import model, recordcache, source
from masticpost_gateway.upstreams import conns

CONNECT_TIMEOUT_S = 0.4
# Limits the extra connections to an upstream that cuts connections because it is full.
PROBE_PERIOD_S = 0.5
# Time for which a possible exit is watched. The store entry of a silent upstream
# disappears after three missed heartbeats.
WATCH_S = 10.0


Listener = collections.abc.Callable[[], None]


class Listening(enum.Enum):
    """Whether a process listens at an address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define(kw_only=True)
class PossibleExit:
    """A run that may have ended; times are monotonic seconds.

    Attributes
    ----------
    since : float
        Time of the first sign that the run may have ended.
    probe : asyncio.Task or None
        The last attempt to connect, started at `probed_at`.
    listeners : list of callable
        Called once when the run has ended.
    """

    upstream: model.Upstream
    since: float
    probe: asyncio.Task | None = None
    probed_at: float = -math.inf
    has_exited: bool = False
    listeners: list[Listener] = attrs.field(factory=list)


class ExitDetector:
    """Detects which runs of upstreams have ended without an announcement.

    Parameters
    ----------
    records : recordcache.RecordCache
        Cached store records, which list the registered upstreams.
    is_leaving : callable
        Returns whether an upstream has announced that it leaves.
    """

    def __init__(
        self,
        *,
        records: recordcache.RecordCache,
        is_leaving: collections.abc.Callable[[model.Upstream], bool],
    ) -> None:
        self.records = records
        self.is_leaving = is_leaving
        self._rows: dict[tuple, PossibleExit] = {}
        records.listen(self._on_change)

    def watch_for_exit(
        self,
        upstream: model.Upstream,
        sent_at: float,
        listener: Listener,
        *,
        is_cut: bool,
    ) -> None:
        """Call `listener` once if this run is found to have ended.

        Does nothing for an upstream that is draining or leaving: its exit is planned.

        Parameters
        ----------
        sent_at : float
            Monotonic time in seconds at which the failed request was sent. A request
            sent after the first sign of the exit was not run there, so its listener
            is not called.
        is_cut : bool
            Whether the connection was cut, which starts an attempt to connect.
            Otherwise the upstream was only silent, and the exit is detected from its
            store entry alone.
        """
        now = clock.now()
        self._remove_older(now - WATCH_S)
        if upstream.is_draining or self.is_leaving(upstream):
            return
        row = self._rows.get(upstream.incarnation)
        if row is None:
            row = self._rows[upstream.incarnation] = PossibleExit(
                upstream=upstream, since=now
            )
        if sent_at > row.since:
            return
        if row.has_exited:
            listener()
            return
        row.listeners.append(listener)
        if is_cut and now - row.probed_at > PROBE_PERIOD_S:
            row.probed_at = now
            row.probe = asyncio.ensure_future(self._probe(row))

    async def wait_for_probe(self, upstream: model.Upstream, limit_s: float) -> None:
        """Wait for the attempt to connect to a run, for at most `limit_s` seconds."""
        row = self._rows.get(upstream.incarnation)
        if row is not None and row.probe is not None:
            await asyncio.wait((row.probe,), timeout=limit_s)

    async def close(self) -> None:
        """Cancel the attempts to connect."""
        probes = [row.probe for row in self._rows.values() if row.probe is not None]
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _probe(self, row: PossibleExit) -> None:
        # A successful connection may lead to the next run already, so it proves
        # nothing; a replaced store entry shows that case.
        if await try_connect(row.upstream.address) is Listening.REFUSED:
            self._report_exit(row, "nothing listens")

    def _report_exit(self, row: PossibleExit, sign: str) -> None:
        if row.has_exited:
            return
        row.has_exited = True
        logger.bind(
            event="upstream",
            upstream=row.upstream.name,
            sign=sign,
            after_s=round(clock.now() - row.since, 3),
            requests=len(row.listeners),
        ).warning("upstream run has ended")
        listeners, row.listeners = row.listeners, []
        for listener in listeners:
            listener()

    def _on_change(self, kind: source.Kind) -> None:
        if kind is not source.Kind.UPSTREAMS or not self._rows:
            return
        now = clock.now()
        self._remove_older(now - WATCH_S)
        listed = {row.incarnation: row for row in self.records.upstreams(now)}
        for key, row in self._rows.items():
            if not row.listeners:
                continue
            if key not in listed:
                self._report_exit(row, "entry gone or replaced")
            elif listed[key].is_draining:
                row.listeners.clear()

    def _remove_older(self, before: float) -> None:
        for key in [k for k, row in self._rows.items() if row.since < before]:
            del self._rows[key]


async def try_connect(address: str) -> Listening:
    """Try a connection and close it again."""
    host, _, port = address.rpartition(":")
    try:
        target = (host, int(port))
    except ValueError:
        return Listening.UNKNOWN
    try:
        sock = conns.make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", target))
    except OSError:
        # The process has no free descriptor.
        return Listening.UNKNOWN
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, target)
    except ConnectionRefusedError:
        return Listening.REFUSED
    except (OSError, OverflowError, TimeoutError):
        # An unreachable address says nothing about the process.
        return Listening.UNKNOWN
    finally:
        sock.close()
    return Listening.ACCEPTED
