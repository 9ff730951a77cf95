"""Budget of the requests that a version on trial may get before its deadline.

The operator bounds the requests of a version on trial, over all instances, by a share
of all requests of its service since the order and a number on top. Each instance keeps
to that share of its own requests and to its part of the number, so that the sum holds
without any message: while instances are cut off, restart or join, and whatever the
evidence says. Instances pass on what they have left; who gives takes it off first, so
that a lost message only makes the sum smaller.
"""

import collections
import math

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """What a version on trial may get of its service until the deadline.

    Attributes
    ----------
    share : float
        Share of all requests of the service since the order.
    slack : float
        Requests beyond that share.
    """

    share: float = 0.1
    slack: float = 10.0


@attrs.define(kw_only=True)
class Budget:
    """This instance's part of the budget of one trial, in requests.

    Attributes
    ----------
    bounds : Bounds
        The bounds over all instances.
    slack : float
        This instance's part of `bounds.slack`.
    exposed : int
        Requests sent to the version, unless they certainly did not reach it.
    total : int
        Requests of the service that upstreams of any version have begun to answer.
    received, given : float
        Budget from and to other instances.
    lacked : int
        Requests that would have gone to the version with more budget.
    lacked_at : float
        Monotonic time of the latest of these.
    session_s : float
        Time after which a session without a request is over.
    is_holder : bool
        Whether this instance holds budget of others.
    borrowed_at : float
        Monotonic time of the latest loan from a holder.
    lent_at : collections.deque
        Monotonic times at which a session began with budget of this instance.
    """

    bounds: Bounds
    slack: float = 0.0
    exposed: int = 0
    total: int = 0
    received: float = 0.0
    given: float = 0.0
    lacked: int = 0
    lacked_at: float = -math.inf
    session_s: float = 5.0
    is_holder: bool = False
    borrowed_at: float = -math.inf
    lent_at: collections.deque[float] = attrs.field(factory=collections.deque)

    def left(self) -> float:
        """Return the number of requests that may still be sent to the version."""
        earned = self.bounds.share * self.total + self.slack
        return earned + self.received - self.given - self.exposed

    @property
    def allows_session(self) -> bool:
        """Whether a request may be sent to the version."""
        return self.left() >= 1.0

    def note_lack(self, now: float) -> None:
        """Count a request that goes elsewhere, or waits, for lack of budget."""
        self.lacked += 1
        self.lacked_at = now

    def borrow(self, granted: float, now: float) -> None:
        """Add a loan of another instance."""
        self.received += granted
        self.borrowed_at = now

    def give(self, wanted: float, kept: float) -> float:
        """Take up to `wanted` off for another instance and return how much."""
        granted = max(0.0, min(wanted, self.left() - kept))
        self.given += granted
        return granted
