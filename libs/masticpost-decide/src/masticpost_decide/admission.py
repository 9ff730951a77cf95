"""Admission control: an adaptive limit on concurrent requests, shared by weight.

The limit follows the additive-increase, multiplicative-decrease rule of Chiu and Jain,
"Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
Networks", 1989.
"""

import collections
import contextlib
import math
import time
import typing

from masticpost_common import errors
from masticpost_text import model

# Limits in concurrent requests of one instance.
INITIAL_LIMIT = 256.0
MIN_LIMIT = 8.0
MAX_LIMIT = 4096.0
# Factor applied to the limit on overload, at most once per interval.
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL_S = 1.0
RETRY_AFTER_S = 1.0


class Admission:
    """Counts concurrent requests and refuses excess requests without queueing them.

    A customer below its weighted fair share of the limit is admitted even when other
    customers fill the limit; one above its share is admitted only while the total is
    below the limit. A customer's own limit in the text applies to all instances
    together, so each instance enforces a part of it.

    Attributes
    ----------
    limit : float
        Present limit on concurrent requests of this instance.
    in_use : collections.Counter
        Concurrent requests by customer name.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_use: collections.Counter[str] = collections.Counter()
        self._decreased_at = -math.inf

    @property
    def total(self) -> int:
        """Number of requests admitted and not yet finished."""
        return sum(self.in_use.values())

    @contextlib.contextmanager
    def admit(
        self, text: model.Text, cust: model.Customer, instances: int
    ) -> typing.Iterator[None]:
        """Count a request as concurrent while the block runs.

        Parameters
        ----------
        text : model.Text
            The text in force.
        cust : model.Customer
            Customer of the request.
        instances : int
            Number of expected instances. Each allows the customer up to twice an even
            part of `max_concurrent`, and never more than `max_concurrent`.

        Raises
        ------
        errors.RefusalError
            ``customer_limit`` or ``overloaded``; the request was not run.
        """
        instance_limit = max(1, math.ceil(2 * cust.max_concurrent / max(1, instances)))
        if self.in_use[cust.name] >= min(instance_limit, cust.max_concurrent):
            raise errors.refuse(
                429,
                "customer_limit",
                "Too many concurrent requests of this customer. "
                "The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )
        if self.total >= self.limit and not self._is_below_fair_share(text, cust):
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

    def _is_below_fair_share(self, text: model.Text, cust: model.Customer) -> bool:
        """Compare with the share by weight among customers that have requests now."""
        weights = {
            name: text.customers[name].weight
            for name, used in self.in_use.items()
            if used > 0 and name in text.customers
        }
        weights[cust.name] = cust.weight
        share = self.limit * cust.weight / sum(weights.values())
        return self.in_use[cust.name] < share

    def record_success(self) -> None:
        """Raise the limit by 1/limit if at least half of it is in use."""
        if self.total * 2 >= self.limit:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def record_overload(self) -> None:
        """Lower the limit, at most once per `DECREASE_INTERVAL_S`.

        The new limit is `DECREASE_FACTOR` times the smaller of limit and requests in
        progress.
        """
        now = time.monotonic()
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, min(self.limit, self.total) * DECREASE_FACTOR)
