"""Permits of one upstream: their number, and who gets them first."""

import pytest
from masticpost_rates import granting


def demand(priority=1, place="", wait_s=0.0):
    return granting.Demand(priority=priority, place=place, wait_s=wait_s)


@pytest.mark.parametrize("rate", [0.001, 0.5, 1, 30, 1000])
def test_idle_time_saves_up_few_permits(rate):
    granter = granting.Granter(starts_at=0.0)
    granted = 0
    while granter.decide(demand(), rate, 1e9).is_granted:
        granted += 1
    assert granted <= granting.BURST + granting.BURST_S * rate


def test_nothing_is_granted_before_the_start():
    granter = granting.Granter(starts_at=10.0)
    assert not granter.decide(demand(), 5.0, 9.9).is_granted
    assert not granter.decide(demand(), 5.0, 10.1).is_granted
    assert granter.decide(demand(), 5.0, 10.3).is_granted


def test_clock_that_goes_back_grants_nothing():
    granter = granting.Granter(starts_at=10.0)
    assert granter.decide(demand(), 1.0, 11.0).is_granted
    assert not granter.decide(demand(), 1.0, 5.0).is_granted
    assert not granter.decide(demand(), 1.0, 11.5).is_granted


def test_waiting_request_gets_the_permit_before_one_that_comes_later():
    granter = granting.Granter(starts_at=0.0)
    first = granter.decide(demand(place="a", wait_s=5.0), 1.0, 0.5)
    assert first.turn_in_s == pytest.approx(0.5)
    assert not granter.decide(demand(), 1.0, 1.0).is_granted
    assert granter.decide(demand(place="a", wait_s=5.0), 1.0, 1.0).is_granted


def test_more_urgent_request_goes_before_waiting_ones():
    granter = granting.Granter(starts_at=0.0)
    granter.decide(demand(priority=3, place="a", wait_s=5.0), 1.0, 0.5)
    assert granter.decide(demand(priority=0), 1.0, 1.0).is_granted
    assert not granter.decide(
        demand(priority=3, place="a", wait_s=5.0), 1.0, 1.0
    ).is_granted


def test_request_that_cannot_wait_so_long_keeps_no_place():
    granter = granting.Granter(starts_at=0.0)
    for number in range(10):
        granter.decide(demand(place=str(number), wait_s=0.1), 1.0, 0.0)
    assert granter.decide(demand(), 1.0, 1.0).is_granted


def test_place_of_a_request_that_does_not_come_back_expires():
    granter = granting.Granter(starts_at=0.0)
    granter.decide(demand(place="gone", wait_s=5.0), 1.0, 0.5)
    after = 1.0 + 2 * granting.PLACE_GRACE_S
    assert granter.decide(demand(), 1.0, after).is_granted


def test_rejected_callers_are_told_to_return_one_per_permit():
    granter = granting.Granter(starts_at=0.0)
    rows = [granter.decide(demand(place=str(n)), 2.0, 0.0) for n in range(5)]
    assert [row.return_in_s for row in rows] == pytest.approx([0.5, 1, 1.5, 2, 2.5])


def test_rejected_callers_are_not_sent_away_for_longer_than_the_most():
    granter = granting.Granter(starts_at=0.0)
    rows = [granter.decide(demand(place=str(n)), 0.01, 0.0) for n in range(5)]
    assert all(row.return_in_s <= granting.MAX_RETURN_S for row in rows)
