"""Instances tell each other of the rates that upstreams name."""

import asyncio
import collections.abc

import mode
from loguru import logger
from masticpost_common import clock, rendezvous
from masticpost_peers import hub, membership, messages, probes

from masticpost_rates import statements, wire

# Changes within this time are told together.
TELL_PERIOD_S = 0.25
# All rates in force are repeated to one other instance after this time.
REPEAT_PERIOD_S = 2.0
# Instances that tell one that has just started of all rates.
GREETERS = 2

Listener = collections.abc.Callable[[str, statements.Change], None]


class RateTelling(mode.Service):
    """Merges what upstreams and other instances state, and tells of changes.

    Parameters
    ----------
    peers : hub.Hub
        Carries the messages.
    members : membership.Membership
        The instances of the deployment.
    known : statements.Statements
        The statements that this instance knows.
    """

    def __init__(
        self,
        *,
        peers: hub.Hub,
        members: membership.Membership,
        known: statements.Statements,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.members = members
        self.known = known
        self._listeners: list[Listener] = []
        self._untold: set[str] = set()
        self._newcomers: set[str] = set()
        self._greeted: dict[str, int] = {}
        self._wake = asyncio.Event()
        peers.handle(wire.RateNews, self._on_news)
        members.listen(self._on_member)

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each run whose rate in force changes, and the change."""
        self._listeners.append(listener)

    def learn(self, run: str, row: statements.Statement, request_id: str) -> None:
        """Merge a statement that an upstream made to this instance."""
        if self._merge(run, row, request_id) is not None:
            self._tell(run)

    def learn_from_peer(self, row: wire.RateRow) -> None:
        """Merge a statement that another instance has told of."""
        now = clock.now()
        statement = wire.to_statement(row, now)
        if statement is None:
            logger.bind(event="upstream").warning(
                "ignored a rate that another instance told of: {}", row
            )
            return
        self._merge(row.run, statement, "")
        current = self.known.rows.get(row.run)
        if current is not None and current.rate != row.rate:
            # The other instance has an older statement.
            self._tell(row.run)

    def _merge(
        self, run: str, row: statements.Statement, request_id: str
    ) -> statements.Change | None:
        change = self.known.merge(run, row)
        if change is not None:
            statements.log_change(
                run, change, row, request_id=request_id, now=clock.now()
            )
            for listener in self._listeners:
                listener(run, change)
        return change

    def _tell(self, run: str) -> None:
        self._untold.add(run)
        self._wake.set()

    async def _on_news(self, envelope: messages.Envelope, body: wire.RateNews) -> None:
        for row in body.rows:
            self.learn_from_peer(row)

    def _on_member(self, member: probes.Member) -> None:
        """Note a run of an instance that is new here, to be told of all rates."""
        if not member.started or member.state != probes.ALIVE:
            return
        if self._greeted.get(member.name) == member.started:
            return
        self._greeted[member.name] = member.started
        if member.name == self.peers.name or not self.known.rows:
            return
        names = {row.name for row in self.members.alive()} - {member.name}
        if self.peers.name in rendezvous.ranked(names, member.name)[:GREETERS]:
            self._newcomers.add(member.address)
            self._wake.set()

    @mode.Service.task
    async def tell_loop(self) -> None:
        """Tell all others of changes, and newcomers of everything."""
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            untold, self._untold = self._untold, set()
            newcomers, self._newcomers = self._newcomers, set()
            await self._send(self._other_addresses(), untold)
            await self._send(newcomers, set(self.known.rows))
            await asyncio.sleep(TELL_PERIOD_S)

    @mode.Service.task
    async def repeat_loop(self) -> None:
        """Tell one other instance of all rates in force, in case news was lost."""
        while not self.should_stop:
            await asyncio.sleep(REPEAT_PERIOD_S)
            others = self._other_addresses()
            if self.known.limited and others:
                chosen = self.members.random.choice(sorted(others))
                await self._send({chosen}, set(self.known.limited))

    def _other_addresses(self) -> set[str]:
        return {
            member.address
            for member in self.members.alive()
            if member.name != self.peers.name and member.started
        }

    async def _send(self, addresses: set[str], runs: set[str]) -> None:
        now = clock.now()
        rows = [
            wire.to_row(run, self.known.rows[run], now)
            for run in sorted(runs)
            if run in self.known.rows
        ]
        if addresses and rows:
            body = wire.RateNews(rows=rows)
            await self.peers.broadcast(addresses, body, queue_until_connected=True)
