"""Operations on a shard, and how its owner decides each on the shard's state.

An operation is a message. Its decider, registered with a decorator, changes the working
state and returns the records to commit. The reply is sent once they are committed, or
immediately if the decision does not wait for the commit.
"""

import collections.abc
import typing

import attrs
from masticpost_common import registry
from masticpost_peers import messages

from masticpost_shards import records, state

GRANTED = "granted"
RECORDED = "recorded"
PENDING = "pending"
IN_DOUBT = "in-doubt"
MISMATCH = "mismatch"
ABSENT = "absent"

MAX_ANSWER_BYTES = 64_000


@messages.message("not-owner")
@attrs.frozen(kw_only=True)
class NotOwner:
    """Reply: the receiver does not own the shard, or cannot serve it yet."""


@messages.message("store-down")
@attrs.frozen(kw_only=True)
class StoreDown:
    """Reply: nothing can be committed now, and the operation had no effect."""


@messages.message("done")
@attrs.frozen(kw_only=True)
class Done:
    """Reply: the records are committed, or in memory if the operation set `held`.

    `epoch` is the owner's; records held in memory in another epoch may be lost.
    """

    epoch: int = -1


@messages.message("claim-ask")
@attrs.frozen(kw_only=True)
class ClaimRequest:
    """Requests the right to dispatch a non-idempotent call.

    `bill` is opened in the same commit; its key is the claim's. Without `grants`
    nothing is granted; the reply only reports a call that is already claimed.
    """

    shard: int
    claim: records.Claim
    bill: records.BillOpen | None = None
    grants: bool = True


@messages.message("claim-reply")
@attrs.frozen(kw_only=True)
class ClaimReply:
    """Whether the call may be dispatched, or its recorded outcome.

    `is_asked` is set for a call in doubt if the service is queried about it.
    """

    verdict: str
    nonce: str = ""
    answer: records.Answer | None = None
    is_asked: bool = False


@messages.message("outcome-tell")
@attrs.frozen(kw_only=True)
class OutcomeReport:
    """Reports the outcome of a claimed call, and its bill."""

    shard: int
    outcome: records.Outcome
    bill: records.BillClose | None = None


@messages.message("bills-tell")
@attrs.frozen(kw_only=True)
class BillsReport:
    """Reports dispatched and billed requests; may be repeated.

    With `held` the reply does not wait for the commit; it confirms that the owner has
    the records in memory. A report without records and without `held` waits for the
    commit of all records that the owner has in memory.
    """

    shard: int
    opens: list[records.BillOpen] = attrs.field(factory=list)
    closes: list[records.BillClose] = attrs.field(factory=list)
    held: bool = False


@messages.message("pin-ask")
@attrs.frozen(kw_only=True)
class PinRequest:
    """Requests a session's version.

    `pin` is recorded if the session has none, or if it is pinned to `replaces`. With
    `durable` the reply waits until the pin is committed.
    """

    shard: int
    pin: records.Pin
    replaces: str = ""
    durable: bool = False


@messages.message("pin-reply")
@attrs.frozen(kw_only=True)
class PinReply:
    """The version of the session; `is_new` if this request pinned it."""

    version: str
    is_new: bool


@messages.message("crash-tell")
@attrs.frozen(kw_only=True)
class PossibleCrashReport:
    """Reports that a request may have crashed an upstream."""

    shard: int
    crash: records.Crash


@messages.message("crash-reply")
@attrs.frozen(kw_only=True)
class CrashReply:
    """Number of upstream crashes that the request may have caused."""

    count: int


@messages.message("warmth-tell")
@attrs.frozen(kw_only=True)
class WarmthReport:
    """Reports that an upstream is warm or cold."""

    shard: int
    warmth: records.Warmth


@messages.message("warmth-reply")
@attrs.frozen(kw_only=True)
class WarmthReply:
    """The recorded warmth; the owner orders the changes of an upstream by `at`."""

    warmth: records.Warmth


@messages.message("trial-tell")
@attrs.frozen(kw_only=True)
class TrialReport:
    """Reports that a version is stopped, or advances to a stage of its roll-out."""

    shard: int
    trial: records.Trial


@messages.message("spend-tell")
@attrs.frozen(kw_only=True)
class SpendReport:
    """Reports a customer's cumulative spending through the sender; may be repeated."""

    shard: int
    spend: records.Spend


@messages.message("spend-reply")
@attrs.frozen(kw_only=True)
class SpendReply:
    """The sum that the customer has spent in the window, over all instances."""

    total: float


IsRunning = collections.abc.Callable[[records.Run], bool]


@attrs.define(kw_only=True)
class Decision:
    """Result of a decider.

    Attributes
    ----------
    reply : object
        Reply message.
    writes : list
        Records to commit, in order.
    waits_for_commit : bool
        Whether the reply waits until these records, and all earlier ones, are
        committed.
    """

    reply: object
    writes: list[object] = attrs.field(factory=list)
    waits_for_commit: bool = True


Decider = collections.abc.Callable[[state.State, typing.Any, IsRunning], Decision]
DECIDERS: registry.Registry[Decider] = registry.Registry(kind="shard operation")


def decide(
    working_state: state.State, op: typing.Any, is_running: IsRunning
) -> Decision:
    """Run the decider that is registered for the operation's message kind."""
    return DECIDERS.get(op.MESSAGE_KIND)(working_state, op, is_running)


