"""Rejection of what cannot meet its deadline, and when callers return."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_overload import decision, demand, draining, returns, shares

# A request of the kind catalogue-quote, see docs/hard-load.md.
QUOTE = demand.Demand(
    priority=2,
    objective_s=6.0,
    objective_left_s=6.0,
    deadline_left_s=20.0,
    first_s=1.5,
    total_s=3.0,
)
positions = strategies.floats(0, 1)


def decide(**changes):
    return decision.decide(attrs.evolve(QUOTE, **changes), 1.0, 0.5)


@pytest.mark.parametrize("total_s", [0.0, 19.0, 24.0])
def test_request_that_may_meet_its_deadline_is_sent(total_s):
    """Guards against requests lost to an estimate that is a little too high."""
    assert decide(total_s=total_s) == decision.Send()


def test_request_that_cannot_meet_its_deadline_is_rejected():
    found = decide(total_s=30.0)
    assert isinstance(found, decision.Reject)
    assert found.retry_after_s <= 20.0 / 3


@hypothesis.given(
    total_s=strategies.floats(0, 100),
    left_s=strategies.floats(0.1, 30),
    drain_rate=strategies.floats(-1, 5),
    position=positions,
    priority=strategies.integers(0, 5),
)
def test_callers_return_in_a_third_of_their_time_and_urgent_ones_first(
    total_s, left_s, drain_rate, position, priority
):
    """Guards against a Retry-After that callers ignore as too long."""
    row = attrs.evolve(
        QUOTE, priority=priority, total_s=total_s, deadline_left_s=left_s
    )
    later = attrs.evolve(row, priority=priority + 1)
    first_s, second_s = (
        returns.retry_after_s(one, drain_rate, position) for one in (row, later)
    )
    assert 0 <= first_s <= second_s <= 1.0001 * left_s / 3


def test_rejected_callers_are_spread():
    """Guards against rejected callers that all return in the same moment."""
    row = attrs.evolve(QUOTE, total_s=21.0)
    rows = [returns.retry_after_s(row, 1.0, n / 10) for n in range(11)]
    assert rows == sorted(set(rows))
    assert max(rows) - min(rows) > 0.2 * min(rows)


@pytest.mark.parametrize(
    ("backlogs", "sign"),
    [([20, 18, 16, 14], 1), ([20, 22, 24, 26], -1), ([20, 20, 20, 20], 0)],
)
def test_rate_follows_the_backlog(backlogs, sign):
    drain = draining.Drain()
    for second in range(40):
        backlog_s = backlogs[0] + second * (backlogs[1] - backlogs[0])
        drain.record(backlog_s, float(second))
    assert drain.rate == pytest.approx(2 * sign, abs=0.01)


def test_old_backlog_does_not_count():
    drain = draining.Drain()
    drain.record(20.0, 0.0)
    drain.record(90.0, 60.0)
    assert drain.rate == draining.INITIAL_RATE


def test_customer_with_more_work_is_over_its_share():
    """Guards against one customer of 24 that takes the engines with long prompts.

    It sends a tenth of the requests of the others, each with fifty times the work.
    """
    found = shares.Shares()
    for second in range(100):
        for number in range(23):
            found.record(f"small-{number}", 0.02, float(second))
        if not second % 10:
            found.record("large", 1.0, float(second))
    assert found.is_over("large", 100.0)
    assert not any(found.is_over(f"small-{number}", 100.0) for number in range(23))


def test_single_customer_is_never_over_its_share():
    found = shares.Shares()
    found.record("one", 5.0, 1.0)
    assert not found.is_over("one", 1.0)
    assert not found.is_over("other", 1.0)


def test_work_of_a_customer_is_forgotten():
    found = shares.Shares()
    found.record("large", 100.0, 0.0)
    for second in range(90):
        found.record("small", 1.0, float(second))
        found.record("other", 1.0, float(second))
    assert not found.is_over("large", 90.0)
