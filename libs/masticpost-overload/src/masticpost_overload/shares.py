"""Shares of customers in the recent work of a service."""

import attrs

# Time after which work counts half.
HALF_LIFE_S = 10.0
# A customer is over its share from this multiple of an equal share on: the shares are
# estimated from one instance's requests.
OVER_FACTOR = 1.5
# Customers with less work than this share of an equal one do not compete.
ACTIVE_SHARE = 0.05


@attrs.define(kw_only=True)
class Shares:
    """Work of each customer, of which older work counts less."""

    _work_s: dict[str, float] = attrs.field(factory=dict)
    _at: float = 0.0

    def record(self, customer: str, work_s: float, now: float) -> None:
        """Record work of a customer in seconds at a monotonic time in seconds."""
        self._decay(now)
        self._work_s[customer] = self._work_s.get(customer, 0.0) + work_s

    def is_over(self, customer: str, now: float) -> bool:
        """Return whether a customer has had more work done than its share.

        Shares are equal among the customers that compete.
        """
        self._decay(now)
        own_s = self._work_s.get(customer, 0.0)
        if not own_s or len(self._work_s) < 2:
            return False
        equal_s = sum(self._work_s.values()) / len(self._work_s)
        return own_s > OVER_FACTOR * equal_s

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S)
        self._at = max(now, self._at)
        rows = {name: work_s * factor for name, work_s in self._work_s.items()}
        least_s = ACTIVE_SHARE * sum(rows.values()) / max(1, len(rows))
        self._work_s = {name: work for name, work in rows.items() if work > least_s}
