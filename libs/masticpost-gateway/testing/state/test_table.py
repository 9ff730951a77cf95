"""Routes by host and longest prefix; shares by weight."""

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
    found = table.Table(cfg=kit.configuration(routes=ROUTES)).route(host, path)
    assert (found.name if found else None) == name


def test_requests_are_split_by_weight_and_a_session_stays():
    parts = (
        model.Target(service="x", weight=90.0),
        model.Target(service="y", weight=10.0),
        model.Target(service="never", weight=0.0),
    )
    split = attrs.evolve(kit.LOOKUP, targets=parts)
    made = table.Table(cfg=kit.configuration(routes=(split,)))
    names = [made.service_of(split, f"s-{k}").name for k in range(3000)]
    assert names.count("y") / 3000 == pytest.approx(0.1, abs=0.02)
    assert "never" not in names
    assert len({made.service_of(split, "s-1").name for _ in range(20)}) == 1
