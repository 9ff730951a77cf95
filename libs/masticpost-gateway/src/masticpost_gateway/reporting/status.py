"""Status of an instance for operators, with the age of its cached store records."""

import collections.abc
import enum
import typing

import attrs
from masticpost_common import clock
from masticpost_rates import upstreamrates

from masticpost_gateway import shared
from masticpost_gateway.learning import completions, trialevidence
from masticpost_gateway.routing import choice
from masticpost_gateway.serving import gateway
from masticpost_gateway.sharing import mesh, relay
from masticpost_gateway.state import model, recordcache, source, watching

# Decimal places of times in seconds.
DECIMALS = 3


class UpstreamState(enum.Enum):
    """Whether an upstream gets new requests from an instance; if not, why."""

    READY = "ready"
    COLD = "cold"
    EJECTED = "ejected"
    DRAINING = "draining"
    DOMAIN_OUT = "domain out"


@attrs.frozen(kw_only=True)
class BeliefStatus:
    """State of an instance's cache of one kind of store records.

    Attributes
    ----------
    entries : int
        Number of cached records.
    at : int
        Store revision up to which the cache is complete; -1 before the first load.
    age_s : float or None
        Seconds since the cache was last confirmed to be current; None before the
        first load.
    lost_s : float or None
        Seconds for which this instance's own store calls have been failing; None
        while they succeed.
    """

    kind: source.Kind
    entries: int
    at: int
    age_s: float | None
    lost_s: float | None


@attrs.frozen(kw_only=True)
class UpstreamStatus:
    """An upstream as an instance sees it.

    Attributes
    ----------
    outstanding : int
        Requests of this instance in flight there.
    speed_factor : float
        Time that it takes as a multiple of the usual one.
    """

    name: str
    service: str
    domain: str
    version: str
    state: UpstreamState
    outstanding: int
    speed_factor: float = 1.0


@attrs.frozen(kw_only=True)
class TrialStatus:
    """A roll-out in progress.

    Attributes
    ----------
    calls, failures : int
        Calls to the new version, summed over all instances that have reported theirs.
    """

    service: str
    version: str
    share: float
    calls: int
    failures: int
    verdict: str


@attrs.frozen(kw_only=True)
class CompletedStatus:
    """A version whose roll-out was completed, by this instance's answers since.

    Attributes
    ----------
    fault : str
        How it is worse than the others were, empty if it does not seem to be.
    """

    service: str
    version: str
    calls: int
    failures: int
    late: int
    fault: str


@attrs.frozen(kw_only=True)
class Status:
    """Status of one instance.

    Attributes
    ----------
    config_version : int
        Version of the configuration in force; -1 before the first.
    dropped_lines : int
        Log lines dropped since the start to limit their volume.
    members : list of str
        Instances that it considers alive, itself included.
    watchers : list of str
        Instances that watch the store on behalf of all.
    quarantined : list of str
        Fingerprints of requests that are refused because they crash upstreams.
    rates : list of upstreamrates.RateStatus
        Rates that upstreams name.
    completed : list of CompletedStatus
        Versions whose roll-out was completed not long ago.
    """

    instance: str
    domain: str
    is_ready: bool
    is_draining: bool
    config_version: int
    requests_in_flight: int
    dropped_lines: int
    members: list[str]
    watchers: list[str]
    beliefs: list[BeliefStatus]
    upstreams: list[UpstreamStatus]
    trials: list[TrialStatus]
    quarantined: list[str] = attrs.field(factory=list)
    rates: list[upstreamrates.RateStatus] = attrs.field(factory=list)
    completed: list[CompletedStatus] = attrs.field(factory=list)


class Parts(typing.Protocol):
    """The components of an instance from which its status is computed."""

    mesh: mesh.Mesh
    records: recordcache.RecordCache
    watching: watching.StoreWatch
    relay: relay.Relay
    shared: shared.Shared
    gateway: gateway.Gateway
    is_ready: bool
    dropped_lines: collections.abc.Callable[[], int]


def of(parts: Parts) -> Status:
    """Return the current status of an instance."""
    now = clock.now()
    records = parts.records
    me = parts.mesh.me
    return Status(
        instance=me.name,
        domain=me.domain,
        is_ready=parts.is_ready,
        is_draining=parts.shared.closing_at is not None,
        config_version=records.table.cfg.version if records.table is not None else -1,
        requests_in_flight=len(parts.gateway.active_conns),
        dropped_lines=parts.dropped_lines(),
        members=sorted(parts.mesh.names()),
        watchers=[member.name for member in parts.relay.watchers],
        beliefs=[
            _cache_status(view, parts.watching, now) for view in records.views.values()
        ],
        upstreams=[
            _upstream(upstream, parts.shared.chooser, now)
            for upstream in records.upstreams(now)
        ],
        trials=[_trial(row) for row in parts.shared.trials.open.values()],
        quarantined=sorted(parts.shared.crashes.quarantined(now)),
        rates=parts.shared.rates.statuses(),
        completed=[
            _completed(row) for row in parts.shared.trials.completions.rows.values()
        ],
    )


def _cache_status(
    view: recordcache.View, watch: watching.StoreWatch, now: float
) -> BeliefStatus:
    since = watch.failing_since.get(view.kind)
    return BeliefStatus(
        kind=view.kind,
        entries=len(view.entries),
        at=view.at,
        age_s=None if view.at < 0 else round(view.age_s(now), DECIMALS),
        lost_s=None if since is None else round(now - since, DECIMALS),
    )


def _upstream(
    upstream: model.Upstream, chooser: choice.Chooser, now: float
) -> UpstreamStatus:
    return UpstreamStatus(
        name=upstream.name,
        service=upstream.service,
        domain=upstream.domain,
        version=upstream.version,
        state=_state(upstream, chooser, now),
        outstanding=chooser.health_of(upstream).outstanding,
        speed_factor=round(
            chooser.placement.loads.speed_factor(upstream.name, now), DECIMALS
        ),
    )


def _state(
    upstream: model.Upstream, chooser: choice.Chooser, now: float
) -> UpstreamState:
    if upstream.is_draining:
        return UpstreamState.DRAINING
    if upstream.domain in chooser.records.domains_out():
        return UpstreamState.DOMAIN_OUT
    if chooser.health_of(upstream).is_ejected(now):
        return UpstreamState.EJECTED
    if chooser.is_cold(upstream, now):
        return UpstreamState.COLD
    return UpstreamState.READY


def _trial(row: trialevidence.Trial) -> TrialStatus:
    tally, _ = row.pooled()
    return TrialStatus(
        service=row.order.service,
        version=row.order.target,
        share=row.order.share,
        calls=tally.calls,
        failures=tally.failures,
        verdict=row.verdict,
    )


def _completed(found: completions.Completion) -> CompletedStatus:
    return CompletedStatus(
        service=found.service,
        version=found.version,
        calls=found.row.calls,
        failures=found.row.failures,
        late=found.row.late,
        fault=found.fault,
    )
