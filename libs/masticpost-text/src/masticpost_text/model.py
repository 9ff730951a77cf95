"""Typed form of the operators' text."""

import attrs

SHARE_TOTAL = 100.0


@attrs.frozen(kw_only=True)
class ColdStart:
    """What an upstream bears in cold start, and when it counts as warm.

    It is warm after `successes` in a row, the first one at least `seconds` ago.
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
        Name in the text, base URL and failure domain.
    serves : tuple of str
        Versions (model engines) or services (plain services) it can run.
    max_concurrent : int
        Requests it bears when warm, over all instances.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
    draining : bool
        True when no new work may go there.
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
        Percent of the model's new work, at the end of a roll-out.
    state : str
        ``active``, ``draining`` (only its sessions) or ``withdrawn`` (no new work).
    trial : int
        Raised to try a version again that was stopped automatically.
    stages : tuple of float
        Shares of a roll-out before `share`, rising; empty to begin with `share`.
    stage_s : float
        Least time in a stage, in seconds.
    stage_samples : int
        Least ratings of answers (failed or good calls, without a rating service) in a
        stage.
    judge : str
        Registry entry that decides from evidence whether to stop the version.
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
    """A path prefix of a plain service and whether its calls may be repeated.

    Attributes
    ----------
    status_path : str
        Path, with ``{key}`` for the Idempotency-Key, that tells whether a call that may
        not be repeated ran; empty where the service has none.
    final_after_s : float
        The service's promise: a call that it does not know so many seconds after it
        was sent never runs. 0 for no promise.
    """

    path: str
    idempotent: bool = True
    price: float = 0.0
    status_path: str = ""
    final_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class Service:
    """A service that callers name.

    Attributes
    ----------
    kind : str
        ``model`` or ``plain``.
    levels : tuple of str
        Models from the cheapest to the best; the order of escalation.
    cascade, choice : str
        Registry entries that decide the start level and the upstream.
    quality_target : float
        Least mean rating wanted, from 0 to 1.
    on_withdrawn : str
        What a session does whose version is withdrawn: ``move`` or ``refuse``.
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
    """Who may call; `keys` are SHA-256 digests of API keys in hex.

    An empty `models` or `versions` allows every one. A `budget` above 0 bounds what is
    billed in each window of `budget_s` seconds, over all instances.
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
    """A failure domain; one that is `out` gets no new work."""

    name: str
    out: bool = False


@attrs.frozen(kw_only=True)
class Text:
    """The whole text, parsed and checked."""

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
        """Return the versions of `model` in the text's order."""
        return [v for v in self.versions.values() if v.model == model]

    def models(self) -> set[str]:
        """Return every model that has a version."""
        return {v.model for v in self.versions.values()}
