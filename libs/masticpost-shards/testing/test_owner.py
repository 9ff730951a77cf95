"""Owners decide each call once, despite lost shards and outages of the object API."""

import asyncio
import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import clock
from masticpost_shards import log, ops, owner, records, state
from support import fakestore

RUN = records.Run(instance="entry", started=1)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    names = ("COMMIT_INTERVAL_S", "RETRY_PAUSE_S", "RETRY_MAX_PAUSE_S")
    for name in (*names, "COMMIT_S_PER_SHARD"):
        monkeypatch.setattr(owner, name, 0.001)
    monkeypatch.setattr(owner, "LOST_PAUSE_S", 0.008)
    monkeypatch.setattr(log, "RING_SLOTS", 32)
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 12)


def make_owner(server, name="o", is_running=lambda run: True):
    run = records.Run(instance=name, started=1)
    return owner.ShardOwner(
        store=fakestore.FakeClient(server), shard=0, run=run, is_running=is_running
    )


async def start_serving(own):
    await own.start()
    async with asyncio.timeout(20):
        while not own.is_serving:
            await asyncio.sleep(0.001)
    return own


def claim_request(key="k", nonce="n", fingerprint="f"):
    claim = records.Claim(
        key=key, fingerprint=fingerprint, nonce=nonce, run=RUN, at=clock.wall_ms()
    )
    return ops.ClaimRequest(shard=0, claim=claim)


def outcome_report(key="k", nonce="n", kind=records.DONE):
    answer = records.Answer(status=201, content_type="t", body=b"b")
    outcome = records.Outcome(
        key=key, nonce=nonce, kind=kind, at=clock.wall_ms(), answer=answer
    )
    return ops.OutcomeReport(shard=0, outcome=outcome)


async def test_claim_is_granted_once():
    own = await start_serving(make_owner(fakestore.Server()))
    assert (await own.submit(claim_request(nonce="a"))).verdict == ops.GRANTED
    assert (await own.submit(claim_request(nonce="b"))).verdict == ops.PENDING
    assert (await own.submit(claim_request(nonce="a"))).verdict == ops.GRANTED
    await own.stop()


async def test_repeat_gets_the_recorded_outcome_from_the_next_owner():
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    await own.submit(claim_request())
    await own.submit(outcome_report())
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    reply = await other.submit(claim_request(nonce="later"))
    assert reply.verdict == ops.RECORDED
    assert reply.answer.body == b"b"
    await other.stop()


async def test_different_request_under_the_same_key_is_a_mismatch():
    own = await start_serving(make_owner(fakestore.Server()))
    await own.submit(claim_request())
    reply = await own.submit(claim_request(nonce="x", fingerprint="other"))
    assert reply.verdict == ops.MISMATCH
    await own.stop()


async def test_claim_of_an_ended_instance_is_in_doubt():
    server = fakestore.Server()
    own = await start_serving(make_owner(server, is_running=lambda run: False))
    await own.submit(claim_request())
    assert (await own.submit(claim_request(nonce="x"))).verdict == ops.IN_DOUBT
    await own.stop()


async def test_doubtful_call_is_in_doubt_while_its_instance_runs():
    own = await start_serving(make_owner(fakestore.Server()))
    await own.submit(claim_request(nonce="a"))
    await own.submit(outcome_report(nonce="a", kind=records.DOUBTFUL))
    assert (await own.submit(claim_request(nonce="b"))).verdict == ops.IN_DOUBT
    assert (await own.submit(claim_request(nonce="a"))).verdict == ops.IN_DOUBT
    await own.stop()


@pytest.mark.parametrize("settled", [records.DONE, records.RELEASED])
async def test_resolved_doubt_stays_resolved(settled):
    """A doubt reported late, or twice, does not replace a final outcome."""
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    await own.submit(claim_request(nonce="a"))
    for kind in (records.DOUBTFUL, settled, records.DOUBTFUL):
        await own.submit(outcome_report(nonce="a", kind=kind))
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    reply = await other.submit(claim_request(nonce="b"))
    expected = {records.DONE: ops.RECORDED, records.RELEASED: ops.GRANTED}
    assert reply.verdict == expected[settled]
    await other.stop()


