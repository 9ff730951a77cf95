"""One instance of the gateway: its components, start-up and graceful shutdown."""

import asyncio
import collections.abc

import attrs
import mode
from aiohttp import web
from loguru import logger
from masticpost_common import clock
from masticpost_rates import upstreamrates
from masticpost_telemetry import callerbytes, callerconns, callerguard
from masticpost_upstream import limits

from masticpost_gateway import shared
from masticpost_gateway.learning import (
    crashes,
    exposure,
    quarantine,
    sessions,
    speeds,
    stages,
    trial,
)
from masticpost_gateway.reporting import (
    countedstore,
    gauges,
    healthmetrics,
    pages,
    requestmetrics,
    status,
)
from masticpost_gateway.routing import (
    cascade,
    choice,
    coldstart,
    contention,
    forecasts,
    placement,
    retrybudget,
)
from masticpost_gateway.serving import gateway, headers, sending
from masticpost_gateway.sharing import (
    budgetsharing,
    crashreports,
    evidencereports,
    healthreports,
    loads,
    mesh,
    quarantines,
    relay,
    retrylending,
    sessionupdates,
    speedpools,
    verdicts,
)
from masticpost_gateway.state import (
    isolation,
    model,
    recordcache,
    source,
    timing,
    watching,
)
from masticpost_gateway.upstreams import conns, exits, reachability

# Listen backlog, in connections.
BACKLOG = 512
MAX_LINE_BYTES = 32_768
HTTP_SETTINGS = {
    "handler_cancellation": True,
    "access_log": None,
    "max_line_size": MAX_LINE_BYTES,
    "max_field_size": MAX_LINE_BYTES,
}
# Time for which a draining instance still accepts requests on open connections, even
# if it has none in flight.
MIN_DRAIN_S = 3.0
# Time after the start of draining at which idle connections of callers are closed.
CLOSE_IDLE_AFTER_S = 1.5
# Part of the grace period that is left for stopping the components.
KILL_MARGIN_S = 0.7
DRAIN_POLL_S = 0.05
# Time for the answers to requests that are given up at the end of the grace period,
# and for requests that come as the listener closes.
END_TIMEOUT_S = 0.2
# Time for handlers of a listener that closes; aiohttp takes 0 for no limit.
SHUTDOWN_TIMEOUT_S = 0.05


@attrs.frozen(kw_only=True)
class Address:
    """A host and a port to listen on."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings of an instance; times in seconds.

    Attributes
    ----------
    callers, ready : Address
        Listen addresses for callers' requests and the load balancer's readiness checks.
    metrics : Address or None
        Listen address for metrics and the other pages for operators.
    grace_s : float
        Time from the stop signal until the process is killed.
    session_s : float
        Idle time after which a session counts as new.
    retries : retrybudget.Bounds
        Limits of the retries of all instances together.
    trial_bounds : exposure.Bounds
        What a version on trial may get over all instances.
    policy : str
        Name of the policy that chooses models.
    memory_bytes : float
        Memory that the process may use.
    is_contended : bool
        Whether requests of different priorities compete for the upstreams, so that
        delays and rejections are weighed by priority.
    shares_health : bool
        Whether instances share which upstreams are unreachable.
    descriptors : int
        File descriptors that the process may open; 0 for the limit of the process.
    limits : timing.Timing
        Time limits on the way of a change from the store to its use.
    """

    name: str
    domain: str
    callers: Address
    ready: Address
    mesh: mesh.MeshSettings
    metrics: Address | None = None
    grace_s: float = 8.0
    session_s: float = 5.0
    retries: retrybudget.Bounds = attrs.field(factory=retrybudget.Bounds)
    trial_bounds: exposure.Bounds = attrs.field(factory=exposure.Bounds)
    policy: str = "expected-worth"
    memory_bytes: float = limits.DEFAULT_MEMORY_BYTES
    is_contended: bool = False
    shares_health: bool = True
    descriptors: int = 0
    limits: timing.Timing = attrs.field(factory=timing.Timing)


