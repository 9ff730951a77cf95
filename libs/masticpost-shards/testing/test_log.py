"""The log keeps every committed batch exactly once, whatever faults the store has."""

import asyncio
import random

import attrs
import hypothesis
import pytest
import result
from hypothesis import strategies
from masticpost_shards import log, records, snapshots
from support import fakestore

STEPS = 60
MAX_ATTEMPTS = 200


@pytest.fixture(autouse=True, scope="module")
def small_ring():
    """Make the ring wrap and snapshots occur several times within a test."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log, "RING_SLOTS", 32)
        patch.setattr(log, "SNAPSHOT_EVERY", 12)
        yield


def claim(number: int) -> records.Claim:
    run = records.Run(instance="i", started=1)
    key = f"k{number}"
    return records.Claim(key=key, fingerprint="f", nonce=key, run=run, at=number)


class Writer:
    """An owner that may still act as owner after it has been superseded."""

    def __init__(self, server: fakestore.Server, name: str) -> None:
        run = records.Run(instance=name, started=1)
        self.log = log.Log(store=fakestore.FakeClient(server), shard=0, run=run)
        self.committed: list[str] = []
        self.is_owner = False

    async def take_over(self) -> None:
        if (await self.log.load()).is_err():
            return
        batch = attrs.evolve(self.log.next_batch(0), takeover=True)
        self.is_owner = await self.write(batch)

    async def write(self, batch: records.Batch) -> bool:
        has_unknown_result = False
        for _ in range(MAX_ATTEMPTS):
            if has_unknown_result:
                written = await self.log.resolve(batch)
            else:
                written = await self.log.append(batch)
            if written.is_ok():
                self.committed += [c.key for c in batch.claims]
                return True
            fault = written.unwrap_err()
            if fault is log.AppendFault.FENCED:
                self.is_owner = False
                return False
            if fault is log.AppendFault.WRAPPED:
                await self.log.write_snapshot(0)
            has_unknown_result = (
                has_unknown_result or fault is log.AppendFault.NOT_KNOWN
            )
        self.is_owner = False
        return False

    async def append(self, number: int) -> None:
        batch = attrs.evolve(self.log.next_batch(0), claims=[claim(number)])
        if await self.write(batch) and self.log.snapshot_is_due():
            await self.log.write_snapshot(0)


def check(server: fakestore.Server, committed: list[str]) -> None:
    """Check that each batch reported as committed is in the log, and only once."""
    server.late_writes.clear()
    server.plan = fakestore.FaultPlan()
    reader = log.Log(
        store=fakestore.FakeClient(server),
        shard=0,
        run=records.Run(instance="r", started=1),
    )
    loaded = asyncio.run(_load(reader))
    assert len(committed) == len(set(committed))
    assert set(committed) <= set(loaded.calls)


async def _load(reader: log.Log) -> object:
    return (await reader.load()).unwrap()


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    lost=strategies.floats(0, 0.3),
    late=strategies.floats(0, 0.2),
    dropped=strategies.floats(0, 0.2),
    refused=strategies.floats(0, 0.2),
    stale=strategies.floats(0, 0.3),
)
@hypothesis.settings(max_examples=120, deadline=None, derandomize=True)
def test_committed_batches_stay(seed, lost, late, dropped, refused, stale):
    plan = fakestore.FaultPlan(
        seed=seed, lost=lost, late=late, dropped=dropped, refused=refused, stale=stale
    )
    loop_run(seed, plan)


def loop_run(seed: int, plan: fakestore.FaultPlan) -> None:
    """Let writers compete for a log in a new event loop, then check the log."""
    servers: list[fakestore.Server] = []

    async def work() -> list[str]:
        server = fakestore.Server(plan)
        servers.append(server)
        rng = random.Random(seed)
        writers = [Writer(server, f"w{i}") for i in range(3)]
        for number in range(STEPS):
            writer = rng.choice(writers)
            if not writer.is_owner or rng.random() < 0.1:
                await writer.take_over()
            if writer.is_owner:
                await writer.append(number)
        return [key for writer in writers for key in writer.committed]

    committed = asyncio.run(work())
    check(servers[0], committed)


FAULTY = fakestore.FaultPlan(
    seed=3, lost=0.2, late=0.1, dropped=0.1, refused=0.1, stale=0.2
)


def test_mutation_without_nonce_comparison_is_detected(monkeypatch):
    """Mutation: the nonce is not compared after a conflict."""

    async def check_fenced(self, batch):
        found = await self.store.get(log.slot_name(self.shard, batch.seq))
        if found.is_err():
            return result.Err(log.AppendFault.NOT_KNOWN)
        return self._committed(batch, found.unwrap())

    monkeypatch.setattr(log.Log, "_check_fenced", check_fenced)
    with pytest.raises((AssertionError, ValueError)):
        for seed in range(20):
            loop_run(seed, attrs.evolve(FAULTY, seed=seed))


def test_mutation_without_fencing_is_detected(monkeypatch):
    """Mutation: slots are written without checking their version."""

    async def update(self, name, value, version, labels):
        stored = self.server.objects.get(name)
        return await self._write(name, value, stored and stored.version, labels)

    monkeypatch.setattr(fakestore.FakeClient, "update", update)
    with pytest.raises((AssertionError, ValueError, log.CorruptLogError)):
        for seed in range(20):
            loop_run(seed, attrs.evolve(FAULTY, seed=seed))


def test_mutation_with_older_snapshot_overwriting_newer_is_detected(monkeypatch):
    """Mutation: a paused owner's snapshot overwrites a newer one."""

    async def write_snapshot(self, now_ms):
        found = self.store.server.objects.get(log.snapshot_name(self.shard))
        name = log.snapshot_name(self.shard)
        value = (await snapshots.split(self.committed, name, self.run)).head
        version = found.version if found else None
        name = log.snapshot_name(self.shard)
        labels = log.labels_of(self.shard, log.SNAPSHOT_KIND)
        self.store.server.write(name, value, version, labels)
        self.loaded.snapshot_seq = self.committed.seq
        return True

    async def work(server):
        old, new = Writer(server, "old"), Writer(server, "new")
        await old.take_over()
        for number in range(5):
            await old.append(number)
        await new.take_over()
        for number in range(100, 100 + 2 * log.RING_SLOTS):
            await new.append(number)
        await old.log.write_snapshot(0)
        return old.committed + new.committed

    server = fakestore.Server()
    check(server, asyncio.run(work(server)))
    monkeypatch.setattr(log.Log, "write_snapshot", write_snapshot)
    server = fakestore.Server()
    committed = asyncio.run(work(server))
    with pytest.raises((AssertionError, Exception)):
        check(server, committed)


