"""Interface of the store: records that can be listed and watched for changes."""

import enum
import typing

import attrs
import result

from masticpost_gateway.state import model


class Kind(enum.Enum):
    """Kind of a record."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    ROLL_OUTS = "roll-outs"
    DOMAINS_OUT = "domains-out"


Record = model.Configuration | model.Upstream | model.RollOut | model.DomainOut
RECORD_TYPES: dict[Kind, type] = {
    Kind.CONFIGURATION: model.Configuration,
    Kind.UPSTREAMS: model.Upstream,
    Kind.ROLL_OUTS: model.RollOut,
    Kind.DOMAINS_OUT: model.DomainOut,
}


class FaultKind(enum.Enum):
    """Why a call to the store failed.

    After `NOT_DONE` the call has had no effect; after `NOT_KNOWN` it may have had one.
    """

    NOT_DONE = "not done"
    NOT_KNOWN = "not known"
    CONFLICT = "conflict"
    MISSING = "missing"
    HISTORY_GONE = "history gone"


@attrs.frozen(kw_only=True)
class Fault:
    """A failed call to the store."""

    kind: FaultKind
    message: str


@attrs.frozen(kw_only=True)
class Entry:
    """A named record of the store; `record` is None if it could not be decoded."""

    name: str
    revision: int
    record: Record | None


@attrs.frozen(kw_only=True)
class Listing:
    """All entries of a kind at revision `at` of the store."""

    entries: tuple[Entry, ...]
    at: int


@attrs.frozen(kw_only=True)
class Event:
    """A change of one entry."""

    entry: Entry
    is_removed: bool


@attrs.frozen(kw_only=True)
class Changes:
    """Changes up to revision `at` of the store.

    Attributes
    ----------
    unreadable : int
        Number of further changes that could not be read.
    """

    events: tuple[Event, ...]
    at: int
    unreadable: int = 0


@attrs.frozen(kw_only=True)
class InstanceEntry:
    """An instance that is registered in the store."""

    name: str
    address: str
    domain: str


@attrs.frozen(kw_only=True)
class QuarantineEntry:
    """A quarantined cause of crashes.

    Attributes
    ----------
    key : str
        Identifies a request or a part of prompts; fit for a name in the store.
    since_s : float
        Time of its last crash, in seconds of Unix time.
    failed_trials : int
        Trials that crashed an upstream.
    """

    key: str
    since_s: float
    failed_trials: int = 0


# Revisions of one era of the store; those of a later era are all higher.
ERA_SPAN = 10**12


def position(era: int, revision: int) -> int:
    """Return a position of the store that grows over eras.

    A store that comes back from an older copy begins a new era and gives out
    revisions again.
    """
    return era * ERA_SPAN + revision


def era_of(at: int) -> int:
    """Return the era of a position, -1 before the first state has arrived."""
    return at // ERA_SPAN


def revision_of(at: int) -> int:
    """Return the revision of a position within its era."""
    return at % ERA_SPAN


class Source(typing.Protocol):
    """A store that the gateway watches, and to which it writes a few records."""

    async def list_all(self, kind: Kind) -> result.Result[Listing, Fault]:
        """Return all entries of a kind, at least as new as the call."""

    async def watch(
        self, kind: Kind, at: int, wait_s: float
    ) -> result.Result[Changes, Fault]:
        """Return the changes after revision `at`, or none after `wait_s` seconds."""

    async def update_roll_out(
        self, entry: Entry, order: model.RollOut
    ) -> result.Result[Entry, Fault]:
        """Write the state of a roll-out, unless `entry` has changed (`CONFLICT`)."""

    async def register(self, me: InstanceEntry) -> result.Result[None, Fault]:
        """Register this instance, so that other instances can find it."""

    async def instances(self) -> result.Result[list[InstanceEntry], Fault]:
        """Return the registered instances; the list may be seconds old."""

    async def quarantined(self) -> result.Result[list[QuarantineEntry], Fault]:
        """Return the quarantined causes."""

    async def put_quarantined(self, row: QuarantineEntry) -> result.Result[None, Fault]:
        """Add a quarantined cause or replace its entry."""

    async def remove_quarantined(self, key: str) -> result.Result[None, Fault]:
        """Remove a quarantined cause, if there is an entry for it."""

    async def close(self) -> None:
        """Close the connections."""
