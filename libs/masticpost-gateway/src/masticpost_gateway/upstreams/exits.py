"""Whether a run of an upstream has ended, found out after a connection to it was cut.

A cut connection alone tells little: a network, a full upstream or one that spoils an
answer cuts connections too. A run has ended when nothing listens at its address any
more, or when its entry goes or is replaced although it did not say that it leaves.
"""

import asyncio
import collections.abc
import math
import socket

import attrs
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.state import beliefs, model, source
from masticpost_gateway.upstreams import conns

CONNECT_TIMEOUT_S = 0.4
# An upstream that cuts connections since it is full gets few more.
PROBE_PERIOD_S = 0.5
# An upstream that falls silent is missing in the store after three of its beats.
WATCH_S = 10.0


Listener = collections.abc.Callable[[], None]


@attrs.define(kw_only=True)
class PossibleExit:
    """A run that may have ended; `since` is in monotonic seconds."""

    upstream: model.Upstream
    since: float
    probe: asyncio.Task | None = None
    probed_at: float = -math.inf
    has_exited: bool = False
    listeners: list[Listener] = attrs.field(factory=list)


class ExitDetector:
    """Finds out which runs of upstreams have ended.

    Parameters
    ----------
    records : beliefs.Beliefs
        The registered upstreams.
    is_leaving : callable
        Tells whether an upstream has said that it leaves.
    """

    def __init__(
        self,
        *,
        records: beliefs.Beliefs,
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
        """Look into whether a run has ended, and call `listener` once if it has.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the request was sent that got no whole answer. One
            sent after the first sign of the end has not been run.
        is_cut : bool
            Whether a connection was cut, which is followed by an attempt to connect;
            else the upstream was only silent and its entry alone can tell.
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
        """Wait until the attempt to connect to a run is over, `limit_s` at most."""
        row = self._rows.get(upstream.incarnation)
        if row is not None and row.probe is not None:
            await asyncio.wait((row.probe,), timeout=limit_s)

    async def close(self) -> None:
        """End the attempts to connect."""
        probes = [row.probe for row in self._rows.values() if row.probe is not None]
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _probe(self, row: PossibleExit) -> None:
        # One that can be reached may be the next run already: its entry tells.
        if not await _may_listen(row.upstream.address):
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
        ).warning("run has ended")
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


async def _may_listen(address: str) -> bool:
    """Tell whether something may listen at an address."""
    host, _, port = address.rpartition(":")
    target = (host, int(port))
    sock = conns.make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", target))
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, target)
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        # Out of reach, which tells nothing of the upstream.
        return True
    finally:
        sock.close()
    return True
