"""Accounting of each dispatch: load of the upstream, retry budget and evidence."""

import attrs
from masticpost_common import clock

from masticpost_gateway import shared
from masticpost_gateway.learning import feedback, progress
from masticpost_gateway.routing import placement, retrybudget
from masticpost_gateway.serving import call as calls
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import health


@attrs.define(kw_only=True)
class Dispatch:
    """One sending of a request to an upstream.

    Attributes
    ----------
    level : str
        Name of the requested model, empty when the caller chose.
    sent_at : float
        Time of sending, in monotonic seconds.
    prefill : placement.Prefill or None
        The prompt to process, None without a prompt.
    work : loads.ActiveRequest or None
        The load that is reported for this dispatch, None without a prompt.
    uncached_tokens : int
        Tokens of the prompt that the upstream has probably not cached.
    charge : retrybudget.Charge or None
        The retry that was counted, None for a first attempt.
    """

    upstream: model.Upstream
    level: str
    health: health.Health
    progress: progress.AnswerProgress
    sent_at: float
    prefill: placement.Prefill | None
    work: loads.ActiveRequest | None = None
    uncached_tokens: int = 0
    charge: retrybudget.Charge | None = None


class Dispatches:
    """Accounts for the dispatches of one request.

    Parameters
    ----------
    parts : shared.Shared
        Components of the instance that all requests use.
    call : call.Call
        The request.
    observer : feedback.Feedback
        Notified of each dispatch.

    Attributes
    ----------
    count : int
        Dispatches that may have reached an upstream.
    """

    def __init__(
        self, *, parts: shared.Shared, call: calls.Call, observer: feedback.Feedback
    ) -> None:
        self.shared = parts
        self.call = call
        self.observer = observer
        self.count = 0
        self._claim: retrybudget.Charge | None = None

    @property
    def is_claimed(self) -> bool:
        """Whether the next dispatch is counted as a retry already."""
        return self._claim is not None

    def claim(self, *, may_borrow: bool = False) -> None:
        """Count the next dispatch as a retry from now on, before it is sent."""
        if self._claim is None:
            self._claim = self.shared.retries.record_retry(
                self.call.service.name, clock.now(), may_borrow=may_borrow
            )

    def release(self) -> None:
        """Uncount a claimed retry that was not sent, as the request has ended."""
        if self._claim is not None:
            self.shared.retries.undo_retry(
                self.call.service.name, self._claim, clock.now()
            )
            self._claim = None

    def begin(
        self,
        upstream: model.Upstream,
        level: str,
        prefill: placement.Prefill | None,
        *,
        may_borrow: bool = False,
    ) -> Dispatch:
        """Account for a dispatch that is about to be sent.

        Parameters
        ----------
        may_borrow : bool
            Whether it may be counted as a borrowed retry: the request has not run.
        """
        now = clock.now()
        charge, self._claim = self._claim, None
        if self.count and charge is None:
            charge = self.shared.retries.record_retry(
                self.call.service.name, now, may_borrow=may_borrow
            )
        self.count += 1
        upstream_health = self.shared.chooser.health_of(upstream)
        upstream_health.outstanding += 1
        dispatch = Dispatch(
            upstream=upstream,
            level=level,
            health=upstream_health,
            progress=self.observer.begin_answer(upstream, level),
            sent_at=now,
            prefill=prefill,
            charge=charge,
        )
        if prefill is not None:
            placer = self.shared.placement
            dispatch.uncached_tokens = placer.uncached_tokens(upstream.name, prefill)
            prefill_s = placer.prefill_s(upstream.name, prefill)
            forecast_s = placer.first_event_s(upstream, prefill)
            dispatch.work = self.shared.loads.begin(
                upstream.name,
                prefill_s,
                service=prefill.service,
                model=prefill.model,
                tokens=prefill.tokens,
            )
            dispatch.work.forecast_s = forecast_s
            self.observer.record_prompt(upstream.name, prefill)
        return dispatch

    def end(
        self,
        upstream_health: health.Health,
        work: loads.ActiveRequest | None,
        progress: progress.AnswerProgress,
    ) -> None:
        """Account for the end of a dispatch, whatever its result."""
        upstream_health.outstanding -= 1
        if work is not None:
            self.shared.loads.end(work)
        self.observer.end_answer(progress)

    def discard(self, dispatch: Dispatch, now: float) -> None:
        """Discount a dispatch that reached no upstream, and refund the retry budget."""
        self.count -= 1
        if dispatch.charge is not None:
            self.shared.retries.undo_retry(self.call.service.name, dispatch.charge, now)
