"""Calls in doubt are resolved only by answers that prove whether they ran."""

import asyncio

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import errors
from masticpost_entry import indoubt
from masticpost_shards import claims, records

ANSWER = records.Answer(status=200, content_type="t", body=b"b")
STATES = strategies.lists(
    strategies.sampled_from(list(indoubt.CallState)), min_size=1, max_size=5
)


@attrs.define(kw_only=True)
class FakePools:
    def of(self, target):
        return ()


@attrs.define(kw_only=True)
class FakeClaims:
    """Records the outcomes that are reported for a call, in order."""

    outcomes: list[str] = attrs.field(factory=list)

    def mark_in_doubt(self, granted):
        self.outcomes.append(records.DOUBTFUL)

    def release(self, granted):
        self.outcomes.append(records.RELEASED)

    async def finish(self, granted, answer, bill):
        assert bill.cost == 2.5
        self.outcomes.append(records.DONE)


@attrs.define(kw_only=True)
class FakeBudgets:
    spent: float = 0.0

    def add(self, customer, cost):
        self.spent += cost


@attrs.define(kw_only=True)
class FakeCluster:
    claims: FakeClaims = attrs.field(factory=FakeClaims)
    budgets: FakeBudgets = attrs.field(factory=FakeBudgets)


@attrs.define(kw_only=True)
class FakeRuntime:
    cluster: FakeCluster = attrs.field(factory=FakeCluster)
    pools: FakePools = attrs.field(factory=FakePools)
    ask_at_once_s: float = 0.3


def make_inquiry(count, final_after_ms=0):
    return records.Inquiry(
        service="crews",
        urls=[f"http://u{i}" for i in range(count)],
        path="/by-key/k",
        idempotency_key="c:k",
        price=2.5,
        final_after_ms=final_after_ms,
    )


def set_answers(monkeypatch, rounds):
    """Have upstreams answer with each round's states, then repeat the last round."""
    left = [list(row) for row in rounds]

    async def query_one(rt, inquiry, up):
        row = left[0]
        state = row.pop(0)
        if not row and len(left) > 1:
            left.pop(0)
        elif not row:
            row.extend(rounds[-1])
        answer = ANSWER if state is indoubt.CallState.RAN else None
        return indoubt.InquiryResult(call_state=state, answer=answer)

    monkeypatch.setattr(indoubt, "_query_one", query_one)


@hypothesis.given(states=STATES)
@hypothesis.settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_call_counts_as_not_seen_only_if_every_upstream_says_so(states, monkeypatch):
    set_answers(monkeypatch, [states])
    result = asyncio.run(
        indoubt.query_upstreams(FakeRuntime(), make_inquiry(len(states)))
    )
    if indoubt.CallState.RAN in states:
        assert result.call_state is indoubt.CallState.RAN
        assert result.answer is ANSWER
    elif set(states) == {indoubt.CallState.NOT_SEEN}:
        assert result.call_state is indoubt.CallState.NOT_SEEN
    else:
        assert result.call_state is indoubt.CallState.NOT_KNOWN


def test_call_without_upstreams_to_query_stays_in_doubt():
    result = asyncio.run(indoubt.query_upstreams(FakeRuntime(), make_inquiry(0)))
    assert result.call_state is indoubt.CallState.NOT_KNOWN


async def resolve(rt, inquiry):
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
    return await indoubt.resolve_while_waiting(rt, granted, inquiry, opened, deadline)


@pytest.fixture(autouse=True)
def short_pause(monkeypatch):
    monkeypatch.setattr(indoubt, "WAITING_FIRST_PAUSE_S", 0.01)


async def test_call_that_ran_is_recorded_and_billed_once(monkeypatch):
    not_seen, ran = indoubt.CallState.NOT_SEEN, indoubt.CallState.RAN
    set_answers(monkeypatch, [[not_seen, not_seen], [not_seen, ran]])
    rt = FakeRuntime()
    assert await resolve(rt, make_inquiry(2, final_after_ms=60_000)) is ANSWER
    assert rt.cluster.claims.outcomes == [records.DOUBTFUL, records.DONE]
    assert rt.cluster.budgets.spent == 2.5


@pytest.mark.parametrize("final_after_ms", [0, 60_000])
async def test_call_stays_in_doubt_before_the_promised_time(
    monkeypatch, final_after_ms
):
    """404 from all upstreams proves nothing without a promised time, or before it."""
    set_answers(monkeypatch, [[indoubt.CallState.NOT_SEEN] * 2])
    rt = FakeRuntime()
    assert await resolve(rt, make_inquiry(2, final_after_ms=final_after_ms)) is None
    assert rt.cluster.claims.outcomes == [records.DOUBTFUL]


async def test_call_that_never_runs_is_released_after_the_promised_time(monkeypatch):
    set_answers(monkeypatch, [[indoubt.CallState.NOT_SEEN] * 2])
    rt = FakeRuntime()
    with pytest.raises(errors.RefusalError) as caught:
        await resolve(rt, make_inquiry(2, final_after_ms=50))
    assert caught.value.refusal.ran == errors.RAN_NO
    assert caught.value.refusal.retry_after_s
    assert rt.cluster.claims.outcomes == [records.DOUBTFUL, records.RELEASED]
