"""Escalation by expected worth, with idle and with overloaded upstreams."""

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_gateway.routing import cascade

MIDDLE = cascade.Option(level=1, first_s=0.3, total_s=1.0, prefill_s=0.25, cost=0.5)
LARGEST = cascade.Option(level=2, first_s=0.8, total_s=3.0, prefill_s=0.9, cost=1.0)
WITHOUT_BACKLOG = cascade.CascadeState(
    level=0,
    levels=3,
    confidence=0.2,
    objective_left_s=2.5,
    deadline_left_s=9.0,
    backlog_s=0.1,
    options=(MIDDLE, LARGEST),
)


def chosen_level(**changes):
    return cascade.expected_worth(attrs.evolve(WITHOUT_BACKLOG, **changes))


@pytest.mark.parametrize("confidence", [0.0, 0.2, 0.4])
def test_doubtful_answer_escalates_to_the_largest_model_without_backlog(confidence):
    assert chosen_level(confidence=confidence) == 2


@pytest.mark.parametrize("confidence", [0.65, 0.8, 1.0, None])
def test_confident_answer_is_kept(confidence):
    assert chosen_level(confidence=confidence) is None


def test_model_that_would_miss_the_deadline_is_not_chosen():
    """Guards against escalations that cannot complete in time.

    After the loss of a failure domain, 96 streams were cut at their deadline.
    """
    slow = attrs.evolve(LARGEST, total_s=12.0)
    assert chosen_level(confidence=0.3, options=(MIDDLE, slow)) != 2


def test_backlog_reduces_escalations_to_the_largest_model():
    """Guards against a burst that overloads few upstreams.

    Each prompt that is prefilled again delays all others.
    """
    late = attrs.evolve(LARGEST, first_s=3.4)
    kept_with_backlog = [
        chosen_level(confidence=c / 20, backlog_s=2.5, options=(MIDDLE, late)) != 2
        for c in range(21)
    ]
    kept_without_backlog = [chosen_level(confidence=c / 20) != 2 for c in range(21)]
    assert sum(kept_with_backlog) > sum(kept_without_backlog)
    assert kept_with_backlog == sorted(kept_with_backlog)


@hypothesis.given(
    backlogs=strategies.tuples(strategies.floats(0, 4), strategies.floats(0, 4)),
    confidence=strategies.floats(0, 1),
)
def test_more_backlog_never_escalates_to_a_larger_model(backlogs, confidence):
    levels = [
        chosen_level(backlog_s=b, confidence=confidence) or 0 for b in sorted(backlogs)
    ]
    assert levels[1] <= levels[0]


def kept_share(**changes):
    """Return the share of confidences at which the answer is kept."""
    rows = [chosen_level(confidence=c / 50, **changes) for c in range(51)]
    return sum(row is None for row in rows) / len(rows)


def test_escalations_of_less_urgent_requests_give_way_under_backlog():
    """Guards against escalations of catalogue-quote that made project-review late."""
    shares = [
        kept_share(backlog_s=1.5, delay_factor=factor) for factor in (0.5, 1.0, 2.0)
    ]
    assert shares[0] < shares[1] < shares[2]


def test_priority_does_not_change_escalations_without_backlog():
    shares = {kept_share(delay_factor=factor) for factor in (0.5, 1.0, 2.0)}
    assert len(shares) == 1


@pytest.mark.parametrize(
    ("name", "level"), [("smallest", None), ("largest", 2), ("confident", 2)]
)
def test_policies_without_expected_worth(name, level):
    assert cascade.POLICIES.get(name)(WITHOUT_BACKLOG) == level
