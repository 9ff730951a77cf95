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


SAFETY = 0.85
PLANNED_SHARE = 0.8


@attrs.define(kw_only=True)
class Counts:
    """Times of requests and of repeats for one service, monotonic seconds."""

    requests: collections.deque = attrs.field(factory=collections.deque)
    repeats: collections.deque = attrs.field(factory=collections.deque)

    def forget(self, before: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class RetryShare:
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

    def first(self, service: str, now: float) -> None:
        """Count a request."""
        self._of(service, now).requests.append(now)

    def may_repeat(self, service: str, now: float, *, is_planned: bool = False) -> bool:
        """Tell whether a repeat is within this instance's share.

        Planned repeats, such as escalations, leave a part to those after failures.
        """
        counts = self._of(service, now)
        allowed = self.bounds.ratio * len(counts.requests)
        allowed += self.bounds.slack / max(1, self.members())
        allowed *= SAFETY * (PLANNED_SHARE if is_planned else 1.0)
        return len(counts.repeats) + 1 <= allowed

    def repeated(self, service: str, now: float) -> None:
        """Count a repeat."""
        self._of(service, now).repeats.append(now)

    def not_arrived(self, service: str, now: float) -> None:
        """Take back the repeat that was counted last: it has reached no upstream."""
        counts = self._of(service, now)
        if counts.repeats:
            counts.repeats.pop()

    def _of(self, service: str, now: float) -> Counts:
        counts = self._counts.setdefault(service, Counts())
        counts.forget(now - self.bounds.window_s)
        return counts
