"""Owners decide each call once, through losses and outages of the object API."""

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


def make_owner(server, name="o", running=lambda run: True):
    run = records.Run(instance=name, started=1)
    return owner.ShardOwner(
        store=fakestore.FakeClient(server), shard=0, run=run, is_running=running
    )


async def serving(own):
    await own.start()
    async with asyncio.timeout(20):
        while not own.is_serving:
            await asyncio.sleep(0.001)
    return own


def claim_ask(key="k", nonce="n", fingerprint="f"):
    claim = records.Claim(
        key=key, fingerprint=fingerprint, nonce=nonce, run=RUN, at=clock.wall_ms()
    )
    return ops.ClaimAsk(shard=0, claim=claim)


def outcome_tell(key="k", nonce="n", kind=records.DONE):
    answer = records.Answer(status=201, content_type="t", body=b"b")
    outcome = records.Outcome(
        key=key, nonce=nonce, kind=kind, at=clock.wall_ms(), answer=answer
    )
    return ops.OutcomeTell(shard=0, outcome=outcome)


async def test_claim_is_granted_once():
    own = await serving(make_owner(fakestore.Server()))
    assert (await own.submit(claim_ask(nonce="a"))).verdict == ops.GRANTED
    assert (await own.submit(claim_ask(nonce="b"))).verdict == ops.PENDING
    assert (await own.submit(claim_ask(nonce="a"))).verdict == ops.GRANTED
    await own.stop()


async def test_repeat_gets_the_recorded_outcome_from_the_next_owner():
    server = fakestore.Server()
    own = await serving(make_owner(server))
    await own.submit(claim_ask())
    await own.submit(outcome_tell())
    await own.stop()
    other = await serving(make_owner(server, "p"))
    reply = await other.submit(claim_ask(nonce="later"))
    assert reply.verdict == ops.RECORDED
    assert reply.answer.body == b"b"
    await other.stop()


async def test_other_body_under_the_same_key_is_an_error():
    own = await serving(make_owner(fakestore.Server()))
    await own.submit(claim_ask())
    reply = await own.submit(claim_ask(nonce="x", fingerprint="other"))
    assert reply.verdict == ops.MISMATCH
    await own.stop()


async def test_claim_of_an_ended_instance_is_in_doubt():
    server = fakestore.Server()
    own = await serving(make_owner(server, running=lambda run: False))
    await own.submit(claim_ask())
    assert (await own.submit(claim_ask(nonce="x"))).verdict == ops.IN_DOUBT
    await own.stop()


async def test_doubt_is_told_although_its_instance_lives():
    own = await serving(make_owner(fakestore.Server()))
    await own.submit(claim_ask(nonce="a"))
    await own.submit(outcome_tell(nonce="a", kind=records.DOUBTFUL))
    assert (await own.submit(claim_ask(nonce="b"))).verdict == ops.IN_DOUBT
    assert (await own.submit(claim_ask(nonce="a"))).verdict == ops.IN_DOUBT
    await own.stop()


@pytest.mark.parametrize("settled", [records.DONE, records.RELEASED])
async def test_settled_doubt_stays_settled(settled):
    """A doubt that is told late, or twice, does not undo what was found out."""
    server = fakestore.Server()
    own = await serving(make_owner(server))
    await own.submit(claim_ask(nonce="a"))
    for kind in (records.DOUBTFUL, settled, records.DOUBTFUL):
        await own.submit(outcome_tell(nonce="a", kind=kind))
    await own.stop()
    other = await serving(make_owner(server, "p"))
    reply = await other.submit(claim_ask(nonce="b"))
    wanted = {records.DONE: ops.RECORDED, records.RELEASED: ops.GRANTED}
    assert reply.verdict == wanted[settled]
    await other.stop()


async def test_claim_without_grants_tells_only_of_known_calls():
    server = fakestore.Server()
    own = await serving(make_owner(server))
    look = attrs.evolve(claim_ask(nonce="a"), grants=False)
    assert (await own.submit(look)).verdict == ops.ABSENT
    assert not own.working.calls
    await own.submit(claim_ask(nonce="b"))
    await own.submit(outcome_tell(nonce="b"))
    own.store._failures_in_row = 99
    assert (await own.submit(look)).verdict == ops.RECORDED
    other = attrs.evolve(look, claim=attrs.evolve(look.claim, key="none"))
    assert (await own.submit(other)).verdict == ops.ABSENT
    await own.stop()


async def test_spending_adds_up_over_runs_and_owners():
    """Told twice, told late, told to the next owner: each run counts once."""

    def tell(instance, amount):
        run = records.Run(instance=instance, started=1)
        until = clock.wall_ms() + 60_000
        spend = records.Spend(
            customer="c", window=7, until=until, run=run, amount=amount
        )
        return ops.SpendTell(shard=0, spend=spend)

    server = fakestore.Server()
    own = await serving(make_owner(server))
    for instance, amount in (("a", 1.0), ("b", 2.0), ("a", 1.5), ("a", 1.0)):
        reply = await own.submit(tell(instance, amount))
    assert reply.total == 3.5
    await own.submit(ops.BillsTell(shard=0))
    await own.stop()
    other = await serving(make_owner(server, "p"))
    assert (await other.submit(tell("b", 2.0))).total == 3.5
    assert (await other.submit(tell("c", 1.0))).total == 4.5
    await other.stop()