async def test_claim_request_without_grants_reports_only_claimed_calls():
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    lookup = attrs.evolve(claim_request(nonce="a"), grants=False)
    assert (await own.submit(lookup)).verdict == ops.ABSENT
    assert not own.working_state.calls
    await own.submit(claim_request(nonce="b"))
    await own.submit(outcome_report(nonce="b"))
    own.store._consecutive_failures = 99
    assert (await own.submit(lookup)).verdict == ops.RECORDED
    other = attrs.evolve(lookup, claim=attrs.evolve(lookup.claim, key="none"))
    assert (await own.submit(other)).verdict == ops.ABSENT
    await own.stop()


async def test_spending_is_summed_over_runs_and_owners():
    """Reports that are repeated, late or sent to the next owner count once per run."""

    def report(instance, amount):
        run = records.Run(instance=instance, started=1)
        until = clock.wall_ms() + 60_000
        spend = records.Spend(
            customer="c", window=7, until=until, run=run, amount=amount
        )
        return ops.SpendReport(shard=0, spend=spend)

    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    for instance, amount in (("a", 1.0), ("b", 2.0), ("a", 1.5), ("a", 1.0)):
        reply = await own.submit(report(instance, amount))
    assert reply.total == 3.5
    await own.submit(ops.BillsReport(shard=0))
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    assert (await other.submit(report("b", 2.0))).total == 3.5
    assert (await other.submit(report("c", 1.0))).total == 4.5
    await other.stop()


async def test_released_claim_may_be_granted_again():
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    await own.submit(claim_request(nonce="a"))
    await own.submit(outcome_report(nonce="a", kind=records.RELEASED))
    assert (await own.submit(claim_request(nonce="b"))).verdict == ops.GRANTED
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    assert (await other.submit(claim_request(nonce="c"))).verdict == ops.PENDING
    await other.stop()


async def test_new_claim_is_refused_at_once_while_the_store_is_down():
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    await own.submit(claim_request(key="old"))
    await own.submit(outcome_report(key="old"))
    own.store._consecutive_failures = 99
    with pytest.raises(owner.StoreDownError):
        await own.submit(claim_request(key="new"))
    reply = await own.submit(claim_request(key="old", nonce="x"))
    assert reply.verdict == ops.RECORDED
    await own.stop()


async def test_nothing_is_confirmed_while_its_batch_is_being_written():
    """A repeat of a claim whose batch is being written must wait for that batch."""
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    server.is_down = True
    first = asyncio.create_task(own.submit(claim_request(nonce="a")))
    while not own._is_committing:
        await asyncio.sleep(0.001)
    own.store._consecutive_failures = 0
    again = asyncio.create_task(own.submit(claim_request(nonce="a")))
    barrier = asyncio.create_task(own.submit(ops.BillsReport(shard=0)))
    await asyncio.sleep(0.05)
    assert not (first.done() or again.done() or barrier.done())
    server.is_down = False
    assert (await again).verdict == ops.GRANTED
    assert (await first).verdict == ops.GRANTED
    assert (await barrier).epoch == own.epoch
    await own.stop()


async def test_superseded_owner_drops_uncommitted_records():
    server = fakestore.Server()
    old = await start_serving(make_owner(server, "old"))
    new = await start_serving(make_owner(server, "new"))
    assert (await new.submit(claim_request(nonce="new"))).verdict == ops.GRANTED
    with pytest.raises(owner.NotOwnerError):
        await old.submit(claim_request(nonce="old"))
    await old.stop()
    await new.stop()


async def test_handed_over_shard_is_marked_released():
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    await own.submit(claim_request())
    await own.hand_over(5.0)
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    assert other.was_released
    await other.stop()


