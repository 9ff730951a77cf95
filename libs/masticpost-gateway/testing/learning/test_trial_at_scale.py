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


@pytest.fixture
def make(monkeypatch):
    """Return a maker of fleets with the usual arrivals, in simulated time."""

    def made(**settings):
        monkeypatch.setattr(clock, "now", lambda: 0.0)
        fleet = trialfleet.Fleet(
            rate=lambda age_s: RATE, duration_s=DURATION_S, upstreams=78, **settings
        )
        monkeypatch.setattr(clock, "now", lambda: fleet.now)
        return fleet

    return made


def skew(fleet):
    """Let the callers reach about half of the instances, some far more often."""
    count = len(fleet.weights)
    reached = fleet.fate.sample(range(count), max(3, round(0.56 * count)))
    fleet.weights = [0.0] * count
    for rank, number in enumerate(reached):
        fleet.weights[number] = (rank + 1) ** -0.7


@pytest.mark.parametrize("is_skewed", [False, True], ids=["even", "skewed"])
def test_evidence_does_not_depend_on_the_number_of_instances(make, is_skewed):
    """Guards against a budget split into more parts than requests (EXPOSURE)."""
    tried = []
    for size in (8, 70, 195):
        fleet = make(size=size)
        if is_skewed:
            skew(fleet)
        fleet.run(trialfleet.ORDER_AT + 0.8 * DURATION_S)
        tried.append(fleet.exposed)
    assert min(tried) >= 0.5 * max(tried)


@pytest.mark.parametrize("is_skewed", [False, True], ids=["even", "skewed"])
@pytest.mark.parametrize("size", [8, 70, 195, 400])
def test_bad_version_is_stopped_in_the_first_half(make, size, is_skewed):
    """Guards against evidence that comes only when the deadline is near."""
    fleet = make(size=size, how="errors")
    if is_skewed:
        skew(fleet)
    fleet.run(trialfleet.ORDER_AT + 0.5 * DURATION_S)
    assert fleet.order.state is model.RollOutState.ROLLED_BACK
    assert fleet.worst <= 0.0


@pytest.mark.parametrize("requests", [3, 10])
@pytest.mark.parametrize("size", [8, 70, 195])
def test_session_that_the_version_runs_stays_there(make, size, requests):
    """Guards against sessions that change back for lack of budget (PINNED).

    Up to four changed: after a refusal of budget for a new session, none was asked for
    those that the version ran already.
    """
    fleet = make(size=size)
    fleet.is_sticky, fleet.session_s = True, 6.0
    fleet.session_count = int(RATE * fleet.session_s / requests)
    fleet.run(trialfleet.ORDER_AT + DURATION_S)
    assert fleet.changed == 0
    assert fleet.order.state is COMPLETED
    assert fleet.worst <= 0.0


@pytest.mark.parametrize("lost_share", [0.0, 0.2])
@pytest.mark.parametrize("size", [8, 70, 195])
def test_good_version_is_completed_though_holders_are_killed(make, size, lost_share):
    """Guards against a roll-out that depends on the few that hold its budget."""
    fleet = make(size=size)
    fleet.lost_share = lost_share

    def kill():
        name = fleet.holders_of(fleet.instances[0])[0].name
        fleet.restart([row.name for row in fleet.instances].index(name))

    for second in (4.0, 7.0, 10.0, 13.0):
        fleet.at(trialfleet.ORDER_AT + second, kill)
    fleet.run(trialfleet.ORDER_AT + DURATION_S)
    assert fleet.order.state is COMPLETED
    assert fleet.worst <= 0.0
