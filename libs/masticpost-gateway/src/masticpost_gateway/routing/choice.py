"""Choice of the upstream for one attempt of a request."""

import collections.abc
import copy
import math
import random

import attrs
from masticpost_common import clock
from masticpost_rates import statements, upstreamrates

from masticpost_gateway.learning import trial
from masticpost_gateway.routing import coldstart, placement
from masticpost_gateway.state import model, recordcache, source
from masticpost_gateway.upstreams import health, leaving


@attrs.define(kw_only=True)
class Registered:
    """A registered upstream.

    Attributes
    ----------
    cold_until : float
        Monotonic time at which its cold start ends, counted from when this instance
        received the entry; minus infinity without a cold start.
    """

    record: model.Upstream
    cold_until: float


@attrs.frozen(kw_only=True)
class Requirements:
    """Requirements of one attempt.

    Attributes
    ----------
    plan : trial.VersionPlan
        Versions to prefer, to avoid and to exclude.
    prefill : placement.Prefill or None
        The prompt to prefill; None for a plain service.
    tried : frozenset of model.Incarnation
        Runs of upstreams that must not be used again.
    priority : int
        Rank of the request, 0 for the most urgent.
    """

    service: model.Service
    plan: trial.VersionPlan
    prefill: placement.Prefill | None = None
    tried: frozenset[model.Incarnation] = frozenset()
    priority: int = model.DEFAULT_PRIORITY


