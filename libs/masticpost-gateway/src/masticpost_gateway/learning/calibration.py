"""Ratio of the time that first events take to what was forecast, by model.

Forecasts add up the prefill times of queued prompts on an idle upstream. Decoding
beside them, prompts that are not reported yet, and slow upstreams add to that.
"""

import math

import attrs

SAMPLE_WEIGHT = 0.1
# Bound on a sample in both directions.
MAX_LOG = math.log(6.0)
# Shorter forecasts count as this one: the network's delay would dominate the ratio.
MIN_FORECAST_S = 0.05


@attrs.define(kw_only=True)
class Calibration:
    """Mean logarithm of the ratio of the time taken to the time forecast."""

    log: float = 0.0

    @property
    def ratio(self) -> float:
        """Factor from a forecast to the expected time, at least 1."""
        return max(1.0, math.exp(self.log))

    def record(self, forecast_s: float, took_s: float) -> None:
        """Record the forecast of a first event and the time taken, in seconds."""
        ratio = took_s / max(MIN_FORECAST_S, forecast_s)
        sample = min(MAX_LOG, max(-MAX_LOG, math.log(max(ratio, 1e-3))))
        self.log += SAMPLE_WEIGHT * (sample - self.log)

    def record_missing(self, forecast_s: float, waited_s: float) -> None:
        """Record that no first event came in `waited_s`, if more than is expected."""
        if waited_s > self.ratio * max(MIN_FORECAST_S, forecast_s):
            self.record(forecast_s, waited_s)


class Calibrations:
    """The calibrations of all models."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Calibration] = {}

    def of(self, service: str, model: str) -> Calibration:
        """Return the calibration of a model of a service."""
        return self._rows.setdefault((service, model), Calibration())

    def copy(self) -> "Calibrations":
        """Return the same calibrations, to which further ones can be added."""
        copied = Calibrations()
        copied._rows = dict(self._rows)
        return copied
