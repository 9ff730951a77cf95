"""Choice of the upstream for one try of a request."""

import collections.abc
import math
import random

import attrs
from masticpost_common import clock

from masticpost_gateway.learning import trial
from masticpost_gateway.routing import coldpace, placement
from masticpost_gateway.state import beliefs, model, source
from masticpost_gateway.upstreams import health, leaving


@attrs.define(kw_only=True)
class Registered:
    """A registered upstream and since when this instance knows its entry."""

    record: model.Upstream
    cold_until: float


@attrs.frozen(kw_only=True)
class Wanted:
    """What one try needs.

    Attributes
    ----------
    tried : frozenset of str
        Names of the upstreams that are not to be used again.
    reading : placement.Reading or None
        The prompt that is to be read; None for a plain service.
    """

    service: model.Service
    plan: trial.VersionPlan
    reading: placement.Reading | None = None
    tried: frozenset[str] = frozenset()


class Chooser:
    """Knows the usable upstreams and picks one for each try.

    Parameters
    ----------
    known : beliefs.Beliefs
        The registered upstreams and the domains taken out.
    pace : coldpace.ColdPace
        Bounds on cold upstreams.
    places : placement.Placement
        Places prompts.
    domain : str
        Failure domain of this instance.
    connections : callable
        Returns how many connections this instance may have to one upstream of a
        service, 0 for no bound.
    """

    def __init__(
        self,
        *,
        known: beliefs.Beliefs,
        pace: coldpace.ColdPace,
        places: placement.Placement,
        domain: str,
        connections: collections.abc.Callable[[model.Service], int],
    ) -> None:
        self.known = known
        self.pace = pace
        self.placement = places
        self.domain = domain
        self.connections = connections
        self.notices = leaving.Notices()
        self.healths = health.HealthTable()
        self._registered: dict[str, Registered] = {}
        known.listen(self._on_change)

    def health_of(self, upstream: model.Upstream) -> health.Health:
        """Return the health of a run of an upstream."""
        return self.healths.get(upstream.name, upstream.incarnation)

    def usable(self, service: str, now: float) -> list[model.Upstream]:
        """Return the upstreams of a service that may get new work."""
        out = self.known.domains_out()
        return [
            upstream
            for upstream in self.known.upstreams(now)
            if upstream.service == service
            and not upstream.is_draining
            and upstream.domain not in out
            and not self.leaves(upstream)
        ]

    def leaves(self, upstream: model.Upstream) -> bool:
        """Tell whether an upstream has said in an answer that it leaves."""
        return math.isinf(self.notices.ready_at(upstream, clock.now()))

    def ready_at(self, wanted: Wanted, now: float) -> float:
        """Return the time at which the first untried upstream wants requests."""
        found = self._untried(wanted, now)
        times = [self.notices.ready_at(upstream, now) for upstream in found]
        return min(times, default=now)

    def pick(self, wanted: Wanted) -> model.Upstream | None:
        """Return the upstream for a try, None when none may be used now."""
        now = clock.now()
        found = self._untried(wanted, now)
        for group in self._by_preference(found, wanted.plan, now):
            ready = [u for u in group if self._may_take(u, wanted.service, now)]
            if ready:
                chosen = self._best(ready, wanted)
                self._note_cold(chosen, now)
                return chosen
        return None

    def ready(self, wanted: Wanted, now: float) -> list[model.Upstream]:
        """Return the sound upstreams that would take a try now."""
        return [
            upstream
            for upstream in self._untried(wanted, now)
            if not self.health_of(upstream).is_ejected(now)
            and self._may_take(upstream, wanted.service, now)
        ]

    def _untried(self, wanted: Wanted, now: float) -> list[model.Upstream]:
        return [
            upstream
            for upstream in self.usable(wanted.service.name, now)
            if upstream.name not in wanted.tried
            and upstream.version != wanted.plan.excluded
        ]

    def _by_preference(
        self, found: list[model.Upstream], plan: trial.VersionPlan, now: float
    ) -> list[list[model.Upstream]]:
        sound = [u for u in found if not self.health_of(u).is_ejected(now)]
        groups = []
        for rows in (sound, found):
            if plan.preferred is not None:
                groups.append([u for u in rows if u.version == plan.preferred])
            if plan.avoided is not None:
                groups.append([u for u in rows if u.version != plan.avoided])
            groups.append(rows)
        return groups

    def _may_take(
        self, upstream: model.Upstream, service: model.Service, now: float
    ) -> bool:
        if not self.notices.is_ready(upstream, now):
            return False
        # A request that waited for a connection could be sent after the upstream has
        # left or its domain was taken out.
        most = self.connections(service)
        if most and self.health_of(upstream).outstanding >= most:
            return False
        if not self.is_cold(upstream, now):
            return True
        return self.pace.may_send(upstream.name, service.cold_rate, now)

    def is_cold(self, upstream: model.Upstream, now: float) -> bool:
        """Tell whether an upstream bears only light load."""
        row = self._registered.get(upstream.name)
        return row is not None and now < row.cold_until

    def _note_cold(self, upstream: model.Upstream, now: float) -> None:
        if self.is_cold(upstream, now):
            self.pace.sent(upstream.name, now)

    def _best(self, ready: list[model.Upstream], wanted: Wanted) -> model.Upstream:
        if wanted.reading is None:
            with_room = [u for u in ready if self.placement.work.has_room(u)]
            return min(with_room or ready, key=self._load)
        return self.placement.best(ready, wanted.reading)

    def _load(self, upstream: model.Upstream) -> tuple[float, bool, float]:
        load = self.health_of(upstream).outstanding / max(1, upstream.slots)
        return (load, upstream.domain != self.domain, random.random())

    def _on_change(self, kind: source.Kind) -> None:
        if kind is not source.Kind.UPSTREAMS:
            return
        now = clock.now()
        rows = {}
        for upstream in self.known.upstreams(now):
            row = self._registered.get(upstream.name)
            if row is None or row.record != upstream:
                left_s = upstream.cold_left_s
                until = now + left_s if left_s > 0 else -math.inf
                row = Registered(record=upstream, cold_until=until)
            rows[upstream.name] = row
        self._registered = rows
        self.healths.keep_only(set(rows))
