"""How slowly the streams of a service decode, with the spread between streams."""

import attrs

MEAN_WEIGHT = 0.0625
DEVIATION_WEIGHT = 0.125
# Number of deviations above the mean of the pace that most streams keep. With 2, few of
# the answers with 9 s left are escalated, although 6 in 7 would be completed.
BOUND_DEVIATIONS = 1.0
# A sample counts as this many times the bound at most, so that one stream that stalls
# does not hold back the escalations of many.
MAX_SAMPLE_FACTOR = 4.0


@attrs.define(kw_only=True)
class Pace:
    """Mean and mean deviation of the decode time of whole streams, per token.

    Each stream is one sample, however many events it has, so that a fast upstream's
    stream does not hide that others are slow. The estimator is that of the
    retransmission timer of TCP: RFC 6298.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0

    @property
    def bound_s(self) -> float:
        """The seconds per token that most streams keep; 0 without a sample."""
        return self.mean_s + BOUND_DEVIATIONS * self.deviation_s

    def record(self, token_s: float) -> None:
        """Record the mean decode time of one stream, in seconds per token."""
        if not self.mean_s:
            self.mean_s, self.deviation_s = token_s, token_s / 2
            return
        token_s = min(token_s, MAX_SAMPLE_FACTOR * self.bound_s)
        error_s = token_s - self.mean_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_WEIGHT * error_s


class Paces:
    """The paces of all services."""

    def __init__(self) -> None:
        self._rows: dict[str, Pace] = {}

    def of(self, service: str) -> Pace:
        """Return the pace of a service's streams."""
        return self._rows.setdefault(service, Pace())

    def copy(self) -> "Paces":
        """Return the same paces, to which those of further services can be added."""
        copied = Paces()
        copied._rows = dict(self._rows)
        return copied
