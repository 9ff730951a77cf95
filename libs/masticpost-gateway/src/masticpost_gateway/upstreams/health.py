"""Passive outlier ejection of failing upstreams, with exponential back-off.

After an ejection, the next failed call ejects the upstream again at once, and each
successful call lowers the back-off by one step.
"""

import collections
import math

import attrs
from loguru import logger

# Time over which the share of failed calls is computed.
WINDOW_S = 6.0
MIN_FAILURES = 3
MIN_FAILURE_RATIO = 0.34
FIRST_EJECTION_S = 0.7
MAX_EJECTION_S = 6.0
MAX_SAMPLES = 200


@attrs.define(kw_only=True)
class Health:
    """Health of one run of an upstream, as observed in this instance's calls.

    Attributes
    ----------
    outstanding : int
        Requests of this instance in flight there.
    ejected_until : float
        Monotonic time before which it gets no requests, in seconds.
    ejections : int
        Ejections in a row, less one for each later success; exponent of the back-off.
    last_response_at : float
        Monotonic time of the last response head or event received here, in seconds.
    samples : collections.deque
        Recent calls, each as a monotonic time and whether it succeeded.
    """

    name: str
    incarnation: tuple = ()
    outstanding: int = 0
    ejected_until: float = -math.inf
    ejections: int = 0
    last_response_at: float = -math.inf
    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream gets no requests at present."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Record a successful call."""
        self.samples.append((now, True))
        if now >= self.ejected_until:
            self.ejections = max(0, self.ejections - 1)

    def record_failure(self, now: float, reason: str) -> None:
        """Record a failed call; a high share of failures ejects the upstream."""
        self.samples.append((now, False))
        recent = [ok for at, ok in self.samples if at > now - WINDOW_S]
        failures = recent.count(False)
        is_half_open = self.ejections > 0 and now >= self.ejected_until
        if is_half_open or (
            failures >= MIN_FAILURES and failures >= MIN_FAILURE_RATIO * len(recent)
        ):
            self._eject(now, reason)

    def record_unreachable(self, now: float, reason: str) -> None:
        """Record a failed connection attempt and eject the upstream at once."""
        self.samples.append((now, False))
        self._eject(now, reason)

    def _eject(self, now: float, reason: str) -> None:
        if self.is_ejected(now):
            return
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        logger.bind(
            event="upstream", upstream=self.name, for_s=pause_s, reason=reason
        ).warning("upstream ejected")


class HealthTable:
    """The health of all upstreams."""

    def __init__(self) -> None:
        self._rows: dict[str, Health] = {}

    def get(self, name: str, incarnation: tuple) -> Health:
        """Return the health of this run of an upstream; a new run has no history."""
        row = self._rows.get(name)
        if row is None or row.incarnation != incarnation:
            row = Health(name=name, incarnation=incarnation)
            self._rows[name] = row
        return row

    def keep_only(self, names: set[str]) -> None:
        """Remove the rows of all other upstreams."""
        for name in self._rows.keys() - names:
            del self._rows[name]
