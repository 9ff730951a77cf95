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

from masticpost_gateway.state import model, recordcache, source
from masticpost_gateway.upstreams import conns

CONNECT_TIMEOUT_S = 0.4
# An upstream that cuts connections since it is full gets few more.
PROBE_PERIOD_S = 0.5
# An upstream that falls silent is missing in the store after three of its beats.
OPEN_FOR_S = 10.0


Listener = collections.abc.Callable[[], None]


@attrs.define(kw_only=True)
class Doubt:
    """A run that may have ended; `since` is in monotonic seconds."""

    upstream: model.Upstream
    since: float
    probe: asyncio.Task | None = None
    probed_at: float = -math.inf
    is_ended: bool = False
    listeners: list[Listener] = attrs.field(factory=list)


class Endings:
    """Finds out which runs of upstreams have ended.

    Parameters
    ----------
    known : recordcache.RecordCache
        The registered upstreams.
    leaves : callable
        Tells whether an upstream has said that it leaves.
    """

    def __init__(
        self,
        *,
        known: recordcache.RecordCache,
        leaves: collections.abc.Callable[[model.Upstream], bool],
    ) -> None:
        self.known = known
        self.leaves = leaves
        self._doubts: dict[tuple, Doubt] = {}
        known.listen(self._on_change)

    def doubt(
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
        self._forget(now - OPEN_FOR_S)
        if upstream.is_draining or self.leaves(upstream):
            return
        row = self._doubts.get(upstream.incarnation)
        if row is None:
            row = self._doubts[upstream.incarnation] = Doubt(
                upstream=upstream, since=now
            )
        if sent_at > row.since:
            return
        if row.is_ended:
            listener()
            return
        row.listeners.append(listener)
        if is_cut and now - row.probed_at > PROBE_PERIOD_S:
            row.probed_at = now
            row.probe = asyncio.ensure_future(self._probe(row))

    async def settle(self, upstream: model.Upstream, limit_s: float) -> None:
        """Wait until the attempt to connect to a run is over, `limit_s` at most."""
        row = self._doubts.get(upstream.incarnation)
        if row is not None and row.probe is not None:
            await asyncio.wait((row.probe,), timeout=limit_s)

    async def close(self) -> None:
        """End the attempts to connect."""
        probes = [row.probe for row in self._doubts.values() if row.probe is not None]
        for probe in probes:
            probe.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    async def _probe(self, row: Doubt) -> None:
        # One that can be reached may be the next run already: its entry tells.
        if not await _listens(row.upstream.address):
            self._ended(row, "nothing listens")

    def _ended(self, row: Doubt, sign: str) -> None:
        if row.is_ended:
            return
        row.is_ended = True
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
        if kind is not source.Kind.UPSTREAMS or not self._doubts:
            return
        now = clock.now()
        self._forget(now - OPEN_FOR_S)
        listed = {row.incarnation: row for row in self.known.upstreams(now)}
        for key, row in self._doubts.items():
            if not row.listeners:
                continue
            if key not in listed:
                self._ended(row, "entry gone or replaced")
            elif listed[key].is_draining:
                row.listeners.clear()

    def _forget(self, before: float) -> None:
        for key in [k for k, row in self._doubts.items() if row.since < before]:
            del self._doubts[key]


async def _listens(address: str) -> bool:
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
