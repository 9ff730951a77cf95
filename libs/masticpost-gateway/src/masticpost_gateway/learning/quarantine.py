"""Quarantined causes of crashes, and the pause before each is tried again."""

import collections.abc

import attrs
from masticpost_common import rendezvous

# Time from the last crash after which a cause is forgotten.
RETENTION_S = 600.0
# Pause before the first trial; it doubles with each trial that crashed an upstream.
TRIAL_AFTER_S = 60.0
# Time after which twice as many instances may try, if none of them had such a request.
TRIAL_SLOT_S = 10.0
MAX_QUARANTINED = 512


@attrs.frozen(kw_only=True)
class Quarantine:
    """The quarantine of one cause.

    Attributes
    ----------
    at : float
        Time of its last crash, in monotonic seconds.
    failed_trials : int
        Trials that crashed an upstream.
    """

    at: float
    failed_trials: int = 0

    @property
    def trial_at(self) -> float:
        """Monotonic time from which on single requests may be tried."""
        pause_s = TRIAL_AFTER_S * 2.0**self.failed_trials
        return self.at + min(pause_s, RETENTION_S - TRIAL_AFTER_S)

    def after_crash(self, at: float) -> "Quarantine":
        """Return the quarantine after one more crash."""
        was_trial = at >= self.trial_at
        failed_trials = self.failed_trials + was_trial
        return Quarantine(at=max(at, self.at), failed_trials=failed_trials)

    def merged_with(self, other: "Quarantine") -> "Quarantine":
        """Return the later state of two views of the same quarantine."""
        failed_trials = max(self.failed_trials, other.failed_trials)
        return Quarantine(at=max(self.at, other.at), failed_trials=failed_trials)


class TrialTurns:
    """Decides whether a request with a quarantined cause may be tried.

    At first one instance may try one request. As long as none did, the number of
    instances doubles, so that a rare cause is tried too, and hardly ever twice at once.

    Parameters
    ----------
    me : str
        Name of this instance.
    members : callable
        Returns the names of the instances that are alive.
    """

    def __init__(
        self,
        *,
        me: str,
        members: collections.abc.Callable[[], collections.abc.Iterable[str]],
    ) -> None:
        self.me = me
        self.members = members
        self._tried: dict[str, tuple[float, int]] = {}

    def take(self, rows: dict[str, Quarantine], now: float) -> bool:
        """Return whether a request may be tried, which uses this instance's turn.

        Parameters
        ----------
        rows : dict
            The quarantines that apply to the request, by key.
        """
        turns = {key: (row.at, self._slot(row, now)) for key, row in rows.items()}
        if not all(self._is_due(key, turn) for key, turn in turns.items()):
            return False
        if len(self._tried) > MAX_QUARANTINED:
            self._tried.clear()
        self._tried.update(turns)
        return True

    def _slot(self, row: Quarantine, now: float) -> int:
        return int((now - row.trial_at) // TRIAL_SLOT_S)

    def _is_due(self, key: str, turn: tuple[float, int]) -> bool:
        _, slot = turn
        if slot < 0 or self._tried.get(key) == turn:
            return False
        ranked = rendezvous.ranked(self.members(), key)
        return self.me in ranked[: 2 ** min(slot, 16)]
