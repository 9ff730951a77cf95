"""The version that last ran each session, so that a session keeps its version."""

import collections
import collections.abc

import attrs

MAX_SESSIONS = 20_000
SAME_RUN_MARGIN_S = 1.0

Key = tuple[str, str]
"""Service and session."""


@attrs.frozen(kw_only=True)
class LastRun:
    """The version that last ran a session, and when in monotonic seconds."""

    version: str
    at: float


Listener = collections.abc.Callable[[Key, LastRun], None]


class Sessions:
    """Cache of the last run of each recent session.

    Parameters
    ----------
    idle_timeout_s : float
        Idle time after which a session counts as new, in seconds.
    """

    def __init__(self, *, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self._last: collections.OrderedDict[Key, LastRun] = collections.OrderedDict()
        self._listeners: list[Listener] = []

    def listen(self, listener: Listener) -> None:
        """Register a listener for the runs of sessions at this instance."""
        self._listeners.append(listener)

    def last_version(self, service: str, session: str, now: float) -> str | None:
        """Return the version that last ran a session, None for a new session."""
        last = self._last.get((service, session))
        if last is None or now - last.at > self.idle_timeout_s:
            return None
        return last.version

    def record_run(self, service: str, session: str, version: str, now: float) -> None:
        """Record that a version runs, or has just completed, a request of a session."""
        if not session:
            return
        key, last = (service, session), LastRun(version=version, at=now)
        self._put(key, last)
        for listener in self._listeners:
            listener(key, last)

    def merge(self, key: Key, last: LastRun) -> bool:
        """Merge the last run reported by another instance; return whether it is new."""
        cached = self._last.get(key)
        if cached is not None:
            # The reported time is derived from an age and the message's delay, so the
            # same run differs a little between reports.
            margin_s = SAME_RUN_MARGIN_S if cached.version == last.version else 0.0
            if last.at <= cached.at + margin_s:
                return False
        self._put(key, last)
        return True

    def recent(self, now: float) -> collections.abc.Iterator[tuple[Key, LastRun]]:
        """Yield the sessions within the idle timeout, the most recent first."""
        for key, last in reversed(self._last.items()):
            if now - last.at <= self.idle_timeout_s:
                yield key, last

    def _put(self, key: Key, last: LastRun) -> None:
        self._last[key] = last
        self._last.move_to_end(key)
        if len(self._last) > MAX_SESSIONS:
            self._last.popitem(last=False)
