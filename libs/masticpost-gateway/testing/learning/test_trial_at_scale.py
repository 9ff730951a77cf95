"""A version on trial is judged on evidence, however many instances share its budget."""

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import trialevidence
from masticpost_gateway.state import model
from support import trialfleet

COMPLETED = model.RollOutState.COMPLETED
# Arrivals of a service of 78 upstreams, in requests per second, and the roll-out that
# met them.
RATE = 104.6
DURATION_S = 16.0
SIZES = ((8, 78), (70, 78), (195, 78))
# Answers below which nothing can be known of a version that fails half of them.
MIN_ANSWERS = 6


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays a roll-out in simulated time to its deadline."""

    def run(*, extra_s=1.0, rate=RATE, **settings):
        now = [0.0]
        monkeypatch.setattr(clock, "now", lambda: now[0])
        fleet = trialfleet.Fleet(
            rate=lambda age_s: rate, duration_s=DURATION_S, **settings
        )
        monkeypatch.setattr(clock, "now", lambda: fleet.now)
        fleet.run(trialfleet.ORDER_AT + DURATION_S + extra_s)
        return fleet

    return run


@pytest.fixture
def answers_at_completion(monkeypatch):
    """Return a list of the answers that each judge had when it wrote `completed`."""
    known = []
    write = trialfleet.Fleet.write_order

    def write_order(fleet, order=None):
        if order is not None and order.state is COMPLETED:
            rows = [row.trials.open.get(trialfleet.SERVICE) for row in fleet.instances]
            known.append(max(_answers(row) for row in rows if row is not None))
        write(fleet, order)

    monkeypatch.setattr(trialfleet.Fleet, "write_order", write_order)
    return known


def _answers(row: trialevidence.Trial) -> int:
    on_trial, _ = row.pooled()
    return on_trial.calls


@pytest.mark.parametrize(("size", "upstreams"), SIZES)
def test_bad_version_is_not_completed_unseen(play, size, upstreams):
    """Guards against a version completed on no evidence with 195 instances (EXPOSURE).

    With 195 instances nobody had budget for a session. Nothing was sent to the version
    until the deadline was near, and then it was completed without an answer.
    """
    fleet = play(size=size, upstreams=upstreams, how="errors")
    assert COMPLETED not in {state for _, state, _ in fleet.states}
    assert fleet.worst <= 0.0


@pytest.mark.parametrize(("size", "upstreams"), SIZES)
def test_good_version_is_completed_in_time_on_evidence(
    play, answers_at_completion, size, upstreams
):
    """Guards against a budget that is split into parts too small to be used."""
    fleet = play(size=size, upstreams=upstreams, how="good", extra_s=0.0)
    assert fleet.order.state is COMPLETED
    assert answers_at_completion[0] >= MIN_ANSWERS
    assert fleet.worst <= 0.0


@pytest.mark.parametrize(("size", "upstreams"), SIZES)
def test_version_that_gets_no_request_is_not_completed(play, size, upstreams):
    """Guards against a version completed for lack of evidence, at any size."""
    fleet = play(size=size, upstreams=upstreams, rate=0.0)
    assert COMPLETED not in {state for _, state, _ in fleet.states}
