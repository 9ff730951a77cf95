"""Observations of unreachable upstreams reach all instances, with few messages."""

import types

import prometheus_client
import pytest
from masticpost_common import clock
from masticpost_gateway.reporting import healthmetrics
from masticpost_gateway.sharing import healthreports
from masticpost_gateway.upstreams import health, reachability
from masticpost_peers import messages
from support import gatewaykit as kit

RUN = ("u1", 1, "127.0.0.1:1")
WATCHERS = 5


class Network:
    """Delivers messages between services whose loops do not run, and counts them."""

    def __init__(self, count):
        self.handlers, self.services, self.sent, self.queue = {}, [], 0, []
        self.names = [f"i{number}" for number in range(count)]
        self.domains = {name: f"d{n % 3}" for n, name in enumerate(self.names)}
        self.rows = {name: health.HealthTable() for name in self.names}
        self.services = [self._make(number) for number in range(count)]

    def _make(self, number):
        name = self.names[number]
        table = self.rows[name]
        watchers = [
            types.SimpleNamespace(name=row, address=row)
            for row in self.names[:WATCHERS]
        ]
        others = self.names[: min(WATCHERS, len(self.names))] + [
            row
            for n, row in enumerate(self.names[WATCHERS:])
            if number in (n % WATCHERS, (n + 1) % WATCHERS)
        ]
        row = types.SimpleNamespace(
            watchers=watchers,
            is_watcher=number < WATCHERS,
            recipients=lambda: [other for other in others if other != name],
        )
        conclusions = reachability.Reachability(
            me=name,
            domain=self.domains[name],
            domains=lambda: self.domains,
            healths=table,
            find=lambda key: table.get("u1", RUN),
            moved_reason="moved",
        )
        hub = types.SimpleNamespace(
            handle=lambda kind, handler, is_urgent: self.handlers.update(
                {name: handler}
            ),
            broadcast=self._broadcast,
        )
        return healthreports.HealthSharing(
            peers=types.SimpleNamespace(hub=hub, me=types.SimpleNamespace(name=name)),
            relay=row,
            conclusions=conclusions,
            metrics=healthmetrics.HealthMetrics(
                registry=prometheus_client.CollectorRegistry()
            ),
        )

    async def _broadcast(self, addresses, body):
        self.sent += len(addresses)
        self.queue += [(address, body) for address in addresses]

    async def deliver(self):
        """Send and deliver until there is nothing left."""
        while True:
            for service in self.services:
                await service._send(clock.now())
            queue, self.queue = self.queue, []
            if not queue:
                return
            for address, body in queue:
                envelope = messages.Envelope(
                    kind="", sender="", incarnation=0, call=0, is_reply=False
                )
                await self.handlers[address](envelope, body)

    def rows_of_all(self):
        return [table.get("u1", RUN) for table in self.rows.values()]


@pytest.mark.parametrize("count", [8, 70, 195])
@pytest.mark.parametrize("observer", [0, 7])
async def test_observation_reaches_all_with_a_linear_number_of_messages(
    count, observer
):
    """Guards against messages from each instance to each other one."""
    network = Network(count)
    for row in network.rows_of_all():
        row.last_response_at = clock.now() - 1.0
    row = network.rows[f"i{observer}"]
    row.get("u2", ("u2", 1, "")).last_response_at = clock.now()
    row.get("u1", RUN).record_unreachable(clock.now(), "not connected")
    await network.deliver()
    now = clock.now()
    assert all(row.is_ejected(now) for row in network.rows_of_all())
    assert network.sent <= 2 * count + WATCHERS * (WATCHERS + 1)


async def test_no_message_is_sent_while_nothing_fails():
    network = Network(8)
    await network.deliver()
    assert not network.sent


async def start_nodes(dep, *, shares_health):
    await dep.configure()
    for name in ("w1", "w2"):
        await dep.add_worker(name, kit.answers())
    for number in range(3):
        seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
        await dep.add_node(
            f"i{number}",
            seeds=seeds,
            domain=f"d{number}",
            shares_health=shares_health,
        )
    await kit.until(lambda: all(len(n.members()) == 3 for n in dep.nodes))
    await kit.until(lambda: all(len(n.relay.watchers) == 3 for n in dep.nodes))


async def call_until_ejected(dep):
    """Stop one of two upstreams, and send requests through one instance until then."""
    for _ in range(8):
        assert (await dep.call("/lookup/")).status == 200
    dep.workers[0].crash()
    name = dep.workers[0].record().name

    def is_ejected(node):
        found = [u for u in node.records.upstreams(clock.now()) if u.name == name]
        return node.shared.chooser.health_of(found[0]).is_ejected(clock.now())

    for _ in range(20):
        assert (await dep.call("/lookup/")).status == 200
        if is_ejected(dep.nodes[0]):
            return is_ejected
    raise AssertionError("the upstream was not used")


async def test_other_instances_avoid_an_upstream_that_one_found_gone():
    async with kit.Deployment() as dep:
        await start_nodes(dep, shares_health=True)
        is_ejected = await call_until_ejected(dep)
        await kit.until(lambda: all(is_ejected(node) for node in dep.nodes))
        for via in (1, 2):
            assert (await dep.call("/lookup/", via=via)).status == 200
        page = dep.nodes[1].metrics.render().decode()
        assert 'health_observations_total{kind="unreachable",source="reported"}' in page
        refused = 'masticpost_gateway_health_tests_total{result="refused"}'
        await kit.until(
            lambda: any(refused in n.metrics.render().decode() for n in dep.nodes)
        )


async def test_nothing_is_shared_unless_the_settings_enable_it():
    """Guards against a change of earlier deployments."""
    async with kit.Deployment() as dep:
        await start_nodes(dep, shares_health=False)
        is_ejected = await call_until_ejected(dep)
        assert not any(is_ejected(node) for node in dep.nodes[1:])
        kinds = [node.mesh.hub.traffic.kinds for node in dep.nodes]
        assert not any("gateway-health" in row for row in kinds)
        assert "health_observations" not in dep.nodes[0].metrics.render().decode()
