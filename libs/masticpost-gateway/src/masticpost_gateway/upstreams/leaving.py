"""What upstreams say of themselves in their answers.

An upstream that is about to stop says so in each of its answers, often before its entry
in the store does. One that is full may tell for how long it wants no further request.
Both hold for that run of the upstream only, and for this instance.
"""

import math

import attrs
from loguru import logger

from masticpost_gateway.serving import headers
from masticpost_gateway.state import model

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Bounds the harm of one wrong answer; an upstream that lives longer says it again.
MAX_HOLD_OFF_S = 3600.0
# Longer than an upstream serves on after it has said that it stops.
RETENTION_S = 7200.0


@attrs.define(kw_only=True)
class Notice:
    """What one run of an upstream said; times are monotonic seconds."""

    received_at: float
    ready_at: float = -math.inf


class Notices:
    """What every upstream said in its answers to this instance."""

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
        """Read an answer's head for what it says of its upstream.

        Parameters
        ----------
        request_id : str
            Request that was answered, for the log.
        """
        if status == MISDIRECTED_STATUS:
            # Another upstream has the address and speaks for itself.
            return
        if head.is_leaving:
            self._hold_off(upstream, math.inf, request_id, now)
        elif status == UNAVAILABLE_STATUS and head.retry_after_s:
            hold_off_s = min(head.retry_after_s, MAX_HOLD_OFF_S)
            self._hold_off(upstream, now + hold_off_s, request_id, now)

    def ready_at(self, upstream: model.Upstream, now: float) -> float:
        """Return the time from which on an upstream may get requests.

        It is infinite for one that leaves, and not after `now` for one that is ready.
        """
        row = self._rows.get(upstream.incarnation)
        return now if row is None else max(now, row.ready_at)

    def is_ready(self, upstream: model.Upstream, now: float) -> bool:
        """Tell whether an upstream may get requests."""
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
        leaves = math.isinf(ready_at)
        logger.bind(
            event="upstream",
            upstream=upstream.name,
            id=request_id,
            for_s=None if leaves else round(ready_at - now, 3),
        ).info("says that it leaves" if leaves else "wants no requests")

    def _remove_older(self, before: float) -> None:
        for key in [key for key, row in self._rows.items() if row.received_at < before]:
            del self._rows[key]
