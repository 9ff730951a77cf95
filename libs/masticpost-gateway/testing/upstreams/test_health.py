"""Ejection of failing upstreams, and no ejection for single failures."""

import pytest
from masticpost_gateway.upstreams import health


def test_ten_percent_failures_do_not_eject():
    row = health.Health(name="u")
    for step in range(100):
        now = step * 0.1
        row.record_success(now) if step % 10 else row.record_failure(now, "500")
        assert not row.is_ejected(now)


def test_half_failed_calls_eject_within_ten_calls():
    row = health.Health(name="u")
    for step in range(10):
        now = step * 0.1
        row.record_success(now) if step % 2 else row.record_failure(now, "500")
    assert row.is_ejected(1.0)


def test_repeated_ejections_get_longer_until_calls_succeed():
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


def test_failure_after_an_ejection_ejects_again_at_once():
    row = health.Health(name="u")
    row.record_unreachable(0.0, "not connected")
    now = row.ejected_until
    assert not row.is_ejected(now)
    row.record_failure(now, "cut")
    assert row.is_ejected(now)


def test_new_run_of_an_upstream_starts_without_history():
    table = health.HealthTable()
    table.get("u", ("u", 1)).record_unreachable(0.0, "not connected")
    assert table.get("u", ("u", 1)).is_ejected(0.1)
    assert not table.get("u", ("u", 2)).is_ejected(0.1)
