"""Snapshots that may be larger than one object.

A small snapshot is one object. A larger one is split into parts. Parts get unique names
and are created but never updated. The head object, which lists their names, is written
last, so that a reader finds either all parts of the snapshot of the head, or misses one
and fails; it never mixes parts of two snapshots.
"""

import asyncio
import uuid
import zlib

import attrs
from masticpost_common import codec
from masticpost_store import objects

from masticpost_shards import records, state

PART_BYTES = 900_000
PART_MARK = "-part-"


class MissingPartError(ValueError):
    """A part that the head lists is missing."""


@attrs.frozen(kw_only=True)
class Head:
    """The head object: the snapshot itself, or the names of its parts."""

    seq: int
    writer: records.Run
    inline: bytes = b""
    parts: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Split:
    """An encoded snapshot: the parts by object name, and the head, written last."""

    parts: dict[str, bytes]
    head: bytes


def is_part(name: str) -> bool:
    """Return whether an object name is that of a part of a snapshot."""
    return PART_MARK in name


async def split(snapshot: state.State, name: str, writer: records.Run) -> Split:
    """Encode, compress and split a snapshot.

    The state is encoded before the first await. A thread compresses the bytes, so that
    a large snapshot does not block the event loop.
    """
    seq = snapshot.seq
    data = await asyncio.to_thread(zlib.compress, codec.to_wire(snapshot), 1)
    if len(data) <= PART_BYTES:
        head = Head(seq=seq, writer=writer, inline=data)
        return Split(parts={}, head=codec.to_wire(head))
    unique = uuid.uuid4().hex[:12]
    parts = {
        f"{name}{PART_MARK}{unique}-{number:03d}": data[start : start + PART_BYTES]
        for number, start in enumerate(range(0, len(data), PART_BYTES))
    }
    head = Head(seq=seq, writer=writer, parts=list(parts))
    return Split(parts=parts, head=codec.to_wire(head))


def read_head(obj: objects.StoredObject) -> Head:
    """Decode a head object."""
    return codec.from_wire(obj.value, Head)


def join(
    obj: objects.StoredObject, by_name: dict[str, objects.StoredObject]
) -> state.State:
    """Decode the snapshot of a head object.

    Raises
    ------
    MissingPartError
        When a part is missing from the listing, for example from a stale one.
    """
    head = read_head(obj)
    missing = [name for name in head.parts if name not in by_name]
    if missing:
        raise MissingPartError(f"snapshot {head.seq}: part {missing[0]} is missing")
    data = head.inline or b"".join(by_name[name].value for name in head.parts)
    return codec.from_wire(zlib.decompress(data), state.State)
