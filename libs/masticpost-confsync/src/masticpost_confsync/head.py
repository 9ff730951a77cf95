"""The stored text, as a head object and history objects, and how an edit is applied.

An edit replaces the head by a conditional update from the generation that the operator
has seen. Before that, the generation in the head is archived as a history object, so
that the history is complete up to the head at any time.
"""

import uuid

import attrs
import result
from masticpost_common import codec
from masticpost_store import client, objects

HEAD_NAME = "masticpost-text"
HISTORY_LABELS = {"masticpost-kind": "text-history"}
HEAD_LABELS = {"masticpost-kind": "text"}


@attrs.frozen(kw_only=True)
class StoredText:
    """A generation of the text in its stored form."""

    generation: int
    raw: str
    nonce: str
    at: int
    author: str = ""
    note: str = ""


@attrs.frozen(kw_only=True)
class Head:
    """The latest generation and the resource version of the head object."""

    stored: StoredText
    version: str


@attrs.frozen(kw_only=True)
class Conflict:
    """Another edit was applied first; `current` is the generation stored now."""

    current: StoredText | None


ApplyFault = Conflict | objects.Fault


def decode(value: bytes) -> StoredText:
    """Decode a stored generation; raises `codec.DecodeError`."""
    return codec.from_json(value, StoredText)


async def read(store: client.Client) -> result.Result[Head | None, objects.Fault]:
    """Read the head; None if no text has been applied yet."""
    found = await store.get(HEAD_NAME)
    if found.is_err():
        fault = found.unwrap_err()
        if fault.kind is objects.FaultKind.MISSING:
            return result.Ok(None)
        return result.Err(fault)
    obj = found.unwrap()
    try:
        return result.Ok(Head(stored=decode(obj.value), version=obj.version))
    except codec.DecodeError as exc:
        kind = objects.FaultKind.REJECTED
        return result.Err(
            objects.Fault(kind=kind, message=f"cannot decode the head object: {exc}")
        )


async def apply(
    store: client.Client,
    *,
    raw: str,
    seen_generation: int,
    author: str,
    note: str,
    at: int,
) -> result.Result[StoredText, ApplyFault]:
    """Store `raw` as the next generation if the head is still `seen_generation`.

    If the response to the write is lost, the head is read back and compared by nonce
    to find out whether the write took effect.
    """
    found = await read(store)
    if found.is_err():
        return result.Err(found.unwrap_err())
    head = found.unwrap()
    if (head.stored.generation if head else 0) != seen_generation:
        return result.Err(Conflict(current=head.stored if head else None))
    stored = StoredText(
        generation=seen_generation + 1,
        raw=raw,
        nonce=uuid.uuid4().hex,
        at=at,
        author=author,
        note=note,
    )
    archived = await _archive(store, head)
    if archived.is_err():
        return result.Err(archived.unwrap_err())
    return await _replace(store, head, stored)


async def _archive(
    store: client.Client, head: Head | None
) -> result.Result[None, objects.Fault]:
    if head is None:
        return result.Ok(None)
    name = f"{HEAD_NAME}-{head.stored.generation:08d}"
    created = await store.create(name, codec.to_json(head.stored), HISTORY_LABELS)
    if created.is_err() and created.unwrap_err().kind is not objects.FaultKind.CONFLICT:
        return result.Err(created.unwrap_err())
    return result.Ok(None)


async def _replace(
    store: client.Client, head: Head | None, stored: StoredText
) -> result.Result[StoredText, ApplyFault]:
    value = codec.to_json(stored)
    if head is None:
        written = await store.create(HEAD_NAME, value, HEAD_LABELS)
    else:
        written = await store.update(HEAD_NAME, value, head.version, HEAD_LABELS)
    if written.is_ok():
        return result.Ok(stored)
    fault = written.unwrap_err()
    if fault.kind is objects.FaultKind.NOT_PROCESSED:
        return result.Err(fault)
    found = await read(store)
    if found.is_err():
        return result.Err(fault)
    current = found.unwrap()
    if current is not None and current.stored.nonce == stored.nonce:
        return result.Ok(stored)
    if fault.kind is objects.FaultKind.CONFLICT:
        return result.Err(Conflict(current=current.stored if current else None))
    return result.Err(fault)


async def history(
    store: client.Client,
) -> result.Result[list[StoredText], objects.Fault]:
    """Return all generations, from the oldest to the head."""
    listed = await store.list(HISTORY_LABELS)
    if listed.is_err():
        return result.Err(listed.unwrap_err())
    found = await read(store)
    if found.is_err():
        return result.Err(found.unwrap_err())
    rows = {s.generation: s for s in map(_decode_object, listed.unwrap().objects)}
    head = found.unwrap()
    if head is not None:
        rows[head.stored.generation] = head.stored
    return result.Ok([rows[generation] for generation in sorted(rows)])


def _decode_object(obj: objects.StoredObject) -> StoredText:
    return decode(obj.value)
