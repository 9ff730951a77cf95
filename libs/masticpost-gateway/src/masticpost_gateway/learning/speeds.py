"""Estimates of how fast each model reads prompts and writes tokens."""

import collections

import attrs

INITIAL_PREFILL_TOKEN_S = 5e-5
INITIAL_DECODE_TOKEN_S = 0.01
MAX_SAMPLES = 16
LOW_QUANTILE_DIVISOR = 10
MIN_SAMPLE_TOKENS = 400
DECODE_MEAN_WEIGHT = 0.1


@attrs.define(kw_only=True)
class Speed:
    """Speed of one model at one service, in seconds a token.

    Attributes
    ----------
    prefill_token_s : float
        Time to read a token of a prompt at an idle upstream.
    decode_token_s : float
        Mean time to write a token beside other requests.
    """

    prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    decode_token_s: float = INITIAL_DECODE_TOKEN_S
    decode_samples: int = 0
    _prefill_samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([INITIAL_PREFILL_TOKEN_S], maxlen=MAX_SAMPLES)
    )

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Note the time from sending a prompt with `tokens` unread ones to its head.

        Queues only make it longer: of the last samples a low one is taken. The way
        there counts for too much in that of a short prompt.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        self._prefill_samples.append(took_s / tokens)
        self.prefill_token_s = sorted(self._prefill_samples)[
            len(self._prefill_samples) // LOW_QUANTILE_DIVISOR
        ]

    def record_decode(self, tokens: int, took_s: float) -> None:
        """Note the time in which `tokens` were written."""
        sample = took_s / max(tokens, 1)
        self.decode_token_s = sample if not self.decode_samples else self.decode_token_s
        self.decode_token_s += DECODE_MEAN_WEIGHT * (sample - self.decode_token_s)
        self.decode_samples += 1


class Speeds:
    """The speeds of all models."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Speed] = {}

    def of(self, service: str, model: str) -> Speed:
        """Return the speed of a model at a service."""
        return self._rows.setdefault((service, model), Speed())
