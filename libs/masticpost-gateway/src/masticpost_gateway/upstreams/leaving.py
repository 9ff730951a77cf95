"""Leave announcements and hold-offs that upstreams send in response headers.

An upstream that is about to stop announces it in each of its responses, often before
its store entry shows it. An overloaded upstream may send `Retry-After` to ask for a
hold-off. Both apply only to that run (process lifetime) of the upstream, and only to
this instance.
"""

import math

import attrs
from loguru import logger

from masticpost_gateway.serving import headers
from masticpost_gateway.state import model

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Limits the effect of one wrong Retry-After; an upstream that is still overloaded after
# this time sends it again.
MAX_HOLD_OFF_S = 3600.0
# Longer than an upstream keeps serving after it has announced that it stops.
RETENTION_S = 7200.0


@attrs.define(kw_only=True)
class Notice:
    """The last notice of one run of an upstream; times are monotonic seconds.

    Attributes
    ----------
    ready_at : float
        Time from which the upstream may receive requests again; infinite if it leaves.
    """

    received_at: float
    ready_at: float = -math.inf


class Notices:
    """The notices that this instance has received from all upstreams."""

    def __init__(self) -> None:
        self._rows: dict[tuple, Notice] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def record_response(
        self,
        upstream: model.Upstream,
        status: int,
        head: headers.AnswerHead,
        request_id: str,
        now: float,
    ) -> None:
        """Record the notice in a response head, if there is one.

        Parameters
        ----------
        request_id : str
            Request that the upstream responded to, for the log.
        """
        if status == MISDIRECTED_STATUS:
            # Another upstream listens at this address now; its notice is not about
            # the upstream that the request was meant for.
            return
        if head.is_leaving:
            self._hold_off(upstream, math.inf, request_id, now)
        elif status == UNAVAILABLE_STATUS and head.retry_after_s:
            hold_off_s = min(head.retry_after_s, MAX_HOLD_OFF_S)
            self._hold_off(upstream, now + hold_off_s, request_id, now)

    def ready_at(self, upstream: model.Upstream, now: float) -> float:
        """Return the monotonic time in seconds from which an upstream may get requests.

        It is infinite for an upstream that leaves, and `now` for one that is ready.
        """
        row = self._rows.get(upstream.incarnation)
        return now if row is None else max(now, row.ready_at)

    def is_ready(self, upstream: model.Upstream, now: float) -> bool:
        """Return whether an upstream may get requests."""
        return self.ready_at(upstream, now) <= now

    def _hold_off(
        self, upstream: model.Upstream, ready_at: float, request_id: str, now: float
    ) -> None:
        row = self._rows.get(upstream.incarnation)
        if row is None:
            self._remove_older(now - RETENTION_S)
            row = self._rows[upstream.incarnation] = Notice(received_at=now)
        row.received_at = now
        if ready_at <= row.ready_at:
            return
        row.ready_at = ready_at
        is_leaving = math.isinf(ready_at)
        logger.bind(
            event="upstream",
            upstream=upstream.name,
            id=request_id,
            for_s=None if is_leaving else round(ready_at - now, 3),
        ).info("upstream is leaving" if is_leaving else "upstream asked for a hold-off")

    def _remove_older(self, before: float) -> None:
        for key in [key for key, row in self._rows.items() if row.received_at < before]:
            del self._rows[key]
