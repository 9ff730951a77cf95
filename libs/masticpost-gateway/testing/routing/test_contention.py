"""Which services are served by priority."""

import types

import attrs
import pytest
from masticpost_gateway.routing import contention
from masticpost_gateway.state import model, table
from support import gatewaykit as kit

REVIEW = attrs.evolve(kit.CHAT, name="review", path_prefix="/review/", priority=0)
ORDER = attrs.evolve(
    kit.BOOK, name="order", targets=(model.Target(service="plain", weight=1.0),)
)


def records(*routes):
    cfg = kit.configuration(routes=routes)
    return types.SimpleNamespace(table=table.Table(cfg=cfg))


@pytest.mark.parametrize(
    ("is_enabled", "routes", "has_classes"),
    [
        (True, (kit.CHAT, REVIEW, ORDER), True),
        (True, (kit.CHAT, kit.LOOKUP), False),
        (False, (kit.CHAT, REVIEW), False),
    ],
)
def test_only_contended_services_are_served_by_priority(
    is_enabled, routes, has_classes
):
    """Guards against a change for deployments whose settings do not ask for it."""
    found = contention.Contention(records=records(*routes), is_enabled=is_enabled)
    assert (found.classes_of("desk") is not None) is has_classes
    assert found.classes_of("plain") is None
    assert found.classes_of("unknown") is None


def test_new_configuration_changes_the_classes():
    cache = records(kit.CHAT, REVIEW)
    found = contention.Contention(records=cache, is_enabled=True)
    assert found.classes_of("desk").rank(2) == 1
    cache.table = records(kit.CHAT).table
    assert found.classes_of("desk") is None
