"""Upstreams that fail get no work, others are not blamed for single failures."""

import pytest
from masticpost_gateway.upstreams import health


def test_one_failure_in_ten_is_no_reason():
    row = health.Health(name="u")
    for step in range(100):
        now = step * 0.1
        row.record_success(now) if step % 10 else row.record_failure(now, "500")
        assert not row.is_ejected(now)


def test_upstream_that_fails_half_its_calls_is_ejected_within_ten():
    row = health.Health(name="u")
    for step in range(10):
        now = step * 0.1
        row.record_success(now) if step % 2 else row.record_failure(now, "500")
    assert row.is_ejected(1.0)


def test_unreachable_upstream_is_ejected_longer_each_time_and_forgiven():
    row = health.Health(name="u")
    now, pauses = 0.0, []
    for _ in range(4):
        row.record_unreachable(now, "not connected")
        pauses.append(row.ejected_until - now)
        now = row.ejected_until
    assert pauses == sorted(pauses)
    assert pauses[-1] <= health.MAX_EJECTION_S
    for _ in range(5):
        row.record_success(now)
    row.record_unreachable(now, "not connected")
    assert row.ejected_until - now == pytest.approx(health.FIRST_EJECTION_S)


def test_failed_trial_ejects_at_once():
    row = health.Health(name="u")
    row.record_unreachable(0.0, "not connected")
    now = row.ejected_until
    assert not row.is_ejected(now)
    row.record_failure(now, "cut")
    assert row.is_ejected(now)


def test_new_run_of_an_upstream_starts_without_history():
    rows = health.HealthTable()
    rows.get("u", ("u", 1)).record_unreachable(0.0, "not connected")
    assert rows.get("u", ("u", 1)).is_ejected(0.1)
    assert not rows.get("u", ("u", 2)).is_ejected(0.1)
