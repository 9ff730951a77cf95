"""Evidence on versions on trial, told to the instances that watch, which pool it."""

import asyncio
import math

import mode
from masticpost_common import clock, codec
from masticpost_peers import messages

from masticpost_gateway.learning import trial
from masticpost_gateway.sharing import mesh, relay, replication

PERIOD_S = 0.25
GOOD_PERIOD_S = 1.0


class EvidenceSharing(mode.Service):
    """Tells and hears how versions on trial do.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Knows who watches.
    trials : trial.Trials
        Read and filled.
    """

    def __init__(
        self, *, peers: mesh.Mesh, relay: relay.Relay, trials: trial.Trials
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.trials = trials
        self._told: list[trial.Evidence] = []
        self._told_failures = 0
        self._told_at = -math.inf
        peers.hub.handle(replication.EvidenceReport, self._on_evidence)

    @mode.Service.task
    async def report(self) -> None:
        """Report changed evidence to the watchers."""
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S)
            now = clock.now()
            self.trials.count_slow_answers(now)
            rows = self.trials.evidence()
            if rows == self._told or not self._is_due(now):
                continue
            self._told_failures = self.trials.failure_count()
            self._told_at = now
            self._told = codec.from_wire(codec.to_wire(rows), list[trial.Evidence])
            me = self.peers.me.name
            watchers = self.relay.watchers
            others = [row.address for row in watchers if row.name != me]
            body = replication.EvidenceReport(rows=rows)
            await self.peers.hub.broadcast(others, body, queue_until_connected=True)

    def _is_due(self, now: float) -> bool:
        """Tell whether changed evidence is told now: failures at once, others later.

        The watchers of a large deployment are told by hundreds of instances.
        """
        if len(self.peers.members.alive()) <= relay.LARGE_DEPLOYMENT:
            return True
        has_failures = self.trials.failure_count() != self._told_failures
        return has_failures or now - self._told_at >= GOOD_PERIOD_S

    async def _on_evidence(
        self, envelope: messages.Envelope, body: replication.EvidenceReport
    ) -> None:
        for row in body.rows:
            self.trials.update_evidence((envelope.sender, envelope.incarnation), row)
