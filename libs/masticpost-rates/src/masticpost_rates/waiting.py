"""Wait of one request for a permit of one of several upstreams that name a rate."""

import collections.abc
import itertools
import math
import random

from masticpost_common import clock

from masticpost_rates import granting, permits, statements, upstreamrates

# Rejected callers are told to return at random within this factor of their wait.
RETURN_SPREAD = 1.5

_places = itertools.count(1)


class NoPermitInTimeError(Exception):
    """No upstream would have a permit for the request in time.

    Attributes
    ----------
    return_in_s : float
        Seconds after which the caller may come back.
    """

    def __init__(self, return_in_s: float) -> None:
        self.return_in_s = return_in_s
        super().__init__(f"a permit may be there in {return_in_s:.2f} s")


class PermitWait:
    """Gets the permits for one attempt of a request.

    Parameters
    ----------
    rates : upstreamrates.UpstreamRates
        The rates that upstreams name.
    priority : int
        Rank of the request, the lowest number for the most urgent.

    Attributes
    ----------
    held_by : set of str
        Upstreams that had no permit when the request was to be sent.
    """

    def __init__(self, *, rates: upstreamrates.UpstreamRates, priority: int) -> None:
        self.rates = rates
        self.priority = priority
        self.held_by: set[str] = set()
        self._place = f"{rates.me} {next(_places)}"
        self._queued_at = ""
        self._turn_at = -math.inf

    async def acquire(self, run: str) -> permits.Permit | None:
        """Return a permit for a run of an upstream, None if there is none now."""
        answer = await self._acquire(run, granting.Demand(priority=self.priority))
        return answer if isinstance(answer, permits.Permit) else None

    async def turn(
        self, runs: collections.abc.Collection[str], until: float
    ) -> tuple[str, permits.Permit] | None:
        """Return a run of an upstream with its permit, None to wait on.

        Parameters
        ----------
        runs : collection of str
            Runs of upstreams that are ready but for the rates that they name.
        until : float
            Monotonic time in seconds until which the request can wait.

        Raises
        ------
        NoPermitInTimeError
            There will be no permit by then.
        """
        if not runs:
            return None
        now = clock.now()
        if self._queued_at not in runs:
            self._queued_at, self._turn_at = self._first_free(runs, now), now
        if now < self._turn_at:
            return None
        demand = granting.Demand(
            priority=self.priority, place=self._place, wait_s=max(0.0, until - now)
        )
        answer = await self._acquire(self._queued_at, demand)
        if isinstance(answer, permits.Permit):
            return self._queued_at, answer
        if answer.turn_at > until:
            raise NoPermitInTimeError(_spread(answer.return_at - clock.now()))
        self._turn_at = answer.turn_at
        return None

    def pause_s(self, longest_s: float) -> float:
        """Return how long to wait before the next look, in seconds."""
        if not self._queued_at:
            return longest_s
        return min(longest_s, max(0.0, self._turn_at - clock.now()))

    def _first_free(self, runs: collections.abc.Collection[str], now: float) -> str:
        return min(runs, key=lambda run: self.rates.asks_at(run, self.priority, now))

    async def _acquire(
        self, run: str, demand: granting.Demand
    ) -> permits.Permit | upstreamrates.Hold:
        answer = await self.rates.acquire(run, demand)
        if isinstance(answer, upstreamrates.Hold):
            self.held_by.add(statements.upstream_of(run))
        return answer


def _spread(seconds: float) -> float:
    return seconds * random.uniform(1.0, RETURN_SPREAD)
