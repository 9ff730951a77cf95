"""Tests that instances send each other only the changes of a large configuration."""

import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import codec
from masticpost_gateway.sharing import replication
from masticpost_gateway.state import differences, model, source
from support import gatewaykit as kit

NAMES = strategies.sampled_from(["a", "b", "c", "d"])
ROUTES = strategies.dictionaries(NAMES, strategies.integers(1, 3)).map(
    lambda rows: tuple(
        kit.route(name=name, attempts=count) for name, count in rows.items()
    )
)
CUSTOMERS = strategies.dictionaries(NAMES, strategies.integers(1, 3)).map(
    lambda rows: tuple(
        model.Customer(name=name, keys=(f"key-{count}",))
        for name, count in rows.items()
    )
)
SERVICES = strategies.dictionaries(NAMES, strategies.integers(1, 3)).map(
    lambda rows: tuple(
        model.Service(name=name, max_connections=count) for name, count in rows.items()
    )
)
CONFIGURATIONS = strategies.builds(
    model.Configuration,
    version=strategies.integers(1, 9),
    routes=ROUTES,
    services=SERVICES,
    customers=CUSTOMERS,
)


def sorted_by_name(cfg):
    fields = ("routes", "services", "customers")
    sorted_rows = {
        field: tuple(sorted(getattr(cfg, field), key=lambda row: row.name))
        for field in fields
    }
    return attrs.evolve(cfg, **sorted_rows)


@hypothesis.settings(deadline=None)
@hypothesis.given(old=CONFIGURATIONS, new=CONFIGURATIONS)
def test_applying_a_difference_gives_the_new_configuration(old, new):
    diff = differences.between(old, new)
    received = codec.from_wire(codec.to_wire(diff), differences.Difference)
    assert sorted_by_name(differences.apply(old, received)) == sorted_by_name(new)


def test_configuration_with_duplicate_names_has_no_difference():
    duplicate = kit.configuration(routes=(kit.LOOKUP, kit.LOOKUP))
    assert differences.between(kit.configuration(), duplicate) is None


def large_configuration(count, version=1):
    """Return a configuration whose names compress as badly as real ones."""
    rng = random.Random(7)

    def word():
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=9))

    routes = tuple(
        kit.route(name=word(), host=f"{word()}.example", path_prefix=f"/{word()}/")
        for _ in range(count)
    )
    return kit.configuration(version, routes=(kit.LOOKUP, *routes))


def entry(cfg, revision):
    return source.Entry(name="main", revision=revision, record=cfg)


def test_change_of_a_large_configuration_is_small_on_the_wire():
    """Guards against sending whole configurations for small changes.

    A new version with 1,840 routes was sent twice to each of 71 instances, over links
    of 5 Mbit/s.
    """
    old = large_configuration(1840)
    routes = (attrs.evolve(old.routes[0], timeout_s=1.0), *old.routes[1:])
    new = attrs.evolve(old, version=2, routes=routes)
    full = replication.encode_entry(entry(old, 1))
    change = replication.encode_entry(entry(new, 2), entry(old, 1))
    assert len(full.raw) < 0.4 * len(codec.to_wire(old))
    assert len(change.raw) < 2000
    found = replication.decode_entry(source.Kind.CONFIGURATION, change, entry(old, 1))
    assert sorted_by_name(found.record) == sorted_by_name(new)


def test_difference_from_another_revision_is_refused():
    change = replication.encode_entry(
        entry(large_configuration(3, 2), 2), entry(large_configuration(3), 1)
    )
    for cached in (None, entry(large_configuration(3), 7)):
        with pytest.raises(replication.OtherBaseError):
            replication.decode_entry(source.Kind.CONFIGURATION, change, cached)


async def test_versions_in_quick_succession_reach_all_instances_complete():
    async with kit.Deployment() as dep:
        await dep.configure(large_configuration(50))
        seed = (await dep.add_node("node-0")).cfg.mesh.address
        for number in range(1, 5):
            await dep.add_node(f"node-{number}", seeds=(seed,))
        await kit.until(lambda: all(len(n.members()) == 5 for n in dep.nodes))
        for version in range(2, 12):
            cfg = large_configuration(50 + version, version)
            await dep.configure(attrs.evolve(cfg, routes=cfg.routes[version % 2 :]))
        await kit.until(
            lambda: all(n.records.table.cfg.version == 11 for n in dep.nodes)
        )
        for node in dep.nodes:
            assert sorted_by_name(node.records.table.cfg) == sorted_by_name(
                dep.store.rows[source.Kind.CONFIGURATION]["main"].record
            )
