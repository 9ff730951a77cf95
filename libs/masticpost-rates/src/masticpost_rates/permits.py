"""Permits for requests to upstreams that have named a rate.

One instance grants the permits of an upstream, chosen by rendezvous hashing over the
instances that are alive. A permit is for one request and must be used within
`USE_WITHIN_S`. An instance that cannot reach the granter sends nothing there. Instances
that are cut off from more than half of the others may take over as granters, but of a
part of the rate that is small enough for both sides together.
"""

import attrs
from masticpost_common import clock, rendezvous
from masticpost_peers import hub, membership, messages, probes

from masticpost_rates import granting, statements, telling, wire

# Instances that are cut off from at least half of the others grant this much of their
# part of a rate.
MINORITY_SHARE = 0.6
USE_WITHIN_S = 0.3
# A new granter waits until the permits of the one before it are used or void.
TAKEOVER_WAIT_S = 0.5
# Time-out of a question to the granter, if the choice may go elsewhere; and if not.
ASK_TIMEOUT_S = 0.05
WAITING_ASK_TIMEOUT_S = 0.25
# Time for which a granter that does not answer is not asked again.
UNREACHABLE_WAIT_S = 0.3


@attrs.frozen(kw_only=True)
class Permit:
    """A permit for one request; not valid after `use_by`, in monotonic seconds."""

    use_by: float

    def is_valid(self) -> bool:
        """Return whether the request may still be sent."""
        return clock.now() <= self.use_by


class Permits:
    """Asks for permits, and grants those for which this instance is the granter.

    Parameters
    ----------
    peers : hub.Hub
        Carries the messages.
    members : membership.Membership
        The instances of the deployment.
    told : telling.RateTelling
        What upstreams have stated.
    seeds : int
        Instances to contact first, this one included; a lower bound of their number.
    """

    def __init__(
        self,
        *,
        peers: hub.Hub,
        members: membership.Membership,
        told: telling.RateTelling,
        seeds: int,
    ) -> None:
        self.peers = peers
        self.members = members
        self.told = told
        self.seeds = seeds
        self._granters: dict[str, granting.Granter] = {}
        self._alive: list[probes.Member] = []
        self._chosen: dict[str, probes.Member] = {}
        peers.handle(wire.PermitAsk, self._on_ask)
        told.listen(self._on_change)

    def granter_of(self, run: str) -> probes.Member:
        """Return the instance that grants the permits of a run of an upstream."""
        alive = self.members.alive()
        if alive is not self._alive:
            self._alive, self._chosen = alive, {}
        found = self._chosen.get(run)
        if found is None:
            found = self._chosen[run] = self._choose(run)
        return found

    def _choose(self, run: str) -> probes.Member:
        running = [member for member in self._alive if member.started]
        able = [member for member in running if member.serves_others] or running
        by_name = {member.name: member for member in able}
        if not by_name:
            return self.members.me
        return by_name[rendezvous.owner(by_name, run)]

    async def ask(self, run: str, demand: granting.Demand) -> granting.Decision:
        """Return the granter's decision; a denial if it does not answer in time."""
        granter = self.granter_of(run)
        if granter.name == self.peers.name:
            return self._decide(run, demand)
        row = self._row(run)
        if row is None:
            return granting.GRANTED
        ask = wire.PermitAsk(
            row=row,
            priority=demand.priority,
            place=demand.place,
            wait_s=demand.wait_s,
        )
        timeout_s = WAITING_ASK_TIMEOUT_S if demand.place else ASK_TIMEOUT_S
        try:
            reply = await self.peers.call(granter.address, ask, timeout_s)
        except hub.PeerUnreachableError:
            return _denied(UNREACHABLE_WAIT_S)
        self.told.learn_from_peer(reply.row)
        return wire.to_decision(reply) or _denied(UNREACHABLE_WAIT_S)

    def _decide(self, run: str, demand: granting.Demand) -> granting.Decision:
        """Decide as the granter."""
        statement = self.told.known.limited.get(run)
        if statement is None:
            return granting.GRANTED
        now = clock.now()
        granter = self._granters.get(run)
        if granter is None:
            starts_at = now + TAKEOVER_WAIT_S
            granter = self._granters[run] = granting.Granter(starts_at=starts_at)
        return granter.decide(demand, statement.rate * self._share(), now)

    def _on_change(self, run: str, change: statements.Change) -> None:
        """Begin to count when a rate is named; nobody has granted permits before."""
        if change is statements.Change.CHANGED:
            return
        self._granters.pop(run, None)
        is_named = change is statements.Change.NAMED
        if is_named and self.granter_of(run).name == self.peers.name:
            self._granters[run] = granting.Granter(starts_at=clock.now())

    def _share(self) -> float:
        """Return the part of a rate that may be granted here.

        The parts of all granters, on both sides of a cut, sum to 1.3 at most.
        """
        reached = sum(1 for member in self.members.alive() if member.started)
        expected = max(self.members.expected_count(), self.seeds)
        if 2 * reached > expected:
            return 1.0
        return MINORITY_SHARE * max(1, reached) / expected

    async def _on_ask(
        self, envelope: messages.Envelope, ask: wire.PermitAsk
    ) -> wire.PermitReply:
        run = ask.row.run
        self.told.learn_from_peer(ask.row)
        if self.granter_of(run).name == self.peers.name:
            demand = granting.Demand(
                priority=ask.priority, place=ask.place, wait_s=ask.wait_s
            )
            decision = self._decide(run, demand)
        else:
            self._granters.pop(run, None)
            decision = _denied(UNREACHABLE_WAIT_S)
        return wire.to_reply(decision, self._row(run) or ask.row)

    def _row(self, run: str) -> wire.RateRow | None:
        statement = self.told.known.rows.get(run)
        if statement is None:
            return None
        return wire.to_row(run, statement, clock.now())

    def keep_only(self, runs: frozenset[str]) -> None:
        """Drop the granters of all other runs."""
        for run in [run for run in self._granters if run not in runs]:
            del self._granters[run]


def _denied(wait_s: float) -> granting.Decision:
    return granting.Decision(
        is_granted=False, permit_in_s=wait_s, turn_in_s=wait_s, return_in_s=wait_s
    )
