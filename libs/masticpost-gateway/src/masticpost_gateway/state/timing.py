"""Time limits on the way of a change, derived from the bound in which it must be used.

A change is acknowledged by the store, read by a watcher, forwarded and used. Whoever
may lose it on this way must be noticed, and replaced, within the same bound. All parts
below are shares of the bound; `docs/design/propagation.md` has their sums.
"""

import attrs

DEFAULT_APPLY_S = 2.0
# Calls and rounds of other tasks take the time of a tighter bound.
MIN_APPLY_S = 1.5
# The heartbeats and the ages of stale views are made for this bound.
MAX_APPLY_S = 4.0
BEAT_PART = 0.25
CONTACT_PART = 0.6
WATCH_PERIOD_PART = 1.75
# Keeps the time between two answers of a kind below the age of a stale view.
MAX_WATCH_PERIOD_S = 3.5
ANSWER_MARGIN_PART = 0.125
RETRY_PART = 0.15
STANDBY_PART = 0.125
SPREAD_PART = 0.025
FETCH_PART = 0.3
HOLD_PART = 0.9


def _clip(apply_s: float) -> float:
    return min(MAX_APPLY_S, max(MIN_APPLY_S, apply_s))


@attrs.frozen(kw_only=True)
class Timing:
    """Time limits in seconds.

    Attributes
    ----------
    apply_s : float
        Time from the acknowledgement of a change to its use at every instance, from
        `MIN_APPLY_S` to `MAX_APPLY_S`; values outside are clipped.
    """

    apply_s: float = attrs.field(default=DEFAULT_APPLY_S, converter=_clip)

    @property
    def beat_s(self) -> float:
        """Period in which watchers tell whether they follow the store."""
        return self.apply_s * BEAT_PART

    @property
    def contact_s(self) -> float:
        """Time without a beat after which a watcher counts as lost."""
        return self.apply_s * CONTACT_PART

    @property
    def watch_period_s(self) -> float:
        """Time between two answers of an unchanged store to one watch."""
        return min(MAX_WATCH_PERIOD_S, self.apply_s * WATCH_PERIOD_PART)

    @property
    def answer_margin_s(self) -> float:
        """Time by which an answer may be late before it counts as missing."""
        return self.apply_s * ANSWER_MARGIN_PART

    @property
    def retry_s(self) -> float:
        """Time for which calls may fail, or an answer be late, before others know."""
        return self.apply_s * RETRY_PART

    @property
    def standby_s(self) -> float:
        """Time that the standbys have to replace the watchers."""
        return self.apply_s * STANDBY_PART

    @property
    def spread_s(self) -> float:
        """Time over which the first calls of instances without updates are spread."""
        return self.apply_s * SPREAD_PART

    @property
    def fetch_s(self) -> float:
        """Time limit of a request for the records of another instance."""
        return self.apply_s * FETCH_PART

    @property
    def hold_after_s(self) -> float:
        """Time without a beat after which new requests are held."""
        return self.apply_s * HOLD_PART
