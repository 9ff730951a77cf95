"""Loans of budget for a version on trial: enough for a request, and never made up."""

import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import clock
from masticpost_gateway.learning import budgetneeds, exposure, trialevidence
from masticpost_gateway.state import model
from support import trialfleet

BEGIN, GO_ON = budgetneeds.Purpose.BEGIN, budgetneeds.Purpose.GO_ON
ORDER = model.RollOut(service="s", target="v2", duration_s=16.0)
BOUNDS = exposure.Bounds(share=0.12, slack=30.0)
KINDS = ("restart", "join", "leave", "cut", "heal", "freeze", "thaw", "lose", "keep")
PLAYED_S = 12.0


def row(**settings):
    budget = exposure.Budget(bounds=BOUNDS, **settings)
    return trialevidence.Trial(order=ORDER, since=0.0, budget=budget)


@hypothesis.given(
    total=strategies.integers(0, 8),
    parts=strategies.lists(strategies.floats(0.0, 0.9), max_size=6),
    purpose=strategies.sampled_from((BEGIN, GO_ON)),
)
def test_loan_is_enough_for_a_request(total, parts, purpose):
    """Guards against a loan that is short of one request by a rounding error."""
    borrower = row(total=total, slack=30.0 / 195)
    for part in parts:
        borrower.budget.received += part
        borrower.budget.give(part, kept=0.0)
    holder = row(slack=40.0, is_holder=True)
    wanted = budgetneeds.missing(borrower, purpose, 1.0)
    borrower.budget.borrow(budgetneeds.lend(holder, wanted, purpose, 1.0), 1.0)
    assert not budgetneeds.missing(borrower, purpose, 1.0)
    assert borrower.budget.allows_session


def test_holder_keeps_the_last_requests_for_sessions_that_it_began():
    """Guards against sessions that change back for lack of budget (PINNED)."""
    holder = row(slack=6.0, is_holder=True)
    began = [budgetneeds.lend(holder, 1.0, BEGIN, 1.0) for _ in range(6)]
    assert sum(began) == 6.0 - budgetneeds.MAX_RESERVE
    assert budgetneeds.lend(holder, 1.0, GO_ON, 1.0) == 1.0
    later = 1.0 + holder.budget.session_s + 0.1
    assert budgetneeds.lend(holder, 1.0, BEGIN, later) == 1.0


def test_nothing_is_reserved_while_all_requests_go_to_the_version():
    """Guards against a reserve that hinders the last seconds before `completed`."""
    holder = row(slack=4.0, total=400, is_holder=True)
    assert budgetneeds.lend(holder, 1.0, BEGIN, 8.0) == 1.0
    while budgetneeds.lend(holder, 1.0, BEGIN, 8.0):
        pass
    assert holder.budget.left() > 10.0
    holder.wide_since = 13.0
    while budgetneeds.lend(holder, 1.0, BEGIN, 13.0):
        pass
    assert holder.budget.left() < 1.0


@pytest.fixture
def make(monkeypatch):
    """Return a maker of fleets, whose time is that of the gateway's modules."""

    def made(**settings):
        monkeypatch.setattr(clock, "now", lambda: 0.0)
        fleet = trialfleet.Fleet(**settings)
        monkeypatch.setattr(clock, "now", lambda: fleet.now)
        return fleet

    return made


def happen(fleet, kind, number):
    """Let something happen to an instance or a message of a fleet."""
    number %= len(fleet.instances)
    if kind in ("restart", "leave"):
        if kind == "restart" or len(fleet.instances) > 2:
            getattr(fleet, kind)(number)
    elif kind == "join":
        fleet.join()
    elif kind in ("cut", "heal"):
        for instance in fleet.instances[: number + 1]:
            instance.side = int(kind == "cut")
    elif kind in ("freeze", "thaw"):
        fleet.instances[number].is_frozen = kind == "freeze"
        fleet.deliver(fleet.instances[number])
    else:
        fleet.lost_share = 0.5 if kind == "lose" else 0.0


@hypothesis.settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    seed=strategies.integers(0, 1000),
    size=strategies.sampled_from((2, 5, 12)),
    how=strategies.sampled_from(("good", "under_load")),
    events=strategies.lists(
        strategies.tuples(
            strategies.floats(trialfleet.ORDER_AT, trialfleet.ORDER_AT + PLAYED_S),
            strategies.sampled_from(KINDS),
            strategies.integers(0, 11),
        ),
        max_size=12,
    ),
)
def test_bound_holds_whatever_happens(make, seed, size, how, events):
    """Guards against budget that is made up or spent twice (EXPOSURE).

    Budget is passed on among restarts, joins, leaves, cuts and lost messages.
    """
    fleet = make(
        size=size, rate=lambda age_s: 30.0, how=how, duration_s=PLAYED_S, seed=seed
    )
    for when, kind, number in events:
        fleet.at(when, lambda kind=kind, number=number: happen(fleet, kind, number))
    fleet.run(trialfleet.ORDER_AT + PLAYED_S)
    assert fleet.worst <= 0.0
    assert fleet.excess() <= 0.0
