"""Speeds of upstreams learnt by all instances, sent with their load reports."""

import collections.abc
import math

import attrs

from masticpost_gateway.learning import upstreamspeeds
from masticpost_gateway.sharing import loadreports

# Evidence is sent this often, and with the next report if the logarithm of a factor has
# changed by `CHANGED_LOG`, or the sum for overdue requests to less or more than these
# multiples of the sum sent.
PERIOD_S = 1.0
CHANGED_LOG = 0.25
LESS_LATE, MORE_LATE = 0.7, 1.4

Rows = dict[str, upstreamspeeds.Evidence]
WireRows = dict[str, tuple[int, int, int]]


class ReportedSpeeds:
    """Evidence reported by other instances, each valid for a limited time."""

    def __init__(self) -> None:
        # By sender, oldest report first.
        self._rows: dict[str, tuple[float, Rows]] = {}
        self._sums: Rows = {}

    def put(self, sender: str, rows: Rows, now: float) -> None:
        """Replace the report of a sender."""
        self._remove(sender)
        self._rows[sender] = (now, rows)
        self._add(rows, 1)

    def sum(self, upstream: str, now: float) -> upstreamspeeds.Evidence:
        """Return the sum of the evidence about an upstream."""
        while self._rows:
            sender, (at, _) = next(iter(self._rows.items()))
            if now - at <= loadreports.REPORT_TTL_S:
                break
            self._remove(sender)
        return self._sums.get(upstream, upstreamspeeds.NO_EVIDENCE)

    def upstreams(self) -> collections.abc.Iterable[str]:
        """Return the names of the upstreams that were reported."""
        return self._sums.keys()

    def _remove(self, sender: str) -> None:
        _, rows = self._rows.pop(sender, (0.0, {}))
        self._add(rows, -1)

    def _add(self, rows: Rows, sign: int) -> None:
        for name, row in rows.items():
            total = self._sums.get(name, upstreamspeeds.NO_EVIDENCE).plus(row, sign)
            self._sums[name] = total
            if total == upstreamspeeds.NO_EVIDENCE:
                del self._sums[name]


@attrs.define(kw_only=True)
class Outbox:
    """Decides when the evidence is sent again to the same receivers."""

    sent: Rows = attrs.field(factory=dict)
    sent_at: float = -math.inf

    def take(self, rows: Rows, now: float) -> Rows:
        """Return the evidence if it is due, and count it as sent; else nothing.

        Receivers take nothing as unchanged, so that evidence that has ended is returned
        as `NO_EVIDENCE` once.
        """
        if now - self.sent_at < PERIOD_S and not self._has_changed(rows):
            return {}
        if not rows and not self.sent:
            return {}
        ended = dict.fromkeys(self.sent, upstreamspeeds.NO_EVIDENCE)
        self.sent, self.sent_at = rows, now
        return rows or ended

    def _has_changed(self, rows: Rows) -> bool:
        none = upstreamspeeds.NO_EVIDENCE
        return any(
            _differs(rows.get(name, none), self.sent.get(name, none))
            for name in rows.keys() | self.sent.keys()
        )


def _differs(row: upstreamspeeds.Evidence, sent: upstreamspeeds.Evidence) -> bool:
    if not LESS_LATE * sent.late <= row.late <= MORE_LATE * sent.late:
        return True
    return abs(row.mean_log - sent.mean_log) > CHANGED_LOG


class SpeedSharing:
    """Speed factors of the upstreams from the evidence of all instances.

    Attributes
    ----------
    samples : upstreamspeeds.UpstreamSpeeds
        Samples of this instance's requests.
    from_hubs, from_members, from_own_hub : ReportedSpeeds
        Evidence from the other hubs, from a hub's members, and from the own hub.
    reports, sums : Outbox
        Evidence sent to hubs, and by a hub to its members.
    factors : dict of str to float
        Factors computed since the last change of the evidence.
    """

    def __init__(self) -> None:
        self.samples = upstreamspeeds.UpstreamSpeeds()
        self.from_hubs = ReportedSpeeds()
        self.from_members = ReportedSpeeds()
        self.from_own_hub = ReportedSpeeds()
        self.reports = Outbox()
        self.sums = Outbox()
        self._own: Rows = {}
        self.factors: dict[str, float] = {}

    def compute(self, upstream: str, requests: int, now: float) -> float:
        """Return the factor of an upstream, and keep it until the evidence changes.

        Parameters
        ----------
        requests : int
            Requests of all instances at the upstream.
        """
        factor = self.total(upstream, now).factor(requests)
        self.factors[upstream] = factor
        return factor

    def refresh(self, own: Rows) -> None:
        """Replace the evidence of this instance; called with each report."""
        self._own = own
        self.factors.clear()

    def store(
        self, reports: ReportedSpeeds, sender: str, rows: WireRows, now: float
    ) -> None:
        """Store evidence that another instance has sent; none means unchanged."""
        if rows:
            reports.put(sender, _from_wire(rows), now)
            self.factors.clear()

    def own_and_members(self, now: float) -> Rows:
        """Return the evidence that a hub reports to the other hubs."""
        none = upstreamspeeds.NO_EVIDENCE
        return {
            name: self._own.get(name, none).plus(self.from_members.sum(name, now))
            for name in {*self._own, *self.from_members.upstreams()}
        }

    def all_rows(self, now: float) -> Rows:
        """Return the evidence of all instances, which a hub sends to its members."""
        names = {*self.own_and_members(now), *self.from_hubs.upstreams()}
        return {name: self.total(name, now) for name in names}

    def total(self, upstream: str, now: float) -> upstreamspeeds.Evidence:
        """Return the evidence of all instances about an upstream."""
        none = upstreamspeeds.NO_EVIDENCE
        found = self._own.get(upstream, none)
        found = found.plus(self.from_hubs.sum(upstream, now))
        found = found.plus(self.from_members.sum(upstream, now))
        of_all = self.from_own_hub.sum(upstream, now)
        if of_all != none:
            # The sums include the evidence that this instance itself has reported.
            sent = self.reports.sent.get(upstream, none)
            found = found.plus(of_all).plus(sent, -1)
        return found


def to_wire(rows: Rows) -> WireRows:
    """Return evidence as tuples of numbers, for a message."""
    return {name: (row.weight, row.log, row.late) for name, row in rows.items()}


def _from_wire(rows: WireRows) -> Rows:
    return {
        name: upstreamspeeds.Evidence(weight=weight, log=log, late=late)
        for name, (weight, log, late) in rows.items()
    }
