"""Calls to a shard's owner, and how each is decided on the shard's state.

An operation is a message. Its decider is registered by decorator; it changes the
working state and names the records to commit. The reply goes out once they are
committed, or at once where the operation says so.
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
    """Reply: nothing can be committed now, and nothing of the call was kept."""


@messages.message("done")
@attrs.frozen(kw_only=True)
class Done:
    """Reply: what was told is committed, or held where the call asked for that.

    `epoch` is the owner's; records that were held in another epoch may be lost.
    """

    epoch: int = -1


@messages.message("claim-ask")
@attrs.frozen(kw_only=True)
class ClaimAsk:
    """Asks for the right to dispatch a non-idempotent call.

    `bill` is opened in the same commit; its key is the claim's. Without `grants` only a
    call that is known is told of.
    """

    shard: int
    claim: records.Claim
    bill: records.BillOpen | None = None
    grants: bool = True


@messages.message("claim-reply")
@attrs.frozen(kw_only=True)
class ClaimReply:
    """Whether the call may be dispatched, or what became of it.

    `is_asked` tells of a call in doubt that the service is asked about it.
    """

    verdict: str
    nonce: str = ""
    answer: records.Answer | None = None
    is_asked: bool = False


@messages.message("outcome-tell")
@attrs.frozen(kw_only=True)
class OutcomeTell:
    """Tells how a claimed call ended, and its bill."""

    shard: int
    outcome: records.Outcome
    bill: records.BillClose | None = None


@messages.message("bills-tell")
@attrs.frozen(kw_only=True)
class BillsTell:
    """Tells of dispatched and of billed requests; may be repeated.

    With `held` the reply does not wait for the commit: it tells that the owner
    holds the records in memory. A call without records and without `held` waits for
    the commit of all that the owner holds.
    """

    shard: int
    opens: list[records.BillOpen] = attrs.field(factory=list)
    closes: list[records.BillClose] = attrs.field(factory=list)
    held: bool = False


@messages.message("pin-ask")
@attrs.frozen(kw_only=True)
class PinAsk:
    """Asks for a session's version.

    `proposed` is pinned if the session has none, or if its pin is to `replaces`.
    With `durable` the reply waits until the pin is committed.
    """

    shard: int
    pin: records.Pin
    replaces: str = ""
    durable: bool = False


@messages.message("pin-reply")
@attrs.frozen(kw_only=True)
class PinReply:
    """The version of the session; `is_new` when this call pinned it."""

    version: str
    is_new: bool


@messages.message("crash-tell")
@attrs.frozen(kw_only=True)
class CrashTell:
    """Tells that a request may have crashed an upstream."""

    shard: int
    crash: records.Crash


@messages.message("crash-reply")
@attrs.frozen(kw_only=True)
class CrashReply:
    """How many upstreams the request may have crashed."""

    count: int


@messages.message("warmth-tell")
@attrs.frozen(kw_only=True)
class WarmthTell:
    """Tells the owner's log that an upstream is warm or cold."""

    shard: int
    warmth: records.Warmth


@messages.message("warmth-reply")
@attrs.frozen(kw_only=True)
class WarmthReply:
    """The warmth as recorded; the owner orders changes by its `at`."""

    warmth: records.Warmth


@messages.message("trial-tell")
@attrs.frozen(kw_only=True)
class TrialTell:
    """Tells that a version is stopped, or goes on to a stage of its roll-out."""

    shard: int
    trial: records.Trial


@messages.message("spend-tell")
@attrs.frozen(kw_only=True)
class SpendTell:
    """Tells what a customer spent through the sender; cumulative, may be repeated."""

    shard: int
    spend: records.Spend


@messages.message("spend-reply")
@attrs.frozen(kw_only=True)
class SpendReply:
    """What the customer spent in the window, over all instances."""

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
    waits : bool
        Whether the reply waits until the records, and those before, are committed.
    """

    reply: object
    writes: list[object] = attrs.field(factory=list)
    waits: bool = True


Decider = collections.abc.Callable[[state.State, typing.Any, IsRunning], Decision]
DECIDERS: registry.Registry[Decider] = registry.Registry(kind="shard operation")


def decide(working: state.State, op: typing.Any, is_running: IsRunning) -> Decision:
    """Run the decider of the operation's kind."""
    return DECIDERS.get(op.MESSAGE_KIND)(working, op, is_running)


