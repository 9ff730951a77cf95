"""Estimates of how fast each model prefills prompts and decodes tokens."""

import collections

import attrs

INITIAL_PREFILL_TOKEN_S = 5e-5
INITIAL_DECODE_TOKEN_S = 0.01
MAX_SAMPLES = 16
# The estimate is the sample at one tenth of the sorted samples.
LOW_QUANTILE_DIVISOR = 10
MIN_SAMPLE_TOKENS = 400
DECODE_MEAN_WEIGHT = 0.1


@attrs.define(kw_only=True)
class Speed:
    """Estimated speed of one model at one service, in seconds per token.

    Attributes
    ----------
    prefill_token_s : float
        Time to prefill a token of a prompt on an idle upstream.
    decode_token_s : float
        Mean time to decode a token while the upstream serves other requests as well.
    decode_samples : int
        Number of samples in that mean.
    """

    prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    decode_token_s: float = INITIAL_DECODE_TOKEN_S
    decode_samples: int = 0
    _prefill_samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([INITIAL_PREFILL_TOKEN_S], maxlen=MAX_SAMPLES)
    )

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Record the time from sending a request to the head of its answer.

        The estimate is a low quantile of the latest samples, since queueing only adds
        to the time. Samples of short prompts are ignored: the network's delay would
        dominate them.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt that the upstream had not cached.
        took_s : float
            Time to the head, in seconds.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self._prefill_samples.append(took_s / tokens)
        self.prefill_token_s = sorted(self._prefill_samples)[
            len(self._prefill_samples) // LOW_QUANTILE_DIVISOR
        ]

    def record_decode(self, tokens: int, took_s: float) -> None:
        """Record the time in seconds in which `tokens` were decoded."""
        sample = took_s / max(tokens, 1)
        self.decode_token_s = sample if not self.decode_samples else self.decode_token_s
        self.decode_token_s += DECODE_MEAN_WEIGHT * (sample - self.decode_token_s)
        self.decode_samples += 1


class Speeds:
    """Estimated speeds of all models."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Speed] = {}

    def of(self, service: str, model: str) -> Speed:
        """Return the speed of a model at a service."""
        return self._rows.setdefault((service, model), Speed())
