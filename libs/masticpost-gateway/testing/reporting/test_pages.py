"""The pages that an instance serves to operators: metrics, status, burn counts."""

import aiohttp
import attrs
import loguru
import pytest
from masticpost_bench import procs
from masticpost_common import clock, codec
from masticpost_gateway import node
from masticpost_gateway.learning import quarantine
from masticpost_gateway.reporting import status
from masticpost_gateway.state import model, source
from masticpost_telemetry import burn
from prometheus_client import parser
from support import gatewaykit as kit


async def read(instance, path):
    url = f"http://127.0.0.1:{instance.cfg.metrics.port}{path}"
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        return resp.status, await resp.text()


async def samples(instance):
    _, text = await read(instance, "/metrics")
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


async def test_status_shows_the_age_of_records_and_the_state_of_upstreams():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers())
        await dep.add_worker("w2", kit.answers(), record={"is_draining": True})
        await dep.add_worker("w3", kit.answers(), domain="out")
        await dep.add_worker("w4", kit.answers())
        await dep.configure()
        instance = await add_node(dep)
        await dep.store.put(
            source.Kind.DOMAINS_OUT, "out", model.DomainOut(domain="out")
        )
        await kit.until(lambda: instance.records.domains_out())
        row = quarantine.Quarantine(at=clock.now())
        instance.shared.crashes.add_quarantine("5f1d", row)
        failing = next(u for u in instance.records.upstreams(0.0) if u.name == "w4")
        instance.shared.chooser.health_of(failing).record_unreachable(
            1e12, "injected by the test"
        )
        _, text = await read(instance, "/status")
        row = codec.from_json(text, status.Status)
        assert (row.instance, row.is_ready, row.config_version) == ("one", True, 1)
        assert row.watchers == ["one"]
        assert row.quarantined == ["5f1d"]
        ages = {cached.kind: cached.age_s for cached in row.beliefs}
        assert set(ages) == set(source.Kind)
        assert all(age_s >= 0 for age_s in ages.values())
        states = {up.name: up.state for up in row.upstreams}
        assert states == {
            "w1": status.UpstreamState.READY,
            "w2": status.UpstreamState.DRAINING,
            "w3": status.UpstreamState.DOMAIN_OUT,
            "w4": status.UpstreamState.EJECTED,
        }


async def test_failing_store_shows_in_status_and_metrics():
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        dep.store.fail(source.Kind.ROLL_OUTS, source.FaultKind.NOT_DONE)
        await kit.until(
            lambda: source.Kind.ROLL_OUTS in instance.watching.failing_since
        )
        _, text = await read(instance, "/status")
        row = codec.from_json(text, status.Status)
        lost = {cached.kind: cached.lost_s for cached in row.beliefs}
        assert lost[source.Kind.ROLL_OUTS] is not None
        assert lost[source.Kind.CONFIGURATION] is None
        metrics = await samples(instance)
        name = "masticpost_gateway_store_calls_total"
        failed = (name, ("call", "list roll-outs"), ("result", "not done"))
        assert metrics[failed] >= 1
        assert metrics[name, ("call", "list configuration"), ("result", "good")] >= 1


async def test_requests_are_counted_by_outcome_and_burn_by_customer():
    async with kit.Deployment() as dep:
        await dep.add_worker("w1", kit.answers(500))
        await dep.configure()
        instance = await add_node(dep)
        await dep.call("/book/", method="POST")
        await dep.call("/nowhere/")
        metrics = await samples(instance)
        ended = {
            ("kind", "non-idempotent"),
            ("outcome", "answered"),
            ("route", "book"),
            ("status", "500"),
        }
        assert metrics["masticpost_gateway_requests_total", *sorted(ended)] == 1
        refused = ("masticpost_gateway_refusals_total", ("code", "no-route"))
        assert metrics[refused] == 1
        upstreams = (
            "masticpost_gateway_upstreams",
            ("service", "desk"),
            ("state", "ready"),
        )
        assert metrics[upstreams] == 1
        _, text = await read(instance, "/burn")
        series = codec.from_json(text, list[burn.SeriesReport])
        assert [item.series.customer for item in series] == ["acme"]
        counts = [count for item in series for count in item.slices.values()]
        assert [(count.good, count.bad) for count in counts] == [(0, 1)]


async def test_dropped_log_lines_are_counted():
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        instance.dropped_lines = lambda: 7
        metrics = await samples(instance)
        assert metrics["masticpost_gateway_log_lines_dropped_total",] == 7


@pytest.mark.parametrize("path", ["/", "/admin"])
async def test_unknown_page_lists_the_available_pages(path):
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        code, text = await read(instance, path)
        assert code == 404
        assert "/metrics" in text


async def test_version_that_fails_after_its_completion_is_told():
    """Guards against a completed version whose bad answers nobody is told of.

    A version failed half of its requests to the day's end, and nothing judged it.
    """
    lines = []
    handler = loguru.logger.add(lambda line: lines.append(str(line)), level="WARNING")
    order = model.RollOut(service="desk", target="v2", duration_s=60.0)
    done = attrs.evolve(order, state=model.RollOutState.COMPLETED, share=1.0)
    async with kit.Deployment() as dep:
        await dep.configure()
        instance = await add_node(dep)
        trials = instance.shared.trials
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", order)
        await kit.until(lambda: "desk" in trials.open)
        await dep.store.put(source.Kind.ROLL_OUTS, "desk", done)
        await kit.until(lambda: "desk" not in trials.open)
        for number in range(40):
            trials.answers.record_answer("desk", "v2", is_good=number % 2 == 0)
        _, text = await read(instance, "/status")
        (row,) = codec.from_json(text, status.Status).completed
        values = await samples(instance)
    loguru.logger.remove(handler)
    assert (row.calls, row.failures) == (40, 20)
    assert "calls failed" in row.fault
    name = "masticpost_gateway_completed_version_answers"
    labels = ("service", "desk"), ("version", "v2")
    assert values[name, ("result", "failed"), *labels] == 20
    told = [line for line in lines if "bad after its completion" in line]
    assert len(told) == 1
