"""Calls in doubt are settled by asking the service, never by sending them again.

The rule is that of ADR 0062, "Every call to a remote runs under one retry policy": what
a push whose answer was not read did is found out by reading. See docs/design/calls.md.
"""

import asyncio
import enum
import time
import urllib.parse

import attrs
import mode
from loguru import logger
from masticpost_common import clock, errors, rendezvous, retry
from masticpost_shards import claims, ops, records, state
from masticpost_text import model
from masticpost_upstream import faults, plain

from masticpost_entry import dispatch, routing, runtime

MAX_ASKED = 8
ASK_TIMEOUT_S = 1.0
AT_ONCE_PAUSE_S = 0.1
ROUND_S = 1.0
MAX_PER_ROUND = 50
PAUSE_FIRST_S = 1.0
PAUSE_MAX_S = 60.0
RETRY_AFTER_S = 1.0
MS = 1000.0
KEY_FIELD = "{key}"


class CallState(enum.Enum):
    """What the upstreams of a call say of it."""

    RAN = "ran"
    NOT_SEEN = "not seen by any"
    NOT_KNOWN = "not known"


@attrs.frozen(kw_only=True)
class Told:
    """A state, with the answer of a call that ran."""

    call_state: CallState
    answer: records.Answer | None = None


@attrs.define(kw_only=True)
class Doubt:
    """A doubt that this instance settles; times are monotonic seconds."""

    since: float
    next_at: float
    pause_s: float = PAUSE_FIRST_S


def upstream_key(customer: str, idempotency_key: str) -> str:
    """Return the key as a service gets it, apart from other customers' keys."""
    return f"{customer}:{idempotency_key}"


def inquiry_for(
    rt: runtime.Runtime, svc: model.Service, operation: model.Operation, key: str
) -> records.Inquiry | None:
    """Return how to ask about a call, None where the text does not say."""
    if not operation.status_path:
        return None
    usable = {up.url: up for up in routing.usable_upstreams(rt, svc.name)}
    urls = rendezvous.ranked(usable, key)[:MAX_ASKED]
    quoted = urllib.parse.quote(key, safe="")
    return records.Inquiry(
        service=svc.name,
        urls=urls,
        path=operation.status_path.replace(KEY_FIELD, quoted),
        idempotency_key=key,
        price=operation.price,
        final_after_ms=round(operation.final_after_s * MS),
    )


def names_in(rt: runtime.Runtime, inquiry: records.Inquiry) -> frozenset[str]:
    """Return the names of the upstreams that the call may be sent to."""
    urls = set(inquiry.urls)
    return frozenset(up.name for up in rt.text.upstreams.values() if up.url in urls)


async def ask(rt: runtime.Runtime, inquiry: records.Inquiry) -> Told:
    """Ask every upstream that may have got the call.

    One that is out, removed or cold without a permit is not asked; then it is not known
    whether the call ran, unless another one says that it did.
    """
    serving = rt.pools.of(inquiry.service)
    usable = {up.url: up for up in serving if routing.is_usable(rt, up)}
    works = [_ask_one(rt, inquiry, usable.get(url)) for url in inquiry.urls]
    replies = await asyncio.gather(*works)
    for told in replies:
        if told.call_state is CallState.RAN:
            return told
    if replies and all(told.call_state is CallState.NOT_SEEN for told in replies):
        return replies[0]
    return Told(call_state=CallState.NOT_KNOWN)


