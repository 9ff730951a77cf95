"""Snapshots that may be larger than one object.

A small snapshot is one object. A larger one is split into parts, which are only ever
created, under names of their own; the head object that names them is written last, so
that a reader finds the parts of the snapshot that its head names, or of none.
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
    """A part that the head names is not there."""


@attrs.frozen(kw_only=True)
class Head:
    """The head object: the snapshot itself, or the names of its parts."""

    seq: int
    writer: records.Run
    inline: bytes = b""
    parts: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Split:
    """A snapshot ready to be written: the parts by name, then the head."""

    parts: dict[str, bytes]
    head: bytes


def is_part(name: str) -> bool:
    """Tell whether an object is a part of a snapshot."""
    return PART_MARK in name


async def split(snapshot: state.State, name: str, writer: records.Run) -> Split:
    """Encode, compress and split a snapshot.

    The state is encoded at once; a thread compresses the bytes, so that a large
    snapshot does not hold up the requests of this process.
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
    """Decode the snapshot that a head object names.

    Raises
    ------
    MissingPartError
        When the listing does not have a part, as a stale one may not.
    """
    head = read_head(obj)
    missing = [name for name in head.parts if name not in by_name]
    if missing:
        raise MissingPartError(f"snapshot {head.seq}: no part {missing[0]}")
    data = head.inline or b"".join(by_name[name].value for name in head.parts)
    return codec.from_wire(zlib.decompress(data), state.State)
