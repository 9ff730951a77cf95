"""Requests to upstreams: their headers, and validation of the answers."""

import aiohttp
from masticpost_common import retry

from masticpost_gateway.serving import call as calls
from masticpost_gateway.serving import headers
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import conns, leaving

# Reasons of failed attempts. The first word is a label value of the metric of attempts.
NOT_CONNECTED = "not connected"
BROKEN = "broken"
FULL = "full"
SILENT = "no answer in time"
MOVED = "another upstream has the address"
MS_PER_S = 1000.0
# Urgency sent to upstreams with a stream, by priority; the last one is for all higher.
URGENCY_OF_PRIORITY = (1, 4, 7)


class TryError(Exception):
    """An attempt that brought no answer to forward.

    Parameters
    ----------
    verdict : retry.Verdict
        Whether the request may have run at the upstream.
    reason : str
        Short cause for the log.
    """

    def __init__(self, verdict: retry.Verdict, reason: str) -> None:
        self.verdict = verdict
        self.reason = reason
        super().__init__(reason)


def outgoing(
    call: calls.Call,
    names: headers.HeaderNames,
    upstream: model.Upstream,
    level: str,
    last_id: str,
    urgency: int | None = None,
) -> conns.OutgoingRequest:
    """Return the request to send to an upstream.

    Parameters
    ----------
    level : str
        Model that is to answer; empty to keep the caller's choice.
    last_id : str
        Id of the last event that the caller has received; empty for none.
    urgency : int or None
        Rank of a stream in the queue of the upstream, 0 to 9; None to rank it by its
        priority.
    """
    out = call.passed.copy()
    out[names.deadline_ms] = str(max(1, int(call.left_s() * MS_PER_S)))
    out[names.expected_instance] = upstream.name
    if call.customer:
        out[names.customer] = call.customer
    if level:
        out[names.model] = level
    if last_id:
        out[names.last_event_id] = last_id
    if call.route.kind.is_stream:
        if urgency is None:
            rank = min(call.priority, len(URGENCY_OF_PRIORITY) - 1)
            urgency = URGENCY_OF_PRIORITY[rank]
        out[names.urgency] = str(urgency)
    return conns.OutgoingRequest(
        method=call.method, target=call.target, headers=out, body=call.body
    )


def check(
    resp: aiohttp.ClientResponse, head: headers.AnswerHead, request_id: str
) -> None:
    """Raise unless an answer belongs to the request and may be forwarded.

    Raises
    ------
    TryError
        The upstream did not run the request, or the answer is not usable.
    """
    if head.request_id != request_id:
        raise TryError(retry.Verdict.NOT_KNOWN, "answer to another request")
    if resp.status == leaving.MISDIRECTED_STATUS:
        raise TryError(retry.Verdict.NOT_PROCESSED, MOVED)
    if head.is_not_run and resp.status == leaving.UNAVAILABLE_STATUS:
        raise TryError(retry.Verdict.NOT_PROCESSED, FULL)
    if head.is_not_run:
        raise TryError(retry.Verdict.NOT_PROCESSED, f"not run: {resp.status}")
    if resp.status < 300 and not head.is_signed:
        raise TryError(retry.Verdict.NOT_KNOWN, "answer without signature")
    if "Content-Encoding" in resp.headers:
        raise TryError(retry.Verdict.NOT_KNOWN, "answer with an encoding")
