"""Tests of route look-up by host and longest prefix, and of targets by weight."""

import attrs
import pytest
from masticpost_gateway.state import model, table
from support import gatewaykit as kit

ROUTES = (
    kit.route(name="all", path_prefix="/"),
    kit.route(name="a", path_prefix="/a/"),
    kit.route(name="ab", path_prefix="/a/b/"),
    kit.route(name="other", host="other.example", path_prefix="/a/"),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        (kit.HOST, "/x", "all"),
        (kit.HOST, "/a/1", "a"),
        (kit.HOST.upper() + ":80", "/a/b/1", "ab"),
        (kit.HOST, "/ab/1", "all"),
        ("other.example", "/a/1", "other"),
        ("other.example", "/b/", None),
        ("", "/a/", None),
    ],
)
def test_route_with_the_longest_prefix_wins(host, path, name):
    route = table.Table(cfg=kit.configuration(routes=ROUTES)).route(host, path)
    assert (route.name if route else None) == name


def test_requests_are_split_by_weight_and_a_session_keeps_its_service():
    targets = (
        model.Target(service="x", weight=90.0),
        model.Target(service="y", weight=10.0),
        model.Target(service="never", weight=0.0),
    )
    route = attrs.evolve(kit.LOOKUP, targets=targets)
    routes = table.Table(cfg=kit.configuration(routes=(route,)))
    names = [routes.service_of(route, f"s-{k}").name for k in range(3000)]
    assert names.count("y") / 3000 == pytest.approx(0.1, abs=0.02)
    assert "never" not in names
    assert len({routes.service_of(route, "s-1").name for _ in range(20)}) == 1
