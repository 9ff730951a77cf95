"""The state of a shard: the replay of its log, and how long entries are kept."""

import attrs

from masticpost_shards import records

MINUTE_MS = 60_000
CLAIM_RETENTION_MS = 24 * 60 * MINUTE_MS
BILL_RETENTION_MS = 20 * MINUTE_MS
PIN_RETENTION_MS = 12 * 60 * MINUTE_MS
CRASH_RETENTION_MS = 60 * MINUTE_MS
SPEND_RETENTION_MS = 10 * MINUTE_MS


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

    `released` is set if the last owner has handed the shard over; `permits` are the
    permits that were in use at that time. `closed_bills` maps the key of each bill that
    may be reported again to the time of its commit.
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
        """Apply the next batch; raises `ValueError` if it is not the next one."""
        if batch.seq != self.seq + 1:
            raise ValueError(f"batch {batch.seq} does not follow batch {self.seq}")
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
        """Record a run's amount in a window; False unless it has increased."""
        by_run = self.spends.setdefault(spend.key, {})
        name = f"{spend.run.instance}/{spend.run.started}"
        existing = by_run.get(name)
        if existing is not None and existing.amount >= spend.amount:
            return False
        by_run[name] = spend
        return True

    def spent(self, key: str) -> float:
        """Return the sum spent in a customer's window, over all instances."""
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

        The open bill of a released call is removed, since the call did not run.
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
        """Record a dispatched request; False if its bill is already recorded."""
        if opened.key in self.closed_bills or opened.key in self.open_bills:
            return False
        self.open_bills[opened.key] = opened
        return True

    def close_bill(self, closed: records.BillClose, committed_at: int) -> bool:
        """Bill a request; False if it is already billed."""
        if closed.key in self.closed_bills:
            return False
        self.open_bills.pop(closed.key, None)
        self.closed_bills[closed.key] = committed_at
        self._add_to_total(closed)
        return True

    def add_crash(self, crash: records.Crash) -> bool:
        """Record a crash; False if the same report was recorded before."""
        existing = self.recent_crashes(crash.fingerprint, crash.at)
        if any(item.nonce == crash.nonce for item in existing):
            return False
        self.crashes[crash.fingerprint] = [*existing, crash]
        return True

    def recent_crashes(self, fingerprint: str, now_ms: int) -> list[records.Crash]:
        """Return the crashes of a request within `CRASH_RETENTION_MS`."""
        rows = self.crashes.get(fingerprint, [])
        return [row for row in rows if now_ms - row.at < CRASH_RETENTION_MS]

    def add_trial(self, trial: records.Trial) -> bool:
        """Record a stop or a stage; False if the recorded trial is as far."""
        if not trial.is_after(self.trials.get(trial.version)):
            return False
        self.trials[trial.version] = trial
        return True

    def prune(self, now_ms: int) -> None:
        """Remove entries past their retention; open bills stay.

        The retention of a bill starts at its commit, not at its request: a bill that
        waited for the object API is reported again after that time.
        """
        self.calls = {
            k: c
            for k, c in self.calls.items()
            if now_ms - c.claim.at < CLAIM_RETENTION_MS
        }
        self.closed_bills = {
            k: at
            for k, at in self.closed_bills.items()
            if now_ms - at < BILL_RETENTION_MS
        }
        self.pins = {
            k: p for k, p in self.pins.items() if now_ms - p.at < PIN_RETENTION_MS
        }
        self.crashes = {
            k: rows
            for k, rows in self.crashes.items()
            if now_ms - rows[-1].at < CRASH_RETENTION_MS
        }
        self.spends = {
            k: rows
            for k, rows in self.spends.items()
            if any(now_ms < row.until + SPEND_RETENTION_MS for row in rows.values())
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
    """Return whether it is known for certain that the call ran, or did not."""
    return call.outcome is not None and call.outcome.kind != records.DOUBTFUL


def is_released(call: Call) -> bool:
    """Return whether the call is known not to have run."""
    return call.outcome is not None and call.outcome.kind == records.RELEASED
