"""Sessions at work while a version is on trial, told to all instances.

The requests of a session may come to several instances. One that has not seen the
session before would send it to the version on trial if its mark lies in the share,
though it runs on another version elsewhere. Each instance tells the watchers which
sessions with such a mark run here, and on which version; the watchers pass it on.
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
    """The version that ran a session last, and the seconds since then."""

    service: str
    session: str
    version: str
    age_s: float


@messages.message("gateway-sessions")
@attrs.frozen(kw_only=True)
class SessionUpdate:
    """Sessions that ran lately.

    Attributes
    ----------
    is_passed : bool
        Whether a watcher passes on what it was told; else the rows are the sender's.
    """

    rows: list[SessionRow]
    is_passed: bool


class SessionSharing(mode.Service):
    """Tells and hears which version runs each session.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    relay : relay.Relay
        Knows who watches and whom this instance tells.
    trials : trial.Trials
        The versions on trial.
    recent_sessions : sessions.Sessions
        Read and filled.
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
        self._heard: dict[sessions.Key, sessions.LastRun] = {}
        self._told_of: set[tuple[str, str]] = set()
        recent_sessions.listen(self._on_run)
        peers.hub.handle(SessionUpdate, self._on_news)

    @mode.Service.task
    async def tell(self) -> None:
        """Tell what is new, each `PERIOD_S`, while a version is on trial."""
        while not self.should_stop:
            await asyncio.sleep(PERIOD_S)
            self._add_running()
            own, heard = self._own, self._heard
            self._own, self._heard = {}, {}
            watchers = self._other_watchers()
            await self._send(watchers, own, is_passed=False)
            if self.relay.is_watcher:
                told = set(self.relay.recipients()) - set(watchers)
                await self._send(told, heard | own, is_passed=True)

    def _add_running(self) -> None:
        """Add the sessions that were at work when a trial began."""
        now = clock.now()
        opened = {
            (service, row.order.target) for service, row in self.trials.open.items()
        }
        new = {service for service, _ in opened - self._told_of}
        self._told_of = opened
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
        found: dict[sessions.Key, sessions.LastRun],
        *,
        is_passed: bool,
    ) -> None:
        if not found or not addresses:
            return
        now = clock.now()
        rows = [
            SessionRow(
                service=service,
                session=session,
                version=last.version,
                age_s=now - last.at,
            )
            for (service, session), last in found.items()
        ]
        body = SessionUpdate(rows=rows, is_passed=is_passed)
        await self.peers.hub.broadcast(addresses, body, queue_until_connected=True)

    async def _on_news(self, envelope: messages.Envelope, body: SessionUpdate) -> None:
        now = clock.now()
        for row in body.rows:
            key = (row.service, row.session)
            last = sessions.LastRun(version=row.version, at=now - row.age_s)
            is_news = self.recent_sessions.merge(key, last)
            if is_news and self.relay.is_watcher and not body.is_passed:
                self._heard[key] = last
