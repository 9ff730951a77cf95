"""What the handlers of one instance share."""

import collections
import random

import attrs
from masticpost_common import retry
from masticpost_confsync import keeper
from masticpost_decide import admission, cascade, choice, tracker
from masticpost_peers import hub, membership
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

from masticpost_entry import budgets, guard, subset

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
class Agreed:
    """Parts through which the instances act together."""

    store: client.Client
    peers: hub.Hub
    members: membership.Membership
    keeper: keeper.Keeper
    shards: directory.Directory
    claims: claims.Claims
    bills: bills.BillWriter
    budgets: budgets.Budgets
    holds: billreplicas.BillReplicas
    sessions: sessions.Sessions
    permits: permits.Permits
    views: views.SharedView
    guard: guard.Guard


@attrs.define(kw_only=True)
class Runtime:
    """One instance at work.

    Attributes
    ----------
    domain : str
        Failure domain of this instance.
    leaving_upstreams : set of str
        Addresses that the platform lists as leaving.
    ask_at_once_s : float
        Most seconds that a caller waits while its call in doubt is asked about.
    is_stopping : bool
        True once no new work is accepted.
    in_flight : int
        Requests at work.
    """

    domain: str
    agreed: Agreed
    admin_key_hash: str = ""
    clients: Clients = attrs.field(factory=Clients)
    meters: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    burn_meter: burn.BurnMeter = attrs.field(factory=burn.BurnMeter)
    gate: admission.Admission = attrs.field(factory=admission.Admission)
    tracks: tracker.Tracker = attrs.field(factory=tracker.Tracker)
    choices: choice.Context = attrs.field(
        factory=lambda: choice.Context(random=random.Random())
    )
    cascades: dict[tuple[str, str], cascade.Cascade] = attrs.field(factory=dict)
    budgets: dict[str, retry.RetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(retry.RetryBudget)
    )
    keys: dict[str, model.Customer] = attrs.field(factory=dict)
    pools: subset.Pools = attrs.field(factory=subset.Pools)
    leaving_upstreams: set[str] = attrs.field(factory=set)
    ask_at_once_s: float = ASK_AT_ONCE_S
    is_draining: bool = False
    is_stopping: bool = False
    in_flight: int = 0

    @property
    def text(self) -> model.Text:
        """The text in force; handlers run only once there is one."""
        return self.agreed.keeper.in_force.text

    def take_text(self, in_force: keeper.InForce) -> None:
        """Rebuild what depends on the text."""
        text = in_force.text
        self.keys = {key: cust for cust in text.customers.values() for key in cust.keys}
        self.tracks.retain_only(set(text.upstreams))
        self.pools = subset.build(text, self.agreed.peers.name)
        self.agreed.sessions.clear_cache()

    def cascade_of(self, svc: model.Service) -> cascade.Cascade:
        """Return the cascade of a service, made at first use."""
        key = (svc.name, svc.cascade)
        found = self.cascades.get(key)
        if found is None:
            found = cascade.CASCADES.get(svc.cascade)()
            self.cascades[key] = found
        return found
