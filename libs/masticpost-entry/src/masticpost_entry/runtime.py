"""State and clients that the handlers of one instance share."""

import asyncio
import collections
import random

import attrs
from masticpost_common import retry
from masticpost_confsync import synchronizer
from masticpost_decide import admission, cascade, choice, tracker
from masticpost_peers import hub, membership
from masticpost_rates import upstreamrates
from masticpost_shards import (
    billreplicas,
    bills,
    claims,
    directory,
    permits,
    sessions,
    views,
)
from masticpost_store import client
from masticpost_telemetry import burn, metrics
from masticpost_text import model
from masticpost_upstream import engine, plain, rating

from masticpost_entry import budgets, deadlyparts, ratelimits, rollouts, subset

ASK_AT_ONCE_S = 2.0
MAX_BODY_BYTES = 1_000_000


@attrs.define(kw_only=True)
class Clients:
    """Clients of the upstreams and of the rating service."""

    engines: engine.EngineClient = attrs.field(factory=engine.EngineClient)
    services: plain.PlainClient = attrs.field(factory=plain.PlainClient)
    ratings: rating.RatingClient = attrs.field(factory=rating.RatingClient)

    async def close(self) -> None:
        """Close every connection."""
        await self.engines.pool.close()
        await self.services.pool.close()
        await self.ratings.close()


@attrs.define(kw_only=True)
class Cluster:
    """Components through which the instances coordinate."""

    store: client.Client
    peers: hub.Hub
    members: membership.Membership
    texts: synchronizer.TextSynchronizer
    shards: directory.Directory
    claims: claims.Claims
    bills: bills.BillWriter
    budgets: budgets.Budgets
    bill_replicas: billreplicas.BillReplicas
    sessions: sessions.Sessions
    permits: permits.Permits
    shared_view: views.SharedView
    rollouts: rollouts.RolloutMonitor
    deadly_parts: deadlyparts.DeadlyParts
    rates: upstreamrates.UpstreamRates


@attrs.define(kw_only=True)
class Runtime:
    """State of one running instance.

    Attributes
    ----------
    domain : str
        Failure domain of this instance.
    cluster : Cluster
        Components through which the instances coordinate.
    admin_key_hash : str
        SHA-256 digest of the operators' key; empty refuses all operators' calls.
    admission_control : admission.Admission
        Limits of concurrent requests.
    upstream_states : tracker.Tracker
        State of each upstream as this instance observes it.
    choice_context : choice.Context
        State of the choice policies.
    cascades : dict
        Cascades by service and name of the cascade.
    retry_budgets : dict
        Retry budgets by customer name.
    customers_by_key : dict
        Customers by the SHA-256 digest of each of their keys.
    pools : subset.Pools
        Upstreams by the version or plain service that they serve.
    leaving_upstreams : set of str
        Addresses that the platform lists as leaving.
    ask_at_once_s : float
        Longest time, in seconds, for which a caller waits while the service is queried
        about its call in doubt.
    is_draining : bool
        Whether the instance has begun to drain; it still accepts requests.
    is_stopping : bool
        Whether new requests are refused.
    is_ending : bool
        Whether the requests in progress are given up.
    in_flight : int
        Number of requests in progress.
    active_tasks : set of asyncio.Task
        Tasks that serve requests.
    """

    domain: str
    cluster: Cluster
    admin_key_hash: str = ""
    clients: Clients = attrs.field(factory=Clients)
    meters: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    burn_meter: burn.BurnMeter = attrs.field(factory=burn.BurnMeter)
    admission_control: admission.Admission = attrs.field(factory=admission.Admission)
    upstream_states: tracker.Tracker = attrs.field(factory=tracker.Tracker)
    choice_context: choice.Context = attrs.field(
        factory=lambda: choice.Context(random=random.Random())
    )
    cascades: dict[tuple[str, str], cascade.Cascade] = attrs.field(factory=dict)
    retry_budgets: dict[str, retry.RetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(retry.RetryBudget)
    )
    customers_by_key: dict[str, model.Customer] = attrs.field(factory=dict)
    pools: subset.Pools = attrs.field(factory=subset.Pools)
    leaving_upstreams: set[str] = attrs.field(factory=set)
    ask_at_once_s: float = ASK_AT_ONCE_S
    is_draining: bool = False
    is_stopping: bool = False
    is_ending: bool = False
    in_flight: int = 0
    active_tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def text(self) -> model.Text:
        """The text in force; there is one before any handler runs."""
        return self.cluster.texts.in_force.text

    def apply_text(self, in_force: synchronizer.TextInForce) -> None:
        """Rebuild the state that depends on the text."""
        text = in_force.text
        self.customers_by_key = {
            key: cust for cust in text.customers.values() for key in cust.keys
        }
        self.upstream_states.retain_only(set(text.upstreams))
        self.pools = subset.build(text, self.cluster.peers.name)
        runs = frozenset(ratelimits.run_of(up) for up in text.upstreams.values())
        self.cluster.rates.keep_only(runs)
        self.cluster.sessions.clear_cache()

    def end_all(self) -> None:
        """Give up the requests in progress, each with an error as its answer."""
        self.is_ending = True
        for task in list(self.active_tasks):
            task.cancel()

    def cascade_of(self, svc: model.Service) -> cascade.Cascade:
        """Return the cascade of a service, created at first use."""
        key = (svc.name, svc.cascade)
        found = self.cascades.get(key)
        if found is None:
            found = cascade.CASCADES.get(svc.cascade)()
            self.cascades[key] = found
        return found