def test_ring_never_loses_a_batch_that_no_snapshot_covers():
    async def work(server):
        writer = Writer(server, "w")
        await writer.take_over()
        for number in range(3 * log.RING_SLOTS):
            await writer.append(number)
        return writer.committed

    server = fakestore.Server()
    committed = asyncio.run(work(server))
    assert len(committed) == 3 * log.RING_SLOTS
    assert len(server.objects) == log.RING_SLOTS + 1
    check(server, committed)


def test_large_snapshot_is_split_and_old_parts_are_deleted(monkeypatch):
    monkeypatch.setattr(snapshots, "PART_BYTES", 200)

    async def work(server):
        writer = Writer(server, "w")
        await writer.take_over()
        for number in range(3 * log.RING_SLOTS):
            await writer.append(number)
        return writer.committed

    server = fakestore.Server()
    committed = asyncio.run(work(server))
    parts = [name for name in server.objects if snapshots.is_part(name)]
    assert len(parts) > 3
    assert len({name.rsplit("-", 1)[0] for name in parts}) == 1
    check(server, committed)


@hypothesis.given(seed=strategies.integers(0, 10_000))
@hypothesis.settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_split_snapshots_keep_committed_batches(seed, monkeypatch):
    monkeypatch.setattr(snapshots, "PART_BYTES", 200)
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 3)
    loop_run(seed, attrs.evolve(FAULTY, seed=seed))


def test_paused_owner_is_fenced():
    async def work():
        server = fakestore.Server()
        old, new = Writer(server, "old"), Writer(server, "new")
        await old.take_over()
        await old.append(1)
        await new.take_over()
        await old.append(2)
        return old, server

    old, server = asyncio.run(work())
    assert not old.is_owner
    assert old.committed == ["k1"]
    check(server, old.committed)
