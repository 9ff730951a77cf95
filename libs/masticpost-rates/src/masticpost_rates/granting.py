"""Permits for the requests to one upstream, which one instance grants to all.

Each request to an upstream that has named a rate needs a permit of its own. Permits
accumulate at the rate, a few at most. An instance that has no other upstream for a
request waits in a queue here: the more urgent requests come first.
"""

import math

import attrs

# Permits that accumulate while nobody asks, whatever the rate, and in seconds of it.
BURST = 2.0
BURST_S = 0.25
# Time after its turn for which a waiting request keeps its place, in seconds.
PLACE_GRACE_S = 0.25
# Latest return that a rejected caller is told, in seconds.
MAX_RETURN_S = 30.0


@attrs.frozen(kw_only=True)
class Demand:
    """A request that needs a permit.

    Attributes
    ----------
    priority : int
        Rank of the request, 0 for the most urgent.
    place : str
        Identifies its place in the queue; empty if it does not wait.
    wait_s : float
        Seconds that it can wait for its turn at most.
    """

    priority: int
    place: str = ""
    wait_s: float = 0.0


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a permit is granted; times in seconds from now.

    Attributes
    ----------
    permit_in_s : float
        When the next permit will be there, for whoever is first then.
    turn_in_s : float
        When the request would get one.
    return_in_s : float
        When the caller may come back if the request does not wait for its turn.
    """

    is_granted: bool
    permit_in_s: float = 0.0
    turn_in_s: float = 0.0
    return_in_s: float = 0.0


GRANTED = Decision(is_granted=True)


@attrs.frozen(kw_only=True)
class Place:
    """A place in the queue; times in monotonic seconds."""

    priority: int
    since: float
    expires_at: float

    @property
    def rank(self) -> tuple[int, float]:
        """Sort key: the more urgent first, then the one that waits longest."""
        return (self.priority, self.since)


class Granter:
    """Grants the permits of one run of an upstream.

    Parameters
    ----------
    starts_at : float
        Monotonic time in seconds from which permits accumulate.
    """

    def __init__(self, *, starts_at: float) -> None:
        self._permits = 0.0
        self._counted_at = starts_at
        self._places: dict[str, Place] = {}
        self._next_return_at = -math.inf

    def decide(self, demand: Demand, rate: float, now: float) -> Decision:
        """Grant or deny a permit.

        Parameters
        ----------
        rate : float
            Permits that accumulate in a second.
        """
        self._accumulate(rate, now)
        ahead = self._count_ahead(demand, now)
        if self._permits >= 1 + ahead:
            self._permits -= 1
            self._places.pop(demand.place, None)
            return GRANTED
        decision = Decision(
            is_granted=False,
            permit_in_s=max(0.0, 1 - self._permits) / rate,
            turn_in_s=(1 + ahead - self._permits) / rate,
        )
        if not demand.place:
            return decision
        if decision.turn_in_s <= demand.wait_s:
            self._keep_place(demand, now, now + decision.turn_in_s + PLACE_GRACE_S)
            return decision
        self._places.pop(demand.place, None)
        return attrs.evolve(
            decision, return_in_s=self._return_in_s(decision.turn_in_s, rate, now)
        )

    def _accumulate(self, rate: float, now: float) -> None:
        if now <= self._counted_at:
            return
        most = BURST + BURST_S * rate
        gained = (now - self._counted_at) * rate
        self._permits = min(most, self._permits + gained)
        self._counted_at = now

    def _count_ahead(self, demand: Demand, now: float) -> int:
        """Return how many waiting requests come before a request."""
        for key in [k for k, row in self._places.items() if row.expires_at < now]:
            del self._places[key]
        mine = self._places.get(demand.place)
        rank = (demand.priority, now if mine is None else mine.since)
        return sum(row.rank < rank for row in self._places.values())

    def _keep_place(self, demand: Demand, now: float, expires_at: float) -> None:
        mine = self._places.get(demand.place)
        self._places[demand.place] = Place(
            priority=demand.priority,
            since=now if mine is None else mine.since,
            expires_at=expires_at,
        )

    def _return_in_s(self, turn_in_s: float, rate: float, now: float) -> float:
        """Return when one more rejected caller may come back, one per permit."""
        at = max(now + turn_in_s, self._next_return_at)
        self._next_return_at = min(at + 1 / rate, now + MAX_RETURN_S)
        return min(at - now, MAX_RETURN_S)
