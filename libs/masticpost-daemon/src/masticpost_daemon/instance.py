"""One entry instance: builds, starts and gracefully stops its components."""

import asyncio
import collections.abc
import ssl
import time

import mode
from aiohttp import web
from loguru import logger
from masticpost_common import clock
from masticpost_confsync import synchronizer
from masticpost_entry import (
    app,
    budgets,
    deadlyparts,
    estimatesharing,
    indoubt,
    intake,
    ratelimits,
    rollouts,
    runtime,
)
from masticpost_orders import dispatcher
from masticpost_peers import hub, keys, membership
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
from masticpost_store import client, instances
from masticpost_telemetry import callerbytes, callerconns, callerguard
from masticpost_upstream import engine, plain, rating

from masticpost_daemon import discovery, settings

# Longest time to write each of claims, bills and budgets while draining.
FLUSH_TIMEOUT_S = 10.0
IDLE_POLL_INTERVAL_S = 0.05
LISTEN_BACKLOG = 1024
# Time for handlers of a listener that closes; aiohttp takes 0 for no limit.
SHUTDOWN_TIMEOUT_S = 0.1
# Time for the answers to requests that are given up at the end of the drain.
END_TIMEOUT_S = 1.0


class Instance(mode.Service):
    """Owns the components of one `masticpostd` process and its HTTP server.

    Parameters
    ----------
    cfg : settings.Settings
        Validated settings.
    """

    def __init__(self, *, cfg: settings.Settings) -> None:
        super().__init__()
        self.cfg = cfg
        self.rt = _build(cfg)
        self.discovery = discovery.InstanceDiscovery(
            rt=self.rt,
            instance_list=instances.InstanceListClient(
                url=cfg.instances_url, namespace=cfg.namespace
            ),
            seeds=[str(seed) for seed in cfg.seeds],
        )
        self.order_dispatcher = dispatcher.OrderDispatcher(
            shards=self.rt.cluster.shards,
            texts=self.rt.cluster.texts,
            tls=_upstream_tls(cfg),
        )
        self.in_doubt_resolver = indoubt.InDoubtResolver(rt=self.rt)
        self.estimate_sharing = estimatesharing.EstimateSharing(rt=self.rt)
        self._runner: callerconns.CallerRunner | None = None
        limit = callerbytes.byte_limit(cfg.memory_bytes, runtime.MAX_BODY_BYTES)
        self.guard = callerguard.Guard(limit=limit, registry=self.rt.meters.registry)
        self.caller_limits = callerbytes.CallerLimits(
            connections=callerbytes.connection_limit(callerguard.descriptor_limit()),
            body_bytes=runtime.MAX_BODY_BYTES,
        )

    async def on_start(self) -> None:
        """Start the components in dependency order, then listen for callers."""
        for component in self._components():
            await component.start()
        self.add_future(self.rt.meters.account.watch())
        self.add_future(self.guard.watch())
        self._runner = callerconns.CallerRunner(
            app.make_app(self.rt),
            account=self.rt.meters.account,
            id_header=intake.ID_HEADER,
            handler_cancellation=True,
            access_log=None,
            guard=self.guard,
            limits=lambda: self.caller_limits,
            max_line_size=app.MAX_HEADER_BYTES,
            max_field_size=app.MAX_HEADER_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.cfg.listen.host,
            self.cfg.listen.port,
            backlog=LISTEN_BACKLOG,
            ssl_context=_server_tls(self.cfg),
        )
        await site.start()
        logger.info("listening on {}", self.cfg.listen)

    def _components(self) -> list[mode.Service]:
        cluster = self.rt.cluster
        return [
            cluster.peers,
            cluster.members,
            cluster.texts,
            cluster.shards,
            cluster.claims,
            cluster.bill_replicas,
            cluster.bills,
            cluster.budgets,
            cluster.sessions,
            cluster.permits,
            cluster.shared_view,
            cluster.rollouts,
            cluster.deadly_parts,
            cluster.rates,
            self.discovery,
            self.order_dispatcher,
            self.in_doubt_resolver,
            self.estimate_sharing,
        ]

    @property
    def has_failed(self) -> bool:
        """Whether a component crashed; the process should then exit."""
        return any(component.crashed for component in self._components())

    async def drain(self) -> None:
        """Leave the cluster gracefully.

        Announces that the instance leaves, hands over its shards, accepts requests for
        another `drain_grace_s` seconds, waits up to `drain_limit_s` seconds for
        requests in flight, gives up the others with an error as their answer, then
        flushes claims, bills and budgets.
        """
        logger.info("draining")
        cluster = self.rt.cluster
        self.rt.is_draining = True
        await _try("leave the cluster", cluster.members.leave())
        hand_over = asyncio.create_task(cluster.shards.hand_over())
        await asyncio.sleep(self.cfg.drain_grace_s)
        self.rt.is_stopping = True
        await self._wait_idle(self.cfg.drain_limit_s)
        self.rt.end_all()
        await self._wait_idle(END_TIMEOUT_S)
        await _try("hand over shards", hand_over)
        await _try("write claims", cluster.claims.flush(FLUSH_TIMEOUT_S))
        await _try("write bills", cluster.bills.flush(FLUSH_TIMEOUT_S))
        await _try("write budgets", cluster.budgets.flush(FLUSH_TIMEOUT_S))
        logger.bind(bills_waiting=cluster.bills.pending).info("drained")

    async def _wait_idle(self, limit_s: float) -> None:
        deadline = time.monotonic() + limit_s
        while self._is_owing and time.monotonic() < deadline:
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    @property
    def _is_owing(self) -> bool:
        """Whether a caller is owed an answer, or a part of one."""
        return bool(self.rt.in_flight) or self._runner.server.is_owing

    async def on_stop(self) -> None:
        """Stop listening, then stop the components in reverse order."""
        if self._runner is not None:
            ends_at = clock.now() + END_TIMEOUT_S
            await self._runner.server.end(self._runner.sites, ends_at)
            await self._runner.cleanup()
        await self.rt.clients.close()
        for component in reversed(self._components()):
            await component.stop()
        await self.rt.cluster.store.close()


