"""Priority classes of the requests that share a service."""

import bisect
import collections.abc

import attrs

# Factors on the cost of a delay of others, for the most and the least urgent class.
MIN_DELAY_FACTOR = 0.5
MAX_DELAY_FACTOR = 2.0


@attrs.frozen(kw_only=True)
class Classes:
    """The different priorities of a service's routes.

    Attributes
    ----------
    priorities : tuple of int
        The lowest number, which is the most urgent, comes first.
    """

    priorities: tuple[int, ...]

    @classmethod
    def of(cls, priorities: collections.abc.Iterable[int]) -> "Classes | None":
        """Return the classes of routes, None if all have the same priority."""
        found = tuple(sorted(set(priorities)))
        return cls(priorities=found) if len(found) > 1 else None

    def rank(self, priority: int) -> int:
        """Return the index of the class of a priority, 0 for the most urgent.

        A customer's own priority need not be one of the routes': it belongs to the
        next class that is at least as urgent.
        """
        return max(0, bisect.bisect_right(self.priorities, priority) - 1)

    def is_last(self, priority: int) -> bool:
        """Return whether a priority is of the least urgent class."""
        return self.rank(priority) == len(self.priorities) - 1

    def delay_factor(self, priority: int) -> float:
        """Return the factor on the cost of a delay that a request causes to others.

        The least urgent class delays more valuable requests, the most urgent one
        delays less valuable requests.
        """
        share = self.rank(priority) / (len(self.priorities) - 1)
        return MIN_DELAY_FACTOR * (MAX_DELAY_FACTOR / MIN_DELAY_FACTOR) ** share
