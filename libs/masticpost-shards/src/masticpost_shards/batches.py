"""Records that wait for a commit, gathered into the batches of a shard's log."""

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
    """Records that wait for a commit, and who waits for them."""

    writes: list[object]
    fut: asyncio.Future

    def succeed(self) -> None:
        """Tell who waits that the records are committed."""
        if not self.fut.done():
            self.fut.set_result(None)

    def fail(self, exc: Exception) -> None:
        """Tell who waits that they are not, or not for sure."""
        if not self.fut.done():
            self.fut.set_exception(exc)


class Queue:
    """What waits for a commit, oldest first."""

    def __init__(self) -> None:
        self._items: collections.deque[Pending] = collections.deque()
        self._records = 0

    def __bool__(self) -> bool:
        """Whether anything waits."""
        return bool(self._items)

    @property
    def is_full(self) -> bool:
        """Whether no more may be added."""
        return self._records >= PENDING_MAX_RECORDS

    def add(self, item: Pending) -> None:
        """Add records at the end."""
        self._items.append(item)
        self._records += len(item.writes)

    def take(self) -> list[Pending]:
        """Remove and return what goes into the next batch."""
        items: list[Pending] = []
        ended: set[str] = set()
        size = 0
        while self._items and size < BATCH_MAX_BYTES:
            if _claims_any(self._items[0], ended):
                break
            item = self._items.popleft()
            ended |= _ended_calls(item)
            size += sum(_size(record) for record in item.writes)
            self._records -= len(item.writes)
            items.append(item)
        return items

    def fail_all(self, exc_type: type[Exception]) -> None:
        """Drop everything, with an error of its own for each."""
        while self._items:
            self._items.popleft().fail(exc_type())
        self._records = 0


def fill(batch: records.Batch, items: list[Pending]) -> records.Batch:
    """Return a batch with the records of some items."""
    lists: dict[str, list[object]] = collections.defaultdict(list)
    for item in items:
        for record in item.writes:
            lists[LIST_OF_RECORD[type(record)]].append(record)
    return attrs.evolve(batch, **lists)


def _size(record: object) -> int:
    if isinstance(record, records.Outcome) and record.answer is not None:
        return RECORD_OVERHEAD_BYTES + len(record.answer.body)
    return RECORD_OVERHEAD_BYTES


def _ended_calls(item: Pending) -> set[str]:
    return {w.key for w in item.writes if isinstance(w, records.Outcome)}


def _claims_any(item: Pending, keys: set[str]) -> bool:
    """Tell whether the item claims one of the calls again.

    A batch is folded claims first, so a claim after an outcome of the same call
    has to go into the next batch.
    """
    return any(isinstance(w, records.Claim) and w.key in keys for w in item.writes)
