"""Models by expected worth: calm days, and the days on which engines are overloaded."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_gateway.routing import cascade

MIDDLE = cascade.Option(level=1, first_s=0.3, total_s=1.0, prefill_s=0.25, cost=0.5)
LARGEST = cascade.Option(level=2, first_s=0.8, total_s=3.0, prefill_s=0.9, cost=1.0)
CALM = cascade.CascadeState(
    level=0,
    levels=3,
    confidence=0.2,
    objective_left_s=2.5,
    deadline_left_s=9.0,
    backlog_s=0.1,
    options=(MIDDLE, LARGEST),
)


def asked(**changes):
    return cascade.expected_worth(attrs.evolve(CALM, **changes))


@pytest.mark.parametrize("confidence", [0.0, 0.2, 0.4])
def test_doubtful_answer_is_asked_of_the_largest_model_on_a_calm_day(confidence):
    assert asked(confidence=confidence) == 2


@pytest.mark.parametrize("confidence", [0.65, 0.8, 1.0, None])
def test_confident_answer_is_kept(confidence):
    assert asked(confidence=confidence) is None


def test_answer_that_could_not_end_in_time_is_not_asked_for():
    """Engines that lost a failure domain: 96 streams were cut at their deadline."""
    slow = attrs.evolve(LARGEST, total_s=12.0)
    assert asked(confidence=0.3, options=(MIDDLE, slow)) != 2


def test_backlog_keeps_good_enough_answers_away_from_the_largest_model():
    """A burst on few engines: each prompt that is read again delays all others."""
    late = attrs.evolve(LARGEST, first_s=3.4)
    kept = [
        asked(confidence=c / 20, backlog_s=2.5, options=(MIDDLE, late)) != 2
        for c in range(21)
    ]
    calm = [asked(confidence=c / 20) != 2 for c in range(21)]
    assert sum(kept) > sum(calm)
    assert kept == sorted(kept)


@hypothesis.given(
    backlogs=strategies.tuples(strategies.floats(0, 4), strategies.floats(0, 4)),
    confidence=strategies.floats(0, 1),
)
def test_more_backlog_never_asks_for_more_reading(backlogs, confidence):
    levels = [asked(backlog_s=b, confidence=confidence) or 0 for b in sorted(backlogs)]
    assert levels[1] <= levels[0]


@pytest.mark.parametrize(
    ("name", "level"), [("smallest", None), ("largest", 2), ("confident", 2)]
)
def test_baselines(name, level):
    assert cascade.POLICIES.get(name)(CALM) == level
