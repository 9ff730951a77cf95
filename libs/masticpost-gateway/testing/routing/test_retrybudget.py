"""All instances together stay within the bounds on retries."""

import random

import hypothesis
from hypothesis import strategies
from masticpost_gateway.routing import retrybudget

BOUNDS = retrybudget.Bounds(ratio=0.9, slack=56.0, window_s=10.0)


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    members=strategies.integers(1, 12),
    rate=strategies.floats(1.0, 60.0),
)
@hypothesis.settings(max_examples=40, deadline=None)
def test_every_window_stays_within_the_bounds_when_all_calls_fail(seed, members, rate):
    draw = random.Random(seed)
    budgets = [
        retrybudget.RetryBudget(bounds=BOUNDS, members=lambda: members)
        for _ in range(members)
    ]
    requests, retries = [], []
    now = 0.0
    while now < 25.0:
        now += draw.expovariate(rate)
        budget = draw.choice(budgets)
        budget.record_request("s", now)
        requests.append(now)
        for _ in range(2):
            if budget.may_retry("s", now):
                budget.record_retry("s", now)
                retries.append(now)
    for end in retries:
        start = end - BOUNDS.window_s
        retries_in_window = sum(start < at <= end for at in retries)
        requests_in_window = sum(start < at <= end for at in requests)
        assert retries_in_window <= BOUNDS.ratio * requests_in_window + BOUNDS.slack


def test_escalations_leave_budget_for_retries_after_failures():
    budget = retrybudget.RetryBudget(bounds=BOUNDS, members=lambda: 1)
    for _ in range(100):
        budget.record_request("s", 1.0)
    while budget.may_retry("s", 1.0, is_planned=True):
        budget.record_retry("s", 1.0)
    assert budget.may_retry("s", 1.0)
