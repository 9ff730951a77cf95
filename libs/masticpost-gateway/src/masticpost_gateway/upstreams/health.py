"""Passive outlier ejection of failing upstreams, with exponential back-off.

After an ejection, the next failed call ejects the upstream again at once, and each
successful call lowers the back-off by one step.

Where instances share their observations, `reachability` decides in place of this module
what an upstream that accepts no connections is ejected for.
"""

import collections
import collections.abc
import math

import attrs
from loguru import logger

# Time over which the share of failed calls is computed.
WINDOW_S = 6.0
MIN_FAILURES = 3
MIN_FAILURE_RATIO = 0.34
FIRST_EJECTION_S = 0.7
MAX_EJECTION_S = 6.0
# Where observations are shared, many instances may eject an upstream at the same time.
MAX_SHARED_EJECTION_S = 3.0
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
    answered_sent_at : float
        Monotonic time at which the last answered request was sent, in seconds. Events
        of earlier answers do not show that it takes new requests.
    unreachable_at : float
        Monotonic time of the last request that did not reach it, in seconds.
    unreachable_until : float
        Monotonic time before which it gets no requests since it is unreachable by the
        observations of all instances, in seconds.
    held_until : float
        Monotonic time from which it gets any number of requests again, in seconds; from
        `unreachable_until` until then it gets a single one.
    observer : callable or None
        Concludes from a failed connection attempt, given this row, the time and the
        reason, and returns whether it knows the run; None where instances do not share
        their observations.
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
    answered_sent_at: float = -math.inf
    unreachable_at: float = -math.inf
    unreachable_until: float = -math.inf
    held_until: float = -math.inf
    observer: "Observer | None" = None

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream gets no requests at present."""
        if now < self.ejected_until:
            return True
        # This is called for every upstream in every choice, so that the usual case
        # takes two comparisons.
        return now < self.held_until and self._is_held(now)

    def ejected_for_s(self, now: float) -> float | None:
        """Return the seconds until its ejection ends at the latest, None if ready."""
        if not self.is_ejected(now):
            return None
        until = max(self.ejected_until, self.unreachable_until)
        return (until if now < until else self.held_until) - now

    def record_answered(self, sent_at: float) -> None:
        """Record that the run answers a request sent at a monotonic time in seconds."""
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

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
        self.unreachable_at = now
        if self.observer is None or not self.observer(self, now, reason):
            self._eject(now, reason)

    def _is_held(self, now: float) -> bool:
        if now < self.unreachable_until:
            return True
        return self.outstanding > 0

    def _eject(self, now: float, reason: str) -> None:
        if self.is_ejected(now):
            return
        longest_s = MAX_EJECTION_S if self.observer is None else MAX_SHARED_EJECTION_S
        pause_s = min(longest_s, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s
        logger.bind(
            event="upstream", upstream=self.name, for_s=pause_s, reason=reason
        ).warning("upstream ejected")


Observer = collections.abc.Callable[[Health, float, str], bool]


class HealthTable:
    """The health of all upstreams.

    Attributes
    ----------
    observer : callable or None
        Set in each new row, see `Health`.
    """

    def __init__(self) -> None:
        self.observer: Observer | None = None
        self._rows: dict[str, Health] = {}

    def rows(self) -> collections.abc.Iterable[Health]:
        """Return the health of each upstream that was used or looked at."""
        return self._rows.values()

    def get(self, name: str, incarnation: tuple) -> Health:
        """Return the health of this run of an upstream; a new run has no history."""
        row = self._rows.get(name)
        if row is None or row.incarnation != incarnation:
            row = Health(name=name, incarnation=incarnation, observer=self.observer)
            self._rows[name] = row
        return row

    def copy(self) -> "HealthTable":
        """Return a table to which the health of further upstreams can be added."""
        copied = HealthTable()
        copied.observer = self.observer
        copied._rows = dict(self._rows)
        return copied

    def count(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def keep_only(self, names: set[str]) -> None:
        """Remove the rows of all other upstreams."""
        for name in self._rows.keys() - names:
            del self._rows[name]
