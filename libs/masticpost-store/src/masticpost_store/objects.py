"""Objects of the platform's object API, and how calls to it fail."""

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

    A `NOT_PROCESSED` call had no effect. A write that failed with `NOT_KNOWN` may have
    taken effect; the writer reads the object back to find out.
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
    """The objects of one list call and the resource version of the list."""

    objects: tuple[StoredObject, ...]
    version: str
