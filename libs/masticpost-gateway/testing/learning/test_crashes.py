"""Finds the requests that caused crashes among those running on the upstreams."""

import pytest
from masticpost_gateway.learning import causes, crashes, quarantine

AFTER_DELAY_S = crashes.VERDICT_DELAY_S + 0.01


def crash(request, run, at=0.0, **fields):
    return causes.Crash(request=request, run=run, at=at, **fields)


def tracker_of(**requests):
    """Return a tracker with the crashes of requests, given by the names of the runs."""
    tracker = crashes.CrashTracker()
    for fingerprint, runs in requests.items():
        for run in runs:
            tracker.record_crash(crash(fingerprint, run))
    return tracker


def test_request_is_quarantined_after_three_crashes():
    tracker = tracker_of(deadly="ab")
    assert not tracker.judge(AFTER_DELAY_S)
    tracker.record_crash(crash("deadly", "c"))
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]
    assert tracker.quarantines_of(["deadly"], crashes.RETENTION_S - 1.0)
    assert not tracker.quarantines_of(["deadly"], crashes.RETENTION_S + 1.0)


def test_verdict_waits_for_the_reports_of_other_instances():
    tracker = tracker_of(deadly="abc")
    assert not tracker.judge(crashes.VERDICT_DELAY_S - 0.01)
    assert tracker.next_verdict_s(0.0) == pytest.approx(crashes.VERDICT_DELAY_S)


def test_crash_reported_by_many_instances_counts_once():
    tracker = tracker_of(bystander="aaaa")
    assert tracker.crash_count("bystander") == 1


def test_requests_with_the_same_crashes_are_not_quarantined_yet():
    tracker = tracker_of(deadly="abc", bystander="abc")
    assert not tracker.judge(AFTER_DELAY_S)
    tracker.record_crash(crash("deadly", "d"))
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]


def test_crashes_explained_by_a_quarantined_request_do_not_count():
    tracker = tracker_of(deadly="abcd", bystander="abc", late="bcd")
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]
    tracker.record_crash(crash("bystander", "e"))
    assert not tracker.judge(AFTER_DELAY_S)


def test_request_without_an_answer_under_way_is_more_likely_the_cause():
    """Of requests with the same crashes only the deadly one never gets on."""
    tracker = tracker_of(deadly="abc")
    for run in "abc":
        row = crash("bystander", run, had_begun=True, had_survived=run == "c")
        tracker.record_crash(row)
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]


def test_request_whose_answer_just_began_each_time_is_more_likely_the_cause():
    tracker = tracker_of(bystander="abc")
    for run in "abc":
        tracker.record_crash(crash("deadly", run, had_begun=True))
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]


def test_two_deadly_requests_are_both_quarantined():
    tracker = tracker_of(one="abc", two="def")
    assert sorted(tracker.judge(AFTER_DELAY_S)) == ["one", "two"]


def test_one_more_crash_separates_requests_that_always_crash_together():
    tracker = tracker_of(one="abcde", two="abcde")
    (first,) = tracker.judge(crashes.RIVAL_DELAY_S)
    (second,) = {"one", "two"} - {first}
    tracker.record_crash(crash(second, "f"))
    assert tracker.judge(crashes.RIVAL_DELAY_S) == [second]


def test_rival_may_be_cleared_before_conclusive_crashes_decide():
    """Guards against blaming what is answered once an upstream is back."""
    tracker = tracker_of(deadly="abcde", bystander="abcde")
    assert not tracker.judge(AFTER_DELAY_S)
    tracker.record_answer("bystander", 1.0)
    assert tracker.judge(1.0) == ["deadly"]


@pytest.mark.parametrize("answered_at", [-50.0, 1.0])
def test_complete_answer_to_an_identical_request_clears_it(answered_at):
    """Requests without a body have the same fingerprint for all callers."""
    tracker = tracker_of(lookup="abc") if answered_at > 0 else crashes.CrashTracker()
    tracker.record_answer("lookup", answered_at)
    for run in "abc":
        tracker.record_crash(crash("lookup", run))
    assert not tracker.judge(AFTER_DELAY_S)


def test_old_answer_does_not_clear_a_request():
    tracker = crashes.CrashTracker()
    tracker.record_answer("deadly", -crashes.ANSWER_CLEARS_S - 1.0)
    for run in "abc":
        tracker.record_crash(crash("deadly", run))
    assert tracker.judge(AFTER_DELAY_S) == ["deadly"]


def test_accusing_an_answered_request_returns_the_time_of_its_answer():
    tracker = crashes.CrashTracker()
    tracker.record_answer("lookup", 5.0)
    assert tracker.accuse("lookup", 6.0) == 5.0
    assert tracker.accuse("deadly", 6.0) is None
    assert tracker.record_answer("deadly", 7.0)


def test_quarantine_expires_and_is_reported_as_new_once():
    tracker = crashes.CrashTracker()
    row = quarantine.Quarantine(at=3.0)
    assert tracker.add_quarantine("deadly", row)
    assert not tracker.add_quarantine("deadly", row)
    assert tracker.quarantines_of(["deadly", "other"], 4.0) == {"deadly": row}
    assert not tracker.quarantines_of(["deadly"], crashes.RETENTION_S + 4.0)
    assert not tracker.quarantined(crashes.RETENTION_S + 4.0)


def test_suspects_and_answers_are_bounded():
    tracker = crashes.CrashTracker()
    for number in range(2 * crashes.MAX_SUSPECTS):
        tracker.record_crash(crash(f"request-{number}", "a", float(number) / 1000))
        tracker.record_answer(f"other-{number}", 0.0)
    assert len(tracker._suspects) <= crashes.MAX_SUSPECTS
    assert len(tracker._answered_at) <= crashes.MAX_ANSWERED
    for number in range(2 * quarantine.MAX_QUARANTINED):
        tracker.add_quarantine(str(number), quarantine.Quarantine(at=float(number)))
    assert len(tracker.quarantined(0.0)) <= quarantine.MAX_QUARANTINED


def test_suspect_with_many_crashes_outlasts_newer_ones():
    """Guards against forgetting the cause among the bystanders of a storm."""
    tracker = tracker_of(deadly="ab")
    for number in range(2 * crashes.MAX_SUSPECTS):
        tracker.record_crash(crash(f"request-{number}", "c"))
    assert tracker.crash_count("deadly") == 2
