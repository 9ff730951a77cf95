"""Admission: an adaptive limit on concurrent requests, shared fairly.

Source of the limit's law: Chiu and Jain, "Analysis of the Increase and Decrease
Algorithms for Congestion Avoidance in Computer Networks", 1989.
"""

import collections
import contextlib
import math
import time
import typing

from masticpost_common import errors
from masticpost_text import model

LIMIT_START = 256.0
LIMIT_MIN = 8.0
LIMIT_MAX = 4096.0
DECREASE = 0.85
DECREASE_PAUSE_S = 1.0
RETRY_AFTER_S = 1.0


class Admission:
    """Counts concurrent requests and refuses what is too much, at once.

    A customer below its fair share of the limit is admitted even when others fill
    the limit; one above it is admitted only while there is room. The limits that a
    customer has in the text hold over all instances, so that each instance grants
    its part.
    """

    def __init__(self) -> None:
        self.limit = LIMIT_START
        self.in_use: collections.Counter[str] = collections.Counter()
        self._decreased_at = -math.inf

    @property
    def total(self) -> int:
        """Requests that are admitted now."""
        return sum(self.in_use.values())

    @contextlib.contextmanager
    def admit(
        self, text: model.Text, cust: model.Customer, instances: int
    ) -> typing.Iterator[None]:
        """Hold a place for the length of a block; raises `errors.RefusalError`."""
        part = max(1, math.ceil(2 * cust.max_concurrent / max(1, instances)))
        if self.in_use[cust.name] >= min(part, cust.max_concurrent):
            raise errors.refuse(
                429,
                "customer_limit",
                "Too many requests of this customer at once. It was not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        if self.total >= self.limit and not self._is_below_share(text, cust):
            raise errors.refuse(
                503,
                "overloaded",
                "The deployment is at its limit. The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        self.in_use[cust.name] += 1
        try:
            yield
        finally:
            self.in_use[cust.name] -= 1

    def _is_below_share(self, text: model.Text, cust: model.Customer) -> bool:
        weights = {
            name: text.customers[name].weight
            for name, used in self.in_use.items()
            if used > 0 and name in text.customers
        }
        weights[cust.name] = cust.weight
        share = self.limit * cust.weight / sum(weights.values())
        return self.in_use[cust.name] < share

    def record_success(self) -> None:
        """Raise the limit a little when it was in use."""
        if self.total * 2 >= self.limit:
            self.limit = min(LIMIT_MAX, self.limit + 1.0 / self.limit)

    def record_overload(self) -> None:
        """Lower the limit, at most once per pause."""
        now = time.monotonic()
        if now - self._decreased_at < DECREASE_PAUSE_S:
            return
        self._decreased_at = now
        self.limit = max(LIMIT_MIN, min(self.limit, self.total) * DECREASE)
