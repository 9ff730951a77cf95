"""Messages by which instances pass on what they know of the store."""

import attrs
from masticpost_common import codec
from masticpost_peers import messages

from masticpost_gateway import source, trial


@attrs.frozen(kw_only=True)
class PassedEntry:
    """An entry between instances; `raw` is the record, None if it cannot be read."""

    name: str
    revision: int
    raw: bytes | None


@messages.message("gateway-changes")
@attrs.frozen(kw_only=True)
class PassedChanges:
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
    changed: list[PassedEntry]
    removed: list[str]


@messages.message("gateway-ask")
@attrs.frozen(kw_only=True)
class AskState:
    """Asks for the whole state of a kind."""

    kind: source.Kind


@messages.message("gateway-state")
@attrs.frozen(kw_only=True)
class PassedState:
    """The whole state of a kind; `at` is -1 when the sender knows none."""

    kind: source.Kind
    at: int
    age_s: float
    entries: list[PassedEntry]


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
class Beat:
    """Sent by a watcher to those that it tells, once a second."""

    views: list[Freshness]
    bad: list[BadVersion]


@messages.message("gateway-evidence")
@attrs.frozen(kw_only=True)
class EvidenceReport:
    """An instance's own evidence of the open trials."""

    rows: list[trial.Evidence]


def passed(entry: source.Entry) -> PassedEntry:
    """Encode an entry for another instance."""
    raw = None if entry.record is None else codec.to_wire(entry.record)
    return PassedEntry(name=entry.name, revision=entry.revision, raw=raw)


def entry(kind: source.Kind, row: PassedEntry) -> source.Entry:
    """Decode an entry of another instance."""
    record = None
    if row.raw is not None:
        record = codec.from_wire(row.raw, source.RECORD_TYPES[kind])
    return source.Entry(name=row.name, revision=row.revision, record=record)
