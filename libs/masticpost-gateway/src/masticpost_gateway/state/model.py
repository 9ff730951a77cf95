"""Records of the store: configuration, upstreams, roll-outs, domains out of service.

All times are seconds. The classes are immutable; a change is a new object.
"""

import enum

import attrs
from masticpost_rates import statements

Incarnation = tuple[str, int, str]
"""Name, start in milliseconds and address of one run of an upstream."""
DEFAULT_PRIORITY = 2
# Fraction of the sessions that the new version gets first in a trial.
NARROW_SHARE = 0.08


class CallKind(enum.Enum):
    """How a route's requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable-stream"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (CallKind.STREAM, CallKind.RESUMABLE_STREAM)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run already can be sent again."""
        return self in (CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM)


@attrs.frozen(kw_only=True)
class Target:
    """A service that a route sends requests to, and its weight among the targets."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Targets and limits of the requests of a host and a path prefix.

    Attributes
    ----------
    timeout_s : float
        Maximum time that a caller waits.
    objective_s : float
        Latency objective of a response, or of the first event of a stream.
    gap_s : float
        Maximum pause between two events of a stream that is on time.
    priority : int
        Priority of the requests; 0 is the highest.
    levels : tuple of str
        Models from the smallest to the largest; empty if callers name the model.
    attempts : int
        Maximum number of upstreams that may run one request.
    is_keyless : bool
        Whether requests need no customer's key.
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
        limit.
    cold_rate : float
        Requests per second that one upstream can take during its cold start; 0 for no
        limit.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    cache_tokens : int
        Size of one upstream's cache for prompts and answers, in tokens; 0 if unknown.
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
    """A customer, its keys and, if set, the priority that overrides a route's."""

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on callers' requests; 0 if the configuration does not state a limit.

    Attributes
    ----------
    body_bytes, head_bytes : int
        Largest body and largest head.
    head_s : float
        Longest time in which a caller sends a head.
    idle_s : float
        Time after which callers no longer use an idle connection.
    """

    body_bytes: int = 4_194_304
    head_bytes: int = 0
    head_s: float = 0.0
    idle_s: float = 0.0


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
    domain : str
        Its failure domain.
    version : str
        Version of its software.
    slots : int
        Number of requests that it runs at the same time.
    cold_left_s : float
        Remaining time of its cold start when the entry was written.
    born_ms : int
        Start time of its process, Unix milliseconds; 0 if not reported.
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
    def incarnation(self) -> Incarnation:
        """Identity of one run: one process lifetime of the upstream."""
        return (self.name, self.born_ms, self.address)

    @property
    def run_key(self) -> str:
        """The incarnation as a string, for messages between instances."""
        return statements.run_key(*self.incarnation)


class RollOutState(enum.Enum):
    """Progress of a roll-out."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_open(self) -> bool:
        """Whether the roll-out is neither completed nor rolled back."""
        return self in (RollOutState.ORDERED, RollOutState.RUNNING)


@attrs.frozen(kw_only=True)
class RollOut:
    """An order to move a service to a version.

    Attributes
    ----------
    duration_s : float
        Time within which it should be completed, counted from the order.
    share : float
        Fraction of the sessions that the new version gets while it is on trial.
    """

    service: str
    target: str
    duration_s: float
    state: RollOutState = RollOutState.ORDERED
    share: float = NARROW_SHARE


@attrs.frozen(kw_only=True)
class DomainOut:
    """A failure domain whose upstreams get no new requests."""

    domain: str