@DECIDERS.register(ClaimRequest.MESSAGE_KIND)
def decide_claim(
    working_state: state.State, op: ClaimRequest, is_running: IsRunning
) -> Decision:
    """Grant the claim if the call was never claimed, or was released as not run."""
    claim = op.claim
    if not op.grants and not is_claimed(working_state, claim.key):
        return Decision(reply=ClaimReply(verdict=ABSENT), waits_for_commit=False)
    if working_state.add_claim(claim):
        reply = ClaimReply(verdict=GRANTED, nonce=claim.nonce)
        writes: list[object] = [claim]
        if op.bill is not None and working_state.open_bill(op.bill):
            writes.append(op.bill)
        return Decision(reply=reply, writes=writes)
    existing = working_state.calls[claim.key]
    if existing.claim.fingerprint != claim.fingerprint:
        return Decision(reply=ClaimReply(verdict=MISMATCH), waits_for_commit=False)
    if state.is_final(existing):
        reply = ClaimReply(verdict=RECORDED, answer=existing.outcome.answer)
        return Decision(reply=reply, waits_for_commit=False)
    if existing.outcome is None and existing.claim.nonce == claim.nonce:
        return Decision(reply=ClaimReply(verdict=GRANTED, nonce=claim.nonce))
    reply = ClaimReply(
        verdict=IN_DOUBT if is_in_doubt(existing, is_running) else PENDING,
        nonce=existing.claim.nonce,
        is_asked=existing.claim.inquiry is not None,
    )
    return Decision(reply=reply, waits_for_commit=False)


def is_claimed(working_state: state.State, key: str) -> bool:
    """Return whether a call is claimed and was not released."""
    existing = working_state.calls.get(key)
    return existing is not None and not state.is_released(existing)


def is_in_doubt(call: state.Call, is_running: IsRunning) -> bool:
    """Return whether a call without a final outcome is no longer running.

    Either its instance reported it as doubtful, or that run of the instance ended.
    """
    if state.is_final(call):
        return False
    return call.outcome is not None or not is_running(call.claim.run)


@DECIDERS.register(OutcomeReport.MESSAGE_KIND)
def decide_outcome(
    working_state: state.State, op: OutcomeReport, is_running: IsRunning
) -> Decision:
    """Record the outcome of the attempt that holds the claim."""
    writes: list[object] = [op.outcome] if working_state.add_outcome(op.outcome) else []
    if op.bill is not None and working_state.close_bill(op.bill, op.bill.at):
        writes.append(op.bill)
    return Decision(reply=Done(), writes=writes)


@DECIDERS.register(BillsReport.MESSAGE_KIND)
def decide_bills(
    working_state: state.State, op: BillsReport, is_running: IsRunning
) -> Decision:
    """Record the bills that are new; skip open records of bills already recorded."""
    closes = [row for row in op.closes if working_state.close_bill(row, row.at)]
    opens = [row for row in op.opens if working_state.open_bill(row)]
    return Decision(
        reply=Done(), writes=[*opens, *closes], waits_for_commit=not op.held
    )


@DECIDERS.register(PinRequest.MESSAGE_KIND)
def decide_pin(
    working_state: state.State, op: PinRequest, is_running: IsRunning
) -> Decision:
    """Keep the existing pin, unless the request replaces exactly that version."""
    existing = working_state.pins.get(op.pin.key)
    if existing is not None and existing.version != op.replaces:
        reply = PinReply(version=existing.version, is_new=False)
        return Decision(reply=reply, waits_for_commit=op.durable)
    working_state.pins[op.pin.key] = op.pin
    reply = PinReply(version=op.pin.version, is_new=True)
    return Decision(reply=reply, writes=[op.pin], waits_for_commit=op.durable)


@DECIDERS.register(PossibleCrashReport.MESSAGE_KIND)
def decide_crash(
    working_state: state.State, op: PossibleCrashReport, is_running: IsRunning
) -> Decision:
    """Record a crash and reply with the number of recent crashes of the request."""
    writes = [op.crash] if working_state.add_crash(op.crash) else []
    count = len(working_state.recent_crashes(op.crash.fingerprint, op.crash.at))
    return Decision(reply=CrashReply(count=count), writes=writes)


@DECIDERS.register(WarmthReport.MESSAGE_KIND)
def decide_warmth(
    working_state: state.State, op: WarmthReport, is_running: IsRunning
) -> Decision:
    """Record a change of an upstream's warmth, with a later time than the last one."""
    existing = working_state.warmth.get(op.warmth.upstream)
    if existing is not None and existing.warm == op.warmth.warm:
        return Decision(reply=WarmthReply(warmth=existing))
    warmth = op.warmth
    if existing is not None:
        warmth = attrs.evolve(warmth, at=max(warmth.at, existing.at + 1))
    working_state.warmth[warmth.upstream] = warmth
    return Decision(reply=WarmthReply(warmth=warmth), writes=[warmth])


@DECIDERS.register(TrialReport.MESSAGE_KIND)
def decide_trial(
    working_state: state.State, op: TrialReport, is_running: IsRunning
) -> Decision:
    """Record a stop or a stage, unless it is already recorded."""
    writes: list[object] = [op.trial] if working_state.add_trial(op.trial) else []
    return Decision(reply=Done(), writes=writes)


@DECIDERS.register(SpendReport.MESSAGE_KIND)
def decide_spend(
    working_state: state.State, op: SpendReport, is_running: IsRunning
) -> Decision:
    """Record an increase and reply with the sum, without waiting for the commit."""
    writes: list[object] = [op.spend] if working_state.add_spend(op.spend) else []
    reply = SpendReply(total=working_state.spent(op.spend.key))
    return Decision(reply=reply, writes=writes, waits_for_commit=False)
