"""Where the gateway's beliefs come from: a store of records that can be watched."""

import enum
import typing

import attrs
import result

from masticpost_gateway.state import model


class Kind(enum.Enum):
    """What a record is about."""

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
    """Why a call to the store brought nothing."""

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
    """A record of the store; `record` is None where it could not be read."""

    name: str
    revision: int
    record: Record | None


@attrs.frozen(kw_only=True)
class Listing:
    """All entries of a kind as of a revision of the store."""

    entries: tuple[Entry, ...]
    at: int


@attrs.frozen(kw_only=True)
class Event:
    """A change of one entry."""

    entry: Entry
    is_removed: bool


@attrs.frozen(kw_only=True)
class Changes:
    """What changed up to a revision of the store."""

    events: tuple[Event, ...]
    at: int


@attrs.frozen(kw_only=True)
class InstanceEntry:
    """An instance that is registered in the store."""

    name: str
    address: str
    domain: str


@attrs.frozen(kw_only=True)
class QuarantineEntry:
    """A request that is not run again; `since_s` in seconds of Unix time."""

    fingerprint: str
    since_s: float


class Source(typing.Protocol):
    """A store that the gateway watches and writes a few things to."""

    async def list_all(self, kind: Kind) -> result.Result[Listing, Fault]:
        """Return all entries of a kind, no older than the call."""

    async def watch(
        self, kind: Kind, at: int, wait_s: float
    ) -> result.Result[Changes, Fault]:
        """Return the changes after `at`, or none after `wait_s` seconds."""

    async def update_roll_out(
        self, entry: Entry, order: model.RollOut
    ) -> result.Result[Entry, Fault]:
        """Write the state of a roll-out if `entry` has not changed since."""

    async def register(self, me: InstanceEntry) -> result.Result[None, Fault]:
        """Enter this instance where the others look for it."""

    async def instances(self) -> result.Result[list[InstanceEntry], Fault]:
        """Return the registered instances, possibly seconds old."""

    async def quarantined(self) -> result.Result[list[QuarantineEntry], Fault]:
        """Return the requests that are not run again."""

    async def add_quarantined(self, row: QuarantineEntry) -> result.Result[None, Fault]:
        """Enter a request that is not run again; one that is there stays as it is."""

    async def remove_quarantined(self, fingerprint: str) -> result.Result[None, Fault]:
        """Remove such an entry, if it is there."""

    async def close(self) -> None:
        """Close the connections."""
