"""Conclusions from all instances' observations that an upstream is unreachable.

A refused connection and a response of 421 are facts about one run of an upstream, so
that the observation of one instance serves all. This module decides, without network
and clock, what an instance concludes from its own and from reported observations.

Consecutive failures of a run are numbered in rounds. A failure while the run is ejected
belongs to the current round, unless this instance has failed in it before; any other
failure begins the next round. An instance ignores reports of earlier rounds and, once
it has failed itself, reports of its own round. The last instance to fail in the highest
round is therefore ejected by its own observation only, however late or often reports
arrive.
"""

import collections.abc
import math

import attrs
from loguru import logger
from masticpost_common import rendezvous
from masticpost_rates import statements

from masticpost_gateway.upstreams import health

# Ejection in the first round; it doubles with each round.
FIRST_PAUSE_S = 0.7
MAX_PAUSE_S = 1.5
# Ejection after the reports of a single failure domain.
AVOIDANCE_S = 0.5
# The first instance by rank tries again after the pause, the second one `TURN_DELAY_S`
# later, so that a report can reach it. As long as none reports, twice as many instances
# may try after each further `TURN_S`.
TURN_DELAY_S = 0.3
TURN_S = 0.1
MAX_TURN_S = 1.2
# A connection is tried this long before the end of an ejection.
TEST_LEAD_S = 0.1
# Time after the end of an ejection in which an instance sends one request only.
HOLD_S = 0.3
# Longest ejection by reports that this instance has not verified.
MAX_UNVERIFIED_S = 2.5
# Time for which reports are ignored after an own success that contradicts them.
TRUST_S = 30.0
MAX_REPORT_AGE_S = 3.0
# Time over which the share of unreachable upstreams is computed.
RECENT_S = 10.0
# This many unreachable upstreams since the last response of any suggest a partition
# even while most of the upstreams count as reachable.
MIN_IN_A_ROW = 3
# Observations from this many failure domains, none older than `WITNESS_S`, are needed
# for the longer ejection by reports.
MIN_WITNESSES = 2
WITNESS_S = 10.0
# Share of the upstreams that reports of a single failure domain may eject at a time,
# since that domain may be cut off.
MAX_UNCONFIRMED_SHARE = 0.25
MIN_UNCONFIRMED = 2


@attrs.frozen(kw_only=True)
class Observation:
    """Observation that a run was unreachable in a round, or has recovered from it.

    Attributes
    ----------
    run : str
        Key of the run of the upstream, see `model.Upstream.run_key`.
    observer, domain : str
        Name and failure domain of the instance.
    at : float
        Monotonic time in seconds.
    is_moved : bool
        Whether another upstream has the address, so that connections are accepted.
    is_recovery : bool
        Whether the run has answered since.
    """

    run: str
    round: int
    observer: str
    domain: str
    at: float
    is_moved: bool = False
    is_recovery: bool = False


