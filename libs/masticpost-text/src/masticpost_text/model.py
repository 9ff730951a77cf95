"""Data model of the operators' text, the configuration of a deployment."""

import attrs

# Percent.
SHARE_TOTAL = 100.0


@attrs.frozen(kw_only=True)
class ColdStart:
    """Limits of an upstream in cold start, and when it counts as warm.

    It is warm after `successes` successful calls in a row, the first of which was at
    least `seconds` ago. Until then it runs at most `max_concurrent` requests.
    """

    max_concurrent: int = 1
    successes: int = 5
    seconds: float = 5.0


@attrs.frozen(kw_only=True)
class Upstream:
    """One model engine or plain service instance.

    Attributes
    ----------
    name, url, domain : str
        Unique name, base URL and failure domain.
    serves : tuple of str
        Versions (model engines) or services (plain services) it can run.
    max_concurrent : int
        Most concurrent requests when warm, over all instances.
    checks_fencing : bool
        Whether it refuses an order with an outdated fencing token.
    draining : bool
        Whether it gets no new work.
    """

    name: str
    url: str
    domain: str
    serves: tuple[str, ...]
    max_concurrent: int = 32
    checks_fencing: bool = False
    draining: bool = False
    cold: ColdStart = attrs.field(factory=ColdStart)


@attrs.frozen(kw_only=True)
class Version:
    """A model version; prices are per million tokens.

    Attributes
    ----------
    share : float
        Percent of the model's new work, after the roll-out.
    state : str
        ``active``, ``draining`` (serves only sessions that use it) or ``withdrawn``
        (gets no new work).
    trial : int
        Number of the trial; raised to try a version again that was stopped
        automatically.
    stages : tuple of float
        Shares of the roll-out before `share`, increasing; empty to start at `share`.
    stage_s : float
        Minimum time in a stage, in seconds.
    stage_samples : int
        Minimum number of rated answers in a stage; without a rating service, of calls
        that succeeded or failed.
    judge : str
        Registered policy that decides from evidence whether to stop the version.
    """

    name: str
    model: str
    share: float = SHARE_TOTAL
    state: str = "active"
    input_price: float = 0.0
    output_price: float = 0.0
    trial: int = 1
    stages: tuple[float, ...] = ()
    stage_s: float = 300.0
    stage_samples: int = 60
    judge: str = "sequential"


@attrs.frozen(kw_only=True)
class Operation:
    """A path prefix of a plain service and the properties of its calls.

    Attributes
    ----------
    idempotent : bool
        Whether a call may be repeated.
    status_path : str
        Path of the status of a non-idempotent call, to query whether it ran, with
        ``{key}`` in place of the Idempotency-Key; empty if the service has none.
    final_after_s : float
        Guarantee of the service: a call that it does not know this many seconds after
        the call was sent will never run. 0 for no guarantee.
    """

    path: str
    idempotent: bool = True
    price: float = 0.0
    status_path: str = ""
    final_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class Service:
    """A service that callers request by name.

    Attributes
    ----------
    kind : str
        ``model`` or ``plain``.
    levels : tuple of str
        Models in the order of escalation, from the cheapest to the best.
    cascade, choice : str
        Registered policies that choose the first level and the upstream.
    quality_target : float
        Minimum mean rating of the answers, from 0 to 1.
    on_withdrawn : str
        What happens to a session whose version is withdrawn: ``move`` it to another
        version or ``refuse`` its requests.
    """

    name: str
    kind: str = "model"
    levels: tuple[str, ...] = ()
    operations: tuple[Operation, ...] = ()
    depends_on: tuple[str, ...] = ()
    cascade: str = "cheapest"
    choice: str = "least-loaded"
    quality_target: float = 0.8
    deadline_s: float = 30.0
    on_withdrawn: str = "move"


@attrs.frozen(kw_only=True)
class Customer:
    """A customer and its rights; `keys` are hex SHA-256 digests of its API keys.

    Empty `models` or `versions` allow all of them. A `budget` above 0 limits the amount
    billed per window of `budget_s` seconds, over all instances.
    """

    name: str
    keys: tuple[str, ...]
    services: tuple[str, ...]
    models: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    max_concurrent: int = 64
    weight: float = 1.0
    priority: int = 0
    budget: float = 0.0
    budget_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class Domain:
    """A failure domain; it gets no new work while it is `out`."""

    name: str
    out: bool = False


@attrs.frozen(kw_only=True)
class Text:
    """The parsed text."""

    deployment: str
    domains: dict[str, Domain]
    versions: dict[str, Version]
    services: dict[str, Service]
    upstreams: dict[str, Upstream]
    customers: dict[str, Customer]
    shards: int = 8
    rating_url: str = ""
    weights_url: str = ""
    weight_loads_s: float = 1.0

    def versions_of(self, model: str) -> list[Version]:
        """Return the versions of `model`, in the order of the text."""
        return [v for v in self.versions.values() if v.model == model]

    def models(self) -> set[str]:
        """Return the names of all models that have a version."""
        return {v.model for v in self.versions.values()}
