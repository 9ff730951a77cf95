"""Which version ran each session last, so that a session keeps its version."""

import collections
import collections.abc

import attrs

KEPT = 20_000
SAME_RUN_S = 1.0

Key = tuple[str, str]
"""Service and session."""


@attrs.frozen(kw_only=True)
class Last:
    """The version that ran last and when, monotonic seconds."""

    version: str
    at: float


Listener = collections.abc.Callable[[Key, Last], None]


class Sessions:
    """Memory of the sessions that were at work lately.

    Parameters
    ----------
    lasts_s : float
        Pause after which a session counts as new.
    """

    def __init__(self, *, lasts_s: float) -> None:
        self.lasts_s = lasts_s
        self._last: collections.OrderedDict[Key, Last] = collections.OrderedDict()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each run of a session at this instance."""
        self._listeners.append(listener)

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
        key, last = (service, session), Last(version=version, at=now)
        self._keep(key, last)
        for listener in self._listeners:
            listener(key, last)

    def hear(self, key: Key, last: Last) -> bool:
        """Take what another instance saw of a session; return whether it is news."""
        known = self._last.get(key)
        if known is not None:
            # The time is the sender's age and the way here: it differs a little.
            margin_s = SAME_RUN_S if known.version == last.version else 0.0
            if last.at <= known.at + margin_s:
                return False
        self._keep(key, last)
        return True

    def running(self, now: float) -> collections.abc.Iterator[tuple[Key, Last]]:
        """Yield the sessions that were at work lately, the latest first."""
        for key, last in reversed(self._last.items()):
            if now - last.at <= self.lasts_s:
                yield key, last

    def _keep(self, key: Key, last: Last) -> None:
        self._last[key] = last
        self._last.move_to_end(key)
        if len(self._last) > KEPT:
            self._last.popitem(last=False)
