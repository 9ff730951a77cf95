"""Resolves calls in doubt by querying the service, never by sending them again.

This follows ADR 0062, "Every call to a remote runs under one retry policy": the effect
of a write whose response was not received is found out by reading. See
docs/design/calls.md.
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

from masticpost_entry import acquisition, dispatch, routing, runtime

MAX_QUERIED_UPSTREAMS = 8
QUERY_TIMEOUT_S = 1.0
# First pause between queries while the caller waits.
WAITING_FIRST_PAUSE_S = 0.1
ROUND_INTERVAL_S = 1.0
MAX_CALLS_PER_ROUND = 50
# First and longest pause between background queries about a call; it doubles each time.
BACKGROUND_FIRST_PAUSE_S = 1.0
BACKGROUND_MAX_PAUSE_S = 60.0
RETRY_AFTER_S = 1.0
MS = 1000.0
# Replaced by the idempotency key in an operation's `status_path`.
KEY_PLACEHOLDER = "{key}"


class CallState(enum.Enum):
    """Whether a call ran, according to the upstreams that may have received it."""

    RAN = "ran"
    NOT_SEEN = "not seen by any"
    NOT_KNOWN = "not known"


@attrs.frozen(kw_only=True)
class InquiryResult:
    """State of a call, with the answer if it ran."""

    call_state: CallState
    answer: records.Answer | None = None


@attrs.define(kw_only=True)
class UnresolvedCall:
    """A call in doubt that this instance resolves; times are monotonic seconds.

    Attributes
    ----------
    since : float
        When this instance first saw the call in doubt.
    next_at : float
        When the service is queried next.
    pause_s : float
        Pause after the next query, in seconds.
    """

    since: float
    next_at: float
    pause_s: float = BACKGROUND_FIRST_PAUSE_S


def upstream_key(customer: str, idempotency_key: str) -> str:
    """Return the key that is sent to a service, distinct for each customer."""
    return f"{customer}:{idempotency_key}"


def make_inquiry(
    rt: runtime.Runtime, svc: model.Service, operation: model.Operation, key: str
) -> records.Inquiry | None:
    """Return how to query a call's state, None if the text has no `status_path`."""
    if not operation.status_path:
        return None
    usable = {up.url: up for up in routing.usable_upstreams(rt, svc.name)}
    urls = rendezvous.ranked(usable, key)[:MAX_QUERIED_UPSTREAMS]
    quoted = urllib.parse.quote(key, safe="")
    return records.Inquiry(
        service=svc.name,
        urls=urls,
        path=operation.status_path.replace(KEY_PLACEHOLDER, quoted),
        idempotency_key=key,
        price=operation.price,
        final_after_ms=round(operation.final_after_s * MS),
    )


def upstream_names(rt: runtime.Runtime, inquiry: records.Inquiry) -> frozenset[str]:
    """Return the names of the upstreams that a call may be sent to."""
    urls = set(inquiry.urls)
    return frozenset(up.name for up in rt.text.upstreams.values() if up.url in urls)


async def query_upstreams(
    rt: runtime.Runtime, inquiry: records.Inquiry
) -> InquiryResult:
    """Query every upstream that may have received the call.

    An upstream that is out, removed or cold without a permit is not queried. The state
    is then not known, unless another upstream answers that the call ran.
    """
    serving = rt.pools.of(inquiry.service)
    usable = {up.url: up for up in serving if routing.is_usable(rt, up)}
    queries = [_query_one(rt, inquiry, usable.get(url)) for url in inquiry.urls]
    replies = await asyncio.gather(*queries)
    for result in replies:
        if result.call_state is CallState.RAN:
            return result
    if replies and all(result.call_state is CallState.NOT_SEEN for result in replies):
        return replies[0]
    return InquiryResult(call_state=CallState.NOT_KNOWN)


async def _query_one(
    rt: runtime.Runtime, inquiry: records.Inquiry, up: model.Upstream | None
) -> InquiryResult:
    not_known = InquiryResult(call_state=CallState.NOT_KNOWN)
    selection = await acquisition.acquire_upstream(rt, up) if up is not None else None
    if selection is None:
        return not_known
    requirements = routing.Requirements(target=inquiry.service, policy="")
    req = plain.PlainRequest(
        method="GET",
        path=inquiry.path,
        query="",
        headers={},
        body=b"",
        idempotency_key=inquiry.idempotency_key,
    )
    try:
        answer = await dispatch.send(rt, selection, requirements, req, QUERY_TIMEOUT_S)
    except faults.UpstreamError:
        return not_known
    if answer.status == 404:
        return InquiryResult(call_state=CallState.NOT_SEEN)
    if not 200 <= answer.status < 300:
        return not_known
    recorded = records.Answer(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )
    return InquiryResult(call_state=CallState.RAN, answer=recorded)


