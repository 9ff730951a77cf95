"""A shard's log in the object API: a ring of slots and a snapshot.

Batch ``seq`` is written to slot ``seq % RING_SLOTS`` by a create or a conditional
update. The slot's resource version provides the fencing: a writer that is no longer the
owner finds the slot changed. A snapshot is written before the ring wraps, so that no
batch is overwritten before a snapshot covers it. One write contains a whole batch, and
slots need no deletion.
"""

import enum
import uuid
import zlib

import attrs
import result
from loguru import logger
from masticpost_common import codec
from masticpost_store import client, objects

from masticpost_shards import records, snapshots, state

RING_SLOTS = 128
SNAPSHOT_EVERY = 48  # batches
SNAPSHOT_AFTER_BYTES = 1_000_000
SHARD_LABEL = "masticpost-shard"
KIND_LABEL = "masticpost-kind"
SLOT_KIND = "log"
SNAPSHOT_KIND = "snapshot"


class AppendFault(enum.Enum):
    """Why a batch was not written.

    ``UNAVAILABLE``: the store did not process the write. ``NOT_KNOWN``: the batch may
    have been written. ``WRAPPED``: the ring is full of batches that no snapshot covers.
    """

    FENCED = "fenced"
    UNAVAILABLE = "unavailable"
    NOT_KNOWN = "not known"
    WRAPPED = "wrapped"
    TOO_LARGE = "too large"


class CorruptLogError(Exception):
    """The stored log has a gap."""


def slot_name(shard: int, seq: int) -> str:
    """Return the object name of the slot of batch `seq`."""
    return f"masticpost-shard-{shard:04d}-log-{seq % RING_SLOTS:03d}"


def snapshot_name(shard: int) -> str:
    """Return the object name of the snapshot."""
    return f"masticpost-shard-{shard:04d}-snapshot"


def labels_of(shard: int, kind: str) -> dict[str, str]:
    """Return the labels of a shard's objects."""
    return {SHARD_LABEL: f"{shard:04d}", KIND_LABEL: kind}


def pack(value: object) -> bytes:
    """Encode and compress a batch or snapshot."""
    return zlib.compress(codec.to_wire(value), 1)


def unpack_batch(data: bytes) -> records.Batch:
    """Decode a batch."""
    return codec.from_wire(zlib.decompress(data), records.Batch)


@attrs.define(kw_only=True)
class Loaded:
    """A shard's state and the versions of its objects, read with one list call.

    `bytes_since_snapshot` counts the bytes appended since the last snapshot.
    """

    state: state.State
    slot_versions: dict[int, str]
    snapshot_version: str | None
    snapshot_seq: int
    parts: set[str] = attrs.field(factory=set)
    bytes_since_snapshot: int = 0


def replay(listing: objects.Listing, shard: int) -> Loaded:
    """Rebuild the state from a shard's objects: the snapshot and later batches.

    Raises
    ------
    CorruptLogError
        When a batch between the snapshot and the newest batch is missing.
    """
    by_name = {obj.name: obj for obj in listing.objects}
    snapshot = by_name.get(snapshot_name(shard))
    base = snapshots.join(snapshot, by_name) if snapshot else state.State()
    snapshot_seq = base.seq
    batches: dict[int, records.Batch] = {}
    slot_versions: dict[int, str] = {}
    for index in range(RING_SLOTS):
        obj = by_name.get(slot_name(shard, index))
        if obj is None:
            continue
        batch = unpack_batch(obj.value)
        slot_versions[index] = obj.version
        batches[batch.seq] = batch
    newest = max(batches, default=-1)
    for seq in range(base.seq + 1, newest + 1):
        if seq not in batches:
            raise CorruptLogError(f"shard {shard}: batch {seq} is missing")
        base.apply(batches[seq])
    return Loaded(
        state=base,
        slot_versions=slot_versions,
        snapshot_version=snapshot.version if snapshot else None,
        parts={name for name in by_name if snapshots.is_part(name)},
        snapshot_seq=snapshot_seq,
    )