async def _ask_one(
    rt: runtime.Runtime, inquiry: records.Inquiry, up: model.Upstream | None
) -> Told:
    unknown = Told(call_state=CallState.NOT_KNOWN)
    place = await routing.place_on(rt, up) if up is not None else None
    if place is None:
        return unknown
    need = routing.Need(target=inquiry.service, policy="")
    req = plain.PlainRequest(
        method="GET",
        path=inquiry.path,
        query="",
        headers={},
        body=b"",
        idempotency_key=inquiry.idempotency_key,
    )
    try:
        answer = await dispatch.send(rt, place, need, req, ASK_TIMEOUT_S)
    except faults.UpstreamError:
        return unknown
    if answer.status == 404:
        return Told(call_state=CallState.NOT_SEEN)
    if not 200 <= answer.status < 300:
        return unknown
    recorded = records.Answer(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
    return Told(call_state=CallState.RAN, answer=recorded)


async def settle_at_once(
    rt: runtime.Runtime,
    granted: claims.Granted,
    inquiry: records.Inquiry | None,
    opened: records.BillOpen,
    deadline: float,
) -> records.Answer | None:
    """Ask for a short while after a failure, while the caller waits anyway.

    Returns the answer of a call that ran, None while that is not known.

    Raises
    ------
    errors.RefusalError
        ``upstream_failed``, ran: no, when the call certainly never runs.
    """
    rt.agreed.claims.mark_in_doubt(granted)
    if inquiry is None:
        return None
    since = time.monotonic()
    until = min(deadline, since + rt.ask_at_once_s)
    pauses = retry.RetryPolicy(first_pause_s=AT_ONCE_PAUSE_S).pauses_of()
    while time.monotonic() < until:
        told = await ask(rt, inquiry)
        if told.call_state is CallState.RAN:
            bill = bill_of(opened, inquiry)
            rt.agreed.budgets.add(opened.customer, bill.cost)
            await rt.agreed.claims.finish(granted, told.answer, bill)
            return told.answer
        if told.call_state is CallState.NOT_SEEN and _is_final(inquiry, since):
            rt.agreed.claims.release(granted)
            raise errors.refuse(
                502,
                "upstream_failed",
                "The upstream failed; the service says that the call did not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        await asyncio.sleep(next(pauses))
    return None


def _is_final(inquiry: records.Inquiry, since: float) -> bool:
    """Tell whether a call that no upstream has seen by now never runs."""
    waited_ms = (time.monotonic() - since) * MS
    return 0 < inquiry.final_after_ms <= waited_ms


def bill_of(opened: records.BillOpen, inquiry: records.Inquiry) -> records.BillClose:
    """Return the bill of a call that turned out to have run."""
    return records.BillClose(
        key=opened.key,
        customer=opened.customer,
        service=opened.service,
        version=opened.version,
        state=records.ANSWERED,
        at=clock.wall_ms(),
        cost=inquiry.price,
    )


class Doubts(mode.Service):
    """Settles the doubts of the shards that are owned here.

    That a call ran is settled for every call in doubt. That it never runs is settled
    only once its instance told that it sends it no more: one that is paused may still.

    Parameters
    ----------
    rt : runtime.Runtime
        The instance at work.
    """

    def __init__(self, *, rt: runtime.Runtime) -> None:
        super().__init__()
        self.rt = rt
        self._doubts: dict[str, Doubt] = {}

    @mode.Service.task
    async def rounds(self) -> None:
        """Ask about each doubt, with growing pauses."""
        while not self.should_stop:
            await asyncio.sleep(ROUND_S)
            if self.rt.agreed.keeper.in_force is None:
                continue
            calls = self._in_doubt()
            self._forget_all_but(calls)
            due = [call for call in calls.values() if self._is_due(call)]
            await asyncio.gather(*(self._settle(c) for c in due[:MAX_PER_ROUND]))

    def _in_doubt(self) -> dict[str, state.Call]:
        shards = self.rt.agreed.shards
        return {
            key: call
            for own in shards.owners.values()
            if own.is_serving
            for key, call in own.working_state.calls.items()
            if call.claim.inquiry is not None
            and ops.is_in_doubt(call, shards.is_running)
        }

    def _forget_all_but(self, calls: dict[str, state.Call]) -> None:
        for key in [key for key in self._doubts if key not in calls]:
            del self._doubts[key]

    def _is_due(self, call: state.Call) -> bool:
        now = time.monotonic()
        known = self._doubts.setdefault(
            call.claim.key, Doubt(since=now, next_at=now + PAUSE_FIRST_S)
        )
        return now >= known.next_at

    async def _settle(self, call: state.Call) -> None:
        claim = call.claim
        known = self._doubts[claim.key]
        since = known.since if call.outcome is not None else time.monotonic()
        granted = claims.Granted(key=claim.key, nonce=claim.nonce)
        told = await ask(self.rt, claim.inquiry)
        if told.call_state is CallState.RAN:
            bill = self._bill(claim)
            if bill is not None:
                self.rt.agreed.budgets.add(bill.customer, bill.cost)
            await self.rt.agreed.claims.finish(granted, told.answer, bill)
            logger.info("a call in doubt ran")
        elif told.call_state is CallState.NOT_SEEN and _is_final(claim.inquiry, since):
            self.rt.agreed.claims.release(granted)
            logger.info("a call in doubt never ran")
        known.next_at = time.monotonic() + known.pause_s
        known.pause_s = min(PAUSE_MAX_S, 2 * known.pause_s)

    def _bill(self, claim: records.Claim) -> records.BillClose | None:
        shards = self.rt.agreed.shards
        own = shards.owners.get(shards.shard_of(claim.key))
        if own is None or own.working_state is None:
            return None
        opened = own.working_state.open_bills.get(claim.key)
        return bill_of(opened, claim.inquiry) if opened is not None else None
