"""News to tell other instances: each once and, since messages are lost, twice again."""

import collections
import typing

import attrs

# When news is told, in seconds after it came up.
TOLD_AT_S = (0.0, 1.0, 2.5)
# Rows of one kind in one message; the others follow in the next one.
MAX_ROWS = 128
MAX_WAITING = 4096

T = typing.TypeVar("T")


@attrs.define(kw_only=True)
class Waiting(typing.Generic[T]):
    """A row that is told again at `due_at`, in monotonic seconds."""

    row: T
    since: float
    due_at: float
    told: int = 0


class Outbox(typing.Generic[T]):
    """Rows to tell, by key; a row that repeats the last one of its key is no news.

    Attributes
    ----------
    dropped : int
        Rows that were dropped untold since there were too many.
    """

    def __init__(self) -> None:
        self._waiting: collections.OrderedDict[typing.Hashable, Waiting[T]] = (
            collections.OrderedDict()
        )
        self.dropped = 0

    def put(self, key: typing.Hashable, row: T, now: float) -> bool:
        """Add a row to be told from now on; return whether it is news."""
        known = self._waiting.get(key)
        if known is not None and known.row == row:
            return False
        self._waiting[key] = Waiting(row=row, since=now, due_at=now)
        self._waiting.move_to_end(key)
        if len(self._waiting) > MAX_WAITING:
            _, oldest = self._waiting.popitem(last=False)
            self.dropped += not oldest.told
        return True

    def take(self, now: float) -> list[T]:
        """Return the rows that are due, `MAX_ROWS` at most."""
        due = [key for key, row in self._waiting.items() if row.due_at <= now]
        found = []
        for key in due[:MAX_ROWS]:
            row = self._waiting[key]
            found.append(row.row)
            row.told += 1
            if row.told == len(TOLD_AT_S):
                del self._waiting[key]
            else:
                row.due_at = row.since + TOLD_AT_S[row.told]
        return found
