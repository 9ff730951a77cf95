"""Which of the requests that were at work on crashed upstreams is to blame."""

import pytest
from masticpost_gateway.learning import crashes

LATER_S = crashes.VERDICT_DELAY_S + 0.01


def crash(run, at=0.0, had_begun=False):
    return crashes.Crash(run=run, at=at, had_begun=had_begun)


def pool(**requests):
    """Return the crashes of requests, each given by the names of the runs."""
    tracker = crashes.CrashTracker()
    for fingerprint, runs in requests.items():
        for run in runs:
            tracker.record_crash(fingerprint, crash(run))
    return tracker


def test_request_is_quarantined_after_three_crashes():
    tracker = pool(deadly="ab")
    assert not tracker.judge(LATER_S)
    tracker.record_crash("deadly", crash("c"))
    assert tracker.judge(LATER_S) == ["deadly"]
    assert tracker.quarantine_left_s("deadly", 1.0) == pytest.approx(
        crashes.RETENTION_S - 1.0
    )


def test_others_are_heard_before_a_request_is_judged():
    tracker = pool(deadly="abc")
    assert not tracker.judge(crashes.VERDICT_DELAY_S - 0.01)
    assert tracker.next_verdict_s(0.0) == pytest.approx(crashes.VERDICT_DELAY_S)


def test_one_crash_that_many_instances_tell_of_counts_once():
    tracker = pool(beside="aaaa")
    assert tracker.crash_count("beside") == 1


def test_requests_that_share_all_crashes_are_not_told_apart_yet():
    tracker = pool(deadly="abc", beside="abc")
    assert not tracker.judge(LATER_S)
    tracker.record_crash("deadly", crash("d"))
    assert tracker.judge(LATER_S) == ["deadly"]


def test_crashes_that_another_request_caused_do_not_count():
    tracker = pool(deadly="abcd", beside="abc", late="bcd")
    assert tracker.judge(LATER_S) == ["deadly"]
    tracker.record_crash("beside", crash("e"))
    assert not tracker.judge(LATER_S)


def test_request_that_had_no_answer_yet_is_more_likely_to_blame():
    """Of those that share its crashes only the deadly one never begins an answer."""
    tracker = pool(deadly="abc")
    for run in "abc":
        tracker.record_crash("beside", crash(run, had_begun=run == "c"))
    assert tracker.judge(LATER_S) == ["deadly"]


def test_two_deadly_requests_are_both_quarantined():
    tracker = pool(one="abc", two="def")
    assert sorted(tracker.judge(LATER_S)) == ["one", "two"]


def test_requests_that_always_crash_together_are_told_apart_by_one_more_crash():
    tracker = pool(one="abcde", two="abcde")
    (first,) = tracker.judge(LATER_S)
    (second,) = {"one", "two"} - {first}
    tracker.record_crash(second, crash("f"))
    assert tracker.judge(LATER_S) == [second]


@pytest.mark.parametrize("answered_at", [-50.0, 1.0])
def test_whole_answer_to_an_identical_request_clears_it(answered_at):
    """Requests without a body are the same for all that ask so."""
    tracker = pool(lookup="abc") if answered_at > 0 else crashes.CrashTracker()
    tracker.record_answer("lookup", answered_at)
    for run in "abc":
        tracker.record_crash("lookup", crash(run))
    assert not tracker.judge(LATER_S)


def test_answer_long_ago_does_not_clear_it():
    tracker = crashes.CrashTracker()
    tracker.record_answer("deadly", -crashes.ANSWER_CLEARS_S - 1.0)
    for run in "abc":
        tracker.record_crash("deadly", crash(run))
    assert tracker.judge(LATER_S) == ["deadly"]


def test_who_has_answered_an_accused_request_says_so():
    tracker = crashes.CrashTracker()
    tracker.record_answer("lookup", 5.0)
    assert tracker.accuse("lookup", 6.0) == 5.0
    assert tracker.accuse("deadly", 6.0) is None
    assert tracker.record_answer("deadly", 7.0)


def test_quarantine_ends_and_is_told_once():
    tracker = crashes.CrashTracker()
    assert tracker.quarantine("deadly", 3.0)
    assert not tracker.quarantine("deadly", 3.0)
    assert tracker.quarantine_left_s("deadly", 4.0) > 0
    assert tracker.quarantine_left_s("deadly", crashes.RETENTION_S + 4.0) == 0
    assert not tracker.quarantined(crashes.RETENTION_S + 4.0)


def test_suspects_and_answers_are_bounded():
    tracker = crashes.CrashTracker()
    for number in range(2 * crashes.MAX_SUSPECTS):
        tracker.record_crash(f"request-{number}", crash("a", float(number) / 1000))
        tracker.record_answer(f"other-{number}", 0.0)
    assert len(tracker._suspects) <= crashes.MAX_SUSPECTS
    assert len(tracker._answered_at) <= crashes.MAX_ANSWERED
