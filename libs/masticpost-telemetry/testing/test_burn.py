"""Tests of burn rates over instances and windows, and of JSON log lines."""

import io
import json
import time

import loguru
import pytest
from masticpost_telemetry import burn, logs

SERIES = burn.Series(service="s", customer="c", domain="d")


def meter(good, bad, latency_s=0.1):
    burn_meter = burn.BurnMeter()
    for number in range(good + bad):
        burn_meter.record(SERIES, good=number < good, latency_s=latency_s)
    return burn_meter


def merged(*meters):
    reports = [report for burn_meter in meters for report in burn_meter.report()]
    return burn.merge(reports, now_s=time.time())[0]


def test_counts_of_instances_are_added():
    row = merged(meter(90, 10), meter(100, 0, latency_s=0.4))
    assert (row.good, row.bad) == (190, 10)
    assert row.burn["5m"] == pytest.approx(0.05 / (1 - burn.OBJECTIVE))
    assert row.p99_ms >= 390


@pytest.mark.parametrize(
    ("good", "bad", "alert"), [(1000, 0, ""), (960, 40, "ticket"), (500, 500, "page")]
)
def test_alert_needs_both_windows(good, bad, alert):
    assert merged(meter(good, bad)).alert == alert


def test_log_lines_are_json_and_contain_the_instance():
    stream = io.StringIO()
    logs.configure(instance="entry-0", level="info", stream=stream)
    loguru.logger.bind(request_id="r").info("hello {}", "there")
    loguru.logger.debug("hidden")
    row = json.loads(stream.getvalue())
    assert (row["message"], row["instance"]) == ("hello there", "entry-0")
    assert row["request_id"] == "r"
    loguru.logger.remove()
