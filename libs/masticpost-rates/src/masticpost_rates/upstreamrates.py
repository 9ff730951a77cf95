"""The rates that upstreams name: who is told, and which requests may be sent."""

import collections
import collections.abc
import math

import attrs
import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import hub, membership

from masticpost_rates import granting, header, permits, statements, telling

UNLIMITED = permits.Permit(use_by=math.inf)
# Shortest time for which a denied permit is not asked for again, in seconds.
MIN_HOLD_S = 0.005


@attrs.frozen(kw_only=True)
class RateStatus:
    """A rate in force, for operators.

    Attributes
    ----------
    rate : float
        Requests per second that the upstream takes from all instances.
    told_by : str
        Instance that received the newest statement.
    age_s : float
        Seconds since then.
    granter : str
        Instance that grants the permits.
    granted, held : int
        Permits that this instance was granted and denied since its start.
    """

    upstream: str
    rate: float
    told_by: str
    age_s: float
    granter: str = ""
    granted: int = 0
    held: int = 0


@attrs.frozen(kw_only=True)
class Hold:
    """Denial of a permit; times in monotonic seconds.

    Attributes
    ----------
    until : float
        Before that time no request gets a permit.
    turn_at : float
        Before that time no request of `priority` or less urgent gets one.
    return_at : float
        When a caller may come back whose request does not wait.
    """

    priority: int
    until: float
    turn_at: float
    return_at: float

    def ends_at(self, priority: int) -> float:
        """Return when a request of a priority may ask again."""
        return self.turn_at if priority >= self.priority else self.until


@attrs.define(kw_only=True)
class Counts:
    """Permits that this instance was granted and denied."""

    granted: int = 0
    held: int = 0


class UpstreamRates(mode.Service):
    """Keeps the requests of all instances within the rates that upstreams name.

    Parameters
    ----------
    peers : hub.Hub
        Carries the messages between the instances.
    members : membership.Membership
        The instances of the deployment.
    seeds : int
        Instances to contact first, this one included.
    """

    def __init__(
        self, *, peers: hub.Hub, members: membership.Membership, seeds: int = 1
    ) -> None:
        super().__init__()
        self.me = peers.name
        self.statements = statements.Statements()
        self.telling = telling.RateTelling(
            peers=peers, members=members, known=self.statements
        )
        self.permits = permits.Permits(
            peers=peers, members=members, told=self.telling, seeds=seeds
        )
        self._holds: dict[str, Hold] = {}
        self._counts: dict[str, Counts] = collections.defaultdict(Counts)

    async def on_start(self) -> None:
        """Start to tell the other instances."""
        await self.telling.start()

    async def on_stop(self) -> None:
        """Stop to tell the other instances."""
        await self.telling.stop()

    def record_response(
        self,
        run: str,
        values: collections.abc.Sequence[str],
        *,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record what the head of an answer says of the upstream's rate.

        Parameters
        ----------
        run : str
            Key of the run of the upstream, see `statements.run_key`.
        values : sequence of str
            Values of the header that names the rate; empty without one.
        sent_at : float
            When the request was sent, in monotonic seconds.
        """
        if not values and run not in self.statements.rows:
            return
        try:
            rate = header.parse(values)
        except header.InvalidRateError as exc:
            logger.bind(
                event="upstream", upstream=statements.upstream_of(run), id=request_id
            ).warning("ignored the rate that an upstream named: {}", exc)
            return
        row = statements.Statement(
            rate=rate, sent_at=sent_at, seen_at=clock.now(), told_by=self.me
        )
        self.telling.learn(run, row, request_id)

    @property
    def has_limits(self) -> bool:
        """Whether any upstream names a rate."""
        return bool(self.statements.limited)

    def is_limited(self, run: str) -> bool:
        """Return whether requests to a run of an upstream need a permit."""
        return run in self.statements.limited

    def may_ask(self, run: str, priority: int, now: float) -> bool:
        """Return whether a request may be sent, or a permit may be there for it."""
        return self.asks_at(run, priority, now) <= now

    def asks_at(self, run: str, priority: int, now: float) -> float:
        """Return the monotonic time at which a permit may be there for a request."""
        hold = self._holds.get(run)
        if hold is None or run not in self.statements.limited:
            return now
        return max(now, hold.ends_at(priority))

    async def acquire(self, run: str, demand: granting.Demand) -> permits.Permit | Hold:
        """Return a permit for a request, or until when there is none for it.

        Parameters
        ----------
        demand : granting.Demand
            Urgency of the request, and its place if it waits.
        """
        if run not in self.statements.limited:
            return UNLIMITED
        asked_at = clock.now()
        decision = await self.permits.ask(run, demand)
        if decision.is_granted:
            self._counts[run].granted += 1
            self._holds.pop(run, None)
            return permits.Permit(use_by=asked_at + permits.USE_WITHIN_S)
        self._counts[run].held += 1
        now = clock.now()
        turn_in_s = max(MIN_HOLD_S, decision.turn_in_s)
        hold = self._holds[run] = Hold(
            priority=demand.priority,
            until=now + max(MIN_HOLD_S, decision.permit_in_s),
            turn_at=now + turn_in_s,
            return_at=now + max(turn_in_s, decision.return_in_s),
        )
        return hold

    def keep_only(self, runs: frozenset[str]) -> None:
        """Forget all other runs of upstreams."""
        self.statements.keep_only(runs)
        self.permits.keep_only(runs)
        for rows in (self._holds, self._counts):
            for run in [run for run in rows if run not in runs]:
                del rows[run]

    def statuses(self) -> list[RateStatus]:
        """Return the rates in force, by upstream."""
        now = clock.now()
        return [
            RateStatus(
                upstream=statements.upstream_of(run),
                rate=row.rate,
                told_by=row.told_by,
                age_s=round(now - row.seen_at, 3),
                granter=self.permits.granter_of(run).name,
                granted=self._counts[run].granted,
                held=self._counts[run].held,
            )
            for run, row in sorted(self.statements.limited.items())
        ]
