"""Urgency sent to upstreams: priority first, then slack."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_overload import classes, demand, urgency

# Priorities of project-review, glazing-advice and catalogue-quote.
RAGIONE = classes.Classes.of([0, 1, 2])
seconds = strategies.floats(-30, 30)
demands = strategies.builds(
    demand.Demand,
    priority=strategies.integers(0, 2),
    objective_s=strategies.floats(0.1, 10),
    objective_left_s=seconds,
    deadline_left_s=seconds,
    first_s=strategies.floats(0, 30),
    total_s=strategies.floats(0, 30),
    has_begun=strategies.booleans(),
)
REVIEW = demand.Demand(
    priority=0, objective_s=2.0, objective_left_s=2.0, deadline_left_s=10.0
)


@hypothesis.given(rows=strategies.tuples(demands, demands))
def test_less_urgent_priority_never_overtakes_a_more_urgent_one(rows):
    """Guards against least urgent requests first: project-review was late (p90 2.9 s).

    catalogue-quote, the least urgent kind, met its objective of 6 s meanwhile.
    """
    first, second = sorted(rows, key=lambda row: row.priority)
    ranks = [urgency.rank(row, RAGIONE) for row in (first, second)]
    assert all(0 <= rank <= 9 for rank in ranks)
    if first.priority < second.priority:
        assert ranks[0] < ranks[1]


def test_less_slack_ranks_first_within_a_priority():
    ranks = [
        urgency.rank(attrs.evolve(REVIEW, first_s=first_s), RAGIONE)
        for first_s in (0.1, 0.9, 1.1, 1.9)
    ]
    assert ranks == [1, 1, 0, 0]


def test_request_that_is_late_yields_to_one_that_can_be_on_time():
    late = attrs.evolve(REVIEW, objective_left_s=-1.0, total_s=1.0)
    tight = attrs.evolve(REVIEW, first_s=1.8)
    assert urgency.rank(late, RAGIONE) > urgency.rank(tight, RAGIONE)


def test_begun_stream_ranks_first_of_its_priority():
    """Guards against a gap in a stream that is resumed behind new requests."""
    assert urgency.rank(attrs.evolve(REVIEW, has_begun=True), RAGIONE) == 0


@pytest.mark.parametrize(
    ("priority", "factor"), [(0, 0.5), (1, 1.0), (2, 2.0), (7, 2.0), (-1, 0.5)]
)
def test_delay_of_others_costs_more_for_less_urgent_requests(priority, factor):
    assert RAGIONE.delay_factor(priority) == pytest.approx(factor)


@hypothesis.given(row=demands)
def test_customer_over_its_share_ranks_one_lower_within_its_priority(row):
    """Guards against starvation of a customer, and of less urgent requests."""
    own, yielding = (urgency.rank(row, RAGIONE, yields=y) for y in (False, True))
    assert yielding == own + 1
    assert yielding // 3 == own // 3


def test_routes_of_one_priority_are_not_ranked():
    assert classes.Classes.of([2, 2]) is None
