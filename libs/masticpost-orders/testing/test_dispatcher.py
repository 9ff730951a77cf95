"""The order dispatcher limits its reads per round and still detects lost versions."""

import math

import attrs
import pytest
from masticpost_orders import client, dispatcher
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
    """In-memory engines; counts the reads."""

    versions: dict[str, set[str]]
    reads: int = 0

    async def loaded(self, url):
        self.reads += 1
        return [client.ModelRow(id=name, parent="base") for name in self.versions[url]]

    async def send(self, url, order, epoch):
        change = self.versions[url].add if order.is_load else self.versions[url].discard
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
def order_dispatcher(monkeypatch):
    monkeypatch.setattr(dispatcher.OrderDispatcher, "lease", lambda self: FakeOwner())
    service = dispatcher.OrderDispatcher(
        shards=None, texts=FakeTexts(text=text_of(ENGINES))
    )
    service.client = FakeClient(
        versions={f"http://u{i}": set() for i in range(ENGINES)}
    )
    return service


async def run_rounds(service, count):
    """Run rounds; return the most reads of a round."""
    most = 0
    for _ in range(count):
        before = service.client.reads
        await service._run_round(service.texts.text)
        most = max(most, service.client.reads - before)
    return most


async def test_every_engine_is_loaded_within_the_read_limits(order_dispatcher):
    most = await run_rounds(
        order_dispatcher, 2 * math.ceil(ENGINES / dispatcher.MAX_UNCONFIRMED_READS) + 2
    )
    assert most <= dispatcher.MAX_UNCONFIRMED_READS + dispatcher.ROUTINE_READS_PER_ROUND
    assert all(
        loaded == set(VERSIONS) for loaded in order_dispatcher.client.versions.values()
    )
    assert await run_rounds(order_dispatcher, 3) <= dispatcher.ROUTINE_READS_PER_ROUND


async def test_lost_version_is_detected_and_loaded_again(order_dispatcher):
    await run_rounds(order_dispatcher, 8)
    order_dispatcher.client.versions["http://u77"].clear()
    await run_rounds(
        order_dispatcher, math.ceil(ENGINES / dispatcher.ROUTINE_READS_PER_ROUND) + 1
    )
    assert order_dispatcher.client.versions["http://u77"] == set(VERSIONS)


async def test_changed_engine_is_read_first(order_dispatcher, monkeypatch):
    monkeypatch.setattr(dispatcher, "UNLOAD_AFTER_S", 0.0)
    await run_rounds(order_dispatcher, 8)
    changed = text_of(ENGINES)
    upstreams = dict(changed.upstreams)
    upstreams["u150"] = attrs.evolve(upstreams["u150"], serves=("v1",))
    order_dispatcher.texts.text = attrs.evolve(changed, upstreams=upstreams)
    await run_rounds(order_dispatcher, 2)
    assert order_dispatcher.client.versions["http://u150"] == {"v1"}
