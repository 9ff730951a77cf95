"""Which of two statements of an upstream's rate holds."""

import math

import pytest
from masticpost_rates import header, statements, upstreamrates
from support import fakepeers

RUN = statements.run_key("engine-1", 5, "127.0.0.1:1")
NAMED, CHANGED, ENDED = statements.Change


def stated(rate, sent_at, seen_at, told_by="one"):
    return statements.Statement(
        rate=rate, sent_at=sent_at, seen_at=seen_at, told_by=told_by
    )


def merged(*rows):
    found = statements.Statements()
    return found, [found.merge(RUN, row) for row in rows]


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        ((), None),
        (("2.1",), 2.1),
        ((" 100 ",), 100.0),
        (("0.5",), 0.5),
        (("0.001",), 0.001),
    ],
)
def test_decimal_number_is_a_rate(values, rate):
    assert header.parse(values) == rate


@pytest.mark.parametrize(
    "text",
    ["", "0", "0.0", "-1", "+1", "nan", "inf", "-inf", "1e3", "1_0", "0x1", ".5", "5."]
    + ["1,5", "1 2", "\u0661", "9" * 400, "1000001", "0.0000001", "many", "2.1;q=1"],
)
def test_what_is_no_rate_in_range_is_an_error(text):
    with pytest.raises(header.InvalidRateError):
        header.parse((text,))


def test_two_headers_are_no_rate():
    with pytest.raises(header.InvalidRateError):
        header.parse(("2", "3"))


def test_what_is_no_rate_changes_nothing():
    rates = upstreamrates.UpstreamRates(
        peers=fakepeers.FakePeers(name="one"), members=fakepeers.FakeMembers(name="one")
    )
    rates.record_response(RUN, ("2.5",), sent_at=1.0, request_id="a")
    rates.record_response(RUN, ("nan",), sent_at=math.inf, request_id="b")
    assert [row.rate for row in rates.statuses()] == [2.5]


def test_answer_without_a_rate_ends_it():
    found, changes = merged(stated(2.0, 1, 2), stated(None, 3, 4))
    assert changes == [NAMED, ENDED]
    assert not found.limited


def test_answer_to_a_request_from_before_the_rate_does_not_end_it():
    found, changes = merged(stated(2.0, 1, 2), stated(None, 1.5, 4))
    assert changes == [NAMED, None]
    assert found.limited[RUN].rate == 2.0


def test_lower_of_two_rates_in_uncertain_order_holds():
    for rows in (
        (stated(2.0, 1, 4), stated(5.0, 2, 3)),
        (stated(5.0, 2, 3), stated(2.0, 1, 4)),
    ):
        found, _ = merged(*rows)
        assert found.limited[RUN].rate == 2.0


def test_later_statement_raises_the_rate():
    found, changes = merged(stated(2.0, 1, 2), stated(5.0, 3, 4))
    assert changes == [NAMED, CHANGED]
    assert found.limited[RUN].rate == 5.0


def test_statement_that_is_certainly_older_is_dropped():
    found, changes = merged(stated(None, 5, 6), stated(2.0, 7, 8), stated(1.0, 3, 4))
    assert changes == [None, NAMED, None]
    assert found.limited[RUN].rate == 2.0


def test_ended_rate_is_not_revived_by_an_older_statement():
    found, _ = merged(stated(2.0, 1, 2), stated(None, 3, 4), stated(2.0, 1.5, 2.5))
    assert not found.limited


def test_new_run_of_an_upstream_starts_without_a_rate():
    found, _ = merged(stated(2.0, 1, 2))
    new_run = statements.run_key("engine-1", 9, "127.0.0.1:1")
    found.keep_only({new_run})
    assert not found.limited
    assert not found.rows
