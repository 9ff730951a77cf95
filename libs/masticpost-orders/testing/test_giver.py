"""A giver of orders reads few engines a round, and still finds what one lost."""

import math

import attrs
import pytest
from masticpost_orders import client, giver
from masticpost_text import model

ENGINES = 200
VERSIONS = ("v1", "v2")


def text_of(count, serves=VERSIONS):
    return model.Text(
        deployment="d",
        domains={"d0": model.Domain(name="d0")},
        versions={name: model.Version(name=name, model="m") for name in VERSIONS},
        services={},
        upstreams={
            f"u{i}": model.Upstream(
                name=f"u{i}", url=f"http://u{i}", domain="d0", serves=serves
            )
            for i in range(count)
        },
        customers={},
        weight_loads_s=1e6,
    )


@attrs.define(kw_only=True)
class FakeClient:
    """Engines in memory; counts reads."""

    has: dict[str, set[str]]
    reads: int = 0

    async def loaded(self, url):
        self.reads += 1
        return [client.ModelRow(id=name, parent="base") for name in self.has[url]]

    async def give(self, url, order, epoch):
        change = self.has[url].add if order.is_load else self.has[url].discard
        change(order.version)
        return client.Outcome.DONE


@attrs.define(kw_only=True)
class FakeOwner:
    epoch: int = 1
    is_first_owner: bool = True


@attrs.define(kw_only=True)
class FakeTexts:
    text: model.Text

    @property
    def in_force(self):
        return self


@pytest.fixture
def giving(monkeypatch):
    monkeypatch.setattr(giver.OrderGiver, "lease", lambda self: FakeOwner())
    made = giver.OrderGiver(shards=None, texts=FakeTexts(text=text_of(ENGINES)))
    made.client = FakeClient(has={f"http://u{i}": set() for i in range(ENGINES)})
    return made


async def rounds(made, count):
    """Run rounds; return the most reads of one."""
    most = 0
    for _ in range(count):
        before = made.client.reads
        await made._round(made.texts.text)
        most = max(most, made.client.reads - before)
    return most


async def test_every_engine_is_loaded_within_bounds_of_reads(giving):
    most = await rounds(giving, 2 * math.ceil(ENGINES / giver.MAX_READS_OPEN) + 2)
    assert most <= giver.MAX_READS_OPEN + giver.READS_IN_TURN
    assert all(has == set(VERSIONS) for has in giving.client.has.values())
    assert await rounds(giving, 3) <= giver.READS_IN_TURN


async def test_lost_version_is_found_in_turn(giving):
    await rounds(giving, 8)
    giving.client.has["http://u77"].clear()
    await rounds(giving, math.ceil(ENGINES / giver.READS_IN_TURN) + 1)
    assert giving.client.has["http://u77"] == set(VERSIONS)


async def test_changed_engines_come_first(giving, monkeypatch):
    monkeypatch.setattr(giver, "UNLOAD_AFTER_S", 0.0)
    await rounds(giving, 8)
    changed = text_of(ENGINES)
    upstreams = dict(changed.upstreams)
    upstreams["u150"] = attrs.evolve(upstreams["u150"], serves=("v1",))
    giving.texts.text = attrs.evolve(changed, upstreams=upstreams)
    await rounds(giving, 2)
    assert giving.client.has["http://u150"] == {"v1"}
