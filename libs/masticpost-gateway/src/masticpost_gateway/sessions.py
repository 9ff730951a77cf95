"""Which version ran each session last, so that a session keeps its version."""

import collections

import attrs

KEPT = 20_000


@attrs.frozen(kw_only=True)
class Last:
    """The version that ran last and when, monotonic seconds."""

    version: str
    at: float


class Sessions:
    """Memory of the sessions that were at work lately.

    Parameters
    ----------
    lasts_s : float
        Pause after which a session counts as new.
    """

    def __init__(self, *, lasts_s: float) -> None:
        self.lasts_s = lasts_s
        self._last: collections.OrderedDict = collections.OrderedDict()

    def version(self, service: str, session: str, now: float) -> str | None:
        """Return the version that ran last, None for a new session."""
        last = self._last.get((service, session))
        if last is None or now - last.at > self.lasts_s:
            return None
        return last.version

    def ran(self, service: str, session: str, version: str, now: float) -> None:
        """Note that a version runs, or has just ended, a request of a session."""
        if not session:
            return
        key = (service, session)
        self._last[key] = Last(version=version, at=now)
        self._last.move_to_end(key)
        if len(self._last) > KEPT:
            self._last.popitem(last=False)