async def test_released_claim_may_be_granted_again():
    server = fakestore.Server()
    own = await serving(make_owner(server))
    await own.submit(claim_ask(nonce="a"))
    await own.submit(outcome_tell(nonce="a", kind=records.RELEASED))
    assert (await own.submit(claim_ask(nonce="b"))).verdict == ops.GRANTED
    await own.stop()
    other = await serving(make_owner(server, "p"))
    assert (await other.submit(claim_ask(nonce="c"))).verdict == ops.PENDING
    await other.stop()


async def test_new_claim_is_refused_at_once_while_the_store_is_down():
    server = fakestore.Server()
    own = await serving(make_owner(server))
    await own.submit(claim_ask(key="old"))
    await own.submit(outcome_tell(key="old"))
    own.store._failures_in_row = 99
    with pytest.raises(owner.StoreDownError):
        await own.submit(claim_ask(key="new"))
    known = await own.submit(claim_ask(key="old", nonce="x"))
    assert known.verdict == ops.RECORDED
    await own.stop()


async def test_nothing_is_confirmed_while_its_batch_is_being_written():
    """A repeat of a claim whose batch is on its way must wait for that batch."""
    server = fakestore.Server()
    own = await serving(make_owner(server))
    server.is_down = True
    first = asyncio.create_task(own.submit(claim_ask(nonce="a")))
    while not own._is_committing:
        await asyncio.sleep(0.001)
    own.store._failures_in_row = 0
    again = asyncio.create_task(own.submit(claim_ask(nonce="a")))
    barrier = asyncio.create_task(own.submit(ops.BillsTell(shard=0)))
    await asyncio.sleep(0.05)
    assert not (first.done() or again.done() or barrier.done())
    server.is_down = False
    assert (await again).verdict == ops.GRANTED
    assert (await first).verdict == ops.GRANTED
    assert (await barrier).epoch == own.epoch
    await own.stop()


async def test_superseded_owner_drops_what_it_had_not_committed():
    server = fakestore.Server()
    old = await serving(make_owner(server, "old"))
    new = await serving(make_owner(server, "new"))
    assert (await new.submit(claim_ask(nonce="new"))).verdict == ops.GRANTED
    with pytest.raises(owner.NotOwnerError):
        await old.submit(claim_ask(nonce="old"))
    await old.stop()
    await new.stop()


async def test_handed_over_shard_is_marked_released():
    server = fakestore.Server()
    own = await serving(make_owner(server))
    await own.submit(claim_ask())
    await own.hand_over(5.0)
    await own.stop()
    other = await serving(make_owner(server, "p"))
    assert other.was_released
    await other.stop()


async def test_abandoned_bill_is_settled_once(monkeypatch):
    monkeypatch.setattr(owner, "SETTLE_CHECK_S", 0.01)
    own = make_owner(fakestore.Server(), running=lambda run: False)
    own.abandoned.settle_after_s = 0.0
    await serving(own)
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
    await own.submit(ops.BillsTell(shard=0, opens=[opened], closes=[]))
    async with asyncio.timeout(10):
        while not own.journal.committed.closed_bills:
            await asyncio.sleep(0.005)
    await asyncio.sleep(0.05)
    total = own.journal.committed.totals["c\0s\0v\0settled"]
    assert (total.requests, total.cost) == (1, 0.002)
    assert not own.journal.committed.open_bills
    await own.stop()


def close_of(key, at):
    return records.BillClose(
        key=key,
        customer="c",
        service="s",
        version="v",
        state=records.ANSWERED,
        at=at,
        cost=1.0,
    )


async def snapshot_behind(own):
    """Wait until the owner's last batch is covered by a snapshot."""
    async with asyncio.timeout(20):
        while own.journal.loaded.snapshot_seq < own.journal.committed.seq:
            await asyncio.sleep(0.002)


async def test_bill_that_waited_for_long_is_not_counted_again(monkeypatch):
    """An outage longer than bills are kept ends; the next owner hears it again."""
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 1)
    server = fakestore.Server()
    own = await serving(make_owner(server))
    old = clock.wall_ms() - 2 * state.BILL_KEPT_MS
    tell = ops.BillsTell(shard=0, closes=[close_of("b", old)])
    await own.submit(tell)
    await snapshot_behind(own)
    await own.stop()
    other = await serving(make_owner(server, "p"))
    await other.submit(tell)
    assert other.journal.committed.totals["c\0s\0v\0answered"].requests == 1
    await other.stop()


