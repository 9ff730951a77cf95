"""Expected times of a request at the upstream that would run it."""

import attrs
from masticpost_common import clock

from masticpost_gateway.learning import calibration, streampaces
from masticpost_gateway.routing import placement
from masticpost_gateway.state import model


@attrs.frozen(kw_only=True)
class Forecast:
    """Expected times of a request at one upstream, in seconds.

    Attributes
    ----------
    first_s, total_s : float
        Time to the first event, and to the last one.
    prefill_s : float
        Part of `first_s` for the prefill of the request's own prompt.
    queued_s : float
        Rest of `first_s`: what is queued before it, and the calibration.
    """

    first_s: float
    total_s: float
    prefill_s: float = 0.0
    queued_s: float = 0.0

    def without_queue(self) -> "Forecast":
        """Return the forecast for an upstream that prefills this prompt at once."""
        return attrs.evolve(
            self,
            first_s=self.first_s - self.queued_s,
            total_s=self.total_s - self.queued_s,
            queued_s=0.0,
        )


class Forecasts:
    """Forecasts from the load of the upstreams and the speeds of the models.

    Parameters
    ----------
    placement : placement.Placement
        Load of each upstream, and the estimated speeds.

    Attributes
    ----------
    paces : streampaces.Paces
        Decode times of whole streams, by service.
    calibrations : calibration.Calibrations
        How much longer first events take than the placement expects, by model.
    """

    def __init__(self, *, placement: placement.Placement) -> None:
        self.placement = placement
        self.paces = streampaces.Paces()
        self.calibrations = calibration.Calibrations()

    def copy(self, places: placement.Placement) -> "Forecasts":
        """Return the same forecasts for a copy of the placement."""
        copied = Forecasts(placement=places)
        copied.paces = self.paces.copy()
        copied.calibrations = self.calibrations.copy()
        return copied

    def of(
        self,
        upstream: model.Upstream,
        prefill: placement.Prefill | None,
        decode_s: float,
    ) -> Forecast:
        """Return the forecast for a prompt at the speed of an upstream.

        Parameters
        ----------
        decode_s : float
            Time to decode its answer at the usual speed of the service, in seconds.
        """
        factor = self.placement.loads.speed_factor(upstream.name, clock.now())
        decode_s *= factor
        if prefill is None:
            return Forecast(first_s=0.0, total_s=decode_s)
        first_s = self.placement.first_event_s(upstream, prefill)
        prefill_s = factor * self.placement.prefill_s(upstream.name, prefill)
        return Forecast(
            first_s=first_s,
            total_s=first_s + decode_s,
            prefill_s=prefill_s,
            queued_s=max(0.0, first_s - prefill_s),
        )

    def calibrated(
        self, expected: Forecast, prefill: placement.Prefill | None
    ) -> Forecast:
        """Return a forecast whose first event follows what first events took lately.

        It is for escalations only: a rejection, or a customer that yields, needs work
        that is queued for certain.
        """
        if prefill is None:
            return expected
        ratio = self.calibrations.of(prefill.service, prefill.model).ratio
        later_s = (ratio - 1.0) * expected.first_s
        return attrs.evolve(
            expected,
            first_s=expected.first_s + later_s,
            total_s=expected.total_s + later_s,
        )

    def decode_s(self, service: str, models: tuple[str, ...], tokens: int) -> float:
        """Return the mean time to decode an answer, in seconds.

        Parameters
        ----------
        models : tuple of str
            The model and the smaller ones of its cascade: it is taken to be no faster
            than they are, which matters until it has been measured.
        """
        speeds = [self.placement.speeds.of(service, name) for name in models]
        return tokens * max(speed.decode_token_s for speed in speeds)

    def safe_decode_s(
        self, service: str, models: tuple[str, ...], tokens: int
    ) -> float:
        """Return the time in which most answers would be decoded, in seconds.

        The mean of the latest events, often of one fast upstream, is too short for the
        others, whose streams would be cut at their deadline.
        """
        bound_s = tokens * self.paces.of(service).bound_s
        return max(self.decode_s(service, models, tokens), bound_s)
