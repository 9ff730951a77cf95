"""Priority classes of the requests that share a service."""

import bisect
import collections.abc
import itertools

import attrs

# Factors on the cost of a delay of others, for the most and the least urgent class.
MIN_DELAY_FACTOR = 0.5
MAX_DELAY_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class Classes:
    """The priorities of a service's routes, and their latency objectives.

    Attributes
    ----------
    priorities : tuple of int
        The different priorities, the lowest number and most urgent one first.
    objectives_s : tuple of float
        For each priority, the shortest latency objective up to it, in seconds.
    """

    priorities: tuple[int, ...]
    objectives_s: tuple[float, ...]

    @classmethod
    def of(cls, rows: collections.abc.Iterable[tuple[int, float]]) -> "Classes | None":
        """Return the classes of routes, None if all have the same priority.

        Parameters
        ----------
        rows : iterable of tuple of int and float
            Priority and latency objective of each route, in seconds.
        """
        shortest: dict[int, float] = {}
        for priority, objective_s in rows:
            shortest[priority] = min(objective_s, shortest.get(priority, objective_s))
        if len(shortest) < 2:
            return None
        priorities = tuple(sorted(shortest))
        objectives = itertools.accumulate((shortest[p] for p in priorities), min)
        return cls(priorities=priorities, objectives_s=tuple(objectives))

    def rank(self, priority: int) -> int:
        """Return the index of the class of a priority, 0 for the most urgent.

        A customer's own priority need not be one of the routes': it belongs to the
        next class that is at least as urgent.
        """
        return max(0, bisect.bisect_right(self.priorities, priority) - 1)

    def more_urgent_objective_s(self, priority: int) -> float | None:
        """Return the shortest objective of the more urgent classes, None without one.

        The objective is in seconds.
        """
        rank = self.rank(priority)
        return self.objectives_s[rank - 1] if rank else None

    def delay_factor(self, priority: int) -> float:
        """Return the factor on the cost of a delay that a request causes to others.

        The least urgent class delays more valuable requests, the most urgent one
        delays less valuable requests.
        """
        share = self.rank(priority) / (len(self.priorities) - 1)
        return MIN_DELAY_FACTOR * (MAX_DELAY_FACTOR / MIN_DELAY_FACTOR) ** share
