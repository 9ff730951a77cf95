"""Versions of active sessions during a trial, shared with all instances.

The requests of a session may arrive at several instances. An instance that has not seen
the session before would send it to the version on trial if the session's hash lies in
the share of the trial, though the session runs on another version elsewhere. Each
instance reports to the watchers which of these sessions it serves, and on which
version; the watchers forward it to the others.
"""

import asyncio
import collections.abc

import attrs
import mode
from masticpost_common import clock
from masticpost_peers import messages

from masticpost_gateway.learning import sessions, trial
from masticpost_gateway.sharing import mesh, relay

PERIOD_S = 0.2


@attrs.frozen(kw_only=True)
class SessionRow:
    """The version that last ran a session, and the seconds since then."""

    service: str
    session: str
    version: str
    age_s: float


@messages.message("gateway-sessions")
@attrs.frozen(kw_only=True)
class SessionUpdate:
    """Recently active sessions.

    Attributes
    ----------
    is_passed : bool
        Whether the sender is a watcher that forwards rows; otherwise they are its own.
    """

    rows: list[SessionRow]
    is_passed: bool


class SessionSharing(mode.Service):
    """Sends and receives the versions of active sessions.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Provides the watchers and the recipients of this instance's updates.
    trials : trial.Trials
        The versions on trial.
    recent_sessions : sessions.Sessions
        Sessions to send to others and to update from their messages.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        relay: relay.Relay,
        trials: trial.Trials,
        recent_sessions: sessions.Sessions,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.relay = relay
        self.trials = trials
        self.recent_sessions = recent_sessions
        self._own: dict[sessions.Key, sessions.LastRun] = {}
        self._received: dict[sessions.Key, sessions.LastRun] = {}
        self._seen_trials: set[tuple[str, str]] = set()
        recent_sessions.listen(self._on_run)
        peers.hub.handle(SessionUpdate, self._on_update)

    @mode.Service.task
    async def report(self) -> None:
        """Send new rows every `PERIOD_S` while a version is on trial."""
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S)
            self._add_active_sessions()
            own, received = self._own, self._received
            self._own, self._received = {}, {}
            watchers = self._other_watchers()
            await self._send(watchers, own, is_passed=False)
            if self.relay.is_watcher:
                recipients = set(self.relay.recipients()) - set(watchers)
                await self._send(recipients, received | own, is_passed=True)

    def _add_active_sessions(self) -> None:
        """Add the sessions that were already active when a trial began."""
        now = clock.now()
        trials = {
            (service, row.order.target) for service, row in self.trials.open.items()
        }
        new = {service for service, _ in trials - self._seen_trials}
        self._seen_trials = trials
        for key, last in self.recent_sessions.recent(now) if new else ():
            if key[0] in new and self.trials.is_early_session(*key):
                self._own[key] = last

    def _on_run(self, key: sessions.Key, last: sessions.LastRun) -> None:
        if self.trials.is_early_session(*key):
            self._own[key] = last

    def _other_watchers(self) -> list[str]:
        me = self.peers.me.name
        return [row.address for row in self.relay.watchers if row.name != me]

    async def _send(
        self,
        addresses: collections.abc.Collection[str],
        runs: dict[sessions.Key, sessions.LastRun],
        *,
        is_passed: bool,
    ) -> None:
        if not runs or not addresses:
            return
        now = clock.now()
        rows = [
            SessionRow(
                service=service,
                session=session,
                version=last.version,
                age_s=now - last.at,
            )
            for (service, session), last in runs.items()
        ]
        body = SessionUpdate(rows=rows, is_passed=is_passed)
        await self.peers.hub.broadcast(addresses, body, queue_until_connected=True)

    async def _on_update(
        self, envelope: messages.Envelope, body: SessionUpdate
    ) -> None:
        now = clock.now()
        for row in body.rows:
            key = (row.service, row.session)
            last = sessions.LastRun(version=row.version, at=now - row.age_s)
            is_new = self.recent_sessions.merge(key, last)
            if is_new and self.relay.is_watcher and not body.is_passed:
                self._received[key] = last
