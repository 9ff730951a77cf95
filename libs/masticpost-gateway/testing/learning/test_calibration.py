"""Forecasts of first events follow what they took lately."""

import math
import random

import pytest
from masticpost_gateway.learning import calibration


@pytest.mark.parametrize("truth", [1.0, 2.5])
def test_ratio_follows_the_times_that_first_events_take(truth):
    """Guards against escalations that look on time and are late.

    A larger model was expected after 0.3 s and sent no event for 3 to 6 s.
    """
    draw = random.Random(3)
    row = calibration.Calibration()
    for _ in range(60):
        forecast_s = draw.uniform(0.1, 1.0)
        row.record(forecast_s, truth * forecast_s * math.exp(draw.gauss(0.0, 0.3)))
    assert truth * 0.75 < row.ratio < truth * 1.3


def test_missing_event_counts_only_if_it_was_waited_for_beyond_the_forecast():
    row = calibration.Calibration()
    row.record_missing(2.0, 1.0)
    assert row.ratio == 1.0
    row.record_missing(0.3, 3.0)
    assert row.ratio > 1.1


def test_ratio_is_never_below_one_and_one_sample_moves_it_little():
    """Guards against forecasts that shrink as prompts turn out to be cached."""
    row = calibration.Calibration()
    for _ in range(50):
        row.record(1.0, 0.01)
    assert row.ratio == 1.0
    fresh = calibration.Calibration()
    fresh.record(0.01, 1e6)
    assert fresh.ratio < 1.25
