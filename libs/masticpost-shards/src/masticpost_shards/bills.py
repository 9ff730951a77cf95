"""Tells the owners of bills until they are committed; nothing waits for it."""

import asyncio
import collections
import hashlib

import mode
from masticpost_common import errors

from masticpost_shards import directory, ops, records

FLUSH_S = 0.05
TELL_TIMEOUT_S = 2.5
TELL_PAUSE_S = 0.2
MAX_WAITING = 200_000
MAX_PER_TELL = 2_000
RETRY_AFTER_S = 5.0


def bill_key(customer: str, request_id: str) -> str:
    """Return the key of a request's bill."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{customer}\0{request_id}".encode())
    return digest.hexdigest()


class BillWriter(mode.Service):
    """Keeps the records of bills until their shards' owners committed them.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self.waiting = 0
        self._opens: dict[int, list[records.BillOpen]] = collections.defaultdict(list)
        self._closes: dict[int, list[records.BillClose]] = collections.defaultdict(list)
        self._telling: set[int] = set()

    def check_room(self) -> None:
        """Refuse new work when too many records wait for the object API."""
        if self.waiting >= MAX_WAITING:
            raise errors.refuse(
                503,
                "bill_backlog",
                "Too many bills wait to be stored. The request was not run.",
                retry_after_s=RETRY_AFTER_S,
            )

    def open(self, opened: records.BillOpen) -> None:
        """Tell that a request is dispatched."""
        self._opens[self.shards.shard_of(opened.key)].append(opened)
        self.waiting += 1

    def close(self, closed: records.BillClose) -> None:
        """Tell the one bill of a request."""
        self._closes[self.shards.shard_of(closed.key)].append(closed)
        self.waiting += 1

    @mode.Service.task
    async def flush_loop(self) -> None:
        """Start telling each shard that has records and is not being told."""
        while not self.should_stop:
            await asyncio.sleep(FLUSH_S)
            self._start_tells()

    def _start_tells(self) -> None:
        shards = {s for s, rows in self._opens.items() if rows}
        shards |= {s for s, rows in self._closes.items() if rows}
        for shard in shards - self._telling:
            self._telling.add(shard)
            self.add_future(self._tell(shard))

    async def _tell(self, shard: int) -> None:
        opens = self._opens[shard][:MAX_PER_TELL]
        closes = self._closes[shard][:MAX_PER_TELL]
        closed_keys = {row.key for row in closes}
        tell = ops.BillsTell(
            shard=shard,
            opens=[row for row in opens if row.key not in closed_keys],
            closes=closes,
        )
        try:
            await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
        except (directory.ShardUnavailableError, directory.StoreUnavailableError):
            await asyncio.sleep(TELL_PAUSE_S)
        else:
            del self._opens[shard][: len(opens)]
            del self._closes[shard][: len(closes)]
            self.waiting -= len(opens) + len(closes)
        finally:
            self._telling.discard(shard)

    async def flush(self, timeout_s: float) -> None:
        """Wait until everything is committed, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.waiting:
                    self._start_tells()
                    await asyncio.sleep(FLUSH_S)
        except TimeoutError:
            return
