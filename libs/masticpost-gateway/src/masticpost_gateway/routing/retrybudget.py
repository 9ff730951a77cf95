"""Retry budget of a service over a sliding window, split between the instances."""

import collections
import collections.abc

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """Bounds on the retries of all instances together.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request in a window.
    slack : float
        Retries allowed in a window in addition.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0


# Fractions of this instance's share that may be used: by all retries, and of that by
# planned ones.
SAFETY_FACTOR = 0.85
PLANNED_RETRY_SHARE = 0.8


@attrs.define(kw_only=True)
class Counts:
    """Times of the requests and retries of one service, in monotonic seconds."""

    requests: collections.deque = attrs.field(factory=collections.deque)
    retries: collections.deque = attrs.field(factory=collections.deque)

    def discard(self, before: float) -> None:
        """Discard the times before the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """Counts requests and retries, and limits the retries of this instance.

    Parameters
    ----------
    bounds : Bounds
        Bounds on all instances together.
    members : callable
        Returns the number of live instances, this one included.
    """

    def __init__(
        self, *, bounds: Bounds, members: collections.abc.Callable[[], int]
    ) -> None:
        self.bounds = bounds
        self.members = members
        self._counts: dict[str, Counts] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        self._counts_of(service, now).requests.append(now)

    def may_retry(self, service: str, now: float, *, is_planned: bool = False) -> bool:
        """Return whether a retry is within this instance's share of the budget.

        Planned retries, such as escalations, leave a part of the budget to retries
        after failures.
        """
        counts = self._counts_of(service, now)
        allowed = self.bounds.ratio * len(counts.requests)
        allowed += self.bounds.slack / max(1, self.members())
        allowed *= SAFETY_FACTOR * (PLANNED_RETRY_SHARE if is_planned else 1.0)
        return len(counts.retries) + 1 <= allowed

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry."""
        self._counts_of(service, now).retries.append(now)

    def undo_retry(self, service: str, now: float) -> None:
        """Uncount the latest retry, which did not reach an upstream."""
        counts = self._counts_of(service, now)
        if counts.retries:
            counts.retries.pop()

    def _counts_of(self, service: str, now: float) -> Counts:
        counts = self._counts.setdefault(service, Counts())
        counts.discard(now - self.bounds.window_s)
        return counts
