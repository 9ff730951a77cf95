"""Whatever is quarantined is tried again, seldom and one request at a time."""

from masticpost_gateway.learning import causes, crashes, quarantine

MEMBERS = [f"node-{number}" for number in range(400)]
KEY = "part-deadly"


def turns(members):
    return [quarantine.TrialTurns(me=name, members=lambda: members) for name in members]


def takers(instances, row, now):
    return sum(instance.take({KEY: row}, now) for instance in instances)


def test_one_instance_at_a_time_tries_and_only_after_the_pause():
    """Guards against a deadly part that all instances try at once."""
    row = quarantine.Quarantine(at=100.0)
    instances = turns(MEMBERS)
    assert takers(instances, row, row.trial_at - 1.0) == 0
    assert takers(instances, row, row.trial_at) == 1
    assert takers(instances, row, row.trial_at + 1.0) == 0


def test_more_instances_may_try_until_one_had_such_a_request():
    """Guards against a part that is asked for rarely and never gets free."""
    row = quarantine.Quarantine(at=0.0)
    last_slot_at = row.trial_at + 9 * quarantine.TRIAL_SLOT_S
    assert takers(turns(MEMBERS), row, last_slot_at) == len(MEMBERS)
    assert last_slot_at < quarantine.RETENTION_S


def test_pause_doubles_with_each_failed_trial_and_is_bounded():
    row = quarantine.Quarantine(at=0.0)
    pauses = []
    for _ in range(6):
        pauses.append(row.trial_at - row.at)
        row = row.after_crash(row.trial_at)
    assert pauses[:3] == [60.0, 120.0, 240.0]
    assert max(pauses) < quarantine.RETENTION_S


def test_crash_of_a_request_sent_before_the_verdict_is_no_failed_trial():
    row = quarantine.Quarantine(at=0.0).after_crash(2.0)
    assert row == quarantine.Quarantine(at=2.0)


def test_answered_trial_frees_the_part():
    tracker = crashes.CrashTracker()
    tracker.add_quarantine(KEY, quarantine.Quarantine(at=0.0))
    assert tracker.record_answer(KEY, 61.0)
    assert not tracker.quarantines_of([KEY], 61.0)
    assert not tracker.add_quarantine(KEY, quarantine.Quarantine(at=0.0))


def test_crashed_trial_extends_the_quarantine():
    tracker = crashes.CrashTracker()
    tracker.add_quarantine(KEY, quarantine.Quarantine(at=0.0))
    row = causes.Crash(run="a", at=61.0, request="trial", parts=(KEY,))
    tracker.record_crash(row)
    expected = quarantine.Quarantine(at=61.0, failed_trials=1)
    assert tracker.quarantines_of([KEY], 61.0) == {KEY: expected}