@attrs.define(kw_only=True)
class RunState:
    """What is known of a run that was unreachable; times in monotonic seconds.

    Attributes
    ----------
    round : int
        The highest known round.
    failed_round : int
        The last round in which this instance failed itself.
    recovered_round : int
        The last round from which the run is known to have recovered.
    witnesses : dict
        Last round and its time in which a failure domain observed that the run is
        unreachable, by domain.
    observed_at : float
        Time of the last observation, own or reported.
    unverified_since : float
        First report that this instance has neither confirmed nor refuted itself;
        infinity without one.
    trusted_until : float
        Time until which reports are ignored since an own test contradicts them.
    is_moved : bool
        As in the last observation, see `Observation`.
    is_unconfirmed : bool
        Whether a single domain's reports caused the last ejection.
    tested_until : float
        End of the ejection for which a connection was tried last.
    position : int
        Rank of this instance for the run among the instances in `ranked`, from 0.
    is_verifier : bool
        Whether it is the first one of its failure domain.
    ranked : dict or None
        Failure domain of each instance by name, None before the first ranking.
    """

    key: str
    health: health.Health
    round: int = 0
    failed_round: int = 0
    recovered_round: int = 0
    witnesses: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    is_moved: bool = False
    is_unconfirmed: bool = False
    observed_at: float = -math.inf
    unverified_since: float = math.inf
    trusted_until: float = -math.inf
    tested_until: float = -math.inf
    position: int = 0
    is_verifier: bool = True
    ranked: dict[str, str] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the run is not known to have recovered."""
        return self.recovered_round < self.round

    def add_witness(self, domain: str, at: float) -> bool:
        """Add a domain that observed the current round; return whether that is news."""
        number, _ = self.witnesses.get(domain, (0, at))
        self.witnesses[domain] = (self.round, at)
        return number < self.round

    def recent_witnesses(self, now: float) -> int:
        """Return the number of failure domains that observed the run lately."""
        return sum(at > now - WITNESS_S for _, at in self.witnesses.values())

    def recover(self) -> None:
        """Note that the run has recovered from the current round."""
        self.recovered_round = self.round
        self.witnesses = {}

    def trust(self, now: float) -> None:
        """Note that this instance has reached the upstream itself."""
        self.trusted_until = now + TRUST_S
        self.unverified_since = math.inf


class Reachability:
    """Decides which runs of upstreams this instance ejects as unreachable.

    Parameters
    ----------
    me, domain : str
        Name and failure domain of this instance.
    domains : callable
        Returns the failure domain of each instance that is alive, by name.
    healths : health.HealthTable
        Rows in which the ejections are set.
    find : callable
        Returns the health of a run by its key, None for an unknown one.
    moved_reason : str
        Reason of failures that tell that another upstream has the address.
    """

    def __init__(
        self,
        *,
        me: str,
        domain: str,
        domains: collections.abc.Callable[[], dict[str, str]],
        healths: health.HealthTable,
        find: collections.abc.Callable[[str], health.Health | None],
        moved_reason: str,
    ) -> None:
        self.me = me
        self.domain = domain
        self.domains = domains
        self.healths = healths
        self.find = find
        self.moved_reason = moved_reason
        self._runs: dict[str, RunState] = {}
        self._listener: collections.abc.Callable[[Observation], None] = lambda row: None
        healths.observer = self.record_unreachable

    def listen(self, listener: collections.abc.Callable[[Observation], None]) -> None:
        """Call `listener` with each own observation that others should learn."""
        self._listener = listener

    @property
    def is_idle(self) -> bool:
        """Whether no run is to be tested or to be watched for its recovery."""
        return not any(state.is_open for state in self._runs.values())

    def record_unreachable(
        self, row: health.Health, now: float, reason: str, *, is_test: bool = False
    ) -> bool:
        """Conclude from an own failed attempt, and tell the others.

        Parameters
        ----------
        is_test : bool
            Whether it was a tried connection and not a request.

        Returns
        -------
        bool
            False for a run that is not registered.
        """
        state = self._state_of(row)
        if state is None:
            return False
        has_failed = state.failed_round == state.round
        is_ejected = now < row.unreachable_until
        if has_failed and is_ejected and not is_test:
            # Requests in flight fail together; they are one observation.
            return True
        if has_failed or not is_ejected:
            state.round += 1
        state.failed_round = state.round
        state.is_moved = reason == self.moved_reason
        state.observed_at = now
        state.trusted_until = -math.inf
        state.unverified_since = math.inf
        state.is_unconfirmed = False
        is_news = state.add_witness(self._witness(self.me, self.domain), now)
        pause_s = _pause_s(state.round)
        self._eject(state, now + pause_s + self._turn_s(state), now, reason)
        if is_news and not self.is_partitioned(now):
            self._tell(state, now, is_recovery=False)
        return True

    def note_report(self, report: Observation, now: float) -> bool:
        """Conclude from another instance's observation; return whether it is news."""
        is_late = now - report.at > MAX_REPORT_AGE_S
        if report.observer == self.me or is_late or report.round < 1:
            return False
        row = self.find(report.run)
        state = None if row is None else self._state_of(row)
        if state is None or report.round < state.round:
            return False
        state.round = report.round
        if report.is_recovery:
            return self._note_recovery(state, now)
        witness = self._witness(report.observer, report.domain)
        if not state.add_witness(witness, report.at):
            return False
        has_failed = state.failed_round == state.round
        has_answered = row.answered_sent_at > report.at
        if not (has_failed or has_answered or now < state.trusted_until):
            state.is_moved = report.is_moved
            self._avoid(state, report, now)
        return True

    def due_tests(self, now: float) -> list[health.Health]:
        """Return the upstreams to which a connection is to be tried now.

        A connection proves nothing if another upstream has the address.
        """
        found = []
        for state in self._runs.values():
            until = state.health.unreachable_until
            if state.is_moved or state.tested_until == until:
                continue
            if until - TEST_LEAD_S <= now < until + HOLD_S:
                state.tested_until = until
                found.append(state.health)
        return found

    def record_connected(self, row: health.Health, now: float) -> None:
        """Note that an upstream has accepted a tried connection."""
        state = self._state_of(row)
        if state is not None:
            state.trust(now)

    def note_recoveries(self, now: float) -> None:
        """End the ejections of upstreams that answer new requests, and tell of it."""
        for state in self._runs.values():
            if not state.is_open:
                continue
            if state.health.answered_sent_at <= state.observed_at:
                continue
            state.recover()
            state.trust(now)
            state.health.unreachable_until = min(state.health.unreachable_until, now)
            state.health.held_until = state.health.unreachable_until
            logger.bind(event="upstream", upstream=state.health.name).info(
                "unreachable upstream has recovered"
            )
            self._tell(state, now, is_recovery=True)

    def is_partitioned(self, now: float) -> bool:
        """Return whether most of the upstreams that were tried lately are unreachable.

        Then the fault is probably in the network of this instance. Refused test
        connections do not count, since the upstream's host has answered them.
        """
        since = now - RECENT_S
        failures, responses = [], []
        for row in self.healths.rows():
            if row.unreachable_at > max(since, row.last_response_at):
                failures.append(row.unreachable_at)
            elif row.last_response_at > since:
                responses.append(row.last_response_at)
        if len(failures) > len(responses):
            return True
        return (
            sum(at > max(responses, default=since) for at in failures) >= MIN_IN_A_ROW
        )

    def remove_unregistered(self) -> None:
        """Remove the runs that are not registered any more."""
        gone = [
            k for k, state in self._runs.items() if self.find(k) is not state.health
        ]
        for key in gone:
            del self._runs[key]

    def _state_of(self, row: health.Health) -> RunState | None:
        key = statements.run_key(*row.incarnation)
        state = self._runs.get(key)
        if state is None or state.health is not row:
            if self.find(key) is not row:
                # A request to a run that was replaced meanwhile.
                return None
            state = self._runs[key] = RunState(key=key, health=row)
        return state

    def _witness(self, observer: str, domain: str) -> str:
        """Return the domain, or the observer in a deployment of a single domain."""
        return domain if len(set(self.domains().values())) > 1 else observer

    def _avoid(self, state: RunState, report: Observation, now: float) -> None:
        """Eject a run by reports, for a bounded time unless others confirm them."""
        state.observed_at = max(state.observed_at, report.at)
        if now - state.unverified_since > TRUST_S:
            state.unverified_since = math.inf
        turn_s = self._turn_s(state)
        is_confirmed = state.recent_witnesses(now) >= MIN_WITNESSES
        if is_confirmed and not state.is_verifier:
            state.unverified_since = math.inf
        state.unverified_since = min(state.unverified_since, report.at)
        pause_s = _pause_s(state.round) if is_confirmed else AVOIDANCE_S
        until = min(
            report.at + pause_s + turn_s,
            state.unverified_since + MAX_UNVERIFIED_S,
        )
        if until <= max(now, state.health.unreachable_until):
            return
        if is_confirmed or self._may_eject_unconfirmed(now):
            state.is_unconfirmed = not is_confirmed
            self._eject(state, until, now, f"reported by {report.observer}")

    def _may_eject_unconfirmed(self, now: float) -> bool:
        count = sum(
            state.is_unconfirmed and now < state.health.unreachable_until
            for state in self._runs.values()
        )
        share = MAX_UNCONFIRMED_SHARE * self.healths.count()
        return count < max(MIN_UNCONFIRMED, share)

    def _note_recovery(self, state: RunState, now: float) -> bool:
        if not state.is_open:
            return False
        state.recover()
        row = state.health
        if now < row.unreachable_until:
            # Others may be wrong, so that instances return one after the other.
            until = now + self._turn_s(state)
            row.unreachable_until = min(row.unreachable_until, until)
            row.held_until = row.unreachable_until + HOLD_S
        return True

    def _eject(self, state: RunState, until: float, now: float, reason: str) -> None:
        row = state.health
        if now >= row.unreachable_until:
            logger.bind(
                event="upstream",
                upstream=row.name,
                for_s=round(until - now, 3),
                reason=reason,
                round=state.round,
            ).warning("upstream ejected")
        row.unreachable_until = until
        row.held_until = until + HOLD_S

    def _tell(self, state: RunState, now: float, *, is_recovery: bool) -> None:
        self._listener(
            Observation(
                run=state.key,
                round=state.round,
                observer=self.me,
                domain=self.domain,
                at=now,
                is_moved=state.is_moved,
                is_recovery=is_recovery,
            )
        )

    def _turn_s(self, state: RunState) -> float:
        """Return how long this instance leaves the next attempt to others."""
        self._rank(state)
        if not state.position:
            return 0.0
        return min(TURN_DELAY_S + TURN_S * state.position.bit_length(), MAX_TURN_S)

    def _rank(self, state: RunState) -> None:
        """Rank this instance for a run if the instances have changed.

        The first ones of each domain come first.
        """
        domains = self.domains()
        if domains is state.ranked:
            return
        state.ranked = domains
        seen: dict[str, int] = {}
        rows = []
        for rank, name in enumerate(rendezvous.ranked({*domains, self.me}, state.key)):
            domain = domains.get(name, self.domain)
            seen[domain] = seen.get(domain, 0) + 1
            rows.append((seen[domain], rank, name))
        place, rank, _ = next(row for row in rows if row[2] == self.me)
        state.is_verifier = place == 1
        state.position = sum(row[:2] < (place, rank) for row in rows)


def _pause_s(number: int) -> float:
    return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(number - 1, 16))
