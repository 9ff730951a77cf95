"""Which part of a rate an instance may grant, and what peers may tell it."""

import math

import pytest
from masticpost_common import clock
from masticpost_rates import granting, permits, statements, upstreamrates, wire
from support import fakepeers

RUN = statements.run_key("engine-1")
URGENT = granting.Demand(priority=0)


def make_rates(*, count=1, expected=None, seeds=1, name="one"):
    members = fakepeers.FakeMembers(name=name, count=count, expected=expected)
    return upstreamrates.UpstreamRates(
        peers=fakepeers.FakePeers(name=name), members=members, seeds=seeds
    )


def row_of(**changes):
    fields = {
        "run": RUN,
        "rate": 2.0,
        "sent_age_s": 1.0,
        "seen_age_s": 0.5,
        "told_by": "two",
    }
    return wire.RateRow(**{**fields, **changes})


# Guards against cut-off instances that all grant the whole rate, each on its side.
@pytest.mark.parametrize(
    "sides", [(8,), (7, 1), (5, 3), (4, 4), (2, 2, 2, 2), (1,) * 8]
)
def test_granters_on_all_sides_of_a_cut_stay_below_the_bound(sides):
    shares = [
        make_rates(count=count, expected=sum(sides)).permits._share() for count in sides
    ]
    assert sum(shares) <= 1.3
    if sides[0] > sum(sides) / 2:
        assert shares[0] == 1.0


def test_instance_that_has_not_found_the_others_yet_grants_a_part_only():
    assert make_rates(seeds=3).permits._share() < 0.5


def test_single_instance_grants_the_whole_rate():
    assert make_rates().permits._share() == 1.0


@pytest.mark.parametrize(
    "changes",
    [
        {"rate": math.nan},
        {"rate": math.inf},
        {"rate": -1.0},
        {"rate": 0.0},
        {"rate": 1e300},
        {"sent_age_s": math.nan},
        {"sent_age_s": math.inf},
        {"seen_age_s": -5.0},
        {"sent_age_s": 0.1, "seen_age_s": 0.5},
    ],
)
def test_values_of_a_peer_that_cannot_be_are_ignored(changes):
    rates = make_rates()
    rates.telling.learn_from_peer(row_of(**changes))
    assert not rates.statements.rows


def test_reply_with_a_time_that_cannot_be_is_no_decision():
    reply = wire.PermitReply(
        is_granted=False,
        permit_in_s=math.nan,
        turn_in_s=-1.0,
        return_in_s=0.0,
        row=row_of(),
    )
    assert wire.to_decision(reply) is None


async def test_permit_is_not_valid_after_a_pause(monkeypatch):
    rates = make_rates()
    rates.record_response(RUN, ("50",), sent_at=clock.now(), request_id="a")
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now + 1.0)
    permit = await rates.acquire(RUN, URGENT)
    assert isinstance(permit, permits.Permit)
    assert permit.is_valid()
    monkeypatch.setattr(clock, "now", lambda: now + 4.0)
    assert not permit.is_valid()


async def test_new_granter_waits_for_the_permits_of_the_one_before(monkeypatch):
    now = clock.now()
    rates = make_rates()
    rates.record_response(RUN, ("50",), sent_at=now, request_id="a")
    rates.permits._granters.clear()
    assert isinstance(await rates.acquire(RUN, URGENT), upstreamrates.Hold)
    later = now + permits.TAKEOVER_WAIT_S + 1.0
    monkeypatch.setattr(clock, "now", lambda: later)
    assert isinstance(await rates.acquire(RUN, URGENT), permits.Permit)
