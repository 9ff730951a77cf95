"""Light load for cold upstreams, bounded over all instances without messages.

At most ``floor(rate)`` instances, picked by rendezvous hashing, may send to a cold
upstream, each one request in `SPACING_S`. No second then holds more requests than the
upstream bears, however the instances see each other, as long as they know about the
same members.
"""

import collections.abc
import math

import attrs
from masticpost_common import rendezvous

SPACING_S = 1.1


@attrs.define(kw_only=True)
class ColdStartLimiter:
    """Tells when this instance may send to a cold upstream.

    Parameters
    ----------
    me : str
        Name of this instance.
    members : callable
        Returns the names of the living instances.
    """

    me: str
    members: collections.abc.Callable[[], collections.abc.Collection[str]]
    _last_sent: dict[str, float] = attrs.field(factory=dict)
    _ranked_members: collections.abc.Collection[str] = ()
    _ranked: dict[str, list[str]] = attrs.field(factory=dict)

    def may_send(self, upstream: str, rate: float, now: float) -> bool:
        """Tell whether a request may go to `upstream`, which bears `rate` a second."""
        if rate <= 0:
            return True
        if now - self._last_sent.get(upstream, -math.inf) < SPACING_S:
            return False
        senders = max(1, math.floor(rate))
        return self.me in self._ranks(upstream)[:senders]

    def _ranks(self, upstream: str) -> list[str]:
        """Return the instances in the order in which they may send to an upstream."""
        members = self.members()
        if members is not self._ranked_members:
            self._ranked_members, self._ranked = members, {}
        found = self._ranked.get(upstream)
        if found is None:
            found = rendezvous.ranked({*members, self.me}, upstream)
            self._ranked[upstream] = found
        return found

    def record_request(self, upstream: str, now: float) -> None:
        """Note that a request goes to a cold upstream."""
        self._last_sent[upstream] = now
