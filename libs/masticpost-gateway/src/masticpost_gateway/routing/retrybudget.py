"""Retry budget of a service over a sliding window, split between the instances.

An instance may lend a part of its share. It counts what it lends as used from then on,
for a window and the time in which the borrower may use it. A loan that is lost on the
way stays counted, so that the bound over all instances holds.
"""

import collections
import collections.abc
import copy
import math

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
# Time in which a borrowed retry may be used, from when the borrower asked for it.
USE_WITHIN_S = 1.0
# Retries lent at a time at most, and retries that a lender keeps for itself.
MAX_LOAN = 4
KEPT_RETRIES = 1


@attrs.frozen(kw_only=True)
class Charge:
    """A retry that was counted, to be uncounted if it does not reach an upstream.

    Attributes
    ----------
    at : float
        Monotonic time in seconds at which it was counted.
    use_by : float or None
        Time until which it could be used if it was borrowed; None for an own one.
    """

    at: float
    use_by: float | None = None


@attrs.frozen(kw_only=True)
class Left:
    """Retries that an instance may still send now.

    Attributes
    ----------
    own, planned : float
        Left of its share for all retries, and for planned ones; below 1 for none.
    borrowed : int
        Borrowed ones, for requests that no upstream has run.
    """

    own: float
    planned: float
    borrowed: int


@attrs.define(kw_only=True)
class Counts:
    """Requests and retries of one service, as times in monotonic seconds.

    Attributes
    ----------
    requests, retries : collections.deque
        Times of the requests, and of the retries from this instance's share.
    lent : collections.deque
        Times at which retries were lent.
    borrowed : collections.deque
        Times until which the retries not yet used may be used.
    """

    requests: collections.deque = attrs.field(factory=collections.deque)
    retries: collections.deque = attrs.field(factory=collections.deque)
    lent: collections.deque = attrs.field(factory=collections.deque)
    borrowed: collections.deque = attrs.field(factory=collections.deque)

    @property
    def used(self) -> int:
        """Retries that count against this instance's share."""
        return len(self.retries) + len(self.lent)

    def discard(self, now: float, window_s: float) -> None:
        """Discard what no longer counts."""
        _discard(self.requests, now - window_s)
        _discard(self.retries, now - window_s)
        _discard(self.lent, now - window_s - USE_WITHIN_S)
        _discard(self.borrowed, now)


def _discard(times: collections.deque, before: float) -> None:
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
    lends_from : float
        Monotonic time in seconds from which this instance lends. A process that has
        just started does not know what the one before it has used.

    Attributes
    ----------
    borrow : callable or None
        Asks other instances for a retry of a service, for a number of seconds at most.
    """

    def __init__(
        self,
        *,
        bounds: Bounds,
        members: collections.abc.Callable[[], int],
        lends_from: float = -math.inf,
    ) -> None:
        self.bounds = bounds
        self.members = members
        self.lends_from = lends_from
        self.borrow: (
            collections.abc.Callable[[str, float], collections.abc.Awaitable[None]]
            | None
        ) = None
        self._counts: dict[str, Counts] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request."""
        self._counts_of(service, now).requests.append(now)

    def may_retry(
        self,
        service: str,
        now: float,
        *,
        is_planned: bool = False,
        may_borrow: bool = False,
    ) -> bool:
        """Return whether a retry is within this instance's share of the budget.

        Planned retries, such as escalations, leave a part of the budget to retries
        after failures.

        Parameters
        ----------
        may_borrow : bool
            Whether the retry may be a borrowed one: no upstream has run the request.
        """
        counts = self._counts_of(service, now)
        allowed = self._share(counts) * (PLANNED_RETRY_SHARE if is_planned else 1.0)
        if counts.used + 1 <= allowed:
            return True
        return may_borrow and bool(counts.borrowed)

    def left(self, service: str, now: float) -> Left:
        """Return the retries that may be sent now; counts nothing."""
        counts = copy.deepcopy(self._counts.get(service, Counts()))
        counts.discard(now, self.bounds.window_s)
        share = self._share(counts)
        return Left(
            own=share - counts.used,
            planned=share * PLANNED_RETRY_SHARE - counts.used,
            borrowed=len(counts.borrowed),
        )

    def record_retry(
        self, service: str, now: float, *, may_borrow: bool = False
    ) -> Charge:
        """Count a retry, as a borrowed one if the own share is used up."""
        counts = self._counts_of(service, now)
        is_own = counts.used + 1 <= self._share(counts)
        if may_borrow and counts.borrowed and not is_own:
            return Charge(at=now, use_by=counts.borrowed.popleft())
        counts.retries.append(now)
        return Charge(at=now)

    def undo_retry(self, service: str, charge: Charge, now: float) -> None:
        """Uncount a retry that did not reach an upstream."""
        counts = self._counts_of(service, now)
        if charge.use_by is not None:
            counts.borrowed.appendleft(charge.use_by)
        elif charge.at in counts.retries:
            counts.retries.remove(charge.at)

    def lend(self, service: str, wanted: int, now: float) -> int:
        """Return how many retries are lent, and count them as used."""
        if now < self.lends_from:
            return 0
        counts = self._counts_of(service, now)
        spare = math.floor(self._share(counts)) - counts.used - KEPT_RETRIES
        granted = max(0, min(wanted, spare, MAX_LOAN))
        counts.lent.extend([now] * granted)
        return granted

    def add_borrowed(
        self, service: str, granted: int, *, asked_at: float, now: float
    ) -> None:
        """Add borrowed retries, void `USE_WITHIN_S` after the request for them.

        The lender counts them from a later time on, and for longer by as much, so that
        it counts each in all windows that contain its use.
        """
        counts = self._counts_of(service, now)
        use_by = asked_at + USE_WITHIN_S
        if now <= use_by:
            counts.borrowed.extend([use_by] * min(granted, MAX_LOAN))

    async def fund(self, service: str, now: float, limit_s: float) -> None:
        """Borrow a retry for a request that has not run, if there is none for it."""
        if self.borrow is None or self.may_retry(service, now, may_borrow=True):
            return
        await self.borrow(service, limit_s)

    def _share(self, counts: Counts) -> float:
        """Return the retries in a window that this instance may use or lend."""
        share = self.bounds.ratio * len(counts.requests)
        share += self.bounds.slack / max(1, self.members())
        return share * SAFETY_FACTOR

    def _counts_of(self, service: str, now: float) -> Counts:
        counts = self._counts.setdefault(service, Counts())
        counts.discard(now, self.bounds.window_s)
        return counts
