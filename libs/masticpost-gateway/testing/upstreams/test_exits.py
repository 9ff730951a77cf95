"""Whether a run of an upstream has ended, or its connections were only cut."""

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.state import beliefs, source
from masticpost_gateway.upstreams import exits
from support import gatewaykit as kit

LONG_S = 5.0


class Scene:
    """Endings over the records of a test."""

    def __init__(self):
        self.records = beliefs.Beliefs()
        self.leaving = set()
        self.blamed = []
        self.at = 1
        self.ends = exits.ExitDetector(
            records=self.records, is_leaving=lambda upstream: upstream.name in self.leaving
        )

    def tell(self, *records):
        self.at += 1
        entries = tuple(
            source.Entry(name=row.name, revision=self.at, record=row) for row in records
        )
        listing = source.Listing(entries=entries, at=self.at)
        self.records.replace(source.Kind.UPSTREAMS, listing, clock.now())

    def doubt(self, record, name="request", *, is_cut=True, sent_at=None):
        sent_at = clock.now() if sent_at is None else sent_at
        self.ends.watch_for_exit(
            record, sent_at, lambda: self.blamed.append(name), is_cut=is_cut
        )


@pytest.fixture
async def worker():
    made = await kit.Worker(name="w1", script=kit.answers()).start()
    yield made
    await made.stop()


@pytest.fixture
async def scene():
    made = Scene()
    yield made
    await made.ends.close()


async def test_run_ends_when_nothing_listens_any_more(scene, worker):
    record = worker.record()
    scene.tell(record)
    await worker.stop()
    scene.doubt(record, "first", sent_at=0.0)
    scene.doubt(record, "second", sent_at=0.0)
    await scene.ends.wait_for_probe(record, LONG_S)
    assert scene.blamed == ["first", "second"]


async def test_cut_connection_to_a_living_upstream_blames_nobody(scene, worker):
    record = worker.record()
    scene.tell(record)
    scene.doubt(record)
    await scene.ends.wait_for_probe(record, LONG_S)
    scene.tell(record)
    assert not scene.blamed


async def test_upstream_that_is_back_at_once_is_told_by_its_entry(scene, worker):
    """Something listens again, or a proxy before it always did."""
    record = worker.record()
    scene.tell(record)
    scene.doubt(record)
    await scene.ends.wait_for_probe(record, LONG_S)
    scene.tell(attrs.evolve(record, born_ms=7))
    assert scene.blamed == ["request"]


async def test_upstream_that_cuts_many_connections_gets_few_more(scene, worker):
    record = worker.record()
    scene.tell(record)
    for _ in range(20):
        scene.doubt(record)
        await scene.ends.wait_for_probe(record, LONG_S)
    assert worker.connections <= 2


@pytest.mark.parametrize("back", [True, False])
async def test_silent_run_ends_with_its_entry(scene, worker, back):
    record = worker.record()
    scene.tell(record)
    scene.doubt(record, is_cut=False)
    assert not scene.blamed
    scene.tell(*([attrs.evolve(record, born_ms=7)] if back else []))
    assert scene.blamed == ["request"]


async def test_upstream_that_left_as_planned_blames_nobody(scene, worker):
    record = worker.record()
    scene.tell(record)
    scene.doubt(record, is_cut=False)
    scene.tell(attrs.evolve(record, is_draining=True))
    scene.tell()
    scene.leaving.add("w1")
    await worker.stop()
    scene.doubt(record)
    await scene.ends.wait_for_probe(record, LONG_S)
    assert not scene.blamed


async def test_request_sent_after_the_end_was_not_run_there(scene, worker):
    record = worker.record()
    scene.tell(record)
    await worker.stop()
    scene.doubt(record, "at work", sent_at=0.0)
    await scene.ends.wait_for_probe(record, LONG_S)
    scene.doubt(record, "sent later")
    assert scene.blamed == ["at work"]
