"""Which of the requests that were at work on crashed upstreams is to blame."""

import pytest
from masticpost_gateway.learning import crashes

LATER_S = crashes.HEARING_S + 0.01


def crash(run, at=0.0, had_begun=False):
    return crashes.Crash(run=run, at=at, had_begun=had_begun)


def pool(**requests):
    """Return the crashes of requests, each given by the names of the runs."""
    known = crashes.Crashes()
    for fingerprint, runs in requests.items():
        for run in runs:
            known.crashed(fingerprint, crash(run))
    return known


def test_request_is_quarantined_after_three_crashes():
    known = pool(deadly="ab")
    assert not known.judge(LATER_S)
    known.crashed("deadly", crash("c"))
    assert known.judge(LATER_S) == ["deadly"]
    assert known.left_s("deadly", 1.0) == pytest.approx(crashes.KEPT_S - 1.0)


def test_others_are_heard_before_a_request_is_judged():
    known = pool(deadly="abc")
    assert not known.judge(crashes.HEARING_S - 0.01)
    assert known.next_hearing_s(0.0) == pytest.approx(crashes.HEARING_S)


def test_one_crash_that_many_instances_tell_of_counts_once():
    known = pool(beside="aaaa")
    assert known.crashes_of("beside") == 1


def test_requests_that_share_all_crashes_are_not_told_apart_yet():
    known = pool(deadly="abc", beside="abc")
    assert not known.judge(LATER_S)
    known.crashed("deadly", crash("d"))
    assert known.judge(LATER_S) == ["deadly"]


def test_crashes_that_another_request_caused_do_not_count():
    known = pool(deadly="abcd", beside="abc", late="bcd")
    assert known.judge(LATER_S) == ["deadly"]
    known.crashed("beside", crash("e"))
    assert not known.judge(LATER_S)


def test_request_that_had_no_answer_yet_is_more_likely_to_blame():
    """Of those that share its crashes only the deadly one never begins an answer."""
    known = pool(deadly="abc")
    for run in "abc":
        known.crashed("beside", crash(run, had_begun=run == "c"))
    assert known.judge(LATER_S) == ["deadly"]


def test_two_deadly_requests_are_both_quarantined():
    known = pool(one="abc", two="def")
    assert sorted(known.judge(LATER_S)) == ["one", "two"]


def test_requests_that_always_crash_together_are_told_apart_by_one_more_crash():
    known = pool(one="abcde", two="abcde")
    (first,) = known.judge(LATER_S)
    (second,) = {"one", "two"} - {first}
    known.crashed(second, crash("f"))
    assert known.judge(LATER_S) == [second]


@pytest.mark.parametrize("answered_at", [-50.0, 1.0])
def test_whole_answer_to_an_identical_request_clears_it(answered_at):
    """Requests without a body are the same for all that ask so."""
    known = pool(lookup="abc") if answered_at > 0 else crashes.Crashes()
    known.answered("lookup", answered_at)
    for run in "abc":
        known.crashed("lookup", crash(run))
    assert not known.judge(LATER_S)


def test_answer_long_ago_does_not_clear_it():
    known = crashes.Crashes()
    known.answered("deadly", -crashes.ANSWER_VOUCHES_S - 1.0)
    for run in "abc":
        known.crashed("deadly", crash(run))
    assert known.judge(LATER_S) == ["deadly"]


def test_who_has_answered_an_accused_request_says_so():
    known = crashes.Crashes()
    known.answered("lookup", 5.0)
    assert known.accuse("lookup", 6.0) == 5.0
    assert known.accuse("deadly", 6.0) is None
    assert known.answered("deadly", 7.0)


def test_quarantine_ends_and_is_told_once():
    known = crashes.Crashes()
    assert known.quarantine("deadly", 3.0)
    assert not known.quarantine("deadly", 3.0)
    assert known.left_s("deadly", 4.0) > 0
    assert known.left_s("deadly", crashes.KEPT_S + 4.0) == 0
    assert not known.quarantined(crashes.KEPT_S + 4.0)


def test_suspects_and_answers_are_bounded():
    known = crashes.Crashes()
    for number in range(2 * crashes.MAX_SUSPECTS):
        known.crashed(f"request-{number}", crash("a", float(number) / 1000))
        known.answered(f"other-{number}", 0.0)
    assert len(known._suspects) <= crashes.MAX_SUSPECTS
    assert len(known._answered) <= crashes.MAX_ANSWERED
