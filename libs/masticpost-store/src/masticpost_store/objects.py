"""Objects of the platform's object API and the faults of calls to it."""

import enum

import attrs

MAX_VALUE_BYTES = 1_000_000


class FaultKind(enum.Enum):
    """Why a call failed."""

    CONFLICT = "conflict"
    MISSING = "missing"
    NOT_PROCESSED = "never judged"
    NOT_KNOWN = "not known"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class Fault:
    """A failed call.

    `NOT_PROCESSED` calls had no effect; a write that ended `NOT_KNOWN` may have
    taken effect and is settled by reading back.
    """

    kind: FaultKind
    message: str = ""


@attrs.frozen(kw_only=True)
class StoredObject:
    """A stored object; `version` is the API's opaque resource version."""

    name: str
    value: bytes
    version: str
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Listing:
    """The objects of one list call and the resource version it was made at."""

    objects: tuple[StoredObject, ...]
    version: str