class Chooser:
    """Picks an upstream for each attempt.

    Parameters
    ----------
    records : recordcache.RecordCache
        Cached registered upstreams, and the failure domains taken out of service.
    cold_start : coldstart.ColdStartLimiter
        Rate limit for upstreams in cold start.
    placement : placement.Placement
        Scores upstreams for prompts.
    domain : str
        Failure domain of this instance.
    connection_limit : callable
        Returns the number of connections that this instance may have to one upstream
        of a service, 0 for no limit.
    rates : upstreamrates.UpstreamRates
        Rates that upstreams name.
    trials : trial.Trials
        Budgets of the versions on trial.
    """

    def __init__(
        self,
        *,
        records: recordcache.RecordCache,
        cold_start: coldstart.ColdStartLimiter,
        placement: placement.Placement,
        domain: str,
        connection_limit: collections.abc.Callable[[model.Service], int],
        rates: upstreamrates.UpstreamRates,
        trials: trial.Trials,
    ) -> None:
        self.records = records
        self.cold_start = cold_start
        self.placement = placement
        self.domain = domain
        self.connection_limit = connection_limit
        self.rates = rates
        self.trials = trials
        self.notices = leaving.Notices()
        self.healths = health.HealthTable()
        self._registered: dict[str, Registered] = {}
        records.listen(self._on_change)

    def health_of(self, upstream: model.Upstream) -> health.Health:
        """Return the health of a run of an upstream."""
        return self.healths.get(upstream.name, upstream.incarnation)

    def health_of_run(self, run_key: str) -> health.Health | None:
        """Return the health of a run, None if it is not registered."""
        name = statements.upstream_of(run_key)
        row = self._registered.get(name)
        if row is None or row.record.run_key != run_key:
            return None
        return self.health_of(row.record)

    def usable(self, service: str, now: float) -> list[model.Upstream]:
        """Return the upstreams of a service that may get new requests."""
        out = self.records.domains_out()
        return [
            upstream
            for upstream in self.records.upstreams(now)
            if upstream.service == service
            and not upstream.is_draining
            and upstream.domain not in out
            and not self.is_leaving(upstream)
        ]

    def is_leaving(self, upstream: model.Upstream) -> bool:
        """Return whether an upstream has announced in an answer that it is stopping."""
        return math.isinf(self.notices.ready_at(upstream, clock.now()))

    def next_ready_at(self, required: Requirements, now: float) -> float:
        """Return the time at which the first untried upstream accepts requests."""
        found = self._untried(required, now)
        times = [self.notices.ready_at(upstream, now) for upstream in found]
        return min(times, default=now)

    def pick(self, required: Requirements) -> model.Upstream | None:
        """Return the upstream for an attempt, None if none is ready.

        The request may be sent there only after `confirm`, and with a permit if the
        upstream has named a rate.
        """
        found = self.considered(required)
        return self._best(found, required) if found else None

    def considered(self, required: Requirements) -> list[model.Upstream]:
        """Return the ready upstreams of the preferred versions, to pick one of."""
        now = clock.now()
        found = self._untried(required, now)
        for group in self._groups_by_preference(found, required.plan, now):
            ready = [u for u in group if self._is_ready(u, required, now)]
            if ready:
                return self.trials.focus(required.service.name, ready)
        return []

    def confirm(self, upstream: model.Upstream, required: Requirements) -> bool:
        """Note that a request is sent to an upstream now, if it is still ready."""
        now = clock.now()
        if upstream not in self._untried(required, now):
            return False
        if not self._is_open(upstream, required.service, now):
            return False
        if self.is_cold(upstream, now):
            self.cold_start.record_request(upstream.name, now)
        return True

    def held_upstreams(self, required: Requirements) -> list[model.Upstream]:
        """Return the upstreams that would be ready but for the rate that they name."""
        now = clock.now()
        return [
            upstream
            for upstream in self._untried(required, now)
            if not self.health_of(upstream).is_ejected(now)
            and self.rates.is_limited(upstream.run_key)
            and self._is_open(upstream, required.service, now)
        ]

    def ready_upstreams(
        self, required: Requirements, now: float
    ) -> list[model.Upstream]:
        """Return the healthy upstreams that are ready for an attempt."""
        return [
            upstream
            for upstream in self._untried(required, now)
            if not self.health_of(upstream).is_ejected(now)
            and self._is_ready(upstream, required, now)
        ]

    def copy(self, places: placement.Placement) -> "Chooser":
        """Return a chooser that makes the same choices and leaves no trace here.

        It is for one question: it does not follow the registered upstreams.
        """
        copied = copy.copy(self)
        copied.placement = places
        copied.healths = self.healths.copy()
        copied.cold_start = self.cold_start.copy()
        return copied

    def _untried(self, required: Requirements, now: float) -> list[model.Upstream]:
        return [
            upstream
            for upstream in self.usable(required.service.name, now)
            if upstream.incarnation not in required.tried
            and upstream.version != required.plan.excluded
            and self.trials.allows(upstream.service, upstream.version)
        ]

    def _groups_by_preference(
        self, found: list[model.Upstream], plan: trial.VersionPlan, now: float
    ) -> list[list[model.Upstream]]:
        healthy = [u for u in found if not self.health_of(u).is_ejected(now)]
        groups = []
        for rows in (healthy, found):
            if plan.preferred is not None:
                groups.append([u for u in rows if u.version == plan.preferred])
            if plan.avoided is not None:
                groups.append([u for u in rows if u.version != plan.avoided])
            groups.append(rows)
        return groups

    def _is_ready(
        self, upstream: model.Upstream, required: Requirements, now: float
    ) -> bool:
        if not self._is_open(upstream, required.service, now):
            return False
        if not self.rates.has_limits:
            return True
        return self.rates.may_ask(upstream.run_key, required.priority, now)

    def _is_open(
        self, upstream: model.Upstream, service: model.Service, now: float
    ) -> bool:
        """Return whether an upstream is ready but for the rate that it may name."""
        if not self.notices.is_ready(upstream, now):
            return False
        # A request that waits for a connection could be sent after the upstream has
        # stopped or its domain was taken out of service.
        limit = self.connection_limit(service)
        if limit and self.health_of(upstream).outstanding >= limit:
            return False
        if not self.is_cold(upstream, now):
            return True
        return self.cold_start.may_send(upstream.name, service.cold_rate, now)

    def is_cold(self, upstream: model.Upstream, now: float) -> bool:
        """Return whether an upstream is in cold start."""
        row = self._registered.get(upstream.name)
        return row is not None and now < row.cold_until

    def _best(
        self, ready: list[model.Upstream], required: Requirements
    ) -> model.Upstream:
        if required.prefill is None:
            with_room = [u for u in ready if self.placement.loads.has_room(u)]
            return min(with_room or ready, key=self._load)
        return self.placement.best(ready, required.prefill)

    def load_share(self, upstream: model.Upstream) -> float:
        """Return this instance's requests at an upstream as a share of its slots."""
        return self.health_of(upstream).outstanding / max(1, upstream.slots)

    def _load(self, upstream: model.Upstream) -> tuple[float, bool, float]:
        load = self.load_share(upstream)
        return (load, upstream.domain != self.domain, random.random())

    def _on_change(self, kind: source.Kind) -> None:
        if kind is not source.Kind.UPSTREAMS:
            return
        now = clock.now()
        rows = {}
        for upstream in self.records.upstreams(now):
            row = self._registered.get(upstream.name)
            if row is None or row.record != upstream:
                left_s = upstream.cold_left_s
                until = now + left_s if left_s > 0 else -math.inf
                row = Registered(record=upstream, cold_until=until)
            rows[upstream.name] = row
        self._registered = rows
        self.healths.keep_only(set(rows))
