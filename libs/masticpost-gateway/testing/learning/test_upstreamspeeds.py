"""Factors of upstreams from samples and from requests that are overdue."""

import pytest
from masticpost_gateway.learning import upstreamspeeds

TOKENS = 4


def timing(upstream="u1", waits_since=0.0):
    return upstreamspeeds.RequestTiming(
        upstream=upstream, service="s", model="m", wait_s=0.1, waits_since=waits_since
    )


def record_stream(samples, upstream, gap_s, now=0.0, events=24, write_s=0.0):
    row = timing(upstream, now)
    row.is_prefilled = True
    for _ in range(events):
        now += gap_s
        samples.record_events(
            row,
            events=1,
            tokens=TOKENS,
            reading_s=0.0,
            streams=1,
            factor=samples.evidence(upstream, now).factor(1),
            now=now,
        )
        row.note_progress(now)
        now += write_s
        row.note_waiting(now)
    return row, now


def learnt():
    samples = upstreamspeeds.UpstreamSpeeds()
    for number in range(20):
        record_stream(samples, f"other-{number}", 0.025)
    return samples


def test_upstream_without_samples_has_the_usual_speed():
    assert upstreamspeeds.NO_EVIDENCE.factor(0) == 1.0


def test_few_samples_of_one_stream_do_not_change_a_factor():
    """Guards against a factor for each upstream that happened to pause once."""
    samples = learnt()
    record_stream(samples, "u1", 0.035)
    assert samples.evidence("u1", 0.0).factor(1) == 1.0


def test_slow_upstream_is_learnt_and_forgotten():
    samples = learnt()
    for _ in range(10):
        record_stream(samples, "u1", 0.075)
    assert 2.0 < samples.evidence("u1", 2.0).factor(1) < 3.2
    assert samples.evidence("u1", 30.0).factor(1) == 1.0


@pytest.mark.parametrize("log", [10**9, -(10**9)])
def test_factor_is_bounded_whatever_is_reported(log):
    row = upstreamspeeds.Evidence(weight=10, log=log, late=max(0, log))
    assert row.factor(0) == pytest.approx(4.0 if log > 0 else 0.25)


def test_time_that_a_slow_caller_takes_is_not_measured():
    """Guards against upstreams that look slow because a caller reads slowly."""
    samples = learnt()
    for _ in range(10):
        record_stream(samples, "u1", 0.025, write_s=1.0)
    assert samples.evidence("u1", 0.0).factor(1) == 1.0
    row, now = record_stream(samples, "u1", 0.025)
    row.note_progress(now)
    assert overdue(samples, row, now + 9.0) == upstreamspeeds.NO_EVIDENCE


def overdue(samples, row, now):
    return samples.overdue(row, reading_s=0.0, streams=1, factor=1.0, now=now)


def test_streams_that_stand_still_for_half_a_second_raise_the_factor():
    samples = learnt()
    row, now = record_stream(samples, "u1", 0.025)
    assert overdue(samples, row, now + 0.1) == upstreamspeeds.NO_EVIDENCE
    found = overdue(samples, row, now + 0.5)
    assert found.plus(found).plus(found).factor(3) > 1.5
    row.note_waiting(now + 0.6)
    assert overdue(samples, row, now + 0.7) == upstreamspeeds.NO_EVIDENCE


def test_one_stuck_request_of_many_does_not_raise_the_factor():
    samples = learnt()
    row, now = record_stream(samples, "u1", 0.025)
    assert overdue(samples, row, now + 30.0).factor(8) == 1.0
