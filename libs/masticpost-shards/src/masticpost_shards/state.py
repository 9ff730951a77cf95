"""The state of a shard: a fold of its log, and what is forgotten when."""

import attrs

from masticpost_shards import records

MINUTE_MS = 60_000
CLAIM_KEPT_MS = 24 * 60 * MINUTE_MS
BILL_KEPT_MS = 20 * MINUTE_MS
PIN_KEPT_MS = 12 * 60 * MINUTE_MS
CRASH_KEPT_MS = 60 * MINUTE_MS
SPEND_KEPT_MS = 10 * MINUTE_MS


@attrs.define(kw_only=True)
class Call:
    """A claim and, once known, its outcome."""

    claim: records.Claim
    outcome: records.Outcome | None = None


@attrs.define(kw_only=True)
class Total:
    """Sum of the bills of one customer, service, version and state."""

    customer: str
    service: str
    version: str
    state: str
    requests: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0


@attrs.define(kw_only=True)
class State:
    """State of a shard after the batch `seq`.

    `released` tells that the last owner has handed the shard over, `permits` which
    permits were in use then. `closed_bills` maps the key of each bill that may be told
    again to the time of its commit.
    """

    seq: int = -1
    released: bool = False
    permits: list[records.HeldPermit] = attrs.field(factory=list)
    calls: dict[str, Call] = attrs.field(factory=dict)
    open_bills: dict[str, records.BillOpen] = attrs.field(factory=dict)
    closed_bills: dict[str, int] = attrs.field(factory=dict)
    totals: dict[str, Total] = attrs.field(factory=dict)
    pins: dict[str, records.Pin] = attrs.field(factory=dict)
    crashes: dict[str, list[records.Crash]] = attrs.field(factory=dict)
    warmth: dict[str, records.Warmth] = attrs.field(factory=dict)
    trials: dict[str, records.Trial] = attrs.field(factory=dict)

    spends: dict[str, dict[str, records.Spend]] = attrs.field(factory=dict)

    def apply(self, batch: records.Batch) -> None:
        """Fold in the next batch; raises `ValueError` if it is not the next."""
        if batch.seq != self.seq + 1:
            raise ValueError(f"batch {batch.seq} after {self.seq}")
        self.seq = batch.seq
        self.released = batch.released
        self.permits = batch.permits
        for claim in batch.claims:
            self.add_claim(claim)
        for opened in batch.opens:
            self.open_bill(opened)
        for outcome in batch.outcomes:
            self.add_outcome(outcome)
        for closed in batch.closes:
            self.close_bill(closed, batch.at)
        for pin in batch.pins:
            self.pins[pin.key] = pin
        for crash in batch.crashes:
            self.add_crash(crash)
        for warmth in batch.warmth:
            self.warmth[warmth.upstream] = warmth
        for trial in batch.trials:
            self.add_trial(trial)
        for spend in batch.spends:
            self.add_spend(spend)

    def add_spend(self, spend: records.Spend) -> bool:
        """Keep what a run tells of a window, unless it told as much before."""
        by_run = self.spends.setdefault(spend.key, {})
        name = f"{spend.run.instance}/{spend.run.started}"
        known = by_run.get(name)
        if known is not None and known.amount >= spend.amount:
            return False
        by_run[name] = spend
        return True

    def spent(self, key: str) -> float:
        """Return what was spent in a customer's window, over all instances."""
        return sum(row.amount for row in self.spends.get(key, {}).values())

    def add_claim(self, claim: records.Claim) -> bool:
        """Record a claim; False if the call is claimed and was not released."""
        call = self.calls.get(claim.key)
        if call is not None and not is_released(call):
            return False
        self.calls[claim.key] = Call(claim=claim)
        return True

    def add_outcome(self, outcome: records.Outcome) -> bool:
        """Record the outcome of the claim with the same nonce, once.

        The bill of a call that was released, which did not run, is taken back.
        """
        call = self.calls.get(outcome.key)
        if call is None or is_final(call) or call.claim.nonce != outcome.nonce:
            return False
        if call.outcome is not None and outcome.kind == records.DOUBTFUL:
            return False
        call.outcome = outcome
        if outcome.kind == records.RELEASED:
            self.open_bills.pop(outcome.key, None)
        return True

    def open_bill(self, opened: records.BillOpen) -> bool:
        """Record a dispatched request, unless its bill is known already."""
        if opened.key in self.closed_bills or opened.key in self.open_bills:
            return False
        self.open_bills[opened.key] = opened
        return True

    def close_bill(self, closed: records.BillClose, committed_at: int) -> bool:
        """Bill a request, once."""
        if closed.key in self.closed_bills:
            return False
        self.open_bills.pop(closed.key, None)
        self.closed_bills[closed.key] = committed_at
        self._add_to_total(closed)
        return True

    def add_crash(self, crash: records.Crash) -> bool:
        """Count a crash, once however often it is told."""
        known = self.recent_crashes(crash.fingerprint, crash.at)
        if any(item.nonce == crash.nonce for item in known):
            return False
        self.crashes[crash.fingerprint] = [*known, crash]
        return True

    def recent_crashes(self, fingerprint: str, now_ms: int) -> list[records.Crash]:
        """Return the crashes of a request that still count."""
        rows = self.crashes.get(fingerprint, [])
        return [row for row in rows if now_ms - row.at < CRASH_KEPT_MS]

    def add_trial(self, trial: records.Trial) -> bool:
        """Record a stop or a stage, unless what is known is as far."""
        if not trial.is_after(self.trials.get(trial.version)):
            return False
        self.trials[trial.version] = trial
        return True

    def prune(self, now_ms: int) -> None:
        """Forget what is older than it is kept; open bills stay.

        A bill is kept from its commit on, not from its request: the repeats of one
        that waited for the object API come after that.
        """
        self.calls = {
            k: c for k, c in self.calls.items() if now_ms - c.claim.at < CLAIM_KEPT_MS
        }
        self.closed_bills = {
            k: at for k, at in self.closed_bills.items() if now_ms - at < BILL_KEPT_MS
        }
        self.pins = {k: p for k, p in self.pins.items() if now_ms - p.at < PIN_KEPT_MS}
        self.crashes = {
            k: rows
            for k, rows in self.crashes.items()
            if now_ms - rows[-1].at < CRASH_KEPT_MS
        }
        self.spends = {
            k: rows
            for k, rows in self.spends.items()
            if any(now_ms < row.until + SPEND_KEPT_MS for row in rows.values())
        }

    def _add_to_total(self, bill: records.BillClose) -> None:
        key = "\0".join((bill.customer, bill.service, bill.version, bill.state))
        total = self.totals.get(key)
        if total is None:
            total = Total(
                customer=bill.customer,
                service=bill.service,
                version=bill.version,
                state=bill.state,
            )
            self.totals[key] = total
        total.requests += 1
        total.input_tokens += bill.input_tokens
        total.output_tokens += bill.output_tokens
        total.cost += bill.cost


def is_final(call: Call) -> bool:
    """Tell whether it is known for good if the call ran."""
    return call.outcome is not None and call.outcome.kind != records.DOUBTFUL


def is_released(call: Call) -> bool:
    """Tell whether the call is known not to have run."""
    return call.outcome is not None and call.outcome.kind == records.RELEASED
