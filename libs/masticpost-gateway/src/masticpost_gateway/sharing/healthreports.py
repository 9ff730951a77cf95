"""Observations that upstreams are unreachable, sent to all instances at once.

An instance sends its own observations to the watchers, and repeats them twice against
loss. Each watcher forwards what is new to it to the instances that it updates. Each
instance has two watchers. Messages are idempotent. None is sent while nothing fails.
"""

import asyncio
import contextlib

import attrs
import mode
from masticpost_common import clock
from masticpost_peers import messages

from masticpost_gateway.reporting import healthmetrics
from masticpost_gateway.sharing import mesh, outbox, pacing, relay
from masticpost_gateway.upstreams import exits, health, reachability

# Shortest time between two messages, and longest between two checks for repetitions.
MIN_PERIOD_S = 0.1
MAX_PERIOD_S = 0.5
# Time between two checks for tests and recoveries, with an open run and without.
TICK_S = 0.05
IDLE_TICK_S = 1.0
TEST_REASON = "test connection refused"


@attrs.frozen(kw_only=True)
class HealthRow:
    """An observation, see `reachability.Observation`; its age is in seconds."""

    run: str
    round: int
    observer: str
    domain: str
    age_s: float
    is_moved: bool = False
    is_recovery: bool = False


@messages.message("gateway-health")
@attrs.frozen(kw_only=True)
class HealthReport:
    """Observations of the sender and of the instances whose reports it forwards."""

    rows: list[HealthRow]


class HealthSharing(mode.Service):
    """Sends and receives observations, and tests unreachable upstreams.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Provides the watchers and the instances that they update.
    conclusions : reachability.Reachability
        Own observations to send, and conclusions from those of others.
    metrics : healthmetrics.HealthMetrics
        Counts observations and tests.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        relay: relay.Relay,
        conclusions: reachability.Reachability,
        metrics: healthmetrics.HealthMetrics,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.conclusions = conclusions
        self.metrics = metrics
        self._own: outbox.Outbox[reachability.Observation] = outbox.Outbox()
        self._forwarded: list[reachability.Observation] = []
        self._pace = pacing.Pace(min_period_s=MIN_PERIOD_S, max_period_s=MAX_PERIOD_S)
        self._has_open = asyncio.Event()
        conclusions.listen(self._on_observation)
        peers.hub.handle(HealthReport, self._on_report, is_urgent=True)

    @mode.Service.task
    async def report(self) -> None:
        """Send observations at once, and repeat the own ones."""
        while not self.should_stop:
            if await self._pace.wait(None):
                await self._send(clock.now())

    @mode.Service.task
    async def verify(self) -> None:
        """Test unreachable upstreams when due, and note recoveries."""
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_TICK_S):
                    await self._has_open.wait()
            now = clock.now()
            self.conclusions.remove_unregistered()
            self.conclusions.note_recoveries(now)
            for row in self.conclusions.due_tests(now):
                self.add_future(self._test(row))
            if self.conclusions.is_idle:
                self._has_open.clear()
            await asyncio.sleep(TICK_S)

    def _on_observation(self, found: reachability.Observation) -> None:
        key = (found.run, found.is_recovery)
        if self._own.put(key, found, clock.now()):
            self.metrics.record_observation("own", is_recovery=found.is_recovery)
            self._pace.wake()
        self._has_open.set()

    async def _send(self, now: float) -> None:
        rows = self._own.take(now)
        if self.relay.is_watcher:
            forwarded, self._forwarded = self._forwarded, []
            rows += forwarded
            addresses = self.relay.recipients()
        else:
            me = self.peers.me.name
            addresses = [m.address for m in self.relay.watchers if m.name != me]
        if not rows or not addresses:
            return
        body = HealthReport(rows=[_encode(row, now) for row in rows])
        await self.peers.hub.broadcast(addresses, body)

    async def _on_report(self, envelope: messages.Envelope, body: HealthReport) -> None:
        now = clock.now()
        for row in body.rows:
            found = _decode(row, now)
            if not self.conclusions.note_report(found, now):
                continue
            self.metrics.record_observation("reported", is_recovery=found.is_recovery)
            self._has_open.set()
            if self.relay.is_watcher:
                self._forwarded.append(found)
                self._pace.wake()

    async def _test(self, row: health.Health) -> None:
        _, _, address = row.incarnation
        result = await exits.try_connect(address)
        self.metrics.record_test(result.value)
        now = clock.now()
        if result is exits.Listening.REFUSED:
            self.conclusions.record_unreachable(row, now, TEST_REASON, is_test=True)
        elif result is exits.Listening.ACCEPTED:
            self.conclusions.record_connected(row, now)


def _encode(row: reachability.Observation, now: float) -> HealthRow:
    return HealthRow(
        run=row.run,
        round=row.round,
        observer=row.observer,
        domain=row.domain,
        age_s=round(now - row.at, 3),
        is_moved=row.is_moved,
        is_recovery=row.is_recovery,
    )


def _decode(row: HealthRow, now: float) -> reachability.Observation:
    return reachability.Observation(
        run=row.run,
        round=row.round,
        observer=row.observer,
        domain=row.domain,
        at=now - max(0.0, row.age_s),
        is_moved=row.is_moved,
        is_recovery=row.is_recovery,
    )