async def test_abandoned_bill_is_settled_once(monkeypatch):
    monkeypatch.setattr(owner, "SETTLE_CHECK_S", 0.01)
    own = make_owner(fakestore.Server(), is_running=lambda run: False)
    own.abandoned_bills.settle_after_s = 0.0
    await start_serving(own)
    opened = records.BillOpen(
        key="b",
        customer="c",
        service="s",
        version="v",
        run=RUN,
        at=clock.wall_ms(),
        input_tokens=1000,
        input_price=2.0,
    )
    await own.submit(ops.BillsReport(shard=0, opens=[opened], closes=[]))
    async with asyncio.timeout(10):
        while not own.journal.committed.closed_bills:
            await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    total = own.journal.committed.totals["c\0s\0v\0settled"]
    assert (total.requests, total.cost) == (1, 0.002)
    assert not own.journal.committed.open_bills
    await own.stop()


def bill_close(key, at):
    return records.BillClose(
        key=key,
        customer="c",
        service="s",
        version="v",
        state=records.ANSWERED,
        at=at,
        cost=1.0,
    )


async def wait_for_snapshot(own):
    """Wait until a snapshot covers the owner's last batch."""
    async with asyncio.timeout(20):
        while own.journal.loaded.snapshot_seq < own.journal.committed.seq:
            await asyncio.sleep(0.002)


async def test_bill_committed_long_after_its_request_is_not_counted_again(monkeypatch):
    """After an outage longer than the retention, the next owner gets the bill again."""
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 1)
    server = fakestore.Server()
    own = await start_serving(make_owner(server))
    old = clock.wall_ms() - 2 * state.BILL_RETENTION_MS
    report = ops.BillsReport(shard=0, closes=[bill_close("b", old)])
    await own.submit(report)
    await wait_for_snapshot(own)
    await own.stop()
    other = await start_serving(make_owner(server, "p"))
    await other.submit(report)
    assert other.journal.committed.totals["c\0s\0v\0answered"].requests == 1
    await other.stop()


async def test_owner_removes_entries_past_their_retention(monkeypatch):
    """An owner that serves for days must not keep every bill in memory."""
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 1)
    own = await start_serving(make_owner(fakestore.Server()))
    await own.submit(
        ops.BillsReport(shard=0, closes=[bill_close("b", clock.wall_ms())])
    )
    await own.submit(claim_request())
    for retention in ("BILL_RETENTION_MS", "CLAIM_RETENTION_MS"):
        monkeypatch.setattr(state, retention, 0)
    await own.submit(outcome_report())
    await wait_for_snapshot(own)
    async with asyncio.timeout(20):
        while own.working_state.closed_bills or own.working_state.calls:
            await asyncio.sleep(0.002)
    await own.stop()


@attrs.define(kw_only=True)
class Ledger:
    """The replies that the callers got."""

    granted: dict[str, list[str]] = attrs.field(factory=dict)
    done: dict[str, str] = attrs.field(factory=dict)
    reported_bills: set[str] = attrs.field(factory=set)


async def churn(seed, plan, check_claims=True):
    """Run calls and bills against two competing owners.

    Returns the replies that the callers got and the final state of the log.
    """
    server = fakestore.Server(plan)
    rng = random.Random(seed)
    ledger = Ledger()
    owners = [await start_serving(make_owner(server, f"o{i}")) for i in range(2)]
    tasks = [
        asyncio.create_task(make_call(owners, f"k{rng.randint(0, 9)}", i, ledger))
        for i in range(25)
    ]
    tasks += [
        asyncio.create_task(report_bill(owners, f"b{rng.randint(0, 9)}", ledger))
        for i in range(25)
    ]
    await asyncio.wait_for(asyncio.gather(*tasks), 20)
    for own in owners:
        await own.stop()
    server.late_writes.clear()
    server.plan = fakestore.FaultPlan()
    reader = log.Log(store=fakestore.FakeClient(server), shard=0, run=RUN)
    return ledger, (await reader.load()).unwrap()


async def submit_to_any(owners, op):
    """Try the owners in turn until one commits, as an instance does."""
    for attempt in range(2000):
        own = owners[attempt % len(owners)]
        try:
            return await own.submit(op)
        except (owner.NotOwnerError, owner.StoreDownError):
            await asyncio.sleep(0.002)
    raise AssertionError("no owner committed in 2000 attempts")


