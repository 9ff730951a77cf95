"""Handlers for health checks, metrics and the operators' view of one instance."""

import hashlib
import hmac

import attrs
from aiohttp import web
from masticpost_common import errors
from masticpost_decide import tracker
from masticpost_peers import hub, probes
from masticpost_rates import upstreamrates
from masticpost_shards import directory, records
from masticpost_store import client
from masticpost_telemetry import burn, metrics

from masticpost_entry import intake, reply, routing, runtime, stages


@attrs.frozen(kw_only=True)
class UpstreamStatus:
    """An upstream as this instance observes it."""

    name: str
    domain: str
    is_usable: bool
    is_warm: bool
    is_blocked: bool
    outstanding: int
    load: float


@attrs.frozen(kw_only=True)
class Status:
    """Status of one instance, for operators."""

    instance: str
    domain: str
    generation: int
    rejected_generation: int
    is_current: bool
    is_draining: bool
    store_is_down: bool
    store_calls: client.CallCounts
    peer_traffic: hub.Traffic
    bills_waiting: int
    members: list[probes.Member]
    shards: list[directory.ShardStatus]
    upstreams: list[UpstreamStatus]
    trials: list[records.Trial]
    rollouts: list[stages.RolloutStatus]
    rates: list[upstreamrates.RateStatus] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class BurnReport:
    """Counts of one instance for the burn report."""

    instance: str
    series: list[burn.SeriesReport]


async def live(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Answer 200 while the process serves requests."""
    return web.Response(text="ok\n")


async def ready(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Answer 503 if load balancers must not send new requests here."""
    if rt.is_draining or rt.is_stopping:
        return web.Response(status=503, text="stopping\n")
    if not rt.cluster.texts.is_current():
        return web.Response(status=503, text="configuration not current\n")
    if not rt.cluster.shared_view.is_complete and not rt.cluster.store.is_down:
        return web.Response(status=503, text="shared state not read yet\n")
    return web.Response(text="ok\n")


async def show_metrics(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return the metrics in the Prometheus text format."""
    _set_gauges(rt)
    return web.Response(
        body=rt.meters.render(), headers={"Content-Type": metrics.CONTENT_TYPE}
    )


def _set_gauges(rt: runtime.Runtime) -> None:
    cluster = rt.cluster
    counts = cluster.store.counts
    values = {
        "generation": cluster.texts.generation,
        "members_alive": len(cluster.members.alive()),
        "shards_owned": len(cluster.shards.owners),
        "bills_waiting": cluster.bills.pending,
        "requests_in_flight": rt.in_flight,
        "admission_limit": rt.admission_control.limit,
        "store_reads": counts.reads,
        "store_writes": counts.writes,
        "store_watches": counts.watches,
        "store_failures": counts.failures,
        "peer_bytes_sent": cluster.peers.traffic.sent_bytes,
        "peer_bytes_received": cluster.peers.traffic.received_bytes,
        "peer_messages_rejected": cluster.peers.traffic.rejected,
    }
    for name, value in values.items():
        rt.meters.gauges[name].set(value)
    for kind, row in cluster.peers.traffic.kinds.items():
        rt.meters.peer_bytes_by_kind.labels(kind).set(row.sent_bytes)
    _set_rate_gauges(rt)


def _set_rate_gauges(rt: runtime.Runtime) -> None:
    rates, granted = rt.meters.upstream_rate, rt.meters.rate_permits
    rates.clear()
    granted.clear()
    for row in rt.cluster.rates.statuses():
        rates.labels(row.upstream).set(row.rate)
        granted.labels(row.upstream, "granted").set(row.granted)
        granted.labels(row.upstream, "held").set(row.held)


def check_admin(rt: runtime.Runtime, req: web.Request) -> None:
    """Raise `errors.RefusalError` for a call without the operators' key."""
    key = req.headers.get("Authorization", "").removeprefix(intake.BEARER)
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    if not rt.admin_key_hash or not hmac.compare_digest(digest, rt.admin_key_hash):
        raise errors.refuse(401, "unauthenticated", "The operators' key is required.")


async def status(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return this instance's status as JSON."""
    check_admin(rt, req)
    return reply.json_response(status_of(rt))


def status_of(rt: runtime.Runtime) -> Status:
    """Return this instance's status."""
    cluster = rt.cluster
    return Status(
        instance=cluster.peers.name,
        domain=rt.domain,
        generation=cluster.texts.generation,
        rejected_generation=cluster.texts.rejected_generation,
        is_current=cluster.texts.is_current(),
        is_draining=rt.is_draining,
        store_is_down=cluster.store.is_down,
        store_calls=cluster.store.counts,
        peer_traffic=cluster.peers.traffic,
        bills_waiting=cluster.bills.pending,
        members=cluster.members.members(),
        shards=directory.statuses(cluster.shards),
        upstreams=_upstreams(rt),
        trials=cluster.shared_view.trials(),
        rollouts=cluster.rollouts.stages.statuses(),
        rates=cluster.rates.statuses(),
    )


def _upstreams(rt: runtime.Runtime) -> list[UpstreamStatus]:
    if rt.cluster.texts.in_force is None:
        return []
    text = rt.text
    now = tracker.now()
    rows = []
    for up in text.upstreams.values():
        state = rt.upstream_states.get(up.name)
        rows.append(
            UpstreamStatus(
                name=up.name,
                domain=up.domain,
                is_usable=routing.is_usable(rt, up),
                is_warm=rt.cluster.shared_view.is_warm(up.name),
                is_blocked=state.is_blocked(now),
                outstanding=state.outstanding,
                load=state.load(now),
            )
        )
    return rows


async def burn_counts(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return this instance's counts for the burn report."""
    check_admin(rt, req)
    series = rt.burn_meter.report()
    return reply.json_response(
        BurnReport(instance=rt.cluster.peers.name, series=series)
    )
