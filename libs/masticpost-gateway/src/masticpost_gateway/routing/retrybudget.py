"""This instance's share of the retries that a service bears, over a sliding window."""

import collections
import collections.abc

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """Bounds on the repeats of all instances together.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request in a window.
    slack : float
        Repeats allowed besides, in a window.
    window_s : float
        Length of the window.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: float = 10.0


SAFETY_FACTOR = 0.85
PLANNED_RETRY_SHARE = 0.8


@attrs.define(kw_only=True)
class Counts:
    """Times of requests and of repeats for one service, monotonic seconds."""

    requests: collections.deque = attrs.field(factory=collections.deque)
    retries: collections.deque = attrs.field(factory=collections.deque)

    def discard(self, before: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < before:
                times.popleft()


class RetryBudget:
    """Counts requests and repeats and tells whether one more repeat is allowed.

    Parameters
    ----------
    bounds : Bounds
        Bounds over all instances.
    members : callable
        Returns the number of living instances, this one included.
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
        """Tell whether a repeat is within this instance's share.

        Planned repeats, such as escalations, leave a part to those after failures.
        """
        counts = self._counts_of(service, now)
        allowed = self.bounds.ratio * len(counts.requests)
        allowed += self.bounds.slack / max(1, self.members())
        allowed *= SAFETY_FACTOR * (PLANNED_RETRY_SHARE if is_planned else 1.0)
        return len(counts.retries) + 1 <= allowed

    def record_retry(self, service: str, now: float) -> None:
        """Count a repeat."""
        self._counts_of(service, now).retries.append(now)

    def undo_retry(self, service: str, now: float) -> None:
        """Take back the repeat that was counted last: it has reached no upstream."""
        counts = self._counts_of(service, now)
        if counts.retries:
            counts.retries.pop()

    def _counts_of(self, service: str, now: float) -> Counts:
        counts = self._counts.setdefault(service, Counts())
        counts.discard(now - self.bounds.window_s)
        return counts