async def make_call(owners, key, number, ledger):
    nonce = f"n{number}"
    await asyncio.sleep(number * 0.002)
    reply = await submit_to_any(owners, claim_request(key=key, nonce=nonce))
    if reply.verdict != ops.GRANTED:
        return
    ledger.granted.setdefault(key, []).append(nonce)
    await asyncio.sleep(0.002)
    kind = records.RELEASED if number % 3 == 0 else records.DONE
    if kind == records.RELEASED:
        ledger.granted[key].remove(nonce)
    await submit_to_any(owners, outcome_report(key=key, nonce=nonce, kind=kind))
    if kind == records.DONE:
        ledger.done[key] = nonce


async def report_bill(owners, key, ledger):
    await asyncio.sleep(int(key[1:]) * 0.005)
    close = records.BillClose(
        key=key,
        customer="c",
        service="s",
        version="v",
        state=records.ANSWERED,
        at=clock.wall_ms(),
        cost=1.0,
    )
    await submit_to_any(owners, ops.BillsReport(shard=0, opens=[], closes=[close]))
    ledger.reported_bills.add(key)


def check(ledger, final: state.State):
    for key, nonces in ledger.granted.items():
        assert len(nonces) <= 1, f"{key} was granted to {nonces}"
    for key, nonce in ledger.done.items():
        call = final.calls[key]
        assert call.claim.nonce == nonce
        assert call.outcome.kind == records.DONE
    total = final.totals.get("c\0s\0v\0answered")
    assert (total.requests if total else 0) == len(final.closed_bills)
    assert ledger.reported_bills <= set(final.closed_bills)


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    lost=strategies.floats(0, 0.2),
    late=strategies.floats(0, 0.1),
    refused=strategies.floats(0, 0.2),
    stale=strategies.floats(0, 0.2),
)
@hypothesis.settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_calls_run_once_and_bills_count_once(seed, lost, late, refused, stale):
    plan = fakestore.FaultPlan(
        seed=seed, lost=lost, late=late, refused=refused, stale=stale
    )
    ledger, final = asyncio.run(churn(seed, plan))
    check(ledger, final)


MUTANT_PLAN = fakestore.FaultPlan(seed=1, lost=0.1, stale=0.1)


def test_mutation_granting_claims_twice_is_detected(monkeypatch):
    """Mutation: a claim is always granted."""

    def decide_claim(working_state, op, is_running):
        working_state.calls[op.claim.key] = state.Call(claim=op.claim)
        reply = ops.ClaimReply(verdict=ops.GRANTED, nonce=op.claim.nonce)
        return ops.Decision(reply=reply, writes=[op.claim])

    monkeypatch.setitem(ops.DECIDERS._entries, "claim-ask", decide_claim)
    with pytest.raises(AssertionError):
        check(*asyncio.run(churn(1, MUTANT_PLAN)))


def test_mutation_counting_bills_twice_is_detected(monkeypatch):
    """Mutation: a bill that is already recorded is counted again."""

    def close_bill(self, closed, committed_at):
        self.closed_bills[closed.key] = committed_at
        self._add_to_total(closed)
        return True

    monkeypatch.setattr(state.State, "close_bill", close_bill)
    with pytest.raises(AssertionError):
        check(*asyncio.run(churn(1, MUTANT_PLAN)))


def test_mutation_replying_before_the_commit_is_detected(monkeypatch):
    """Mutation: outcomes are confirmed before they are committed."""

    def decide_outcome(working_state, op, is_running):
        writes = [op.outcome] if working_state.add_outcome(op.outcome) else []
        return ops.Decision(reply=ops.Done(), writes=writes, waits_for_commit=False)

    monkeypatch.setitem(ops.DECIDERS._entries, "outcome-tell", decide_outcome)
    with pytest.raises((AssertionError, KeyError, AttributeError)):
        for seed in range(30):
            check(*asyncio.run(churn(seed, attrs.evolve(MUTANT_PLAN, seed=seed))))