async def test_owner_forgets_what_is_not_kept_any_more(monkeypatch):
    """An owner that serves for days must not remember every bill of them."""
    monkeypatch.setattr(log, "SNAPSHOT_EVERY", 1)
    own = await serving(make_owner(fakestore.Server()))
    await own.submit(ops.BillsTell(shard=0, closes=[close_of("b", clock.wall_ms())]))
    await own.submit(claim_ask())
    for kept in ("BILL_KEPT_MS", "CLAIM_KEPT_MS"):
        monkeypatch.setattr(state, kept, 0)
    await own.submit(outcome_tell())
    await snapshot_behind(own)
    async with asyncio.timeout(20):
        while own.working.closed_bills or own.working.calls:
            await asyncio.sleep(0.002)
    await own.stop()


@attrs.define(kw_only=True)
class Ledger:
    """What callers were told."""

    granted: dict[str, list[str]] = attrs.field(factory=dict)
    done: dict[str, str] = attrs.field(factory=dict)
    told_bills: set[str] = attrs.field(factory=set)


async def churn(seed, plan, check_claims=True):
    """Run calls and bills while owners change at random; return all that was told."""
    server = fakestore.Server(plan)
    draw = random.Random(seed)
    ledger = Ledger()
    owners = [await serving(make_owner(server, f"o{i}")) for i in range(2)]
    tasks = [
        asyncio.create_task(one_call(owners, f"k{draw.randint(0, 9)}", i, ledger))
        for i in range(25)
    ]
    tasks += [
        asyncio.create_task(one_bill(owners, f"b{draw.randint(0, 9)}", ledger))
        for i in range(25)
    ]
    await asyncio.wait_for(asyncio.gather(*tasks), 20)
    for own in owners:
        await own.stop()
    server.late.clear()
    server.plan = fakestore.FaultPlan()
    reader = log.Log(store=fakestore.FakeClient(server), shard=0, run=RUN)
    return ledger, (await reader.load()).unwrap()


async def submit(owners, op):
    """Try the owners in turn until one commits, as an instance would."""
    for attempt in range(2000):
        own = owners[attempt % len(owners)]
        try:
            return await own.submit(op)
        except (owner.NotOwnerError, owner.StoreDownError):
            await asyncio.sleep(0.002)
    raise AssertionError("no owner in 2000 tries")


async def one_call(owners, key, number, ledger):
    nonce = f"n{number}"
    await asyncio.sleep(number * 0.002)
    reply = await submit(owners, claim_ask(key=key, nonce=nonce))
    if reply.verdict != ops.GRANTED:
        return
    ledger.granted.setdefault(key, []).append(nonce)
    await asyncio.sleep(0.002)
    kind = records.RELEASED if number % 3 == 0 else records.DONE
    if kind == records.RELEASED:
        ledger.granted[key].remove(nonce)
    await submit(owners, outcome_tell(key=key, nonce=nonce, kind=kind))
    if kind == records.DONE:
        ledger.done[key] = nonce


async def one_bill(owners, key, ledger):
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
    await submit(owners, ops.BillsTell(shard=0, opens=[], closes=[close]))
    ledger.told_bills.add(key)


def check(ledger, final: state.State):
    for key, nonces in ledger.granted.items():
        assert len(nonces) <= 1, f"{key} was granted to {nonces}"
    for key, nonce in ledger.done.items():
        call = final.calls[key]
        assert call.claim.nonce == nonce
        assert call.outcome.kind == records.DONE
    total = final.totals.get("c\0s\0v\0answered")
    assert (total.requests if total else 0) == len(final.closed_bills)
    assert ledger.told_bills <= set(final.closed_bills)


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


def test_claims_granted_twice_are_caught(monkeypatch):
    """Mutation: a claim is always granted."""

    def decide_claim(working, op, is_running):
        working.calls[op.claim.key] = state.Call(claim=op.claim)
        reply = ops.ClaimReply(verdict=ops.GRANTED, nonce=op.claim.nonce)
        return ops.Decision(reply=reply, writes=[op.claim])

    monkeypatch.setitem(ops.DECIDERS._entries, "claim-ask", decide_claim)
    with pytest.raises(AssertionError):
        check(*asyncio.run(churn(1, MUTANT_PLAN)))


def test_bills_counted_twice_are_caught(monkeypatch):
    """Mutation: a bill that is known is counted again."""

    def close_bill(self, closed, committed_at):
        self.closed_bills[closed.key] = committed_at
        self._add_to_total(closed)
        return True

    monkeypatch.setattr(state.State, "close_bill", close_bill)
    with pytest.raises(AssertionError):
        check(*asyncio.run(churn(1, MUTANT_PLAN)))


def test_reply_before_the_commit_is_caught(monkeypatch):
    """Mutation: outcomes are confirmed before they are committed."""

    def decide_outcome(working, op, is_running):
        writes = [op.outcome] if working.add_outcome(op.outcome) else []
        return ops.Decision(reply=ops.Done(), writes=writes, waits=False)

    monkeypatch.setitem(ops.DECIDERS._entries, "outcome-tell", decide_outcome)
    with pytest.raises((AssertionError, KeyError, AttributeError)):
        for seed in range(30):
            check(*asyncio.run(churn(seed, attrs.evolve(MUTANT_PLAN, seed=seed))))