class Node(mode.Service):
    """The service tree of one instance.

    Parameters
    ----------
    cfg : NodeSettings
        Validated settings.
    store : source.Source
        The platform's store.
    names : headers.HeaderNames
        Names of the headers used with callers and upstreams.
    dropped_lines : callable, optional
        Returns the number of log lines dropped to limit their volume.
    """

    def __init__(
        self,
        *,
        cfg: NodeSettings,
        store: source.Source,
        names: headers.HeaderNames,
        dropped_lines: collections.abc.Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.store = store
        self.dropped_lines = dropped_lines
        self.metrics = requestmetrics.RequestMetrics(domain=cfg.domain)
        store = countedstore.CountedStore(store=store, registry=self.metrics.registry)
        self.records = recordcache.RecordCache()
        self.mesh = mesh.Mesh(
            name=cfg.name,
            domain=cfg.domain,
            cfg=cfg.mesh,
            store=store,
            era=lambda: self.records.era,
        )
        self.loads = loads.Loads(peers=self.mesh)
        self.rates = upstreamrates.UpstreamRates(
            peers=self.mesh.hub,
            members=self.mesh.members,
            seeds=len({*cfg.mesh.seeds, cfg.mesh.address}),
        )
        self.watching = watching.StoreWatch(
            store=store, records=self.records, limits=cfg.limits
        )
        self.isolation = isolation.Isolation(
            has_others=lambda: bool(self.mesh.others()),
            watch=self.watching,
            limits=cfg.limits,
        )
        self.shared = self._make_shared(names)
        self.relay = relay.Relay(
            peers=self.mesh,
            records=self.records,
            watch=self.watching,
            trials=self.shared.trials,
            isolation=self.isolation,
            limits=cfg.limits,
        )
        self.sharing_services = self._make_sharing_services(store)
        if cfg.shares_health:
            self.sharing_services += (self._make_health_sharing(),)
        self.stages = stages.Stages(
            me=cfg.name,
            store=store,
            records=self.records,
            trials=self.shared.trials,
            members=lambda: {row.name for row in self.relay.watchers},
            is_running=self.mesh.members.is_running,
            has_majority=self._has_majority,
        )
        self.gateway = gateway.Gateway(parts=self.shared)
        self.guard = callerguard.Guard(registry=self.metrics.registry)
        self._limit_callers(model.Limits())
        gauge = gauges.StatusGauges(
            read=lambda: status.of(self), traffic=self.mesh.hub.traffic
        )
        self.metrics.registry.register(gauge)
        self._runners: list[web.ServerRunner] = []
        self._callers: callerconns.CallerServer | None = None
        self.records.listen(self._on_change)

    def _make_sharing_services(self, store: source.Source) -> tuple[mode.Service, ...]:
        """Return the services that share evidence, sessions and crashes with peers."""
        trials, tracker = self.shared.trials, self.shared.crashes
        return (
            evidencereports.EvidenceSharing(
                peers=self.mesh, relay=self.relay, trials=trials
            ),
            verdicts.VerdictSharing(peers=self.mesh, relay=self.relay, trials=trials),
            budgetsharing.BudgetSharing(peers=self.mesh, trials=trials),
            retrylending.RetryLending(
                peers=self.mesh, budget=self.shared.retries, metrics=self.metrics
            ),
            speedpools.SpeedPooling(peers=self.mesh, own=self.shared.placement.speeds),
            sessionupdates.SessionSharing(
                peers=self.mesh,
                relay=self.relay,
                trials=trials,
                recent_sessions=self.shared.sessions,
            ),
            crashreports.CrashSharing(
                peers=self.mesh, relay=self.relay, tracker=tracker
            ),
            quarantines.QuarantineSync(
                me=self.cfg.name,
                store=store,
                relay=self.relay,
                tracker=tracker,
                era=lambda: self.records.era,
            ),
        )

    def _make_health_sharing(self) -> healthreports.HealthSharing:
        """Return the service that shares which upstreams are unreachable."""
        chooser = self.shared.chooser
        return healthreports.HealthSharing(
            peers=self.mesh,
            relay=self.relay,
            conclusions=reachability.Reachability(
                me=self.cfg.name,
                domain=self.cfg.domain,
                domains=self.mesh.domains,
                healths=chooser.healths,
                find=chooser.health_of_run,
                moved_reason=sending.MOVED,
            ),
            metrics=healthmetrics.HealthMetrics(registry=self.metrics.registry),
        )

    def _make_shared(self, names: headers.HeaderNames) -> shared.Shared:
        """Return the components shared by all requests."""
        cfg = self.cfg
        places = placement.Placement(
            loads=self.loads, speeds=speeds.Speeds(), domain=cfg.domain
        )
        recent_sessions = sessions.Sessions(idle_timeout_s=cfg.session_s)
        cold_start = coldstart.ColdStartLimiter(me=cfg.name, members=self.members)
        expected_count = self.mesh.members.expected_count
        allowance = limits.Allowance.of_memory(cfg.memory_bytes)
        allowance.on_reset = self.metrics.record_reset
        pools = conns.Pools(instance_count=expected_count, allowance=allowance)
        trials = trial.Trials(
            records=self.records,
            sessions=recent_sessions,
            bounds=cfg.trial_bounds,
            instance_count=expected_count,
        )
        chooser = choice.Chooser(
            records=self.records,
            cold_start=cold_start,
            placement=places,
            domain=cfg.domain,
            connection_limit=pools.connection_share,
            rates=self.rates,
            trials=trials,
        )
        retries = retrybudget.RetryBudget(
            bounds=cfg.retries,
            members=expected_count,
            lends_from=clock.now() + cfg.retries.window_s,
        )
        return shared.Shared(
            names=names,
            records=self.records,
            chooser=chooser,
            pools=pools,
            retries=retries,
            trials=trials,
            sessions=recent_sessions,
            metrics=self.metrics,
            policy=cascade.POLICIES.get(cfg.policy),
            loads=self.loads,
            placement=places,
            forecasts=forecasts.Forecasts(placement=places),
            contention=contention.Contention(
                records=self.records, is_enabled=cfg.is_contended
            ),
            isolation=self.isolation,
            crashes=crashes.CrashTracker(),
            rates=self.rates,
            trial_turns=quarantine.TrialTurns(me=cfg.name, members=self.members),
            exits=exits.ExitDetector(
                records=self.records, is_leaving=chooser.is_leaving
            ),
        )

    def _has_majority(self) -> bool:
        """Return whether more than half of the instances are alive in this view."""
        return 2 * len(self.members()) > self.mesh.members.expected_count()

    def members(self) -> frozenset[str]:
        """Return the names of the instances that are alive."""
        return self.mesh.names()

    @property
    def is_ready(self) -> bool:
        """Whether the readiness check passes: all kinds are known, not draining."""
        views = self.records.views.values()
        is_complete = all(view.at >= 0 for view in views)
        is_configured = self.records.table is not None and is_complete
        return is_configured and self.shared.closing_at is None

    async def on_start(self) -> None:
        """Start the components, then listen."""
        await self.mesh.start()
        await self.loads.start()
        await self.rates.start()
        await self.watching.start()
        await self.relay.start()
        for service in self.sharing_services:
            await service.start()
        await self.stages.start()
        self._callers = callerconns.CallerServer(
            self.gateway.handle,
            account=self.metrics.account,
            id_header=self.shared.names.request_id,
            guard=self.guard,
            limits=lambda: self.caller_limits,
            **HTTP_SETTINGS,
        )
        self.add_future(self.metrics.account.watch())
        self.add_future(self.guard.watch())
        await self._listen(self.cfg.callers, self._callers)
        await self._listen(self.cfg.ready, self._side_server(self._ready))
        if self.cfg.metrics is not None:
            await self._listen(self.cfg.metrics, self._side_server(self._page))
        logger.bind(event="start", name=self.cfg.name).info("listening")

    async def on_stop(self) -> None:
        """Close the listeners, then stop the components."""
        for runner in self._runners:
            await runner.cleanup()
        await self.stages.stop()
        for service in reversed(self.sharing_services):
            await service.stop()
        await self.relay.stop()
        await self.watching.stop()
        await self.rates.stop()
        await self.loads.stop()
        await self.mesh.stop()
        await self.shared.exits.close()
        await self.shared.pools.close()
        await self.store.close()

    async def drain(self) -> None:
        """Serve requests on open connections until idle, within the grace period."""
        self.shared.closing_at = clock.now()
        logger.bind(event="stop", active=len(self.gateway.active_conns)).info(
            "draining"
        )
        started = clock.now()
        deadline = started + self.cfg.grace_s - KILL_MARGIN_S
        while clock.now() < deadline:
            if clock.now() > started + CLOSE_IDLE_AFTER_S:
                self._callers.close_idle()
            if not self._callers.is_owing and clock.now() > started + MIN_DRAIN_S:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        logger.bind(event="stop", active=len(self.gateway.active_conns)).info(
            "stopping"
        )
        self.gateway.end_all()
        await self._callers.end(
            self._runners[0].sites, max(deadline, clock.now()) + END_TIMEOUT_S
        )

    def _limit_callers(self, stated: model.Limits) -> None:
        """Set the limits on callers; what the configuration states stays possible."""
        cfg, default = self.cfg, callerbytes.CallerLimits()
        descriptors = cfg.descriptors or callerguard.descriptor_limit()
        self.caller_limits = attrs.evolve(
            default,
            connections=callerbytes.connection_limit(descriptors),
            body_bytes=stated.body_bytes,
            head_bytes=max(default.head_bytes, stated.head_bytes),
            head_s=max(default.head_s, stated.head_s),
            idle_s=max(default.idle_s, stated.idle_s),
        )
        self.side_limits = attrs.evolve(
            default, connections=callerbytes.side_connection_limit(descriptors)
        )
        self.guard.account.limit = callerbytes.byte_limit(
            cfg.memory_bytes, stated.body_bytes
        )

    def _side_server(
        self, handler: collections.abc.Callable
    ) -> callerconns.GuardedServer:
        """Return the server of a listener for checks or operators."""
        return callerconns.GuardedServer(
            handler, guard=self.guard, limits=lambda: self.side_limits, **HTTP_SETTINGS
        )

    async def _listen(self, address: Address, server: web.Server) -> None:
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        site = web.TCPSite(runner, address.host, address.port, backlog=BACKLOG)
        await site.start()
        self._runners.append(runner)

    async def _ready(self, req: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.is_ready else 503)

    async def _page(self, req: web.BaseRequest) -> web.Response:
        return pages.respond(self, req.path, method=req.method, query=req.query)

    def _on_change(self, kind: source.Kind) -> None:
        if kind is source.Kind.UPSTREAMS:
            upstreams = self.records.upstreams(clock.now())
            self.shared.pools.keep_only(upstreams)
            self.rates.keep_only(frozenset(u.run_key for u in upstreams))
            self.loads.keep_only({upstream.name for upstream in upstreams})
        if kind is source.Kind.CONFIGURATION and self.records.table is not None:
            services = self.records.table.cfg.services
            self.loads.set_memory({s.name: s.cache_tokens for s in services})
            self._limit_callers(self.records.table.cfg.limits)