@DECIDERS.register(ClaimAsk.MESSAGE_KIND)
def decide_claim(working: state.State, op: ClaimAsk, is_running: IsRunning) -> Decision:
    """Grant the claim if the call was never claimed, or was released as not run."""
    claim = op.claim
    if not op.grants and not is_claimed(working, claim.key):
        return Decision(reply=ClaimReply(verdict=ABSENT), waits=False)
    if working.add_claim(claim):
        reply = ClaimReply(verdict=GRANTED, nonce=claim.nonce)
        writes: list[object] = [claim]
        if op.bill is not None and working.open_bill(op.bill):
            writes.append(op.bill)
        return Decision(reply=reply, writes=writes)
    known = working.calls[claim.key]
    if known.claim.fingerprint != claim.fingerprint:
        return Decision(reply=ClaimReply(verdict=MISMATCH), waits=False)
    if state.is_final(known):
        reply = ClaimReply(verdict=RECORDED, answer=known.outcome.answer)
        return Decision(reply=reply, waits=False)
    if known.outcome is None and known.claim.nonce == claim.nonce:
        return Decision(reply=ClaimReply(verdict=GRANTED, nonce=claim.nonce))
    reply = ClaimReply(
        verdict=IN_DOUBT if is_in_doubt(known, is_running) else PENDING,
        nonce=known.claim.nonce,
        is_asked=known.claim.inquiry is not None,
    )
    return Decision(reply=reply, waits=False)


def is_claimed(working: state.State, key: str) -> bool:
    """Tell whether a call is claimed and was not released."""
    known = working.calls.get(key)
    return known is not None and not state.is_released(known)


def is_in_doubt(call: state.Call, is_running: IsRunning) -> bool:
    """Tell whether a call without a final outcome is at work no more."""
    if state.is_final(call):
        return False
    return call.outcome is not None or not is_running(call.claim.run)


@DECIDERS.register(OutcomeTell.MESSAGE_KIND)
def decide_outcome(
    working: state.State, op: OutcomeTell, is_running: IsRunning
) -> Decision:
    """Record the outcome of the attempt that holds the claim."""
    writes: list[object] = [op.outcome] if working.add_outcome(op.outcome) else []
    if op.bill is not None and working.close_bill(op.bill, op.bill.at):
        writes.append(op.bill)
    return Decision(reply=Done(), writes=writes)


@DECIDERS.register(BillsTell.MESSAGE_KIND)
def decide_bills(
    working: state.State, op: BillsTell, is_running: IsRunning
) -> Decision:
    """Record what is new; an open record whose bill is known is left out."""
    closes = [row for row in op.closes if working.close_bill(row, row.at)]
    opens = [row for row in op.opens if working.open_bill(row)]
    return Decision(reply=Done(), writes=[*opens, *closes], waits=not op.held)


@DECIDERS.register(PinAsk.MESSAGE_KIND)
def decide_pin(working: state.State, op: PinAsk, is_running: IsRunning) -> Decision:
    """Keep the pin there is, unless the call replaces just that one."""
    known = working.pins.get(op.pin.key)
    if known is not None and known.version != op.replaces:
        reply = PinReply(version=known.version, is_new=False)
        return Decision(reply=reply, waits=op.durable)
    working.pins[op.pin.key] = op.pin
    reply = PinReply(version=op.pin.version, is_new=True)
    return Decision(reply=reply, writes=[op.pin], waits=op.durable)


@DECIDERS.register(CrashTell.MESSAGE_KIND)
def decide_crash(
    working: state.State, op: CrashTell, is_running: IsRunning
) -> Decision:
    """Count the upstreams that the request may have crashed."""
    writes = [op.crash] if working.add_crash(op.crash) else []
    count = len(working.recent_crashes(op.crash.fingerprint, op.crash.at))
    return Decision(reply=CrashReply(count=count), writes=writes)


@DECIDERS.register(WarmthTell.MESSAGE_KIND)
def decide_warmth(
    working: state.State, op: WarmthTell, is_running: IsRunning
) -> Decision:
    """Record a change of an upstream's warmth, later than the last one."""
    known = working.warmth.get(op.warmth.upstream)
    if known is not None and known.warm == op.warmth.warm:
        return Decision(reply=WarmthReply(warmth=known))
    warmth = op.warmth
    if known is not None:
        warmth = attrs.evolve(warmth, at=max(warmth.at, known.at + 1))
    working.warmth[warmth.upstream] = warmth
    return Decision(reply=WarmthReply(warmth=warmth), writes=[warmth])


@DECIDERS.register(TrialTell.MESSAGE_KIND)
def decide_trial(
    working: state.State, op: TrialTell, is_running: IsRunning
) -> Decision:
    """Record a stop or a stage, once."""
    writes: list[object] = [op.trial] if working.add_trial(op.trial) else []
    return Decision(reply=Done(), writes=writes)


@DECIDERS.register(SpendTell.MESSAGE_KIND)
def decide_spend(
    working: state.State, op: SpendTell, is_running: IsRunning
) -> Decision:
    """Record what is new and reply with the sum; the reply does not wait."""
    writes: list[object] = [op.spend] if working.add_spend(op.spend) else []
    reply = SpendReply(total=working.spent(op.spend.key))
    return Decision(reply=reply, writes=writes, waits=False)
