"""Queue of uncommitted records, and how they form the batches of a shard's log."""

import asyncio
import collections

import attrs

from masticpost_shards import records

BATCH_MAX_BYTES = 600_000
RECORD_OVERHEAD_BYTES = 200
PENDING_MAX_RECORDS = 400_000

LIST_OF_RECORD: dict[type, str] = {
    records.Claim: "claims",
    records.Outcome: "outcomes",
    records.BillOpen: "opens",
    records.BillClose: "closes",
    records.Pin: "pins",
    records.Crash: "crashes",
    records.Warmth: "warmth",
    records.Trial: "trials",
    records.Spend: "spends",
}


@attrs.define(kw_only=True)
class Pending:
    """The records of one operation, and the future of the caller that waits."""

    writes: list[object]
    fut: asyncio.Future

    def succeed(self) -> None:
        """Complete the future: the records are committed."""
        if not self.fut.done():
            self.fut.set_result(None)

    def fail(self, exc: Exception) -> None:
        """Fail the future: the records are not, or not certainly, committed."""
        if not self.fut.done():
            self.fut.set_exception(exc)


class Queue:
    """Operations whose records are not committed yet, oldest first."""

    def __init__(self) -> None:
        self._items: collections.deque[Pending] = collections.deque()
        self._record_count = 0

    def __bool__(self) -> bool:
        """Whether the queue has any operation."""
        return bool(self._items)

    @property
    def is_full(self) -> bool:
        """Whether the limit of `PENDING_MAX_RECORDS` records is reached."""
        return self._record_count >= PENDING_MAX_RECORDS

    def add(self, item: Pending) -> None:
        """Append the records of an operation."""
        self._items.append(item)
        self._record_count += len(item.writes)

    def take(self) -> list[Pending]:
        """Remove and return the operations of the next batch."""
        items: list[Pending] = []
        with_outcome: set[str] = set()
        size = 0
        while self._items and size < BATCH_MAX_BYTES:
            if _claims_again(self._items[0], with_outcome):
                break
            item = self._items.popleft()
            with_outcome |= _calls_with_outcome(item)
            size += sum(_size(record) for record in item.writes)
            self._record_count -= len(item.writes)
            items.append(item)
        return items

    def fail_all(self, exc_type: type[Exception]) -> None:
        """Clear the queue and fail each operation with a new `exc_type`."""
        while self._items:
            self._items.popleft().fail(exc_type())
        self._record_count = 0


def fill(batch: records.Batch, items: list[Pending]) -> records.Batch:
    """Return `batch` with the records of `items` added, each in its list."""
    lists: dict[str, list[object]] = collections.defaultdict(list)
    for item in items:
        for record in item.writes:
            lists[LIST_OF_RECORD[type(record)]].append(record)
    return attrs.evolve(batch, **lists)


def _size(record: object) -> int:
    if isinstance(record, records.Outcome) and record.answer is not None:
        return RECORD_OVERHEAD_BYTES + len(record.answer.body)
    return RECORD_OVERHEAD_BYTES


def _calls_with_outcome(item: Pending) -> set[str]:
    return {w.key for w in item.writes if isinstance(w, records.Outcome)}


def _claims_again(item: Pending, keys: set[str]) -> bool:
    """Return whether the item claims a call whose key is in `keys`.

    A batch is applied claims first, so a claim that follows an outcome of the same
    call must go into the next batch.
    """
    return any(isinstance(w, records.Claim) and w.key in keys for w in item.writes)
