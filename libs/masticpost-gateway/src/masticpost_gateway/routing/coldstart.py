"""Rate limit for upstreams in cold start, over all instances and without messages.

At most ``floor(rate)`` instances, chosen by rendezvous hashing, may send to a cold
upstream, each one request per `SPACING_S`. No second then has more requests than the
upstream can take, whether or not the instances can reach each other, as long as they
know about the same members.
"""

import collections.abc
import copy
import math

import attrs
from masticpost_common import rendezvous

SPACING_S = 1.1


@attrs.define(kw_only=True)
class ColdStartLimiter:
    """Limits the requests of this instance to upstreams in cold start.

    Parameters
    ----------
    me : str
        Name of this instance.
    members : callable
        Returns the names of the live instances.
    """

    me: str
    members: collections.abc.Callable[[], collections.abc.Collection[str]]
    _last_sent: dict[str, float] = attrs.field(factory=dict)
    _ranked_members: collections.abc.Collection[str] = ()
    _ranked: dict[str, list[str]] = attrs.field(factory=dict)

    def may_send(self, upstream: str, rate: float, now: float) -> bool:
        """Return whether a request may be sent to an upstream now.

        Parameters
        ----------
        rate : float
            Requests per second that the upstream can take, 0 for no limit.
        """
        if rate <= 0:
            return True
        if now - self._last_sent.get(upstream, -math.inf) < SPACING_S:
            return False
        senders = max(1, math.floor(rate))
        return self.me in self._ranks(upstream)[:senders]

    def _ranks(self, upstream: str) -> list[str]:
        """Return the instances ranked for an upstream; the first ones may send."""
        members = self.members()
        if members is not self._ranked_members:
            self._ranked_members, self._ranked = members, {}
        found = self._ranked.get(upstream)
        if found is None:
            found = rendezvous.ranked({*members, self.me}, upstream)
            self._ranked[upstream] = found
        return found

    def record_request(self, upstream: str, now: float) -> None:
        """Record that a request is sent to a cold upstream."""
        self._last_sent[upstream] = now

    def copy(self) -> "ColdStartLimiter":
        """Return a limiter with the same requests, which records further ones alone."""
        copied = copy.copy(self)
        copied._last_sent, copied._ranked = dict(self._last_sent), dict(self._ranked)
        return copied
