"""Runs of upstreams that ended, and attempts that were given up just before.

An instance that drops an answer for that of a larger model, or whose caller leaves,
does not see that the upstream crashes a moment later. Others do.
"""

import collections

import attrs

from masticpost_gateway.learning import causes

# Longest time between giving an attempt up and the crash that it causes.
CLOSE_S = 0.4
# Time for which attempts and ends of runs are kept, longer than a report takes.
KEPT_S = 3.0
MAX_KEPT = 1024


def is_close(left_at: float, ended_at: float) -> bool:
    """Return whether an attempt given up may have caused the end of its run."""
    return left_at - CLOSE_S <= ended_at <= left_at + CLOSE_S


class EndedRuns:
    """The runs that ended lately, and the attempts given up lately."""

    def __init__(self) -> None:
        self._ended_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._left: collections.deque[causes.Crash] = collections.deque(maxlen=MAX_KEPT)

    def ended_at(self, run: str) -> float | None:
        """Return when a run ended, in monotonic seconds; None if it is not known to."""
        return self._ended_at.get(run)

    def ended_since(self, at: float) -> dict[str, float]:
        """Return the runs that ended at a time or later, and when."""
        rows = self._ended_at.items()
        return {run: ended_at for run, ended_at in rows if ended_at >= at}

    def add_left(self, crash: causes.Crash) -> None:
        """Add an attempt that was given up, as the crash that it may cause."""
        while self._left and self._left[0].at < crash.at - KEPT_S:
            self._left.popleft()
        self._left.append(crash)

    def end(self, run: str, at: float) -> list[causes.Crash]:
        """Note the end of a run; return the crashes of attempts given up before it.

        The earliest time that is reported counts.
        """
        if run in self._ended_at:
            return []
        self._ended_at[run] = at
        if len(self._ended_at) > MAX_KEPT:
            self._ended_at.popitem(last=False)
        return [
            attrs.evolve(crash, at=at)
            for crash in self._left
            if crash.run == run and is_close(crash.at, at)
        ]
