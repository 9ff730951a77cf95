"""Which rate each upstream names now, from answers that may overtake each other.

An upstream states its rate in the head of each answer. The statement was made between
the sending of the request and the arrival of the head, so one of two statements is
certainly the newer one only if its request was sent after the head of the other had
arrived. Of two statements whose order is not certain, the lower rate holds.
"""

import collections.abc
import enum
import math

import attrs
from loguru import logger


@attrs.frozen(kw_only=True)
class Statement:
    """What an upstream said of its rate in one answer; times in monotonic seconds.

    Attributes
    ----------
    rate : float or None
        Requests per second that it takes from all instances; None for no limit.
    sent_at, seen_at : float
        When the request was sent and when the head of the answer arrived.
    told_by : str
        Instance that received the answer.
    """

    rate: float | None
    sent_at: float
    seen_at: float
    told_by: str

    @property
    def limit(self) -> float:
        """Requests per second, infinite without a limit."""
        return math.inf if self.rate is None else self.rate

    def is_newer_than(self, other: "Statement") -> bool:
        """Return whether it was certainly made after another statement."""
        return self.sent_at > other.seen_at


class Change(enum.Enum):
    """What a statement changes in the rate in force."""

    NAMED = "upstream named a rate"
    CHANGED = "upstream changed its rate"
    ENDED = "upstream ended its rate"


class Statements:
    """The newest statement of each run of an upstream that has named a rate."""

    def __init__(self) -> None:
        self._rows: dict[str, Statement] = {}
        self._limited: dict[str, Statement] = {}

    @property
    def limited(self) -> collections.abc.Mapping[str, Statement]:
        """The statements in force that name a rate, by run."""
        return self._limited

    @property
    def rows(self) -> collections.abc.Mapping[str, Statement]:
        """The statements in force, those of ended rates included, by run."""
        return self._rows

    def merge(self, run: str, new: Statement) -> Change | None:
        """Add a statement; return what it changes, None for nothing.

        Parameters
        ----------
        run : str
            Identifies one run of an upstream.
        """
        current = self._rows.get(run)
        if current is None:
            if new.rate is None:
                return None
            self._put(run, new)
            return Change.NAMED
        if current.is_newer_than(new):
            return None
        if not new.is_newer_than(current) and new.limit > current.limit:
            return None
        self._put(run, _later(new, current))
        return _change(current.rate, new.rate)

    def keep_only(self, runs: collections.abc.Set[str]) -> None:
        """Drop the statements of all other runs."""
        for run in [run for run in self._rows if run not in runs]:
            del self._rows[run]
            self._limited.pop(run, None)

    def _put(self, run: str, row: Statement) -> None:
        self._rows[run] = row
        if row.rate is None:
            self._limited.pop(run, None)
        else:
            self._limited[run] = row


def _later(new: Statement, current: Statement) -> Statement:
    """Return a statement; one that repeats the current rate has the later times."""
    if new.rate != current.rate:
        return new
    return attrs.evolve(
        new,
        sent_at=max(new.sent_at, current.sent_at),
        seen_at=max(new.seen_at, current.seen_at),
    )


def _change(before: float | None, after: float | None) -> Change | None:
    if before == after:
        return None
    if after is None:
        return Change.ENDED
    return Change.NAMED if before is None else Change.CHANGED


def log_change(
    run: str, change: Change, row: Statement, *, request_id: str, now: float
) -> None:
    """Log that the rate in force of a run has changed.

    Parameters
    ----------
    request_id : str
        Request whose answer stated it; empty if another instance told of it.
    """
    logger.bind(
        event="upstream",
        upstream=upstream_of(run),
        run=run,
        rate=row.rate,
        told_by=row.told_by,
        id=request_id,
        age_s=round(now - row.seen_at, 3),
    ).info(change.value)


def run_key(upstream: str, *rest: object) -> str:
    """Return the key of a run: the upstream's name and what tells its runs apart."""
    return " ".join(map(str, (upstream, *rest)))


def upstream_of(run: str) -> str:
    """Return the name of the upstream of a run."""
    return run.partition(" ")[0]