class Log:
    """Reads and appends the log of one shard.

    Parameters
    ----------
    store : client.Client
        The object API.
    shard : int
        Number of the shard.
    run : records.Run
        This process.
    """

    def __init__(self, *, store: client.Client, shard: int, run: records.Run) -> None:
        self.store = store
        self.shard = shard
        self.run = run
        self.loaded: Loaded | None = None

    @property
    def committed(self) -> state.State:
        """The committed state."""
        return self.loaded.state

    async def load(self) -> result.Result[state.State, objects.Fault]:
        """Read snapshot and batches with one list call."""
        listing = await self.store.list({SHARD_LABEL: f"{self.shard:04d}"})
        if listing.is_err():
            return result.Err(listing.unwrap_err())
        try:
            self.loaded = replay(listing.unwrap(), self.shard)
        except (CorruptLogError, ValueError, zlib.error) as exc:
            logger.error("shard {}: cannot read log: {}", self.shard, exc)
            kind = objects.FaultKind.NOT_KNOWN
            return result.Err(objects.Fault(kind=kind, message=str(exc)))
        return result.Ok(self.committed)

    def next_batch(self, at: int) -> records.Batch:
        """Return an empty batch for the next position."""
        return records.Batch(
            seq=self.committed.seq + 1, nonce=uuid.uuid4().hex, owner=self.run, at=at
        )

    async def append(
        self, batch: records.Batch
    ) -> result.Result[records.Batch, AppendFault]:
        """Write `batch` at its position and apply it to the state.

        After a fault `NOT_KNOWN` it is not known whether the batch was written: call
        `resolve` with the same batch before anything else is written.
        """
        if batch.seq - self.loaded.snapshot_seq > RING_SLOTS:
            return result.Err(AppendFault.WRAPPED)
        value = pack(batch)
        if len(value) > objects.MAX_VALUE_BYTES:
            return result.Err(AppendFault.TOO_LARGE)
        written = await self._write_slot(batch.seq, value)
        if written.is_ok():
            self.loaded.bytes_since_snapshot += len(value)
            return self._committed(batch, written.unwrap())
        fault = _append_fault(written.unwrap_err())
        if fault is AppendFault.FENCED:
            return await self._check_fenced(batch)
        return result.Err(fault)

    async def resolve(
        self, batch: records.Batch
    ) -> result.Result[records.Batch, AppendFault]:
        """Find out by reading whether a write whose answer was lost took effect.

        If it did not, the batch is written again with the same nonce. If the first
        write still arrives, it either is this one or fails because the slot changed.
        """
        found = await self.store.get(slot_name(self.shard, batch.seq))
        if found.is_err():
            if found.unwrap_err().kind is objects.FaultKind.MISSING:
                return await self.append(batch)
            return result.Err(AppendFault.NOT_KNOWN)
        stored = unpack_batch(found.unwrap().value)
        if stored.nonce == batch.nonce:
            return self._committed(batch, found.unwrap())
        if stored.seq >= batch.seq:
            return result.Err(AppendFault.FENCED)
        return await self.append(batch)

    async def _check_fenced(
        self, batch: records.Batch
    ) -> result.Result[records.Batch, AppendFault]:
        """After a conflict, check whether the slot has this batch or another's."""
        found = await self.store.get(slot_name(self.shard, batch.seq))
        if found.is_err():
            return result.Err(AppendFault.NOT_KNOWN)
        if unpack_batch(found.unwrap().value).nonce == batch.nonce:
            return self._committed(batch, found.unwrap())
        return result.Err(AppendFault.FENCED)

    async def write_snapshot(self, now_ms: int) -> bool:
        """Replace the last snapshot by the committed state; return False on a fault.

        A snapshot is any committed prefix of the log. The conditional update and the
        check in `_reread_snapshot` prevent an older one from replacing a newer one.
        """
        self.committed.prune(now_ms)
        seq = self.committed.seq
        name = snapshot_name(self.shard)
        labels = labels_of(self.shard, SNAPSHOT_KIND)
        split = await snapshots.split(self.committed, name, self.run)
        for part, content in split.parts.items():
            created = await self.store.create(part, content, labels)
            if created.is_err():
                return False
            self.loaded.parts.add(part)
        value = split.head
        version = self.loaded.snapshot_version
        if version is None:
            written = await self.store.create(name, value, labels)
        else:
            written = await self.store.update(name, value, version, labels)
        if written.is_err():
            return await self._reread_snapshot(name)
        self.loaded.snapshot_version = written.unwrap().version
        self.loaded.snapshot_seq = seq
        self.loaded.bytes_since_snapshot = 0
        await self._delete_parts(set(split.parts))
        return True

    async def _delete_parts(self, current: set[str]) -> None:
        """Delete the parts of earlier snapshots; failed ones are retried next time."""
        for part in sorted(self.loaded.parts - current):
            if (await self.store.delete(part)).is_ok():
                self.loaded.parts.discard(part)

    def snapshot_is_due(self) -> bool:
        """Return whether enough was written since the last snapshot."""
        if self.loaded.bytes_since_snapshot >= SNAPSHOT_AFTER_BYTES:
            return True
        return self.committed.seq - self.loaded.snapshot_seq >= SNAPSHOT_EVERY

    async def _reread_snapshot(self, name: str) -> bool:
        """Read the stored snapshot's version, unless it is ahead of this log.

        Returns whether the stored snapshot covers the committed state.
        """
        found = await self.store.get(name)
        if found.is_err():
            return False
        stored_seq = snapshots.read_head(found.unwrap()).seq
        if stored_seq > self.committed.seq:
            return False
        self.loaded.snapshot_version = found.unwrap().version
        self.loaded.snapshot_seq = stored_seq
        return stored_seq == self.committed.seq

    async def _write_slot(self, seq: int, value: bytes) -> client.ObjectResult:
        name = slot_name(self.shard, seq)
        labels = labels_of(self.shard, SLOT_KIND)
        version = self.loaded.slot_versions.get(seq % RING_SLOTS)
        if version is None:
            return await self.store.create(name, value, labels)
        return await self.store.update(name, value, version, labels)

    def _committed(
        self, batch: records.Batch, obj: objects.StoredObject
    ) -> result.Ok[records.Batch]:
        self.loaded.slot_versions[batch.seq % RING_SLOTS] = obj.version
        self.committed.apply(batch)
        return result.Ok(batch)


def _append_fault(fault: objects.Fault) -> AppendFault:
    if fault.kind in (objects.FaultKind.CONFLICT, objects.FaultKind.MISSING):
        return AppendFault.FENCED
    if fault.kind is objects.FaultKind.NOT_PROCESSED:
        return AppendFault.UNAVAILABLE
    return AppendFault.NOT_KNOWN