async def resolve_while_waiting(
    rt: runtime.Runtime,
    granted: claims.Granted,
    inquiry: records.Inquiry | None,
    opened: records.BillOpen,
    deadline: float,
) -> records.Answer | None:
    """Report a call as in doubt and query its state while the caller waits.

    Parameters
    ----------
    rt : runtime.Runtime
        Runtime of the instance.
    granted : claims.Granted
        Claim of the call.
    inquiry : records.Inquiry or None
        How to query the state; None if that is not possible.
    opened : records.BillOpen
        Opening record of the call's bill.
    deadline : float
        Deadline of the call in monotonic seconds. The wait also ends after
        `ask_at_once_s` of the runtime.

    Returns
    -------
    records.Answer or None
        Answer of the call if it ran, None if the call is still in doubt.

    Raises
    ------
    errors.RefusalError
        ``upstream_failed``, not run, if the call certainly never runs.
    """
    rt.cluster.claims.mark_in_doubt(granted)
    if inquiry is None:
        return None
    since = time.monotonic()
    until = min(deadline, since + rt.ask_at_once_s)
    pauses = retry.RetryPolicy(initial_backoff_s=WAITING_FIRST_PAUSE_S).backoff_delays()
    while time.monotonic() < until:
        result = await query_upstreams(rt, inquiry)
        if result.call_state is CallState.RAN:
            bill = make_bill(opened, inquiry)
            rt.cluster.budgets.add(opened.customer, bill.cost)
            await rt.cluster.claims.finish(granted, result.answer, bill)
            return result.answer
        if result.call_state is CallState.NOT_SEEN and _can_no_longer_run(
            inquiry, since
        ):
            rt.cluster.claims.release(granted)
            raise errors.refuse(
                502,
                "upstream_failed",
                "The upstream failed; the service reports that the call did not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        await asyncio.sleep(next(pauses))
    return None


def _can_no_longer_run(inquiry: records.Inquiry, since: float) -> bool:
    """Return whether a call that no upstream has seen by now certainly never runs.

    A service may promise a time, `final_after_ms`, after which it runs no such call.
    """
    waited_ms = (time.monotonic() - since) * MS
    return 0 < inquiry.final_after_ms <= waited_ms


def make_bill(opened: records.BillOpen, inquiry: records.Inquiry) -> records.BillClose:
    """Return the record that closes the bill of a call that ran."""
    return records.BillClose(
        key=opened.key,
        customer=opened.customer,
        service=opened.service,
        version=opened.version,
        state=records.ANSWERED,
        at=clock.wall_ms(),
        cost=inquiry.price,
    )


class InDoubtResolver(mode.Service):
    """Resolves the calls in doubt of the shards that this instance owns.

    That a call ran is recorded for every call in doubt. That it never runs is recorded
    only once its instance has reported that it will not send it any more, because a
    paused instance may still send it.

    Parameters
    ----------
    rt : runtime.Runtime
        Runtime of the instance.
    """

    def __init__(self, *, rt: runtime.Runtime) -> None:
        super().__init__()
        self.rt = rt
        self._unresolved: dict[str, UnresolvedCall] = {}

    @mode.Service.task
    async def resolve_loop(self) -> None:
        """Query the state of each call in doubt, with increasing pauses."""
        while not self.should_stop:
            await asyncio.sleep(ROUND_INTERVAL_S)
            if self.rt.cluster.texts.in_force is None:
                continue
            calls = self._calls_in_doubt()
            self._remove_resolved(calls)
            due = [call for call in calls.values() if self._is_due(call)]
            await asyncio.gather(*(self._resolve(c) for c in due[:MAX_CALLS_PER_ROUND]))

    def _calls_in_doubt(self) -> dict[str, state.Call]:
        shards = self.rt.cluster.shards
        return {
            key: call
            for owner in shards.owners.values()
            if owner.is_serving
            for key, call in owner.working_state.calls.items()
            if call.claim.inquiry is not None
            and ops.is_in_doubt(call, shards.is_running)
        }

    def _remove_resolved(self, calls: dict[str, state.Call]) -> None:
        for key in [key for key in self._unresolved if key not in calls]:
            del self._unresolved[key]

    def _is_due(self, call: state.Call) -> bool:
        now = time.monotonic()
        unresolved = self._unresolved.setdefault(
            call.claim.key,
            UnresolvedCall(since=now, next_at=now + BACKGROUND_FIRST_PAUSE_S),
        )
        return now >= unresolved.next_at

    async def _resolve(self, call: state.Call) -> None:
        claim = call.claim
        unresolved = self._unresolved[claim.key]
        since = unresolved.since if call.outcome is not None else time.monotonic()
        granted = claims.Granted(key=claim.key, nonce=claim.nonce)
        result = await query_upstreams(self.rt, claim.inquiry)
        if result.call_state is CallState.RAN:
            bill = self._bill(claim)
            if bill is not None:
                self.rt.cluster.budgets.add(bill.customer, bill.cost)
            await self.rt.cluster.claims.finish(granted, result.answer, bill)
            logger.info("call in doubt resolved: it ran")
        elif result.call_state is CallState.NOT_SEEN and _can_no_longer_run(
            claim.inquiry, since
        ):
            self.rt.cluster.claims.release(granted)
            logger.info("call in doubt resolved: it never runs")
        unresolved.next_at = time.monotonic() + unresolved.pause_s
        unresolved.pause_s = min(BACKGROUND_MAX_PAUSE_S, 2 * unresolved.pause_s)

    def _bill(self, claim: records.Claim) -> records.BillClose | None:
        shards = self.rt.cluster.shards
        owner = shards.owners.get(shards.shard_of(claim.key))
        if owner is None or owner.working_state is None:
            return None
        opened = owner.working_state.open_bills.get(claim.key)
        return make_bill(opened, claim.inquiry) if opened is not None else None
