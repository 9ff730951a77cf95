"""Detection of upstream exits, as opposed to connections that were only cut."""

import errno

import attrs
import pytest
from masticpost_common import clock
from masticpost_gateway.state import recordcache, source
from masticpost_gateway.upstreams import exits
from support import gatewaykit as kit

PROBE_LIMIT_S = 5.0


class Scenario:
    """An exit detector over records that the test sets."""

    def __init__(self):
        self.records = recordcache.RecordCache()
        self.leaving = set()
        self.exits_reported = []
        self.revision = 1
        self.detector = exits.ExitDetector(
            records=self.records,
            is_leaving=lambda upstream: upstream.name in self.leaving,
        )

    def set_records(self, *records):
        self.revision += 1
        entries = tuple(
            source.Entry(name=row.name, revision=self.revision, record=row)
            for row in records
        )
        listing = source.Listing(entries=entries, at=self.revision)
        self.records.replace(source.Kind.UPSTREAMS, listing, clock.now())

    def watch(self, record, name="request", *, is_cut=True, sent_at=None):
        sent_at = clock.now() if sent_at is None else sent_at
        self.detector.watch_for_exit(
            record, sent_at, lambda: self.exits_reported.append(name), is_cut=is_cut
        )


@pytest.fixture
async def worker():
    upstream = await kit.Worker(name="w1", script=kit.answers()).start()
    yield upstream
    await upstream.stop()


@pytest.fixture
async def scenario():
    scenario = Scenario()
    yield scenario
    await scenario.detector.close()


async def test_run_has_ended_when_nothing_listens_any_more(scenario, worker):
    record = worker.record()
    scenario.set_records(record)
    await worker.stop()
    scenario.watch(record, "first", sent_at=0.0)
    scenario.watch(record, "second", sent_at=0.0)
    await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    assert scenario.exits_reported == ["first", "second"]


async def test_cut_connection_to_a_running_upstream_is_not_an_exit(scenario, worker):
    record = worker.record()
    scenario.set_records(record)
    scenario.watch(record)
    await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    scenario.set_records(record)
    assert not scenario.exits_reported


async def test_exit_of_an_upstream_that_restarts_at_once_is_detected_by_its_entry(
    scenario, worker
):
    """A proxy or the next run listens at the address, so only the entry shows it."""
    record = worker.record()
    scenario.set_records(record)
    scenario.watch(record)
    await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    scenario.set_records(attrs.evolve(record, born_ms=7))
    assert scenario.exits_reported == ["request"]


async def test_upstream_that_cuts_many_connections_is_probed_rarely(scenario, worker):
    record = worker.record()
    scenario.set_records(record)
    for _ in range(20):
        scenario.watch(record)
        await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    assert worker.connections <= 2


@pytest.mark.parametrize("restarts", [True, False])
async def test_exit_of_a_silent_run_is_detected_by_its_entry(
    scenario, worker, restarts
):
    record = worker.record()
    scenario.set_records(record)
    scenario.watch(record, is_cut=False)
    assert not scenario.exits_reported
    scenario.set_records(*([attrs.evolve(record, born_ms=7)] if restarts else []))
    assert scenario.exits_reported == ["request"]


async def test_planned_exit_is_not_reported(scenario, worker):
    record = worker.record()
    scenario.set_records(record)
    scenario.watch(record, is_cut=False)
    scenario.set_records(attrs.evolve(record, is_draining=True))
    scenario.set_records()
    scenario.leaving.add("w1")
    await worker.stop()
    scenario.watch(record)
    await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    assert not scenario.exits_reported


async def test_exit_is_not_reported_for_a_request_sent_after_it(scenario, worker):
    record = worker.record()
    scenario.set_records(record)
    await worker.stop()
    scenario.watch(record, "in flight", sent_at=0.0)
    await scenario.detector.wait_for_probe(record, PROBE_LIMIT_S)
    scenario.watch(record, "sent later")
    assert scenario.exits_reported == ["in flight"]


async def test_connection_without_a_descriptor_says_nothing(monkeypatch):
    """Guards against a stop of the instance, since errors of a test end its service."""

    def fail(addr_info):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(exits.conns, "make_socket", fail)
    assert await exits.try_connect("127.0.0.1:9") is exits.Listening.UNKNOWN
