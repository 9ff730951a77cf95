"""What upstreams say of a call is believed only as far as it proves something."""

import asyncio

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import errors
from masticpost_entry import doubts
from masticpost_shards import claims, records

ANSWER = records.Answer(status=200, content_type="t", body=b"b")
STATES = strategies.lists(
    strategies.sampled_from(list(doubts.CallState)), min_size=1, max_size=5
)


@attrs.define(kw_only=True)
class FakePools:
    def of(self, target):
        return ()


@attrs.define(kw_only=True)
class FakeClaims:
    """Keeps what was told of a call, in order."""

    told: list[str] = attrs.field(factory=list)

    def mark_in_doubt(self, granted):
        self.told.append(records.DOUBTFUL)

    def release(self, granted):
        self.told.append(records.RELEASED)

    async def finish(self, granted, answer, bill):
        assert bill.cost == 2.5
        self.told.append(records.DONE)


@attrs.define(kw_only=True)
class FakeBudgets:
    spent: float = 0.0

    def add(self, customer, cost):
        self.spent += cost


@attrs.define(kw_only=True)
class FakeAgreed:
    claims: FakeClaims = attrs.field(factory=FakeClaims)
    budgets: FakeBudgets = attrs.field(factory=FakeBudgets)


@attrs.define(kw_only=True)
class FakeRuntime:
    agreed: FakeAgreed = attrs.field(factory=FakeAgreed)
    pools: FakePools = attrs.field(factory=FakePools)
    ask_at_once_s: float = 0.3


def inquiry(count, final_after_ms=0):
    return records.Inquiry(
        service="crews",
        urls=[f"http://u{i}" for i in range(count)],
        path="/by-key/k",
        idempotency_key="c:k",
        price=2.5,
        final_after_ms=final_after_ms,
    )


def answering(monkeypatch, rounds):
    """Have upstreams answer with a round's states, the last round for good."""
    left = [list(row) for row in rounds]

    async def ask_one(rt, asked, up):
        row = left[0]
        state = row.pop(0)
        if not row and len(left) > 1:
            left.pop(0)
        elif not row:
            row.extend(rounds[-1])
        answer = ANSWER if state is doubts.CallState.RAN else None
        return doubts.Told(call_state=state, answer=answer)

    monkeypatch.setattr(doubts, "_ask_one", ask_one)


@hypothesis.given(states=STATES)
@hypothesis.settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_only_all_upstreams_together_can_say_that_a_call_was_not_seen(
    states, monkeypatch
):
    answering(monkeypatch, [states])
    told = asyncio.run(doubts.ask(FakeRuntime(), inquiry(len(states))))
    if doubts.CallState.RAN in states:
        assert told.call_state is doubts.CallState.RAN
        assert told.answer is ANSWER
    elif set(states) == {doubts.CallState.NOT_SEEN}:
        assert told.call_state is doubts.CallState.NOT_SEEN
    else:
        assert told.call_state is doubts.CallState.NOT_KNOWN


def test_call_that_nobody_can_be_asked_about_stays_in_doubt():
    told = asyncio.run(doubts.ask(FakeRuntime(), inquiry(0)))
    assert told.call_state is doubts.CallState.NOT_KNOWN


async def settle(rt, asked):
    opened = records.BillOpen(
        key="k",
        customer="c",
        service="crews",
        version="",
        run=records.Run(instance="i", started=1),
        at=1,
    )
    granted = claims.Granted(key="k", nonce="n")
    deadline = asyncio.get_running_loop().time() + 60.0
    return await doubts.settle_at_once(rt, granted, asked, opened, deadline)


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(doubts, "AT_ONCE_PAUSE_S", 0.01)


async def test_call_that_ran_is_recorded_and_counted_once(monkeypatch):
    not_seen, ran = doubts.CallState.NOT_SEEN, doubts.CallState.RAN
    answering(monkeypatch, [[not_seen, not_seen], [not_seen, ran]])
    rt = FakeRuntime()
    assert await settle(rt, inquiry(2, final_after_ms=60_000)) is ANSWER
    assert rt.agreed.claims.told == [records.DOUBTFUL, records.DONE]
    assert rt.agreed.budgets.spent == 2.5


@pytest.mark.parametrize("final_after_ms", [0, 60_000])
async def test_call_is_not_given_up_before_the_promise(monkeypatch, final_after_ms):
    """Without a promise, or before it, 404 from everybody proves nothing."""
    answering(monkeypatch, [[doubts.CallState.NOT_SEEN] * 2])
    rt = FakeRuntime()
    assert await settle(rt, inquiry(2, final_after_ms=final_after_ms)) is None
    assert rt.agreed.claims.told == [records.DOUBTFUL]


async def test_call_that_never_runs_is_released_after_the_promise(monkeypatch):
    answering(monkeypatch, [[doubts.CallState.NOT_SEEN] * 2])
    rt = FakeRuntime()
    with pytest.raises(errors.RefusalError) as caught:
        await settle(rt, inquiry(2, final_after_ms=50))
    assert caught.value.refusal.ran == errors.RAN_NO
    assert caught.value.refusal.retry_after_s
    assert rt.agreed.claims.told == [records.DOUBTFUL, records.RELEASED]
