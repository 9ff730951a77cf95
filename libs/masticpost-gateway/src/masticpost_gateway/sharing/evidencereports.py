"""Reports of the evidence on versions on trial to the watchers, which pool it."""

import asyncio
import math

import mode
from masticpost_common import clock, codec
from masticpost_peers import messages

from masticpost_gateway.learning import trial, trialevidence
from masticpost_gateway.sharing import mesh, relay, replication

PERIOD_S = 0.25
# Minimum time between reports without new bad answers, in a large deployment.
GOOD_PERIOD_S = 1.0


class EvidenceSharing(mode.Service):
    """Sends and receives evidence on versions on trial.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Provides the watchers.
    trials : trial.Trials
        Evidence to send to the watchers and to update from reports.
    """

    def __init__(
        self, *, peers: mesh.Mesh, relay: relay.Relay, trials: trial.Trials
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.trials = trials
        self._reported: list[trialevidence.Evidence] = []
        self._reported_bad = 0
        self._reported_at = -math.inf
        peers.hub.handle(replication.EvidenceReport, self._on_evidence)

    @mode.Service.task
    async def report(self) -> None:
        """Report changed evidence to the watchers."""
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S)
            now = clock.now()
            self.trials.answers.count_slow_answers(now)
            rows = self.trials.evidence()
            if rows == self._reported or not self._is_due(now):
                continue
            self._reported_bad = self.trials.bad_answer_count()
            self._reported_at = now
            self._reported = codec.from_wire(
                codec.to_wire(rows), list[trialevidence.Evidence]
            )
            me = self.peers.me.name
            watchers = self.relay.watchers
            others = [row.address for row in watchers if row.name != me]
            body = replication.EvidenceReport(rows=rows, ages_s=self.trials.ages_s(now))
            await self.peers.hub.broadcast(others, body, queue_until_connected=True)

    def _is_due(self, now: float) -> bool:
        """Tell whether changed evidence is to be reported now.

        In a large deployment only bad answers are reported at once, since the watchers
        get the reports of hundreds of instances.
        """
        if len(self.peers.members.alive()) <= relay.LARGE_DEPLOYMENT:
            return True
        has_bad = self.trials.bad_answer_count() != self._reported_bad
        return has_bad or now - self._reported_at >= GOOD_PERIOD_S

    async def _on_evidence(
        self, envelope: messages.Envelope, body: replication.EvidenceReport
    ) -> None:
        for row in body.rows:
            # Instances of an earlier build do not tell the age.
            age_s = body.ages_s.get(row.service, 0.0)
            self.trials.note_age(row.service, row.target, age_s)
            self.trials.update_evidence((envelope.sender, envelope.incarnation), row)
