"""Messages by which instances pass on what they know of the store."""

import zlib

import attrs
from masticpost_common import codec
from masticpost_peers import messages

from masticpost_gateway.learning import trial
from masticpost_gateway.state import differences, model, source

# Beyond it compression saves more time on the links than it takes.
COMPRESSED_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
MAX_RECORD_BYTES = 64 * 2**20


class OtherBaseError(Exception):
    """An entry is told as a difference from one that is not known here."""


@attrs.frozen(kw_only=True)
class ReplicatedEntry:
    """An entry between instances.

    Attributes
    ----------
    raw : bytes or None
        The record, or what changed in it; None if it cannot be read.
    base : int
        Revision of the entry to which `raw` is a difference, 0 for a whole record.
    is_compressed : bool
        Whether `raw` is compressed with zlib.
    """

    name: str
    revision: int
    raw: bytes | None
    base: int = 0
    is_compressed: bool = False


@messages.message("gateway-changes")
@attrs.frozen(kw_only=True)
class ReplicatedChanges:
    """What changed in a kind between two revisions of the store.

    Attributes
    ----------
    regained_s : float
        Time since the sender's store was back after its last outage, in seconds.
    """

    kind: source.Kind
    since: int
    at: int
    age_s: float
    regained_s: float
    changed: list[ReplicatedEntry]
    removed: list[str]


@messages.message("gateway-ask")
@attrs.frozen(kw_only=True)
class StateRequest:
    """Asks for the whole state of a kind."""

    kind: source.Kind


@messages.message("gateway-state")
@attrs.frozen(kw_only=True)
class ReplicatedState:
    """The whole state of a kind; `at` is -1 when the sender knows none."""

    kind: source.Kind
    at: int
    age_s: float
    entries: list[ReplicatedEntry]


@attrs.frozen(kw_only=True)
class Freshness:
    """How new a watcher's view of a kind is.

    Attributes
    ----------
    changed_at : int
        Revision of the store at the last change that the watcher knows.
    """

    kind: source.Kind
    at: int
    changed_at: int
    age_s: float


@attrs.frozen(kw_only=True)
class BadVersion:
    """A version that the pooled evidence speaks against."""

    service: str
    target: str
    reason: str


@messages.message("gateway-beat")
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sent by a watcher to those that it tells, once a second.

    Attributes
    ----------
    watches : bool
        Whether the sender has begun to watch the store. One that was chosen a moment
        ago knows no more than those that it tells.
    doubted : list of BadVersion
        Versions on trial that may be bad.
    """

    views: list[Freshness]
    bad: list[BadVersion]
    watches: bool = True
    doubted: list[BadVersion] = attrs.field(factory=list)


@messages.message("gateway-evidence")
@attrs.frozen(kw_only=True)
class EvidenceReport:
    """An instance's own evidence of the open trials."""

    rows: list[trial.Evidence]


def encode_entry(
    entry: source.Entry, base: source.Entry | None = None
) -> ReplicatedEntry:
    """Encode an entry for another instance.

    Parameters
    ----------
    base : source.Entry, optional
        What the others know of it; only what changed since is told where that pays.
    """
    if entry.record is None:
        return ReplicatedEntry(name=entry.name, revision=entry.revision, raw=None)
    body, base_revision = entry.record, 0
    if base is not None and _are_configurations(entry, base):
        found = differences.between(base.record, entry.record)
        if found is not None:
            body, base_revision = found, base.revision
    raw = codec.to_wire(body)
    is_compressed = len(raw) >= COMPRESSED_FROM_BYTES
    return ReplicatedEntry(
        name=entry.name,
        revision=entry.revision,
        raw=zlib.compress(raw, COMPRESSION_LEVEL) if is_compressed else raw,
        base=base_revision,
        is_compressed=is_compressed,
    )


def decode_entry(
    kind: source.Kind, row: ReplicatedEntry, known: source.Entry | None = None
) -> source.Entry:
    """Decode an entry of another instance.

    Parameters
    ----------
    known : source.Entry, optional
        The entry of the same name that is known here.

    Raises
    ------
    OtherBaseError
        The row tells a difference from another revision.
    """
    record = None
    if row.raw is not None:
        record = _record(kind, row, known)
    return source.Entry(name=row.name, revision=row.revision, record=record)


def _are_configurations(*entries: source.Entry) -> bool:
    return all(isinstance(row.record, model.Configuration) for row in entries)


def _record(
    kind: source.Kind, row: ReplicatedEntry, known: source.Entry | None
) -> source.Record:
    raw = _inflated(row.raw) if row.is_compressed else row.raw
    if not row.base:
        return codec.from_wire(raw, source.RECORD_TYPES[kind])
    if known is None or known.revision != row.base or known.record is None:
        raise OtherBaseError(f"{row.name}: a difference from revision {row.base}")
    found = codec.from_wire(raw, differences.Difference)
    return differences.apply(known.record, found)


def _inflated(raw: bytes) -> bytes:
    return zlib.decompressobj().decompress(raw, MAX_RECORD_BYTES)
