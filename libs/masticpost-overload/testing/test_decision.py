"""Send, wait or reject, by headroom, slack and deadline."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_overload import decision, demand, returns

# catalogue-quote of Ragione behind project-review.
QUOTE = demand.Demand(
    priority=2,
    objective_s=6.0,
    objective_left_s=6.0,
    deadline_left_s=20.0,
    first_s=1.5,
    total_s=3.0,
    prefill_s=0.3,
)
BUSY = decision.Room(queued_s=1.2, urgent_objective_s=2.0)
positions = strategies.floats(0, 1)


def decide(room=BUSY, **changes):
    return decision.decide(attrs.evolve(QUOTE, **changes), room, 0.5)


def test_less_urgent_prompt_waits_while_its_slack_lasts():
    assert decide() == decision.Wait(wait_s=4.5)


def test_prompt_without_slack_is_sent():
    """Guards against starvation: it never waits beyond its slack."""
    assert decide(objective_left_s=1.0) == decision.Send()


@pytest.mark.parametrize(
    "room",
    [
        decision.Room(queued_s=0.0, urgent_objective_s=0.1),
        decision.Room(queued_s=0.5, urgent_objective_s=2.0),
        decision.Room(queued_s=9.0),
    ],
)
def test_prompt_is_sent_to_an_idle_upstream_and_while_there_is_headroom(room):
    assert decide(room) == decision.Send()


def test_request_that_cannot_meet_its_deadline_is_rejected():
    found = decide(total_s=30.0)
    assert isinstance(found, decision.Reject)
    assert found.retry_after_s <= 20.0 / 3


@hypothesis.given(
    total_s=strategies.floats(0, 100),
    left_s=strategies.floats(0.1, 30),
    freed_s=strategies.floats(-1, 5),
    position=positions,
    priority=strategies.integers(0, 5),
)
def test_callers_return_in_a_third_of_their_time_and_urgent_ones_first(
    total_s, left_s, freed_s, position, priority
):
    """Guards against a Retry-After that callers ignore as too long."""
    row = attrs.evolve(
        QUOTE, priority=priority, total_s=total_s, deadline_left_s=left_s
    )
    later = attrs.evolve(row, priority=priority + 1)
    first_s, second_s = (
        returns.retry_after_s(one, freed_s, position) for one in (row, later)
    )
    assert 0 <= first_s <= second_s <= 1.0001 * left_s / 3


def test_rejected_callers_are_spread():
    """Guards against rejected callers that all return in the same moment."""
    row = attrs.evolve(QUOTE, total_s=21.0)
    rows = [returns.retry_after_s(row, 1.0, n / 10) for n in range(11)]
    assert rows == sorted(set(rows))
    assert max(rows) - min(rows) > 0.2 * min(rows)
