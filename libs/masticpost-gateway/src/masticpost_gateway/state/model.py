"""What the gateway is told: configuration, upstreams, roll-outs, domains taken out.

All times are seconds. The classes are immutable; a change is a new object.
"""

import enum

import attrs

DEFAULT_PRIORITY = 2
NARROW_SHARE = 0.08


class CallKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (CallKind.STREAM, CallKind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in (CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM)


@attrs.frozen(kw_only=True)
class Target:
    """A service that a route sends to and its share of the requests."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of a host and a path prefix go, and within which bounds.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Time within which an answer, or its first event, is on time.
    gap_s : float
        Longest pause between the events of a stream that is on time.
    priority : int
        Rank of the requests, 0 first.
    levels : tuple of str
        Models from the smallest to the largest; empty where callers name one.
    attempts : int
        Most upstreams that may run one request.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    gap_s: float = 0.0
    priority: int = DEFAULT_PRIORITY
    levels: tuple[str, ...] = ()
    attempts: int = 1
    is_keyless: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """A group of upstreams.

    Attributes
    ----------
    max_connections : int
        Connections that one upstream accepts from all instances together; 0 for no
        bound.
    cold_rate : float
        Requests a second that one upstream bears while it is cold; 0 for no bound.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    cache_tokens : int
        Memory of one upstream for prompts and answers, in tokens; 0 when not told.
    costs : dict of str to float
        Price of 1,000 generated tokens, by model.
    """

    name: str
    max_connections: int = 0
    cold_rate: float = 0.0
    tokens_per_event: int = 1
    cache_tokens: int = 0
    costs: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Customer:
    """A customer, its keys and, if set, the priority that replaces a route's."""

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """Bounds on what a caller may send."""

    body_bytes: int = 4_194_304


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of all routes, services and customers."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...] = ()
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen(kw_only=True)
class Upstream:
    """One registered upstream.

    Attributes
    ----------
    name : str
        Identifier of this start of the upstream.
    address : str
        ``host:port``.
    version : str
        Version of its software.
    cold_left_s : float
        How much longer it bears only light load, at the time of the entry.
    born_ms : int
        Start of its process, Unix milliseconds; 0 when it does not tell.
    """

    name: str
    service: str
    address: str
    domain: str
    version: str
    slots: int
    is_draining: bool = False
    cold_left_s: float = 0.0
    born_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """Identity of one run of the upstream."""
        return (self.name, self.born_ms, self.address)


class RollOutState(enum.Enum):
    """How far a roll-out is."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_open(self) -> bool:
        """Whether it is not decided yet."""
        return self in (RollOutState.ORDERED, RollOutState.RUNNING)


@attrs.frozen(kw_only=True)
class RollOut:
    """An order to move a service to a version.

    Attributes
    ----------
    duration_s : float
        Time from the order within which it should be completed.
    share : float
        Part of the sessions that the new version gets while it is on trial.
    """

    service: str
    target: str
    duration_s: float
    state: RollOutState = RollOutState.ORDERED
    share: float = NARROW_SHARE


@attrs.frozen(kw_only=True)
class DomainOut:
    """A failure domain whose upstreams get nothing new."""

    domain: str
