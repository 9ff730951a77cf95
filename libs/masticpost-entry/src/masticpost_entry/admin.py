"""Health, metrics and the operators' view of one instance."""

import hashlib
import hmac

import attrs
from aiohttp import web
from masticpost_common import errors
from masticpost_decide import tracker
from masticpost_peers import hub, probes
from masticpost_shards import directory, records
from masticpost_store import client
from masticpost_telemetry import burn, metrics

from masticpost_entry import intake, reply, routing, runtime, stages


@attrs.frozen(kw_only=True)
class UpstreamStatus:
    """An upstream as this instance sees it."""

    name: str
    domain: str
    is_usable: bool
    is_warm: bool
    is_blocked: bool
    outstanding: int
    load: float


@attrs.frozen(kw_only=True)
class Status:
    """An instance as operators see it."""

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


@attrs.frozen(kw_only=True)
class BurnReport:
    """Counts of one instance for the burn report."""

    instance: str
    series: list[burn.SeriesReport]


async def live(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Answer that the process serves."""
    return web.Response(text="ok\n")


async def ready(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Tell the balancer whether to send new work here."""
    if rt.is_draining or rt.is_stopping:
        return web.Response(status=503, text="stopping\n")
    if not rt.agreed.keeper.is_current():
        return web.Response(status=503, text="configuration not current\n")
    if not rt.agreed.views.is_complete and not rt.agreed.store.is_down:
        return web.Response(status=503, text="shared state not read yet\n")
    return web.Response(text="ok\n")


async def show_metrics(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return the metrics in the Prometheus text format."""
    _set_gauges(rt)
    return web.Response(
        body=rt.meters.render(), headers={"Content-Type": metrics.CONTENT_TYPE}
    )


def _set_gauges(rt: runtime.Runtime) -> None:
    agreed = rt.agreed
    counts = agreed.store.counts
    values = {
        "generation": agreed.keeper.generation,
        "members_alive": len(agreed.members.alive()),
        "shards_owned": len(agreed.shards.owners),
        "bills_waiting": agreed.bills.pending,
        "requests_in_flight": rt.in_flight,
        "admission_limit": rt.gate.limit,
        "store_reads": counts.reads,
        "store_writes": counts.writes,
        "store_watches": counts.watches,
        "store_failures": counts.failures,
        "peer_bytes_sent": agreed.peers.traffic.sent_bytes,
        "peer_bytes_received": agreed.peers.traffic.received_bytes,
        "peer_messages_rejected": agreed.peers.traffic.rejected,
    }
    for name, value in values.items():
        rt.meters.gauges[name].set(value)


def check_admin(rt: runtime.Runtime, req: web.Request) -> None:
    """Refuse a call without the operators' key."""
    key = req.headers.get("Authorization", "").removeprefix(intake.BEARER)
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    if not rt.admin_key_hash or not hmac.compare_digest(digest, rt.admin_key_hash):
        raise errors.refuse(401, "unauthenticated", "The operators' key is needed.")


async def status(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return this instance's status."""
    check_admin(rt, req)
    return reply.json_response(status_of(rt))


def status_of(rt: runtime.Runtime) -> Status:
    """Return this instance's status."""
    agreed = rt.agreed
    return Status(
        instance=agreed.peers.name,
        domain=rt.domain,
        generation=agreed.keeper.generation,
        rejected_generation=agreed.keeper.rejected_generation,
        is_current=agreed.keeper.is_current(),
        is_draining=rt.is_draining,
        store_is_down=agreed.store.is_down,
        store_calls=agreed.store.counts,
        peer_traffic=agreed.peers.traffic,
        bills_waiting=agreed.bills.pending,
        members=agreed.members.members(),
        shards=directory.statuses(agreed.shards),
        upstreams=_upstreams(rt),
        trials=agreed.views.trials(),
        rollouts=agreed.guard.stages.statuses(),
    )


def _upstreams(rt: runtime.Runtime) -> list[UpstreamStatus]:
    if rt.agreed.keeper.in_force is None:
        return []
    text = rt.text
    now = tracker.now()
    rows = []
    for up in text.upstreams.values():
        track = rt.tracks.get(up.name)
        rows.append(
            UpstreamStatus(
                name=up.name,
                domain=up.domain,
                is_usable=routing.is_usable(rt, up),
                is_warm=rt.agreed.views.is_warm(up.name),
                is_blocked=track.is_blocked(now),
                outstanding=track.outstanding,
                load=track.load(now),
            )
        )
    return rows


async def burn_counts(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return this instance's counts for the burn report."""
    check_admin(rt, req)
    series = rt.burn_meter.report()
    return reply.json_response(BurnReport(instance=rt.agreed.peers.name, series=series))
