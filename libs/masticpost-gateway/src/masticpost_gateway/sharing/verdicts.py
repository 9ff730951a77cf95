"""Verdicts on versions on trial, told to all instances as soon as they are found.

The heartbeats repeat them once a second for those that this message does not reach.
"""

import mode
from masticpost_peers import messages

from masticpost_gateway.learning import trial, trialevidence
from masticpost_gateway.sharing import mesh, relay, replication


class VerdictSharing(mode.Service):
    """Tells each new verdict: to the watchers, and these to the instances they update.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Provides the watchers and the instances that they update.
    trials : trial.Trials
        Reports new verdicts and takes over those of others.
    """

    def __init__(
        self, *, peers: mesh.Mesh, relay: relay.Relay, trials: trial.Trials
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.trials = trials
        trials.on_verdict(self._tell)
        peers.hub.handle(replication.VerdictNotice, self._on_notice, is_urgent=True)

    def _tell(self, row: trialevidence.Trial) -> None:
        found = replication.BadVersion(
            service=row.order.service, target=row.order.target, reason=row.verdict
        )
        addresses = self._addresses()
        if addresses:
            body = replication.VerdictNotice(bad=[found])
            self.add_future(self.peers.hub.broadcast(addresses, body))

    def _addresses(self) -> list[str]:
        """Return the addresses of those to whom this instance tells a verdict."""
        if self.relay.is_watcher:
            return self.relay.recipients()
        me = self.peers.me.name
        return [row.address for row in self.relay.watchers if row.name != me]

    async def _on_notice(
        self, envelope: messages.Envelope, body: replication.VerdictNotice
    ) -> None:
        for row in body.bad:
            self.trials.mark_bad(row.service, row.target, row.reason)
