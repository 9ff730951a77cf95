"""Messages by which instances replicate their cached records of the store."""

import zlib

import attrs
from masticpost_common import codec
from masticpost_peers import messages

from masticpost_gateway.learning import trialevidence
from masticpost_gateway.state import differences, model, source

# From this size on, compression saves more time on the network than it takes.
COMPRESSED_FROM_BYTES = 1024
COMPRESSION_LEVEL = 1
# Maximum size of a decompressed record.
MAX_RECORD_BYTES = 64 * 2**20


class OtherBaseError(Exception):
    """An entry is encoded as a difference from a revision that is not cached here."""


@attrs.frozen(kw_only=True)
class ReplicatedEntry:
    """An encoded entry of the store.

    Attributes
    ----------
    raw : bytes or None
        The record or a difference; None if the record could not be decoded.
    base : int
        Revision of the entry to which `raw` is a difference, 0 for a complete record.
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
    """Changes of a kind between two revisions of the store.

    Attributes
    ----------
    since, at : int
        Revisions before and after the changes.
    age_s : float
        Seconds since the sender's view was last known to be up to date.
    regained_s : float
        Seconds since the store was back after the last outage that the sender noticed.
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
    """Request for all entries of a kind."""

    kind: source.Kind


@messages.message("gateway-state")
@attrs.frozen(kw_only=True)
class ReplicatedState:
    """All entries of a kind; `at` is -1 if the sender has no state yet."""

    kind: source.Kind
    at: int
    age_s: float
    entries: list[ReplicatedEntry]


@attrs.frozen(kw_only=True)
class Freshness:
    """Revision and age of a watcher's view of a kind.

    Attributes
    ----------
    at : int
        Revision of the store up to which the view is complete.
    changed_at : int
        Revision of the view after its last change.
    age_s : float
        Seconds since the view was last known to be up to date.
    """

    kind: source.Kind
    at: int
    changed_at: int
    age_s: float


@attrs.frozen(kw_only=True)
class BadVersion:
    """A version on trial that is bad, or may be, by the evidence of all instances."""

    service: str
    target: str
    reason: str


@attrs.frozen(kw_only=True)
class TrialAge:
    """Seconds since the first instance had the order of a trial."""

    service: str
    target: str
    age_s: float


@attrs.frozen(kw_only=True)
class Standing:
    """How an instance learns of changes.

    Attributes
    ----------
    watches : bool
        Whether its watch of the store is switched on. An instance that has just been
        chosen as watcher knows no more than its recipients.
    follows : bool
        Whether its watch is switched on and its calls succeed.
    hears : bool
        Whether another instance that follows the store reports to it.
    """

    watches: bool = False
    follows: bool = False
    hears: bool = False


@messages.message("gateway-pulse")
@attrs.frozen(kw_only=True)
class Pulse:
    """How the sender learns of changes, told between two heartbeats."""

    standing: Standing


@messages.message("gateway-beat")
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Heartbeat of a watcher, sent once per second to the instances that it updates.

    Attributes
    ----------
    views : list of Freshness
        Revision and age of the sender's views.
    bad : list of BadVersion
        Versions on trial that were found bad.
    doubted : list of BadVersion
        Versions on trial that may be bad.
    trials : list of TrialAge
        For how long the orders of the open trials are known.
    standing : Standing
        How the sender learns of changes.
    """

    views: list[Freshness]
    bad: list[BadVersion]
    doubted: list[BadVersion] = attrs.field(factory=list)
    trials: list[TrialAge] = attrs.field(factory=list)
    standing: Standing = attrs.field(factory=Standing)


@messages.message("gateway-verdict")
@attrs.frozen(kw_only=True)
class VerdictNotice:
    """Versions on trial that have just been found bad."""

    bad: list[BadVersion]


@messages.message("gateway-evidence")
@attrs.frozen(kw_only=True)
class EvidenceReport:
    """The evidence on open trials that an instance has collected itself.

    Attributes
    ----------
    ages_s : dict of str to float
        Seconds since the first instance had the order, by service.
    """

    rows: list[trialevidence.Evidence]
    ages_s: dict[str, float] = attrs.field(factory=dict)


def encode_entry(
    entry: source.Entry, base: source.Entry | None = None
) -> ReplicatedEntry:
    """Encode an entry for another instance.

    Parameters
    ----------
    base : source.Entry, optional
        Earlier entry that the recipients have; a configuration is then encoded as the
        difference from it.
    """
    if entry.record is None:
        return ReplicatedEntry(name=entry.name, revision=entry.revision, raw=None)
    body, base_revision = entry.record, 0
    if base is not None and _are_configurations(entry, base):
        diff = differences.between(base.record, entry.record)
        if diff is not None:
            body, base_revision = diff, base.revision
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
    kind: source.Kind, row: ReplicatedEntry, cached: source.Entry | None = None
) -> source.Entry:
    """Decode an entry from another instance.

    Parameters
    ----------
    cached : source.Entry, optional
        The entry of the same name that is cached here.

    Raises
    ------
    OtherBaseError
        The row is a difference from another revision than the cached one.
    """
    record = None
    if row.raw is not None:
        record = _decode_record(kind, row, cached)
    return source.Entry(name=row.name, revision=row.revision, record=record)


def _are_configurations(*entries: source.Entry) -> bool:
    return all(isinstance(row.record, model.Configuration) for row in entries)


def _decode_record(
    kind: source.Kind, row: ReplicatedEntry, cached: source.Entry | None
) -> source.Record:
    raw = _decompress(row.raw) if row.is_compressed else row.raw
    if not row.base:
        return codec.from_wire(raw, source.RECORD_TYPES[kind])
    if cached is None or cached.revision != row.base or cached.record is None:
        raise OtherBaseError(f"{row.name}: base revision {row.base} is not cached")
    diff = codec.from_wire(raw, differences.Difference)
    return differences.apply(cached.record, diff)


def _decompress(raw: bytes) -> bytes:
    return zlib.decompressobj().decompress(raw, MAX_RECORD_BYTES)
