"""Escalations are made only where the larger model finishes before the deadline."""

import random

import attrs
from masticpost_gateway.learning import speeds, streampaces
from masticpost_gateway.routing import cascade, forecasts, placement

# Median durations of attempts ranged over a factor of 12 by upstream.
TOKEN_S = [0.006 * 12 ** (n / 29) for n in range(30)]
STREAMS_OF_SMALLEST = 8
TOKENS, TOKENS_PER_EVENT = 172, 4
LEVELS = ("small", "middle", "large")


def make_forecasts():
    return forecasts.Forecasts(
        placement=placement.Placement(loads=None, speeds=speeds.Speeds())
    )


def stream(found, token_s):
    """Record one complete stream as the gateway does."""
    speed = found.placement.speeds.of("s", "small")
    for _ in range(TOKENS // TOKENS_PER_EVENT - 1):
        speed.record_decode(TOKENS_PER_EVENT, token_s * TOKENS_PER_EVENT)
    found.paces.of("s").record(token_s)


@attrs.define
class Tally:
    made: int = 0
    cut: int = 0


def escalate(left_s, draws=2_000):
    """Return the escalations made and cut: by the model's mean, by the forecast."""
    rng, by_mean, by_forecast = random.Random(4), Tally(), Tally()
    found = make_forecasts()
    for _ in range(draws):
        for _ in range(STREAMS_OF_SMALLEST):
            stream(found, rng.choice(TOKEN_S))
        mean_s = TOKENS * found.placement.speeds.of("s", "large").decode_token_s
        safe_s = found.safe_decode_s("s", LEVELS, TOKENS)
        actual_s = TOKENS * rng.choice(TOKEN_S)
        for tally, expected_s in ((by_mean, mean_s), (by_forecast, safe_s)):
            if expected_s <= cascade.FINISH_SHARE * left_s:
                tally.made += 1
                tally.cut += actual_s > left_s
    return by_mean, by_forecast


def test_streams_are_not_cut_since_the_larger_model_had_no_samples():
    """Guards against streams cut at their deadline after an escalation.

    An instance with little traffic had no samples of the larger model, and the mean of
    the last events of one stream does not hold for slower upstreams.
    """
    by_mean, by_forecast = escalate(left_s=5.0)
    assert by_mean.cut > 500
    assert by_forecast.cut < 20


def test_escalations_that_can_finish_are_still_made():
    by_mean, by_forecast = escalate(left_s=13.0)
    assert by_mean.made == 2_000
    assert by_forecast.made > 1_800


def test_unmeasured_model_is_taken_to_be_as_slow_as_a_smaller_one():
    found = make_forecasts()
    for _ in range(9):
        stream(found, 0.05)
    assert found.decode_s("s", LEVELS, 100) >= 4.9
    assert found.decode_s("s", ("large",), 100) == 1.0


def test_one_stalled_stream_does_not_raise_the_bound_without_limit():
    pace = streampaces.Pace()
    for _ in range(50):
        pace.record(0.01)
    pace.record(5.0)
    assert pace.bound_s < 0.05
    for _ in range(50):
        pace.record(0.01)
    assert pace.bound_s < 0.011


def test_without_streams_the_forecast_is_that_of_the_model():
    assert make_forecasts().safe_decode_s("s", LEVELS, 100) == 1.0


def test_calibration_leaves_the_queued_work_as_it_is():
    """Guards against rejections of long prompts since first events are late."""
    found = make_forecasts()
    prefill = placement.Prefill(service="s", model="large", prompt=None)
    for _ in range(30):
        found.calibrations.of("s", "large").record(1.0, 3.0)
    expected = forecasts.Forecast(first_s=1.0, total_s=2.0, prefill_s=1.0)
    calibrated = found.calibrated(expected, prefill)
    assert calibrated.first_s > 2.0
    assert calibrated.total_s == calibrated.first_s + 1.0
    assert calibrated.queued_s == expected.queued_s