async def _try(step: str, work: collections.abc.Awaitable) -> None:
    """Take a step of the drain; a failure must not skip the steps after it."""
    try:
        await work
    except Exception:
        logger.exception("cannot {}", step)


def _build(cfg: settings.Settings) -> runtime.Runtime:
    store = client.Client(
        url=cfg.store_url, namespace=cfg.namespace, token=cfg.store_token
    )
    peers = hub.Hub(
        name=cfg.name,
        incarnation=clock.wall_ms(),
        address=str(cfg.peer_listen),
        ring=keys.KeyRing(secrets=list(cfg.peer_keys)),
    )
    members = membership.Membership(
        peers=peers,
        domain=cfg.domain,
        advertise=str(cfg.peer_advertise),
        seed=peers.incarnation,
        http=f"{'https' if cfg.tls_cert else 'http'}://{cfg.listen}",
    )
    shards = directory.Directory(
        store=store,
        peers=peers,
        members=members,
        shard_count=cfg.shards,
        settle_after_s=cfg.settle_after_s,
    )
    seeds = len({*map(str, cfg.seeds), str(cfg.peer_advertise)})
    cluster = _build_cluster(store, peers, members, shards, seeds)
    rt = runtime.Runtime(
        domain=cfg.domain,
        cluster=cluster,
        admin_key_hash=cfg.admin_key_hash,
        clients=_build_clients(cfg, cluster.rates),
        ask_at_once_s=cfg.ask_at_once_s,
    )
    cluster.texts.listen(rt.apply_text)
    return rt


def _build_cluster(
    store: client.Client,
    peers: hub.Hub,
    members: membership.Membership,
    shards: directory.Directory,
    seeds: int,
) -> runtime.Cluster:
    issuer = permits.PermitIssuer(shards=shards)
    view = views.SharedView(shards=shards)

    def on_streak(resource: str) -> None:
        upstream = resource.partition(":")[2]
        view.add_future(view.report_warm(upstream))

    def on_failure(resource: str) -> None:
        view.record_failure(resource.partition(":")[2])

    issuer.listen(on_streak, on_failure)
    view.set_cold_listener(issuer.reset_streak)
    bill_replicas = billreplicas.BillReplicas(shards=shards)
    texts = synchronizer.TextSynchronizer(store=store, peers=peers, members=members)
    return runtime.Cluster(
        store=store,
        peers=peers,
        members=members,
        texts=texts,
        shards=shards,
        claims=claims.Claims(shards=shards),
        bills=bills.BillWriter(shards=shards, replicas=bill_replicas),
        budgets=budgets.Budgets(shards=shards, texts=texts),
        bill_replicas=bill_replicas,
        sessions=sessions.Sessions(shards=shards),
        permits=permits.Permits(shards=shards, issuer=issuer),
        shared_view=view,
        rollouts=rollouts.RolloutMonitor(shards=shards, texts=texts, view=view),
        deadly_parts=deadlyparts.DeadlyParts(peers=peers, members=members, view=view),
        rates=upstreamrates.UpstreamRates(peers=peers, members=members, seeds=seeds),
    )


def _build_clients(
    cfg: settings.Settings, rates: upstreamrates.UpstreamRates
) -> runtime.Clients:
    tls = _upstream_tls(cfg)
    clients = runtime.Clients(
        engines=engine.EngineClient(tls=tls),
        services=plain.PlainClient(tls=tls),
        ratings=rating.RatingClient(tls=tls),
    )
    for pool in (clients.engines.pool, clients.services.pool):
        pool.on_rate = ratelimits.listener(rates)
    return clients


def _upstream_tls(cfg: settings.Settings) -> ssl.SSLContext | None:
    if not cfg.upstream_ca:
        return None
    return ssl.create_default_context(cafile=cfg.upstream_ca)


def _server_tls(cfg: settings.Settings) -> ssl.SSLContext | None:
    if not cfg.tls_cert:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.tls_cert, cfg.tls_key)
    return context
