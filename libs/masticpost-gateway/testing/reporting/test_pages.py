"""What operators read of an instance: metrics, status and burn counts."""

import aiohttp
import pytest
from masticpost_bench import procs
from masticpost_common import clock, codec
from masticpost_gateway import node
from masticpost_gateway.reporting import status
from masticpost_gateway.state import model, source
from masticpost_telemetry import burn
from prometheus_client import parser
from support import gatewaykit as kit


async def read(made, path):
    url = f"http://127.0.0.1:{made.cfg.metrics.port}{path}"
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        return resp.status, await resp.text()


async def samples(made):
    _, text = await read(made, "/metrics")
    return {
        (row.name, *sorted(row.labels.items())): row.value
        for family in parser.text_string_to_metric_families(text)
        for row in family.samples
    }


async def add_node(dep, **changes):
    port = procs.free_ports(1)[0]
    return await dep.add_node(
        metrics=node.Address(host="127.0.0.1", port=port), **changes
    )


async def test_status_tells_beliefs_with_their_age_and_upstreams_with_their_state():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.add_worker("w2", kit.answers(), record={"is_draining": True})
        await dep.add_worker("w3", kit.answers(), domain="out")
        await dep.add_worker("w4", kit.answers())
        await dep.configure()
        made = await add_node(dep)
        await dep.store.put(
            source.Kind.DOMAINS_OUT, "out", model.DomainOut(domain="out")
        )
        await kit.until(lambda: made.records.domains_out())
        made.shared.crashes.quarantine("5f1d", clock.now())
        failing = next(u for u in made.records.upstreams(0.0) if u.name == "w4")
        made.shared.chooser.health_of(failing).record_unreachable(1e12, "as the test wants")
        _, text = await read(made, "/status")
        row = codec.from_json(text, status.Status)
        assert (row.instance, row.is_ready, row.config_version) == ("one", True, 1)
        assert row.watchers == ["one"]
        assert row.quarantined == ["5f1d"]
        ages = {belief.kind: belief.age_s for belief in row.beliefs}
        assert set(ages) == set(source.Kind)
        assert all(age_s >= 0 for age_s in ages.values())
        states = {up.name: up.state for up in row.upstreams}
        assert states == {
            "w1": status.UpstreamState.READY,
            "w2": status.UpstreamState.DRAINING,
            "w3": status.UpstreamState.DOMAIN_OUT,
            "w4": status.UpstreamState.EJECTED,
        }


async def test_lost_store_shows_in_the_status_and_the_counted_calls():
    async with kit.Deployment() as dep:
        await dep.configure()
        made = await add_node(dep)
        dep.store.fail(source.Kind.ROLL_OUTS, source.FaultKind.NOT_DONE)
        await kit.until(lambda: source.Kind.ROLL_OUTS in made.watching.failing_since)
        _, text = await read(made, "/status")
        row = codec.from_json(text, status.Status)
        lost = {belief.kind: belief.lost_s for belief in row.beliefs}
        assert lost[source.Kind.ROLL_OUTS] is not None
        assert lost[source.Kind.CONFIGURATION] is None
        found = await samples(made)
        name = "masticpost_gateway_store_calls_total"
        failed = (name, ("call", "list roll-outs"), ("result", "not done"))
        assert found[failed] >= 1
        assert found[name, ("call", "list configuration"), ("result", "good")] >= 1


async def test_requests_are_counted_by_outcome_and_the_burn_by_customer():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(500))
        await dep.configure()
        made = await add_node(dep)
        await dep.call("/book/", method="POST")
        await dep.call("/nowhere/")
        found = await samples(made)
        ended = {
            ("kind", "non-idempotent"),
            ("outcome", "answered"),
            ("route", "book"),
            ("status", "500"),
        }
        assert found["masticpost_gateway_requests_total", *sorted(ended)] == 1
        refused = ("masticpost_gateway_refusals_total", ("code", "no-route"))
        assert found[refused] == 1
        ups = ("masticpost_gateway_upstreams", ("service", "desk"), ("state", "ready"))
        assert found[ups] == 1
        _, text = await read(made, "/burn")
        series = codec.from_json(text, list[burn.SeriesReport])
        assert [item.series.customer for item in series] == ["acme"]
        counts = [count for item in series for count in item.slices.values()]
        assert [(count.good, count.bad) for count in counts] == [(0, 1)]


async def test_left_out_log_lines_are_counted():
    async with kit.Deployment() as dep:
        await dep.configure()
        made = await add_node(dep)
        made.dropped_lines = lambda: 7
        found = await samples(made)
        assert found["masticpost_gateway_log_lines_dropped_total",] == 7


@pytest.mark.parametrize("path", ["/", "/admin"])
async def test_unknown_page_names_those_that_exist(path):
    async with kit.Deployment() as dep:
        await dep.configure()
        made = await add_node(dep)
        code, text = await read(made, path)
        assert code == 404
        assert "/metrics" in text
