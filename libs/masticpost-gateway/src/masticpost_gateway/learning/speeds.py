"""Estimates of how fast each model prefills prompts and decodes tokens.

An instance of a large deployment sees too few answers of each model, so instances pool
their samples; see `sharing.speedpools`. Until estimates of a pool arrive, and if none
arrives any more, an instance uses its own samples.
"""

import collections
import collections.abc
import math

import attrs

INITIAL_PREFILL_TOKEN_S = 5e-5
INITIAL_DECODE_TOKEN_S = 0.01
MAX_SAMPLES = 16
# Most samples of a pool, which come from many instances.
MAX_POOLED_SAMPLES = 64
# The estimate is the sample at one tenth of the sorted samples.
LOW_QUANTILE_DIVISOR = 10
# Number of samples from which on the initial estimate is dropped.
KNOWN_SAMPLES = 3
MIN_SAMPLE_TOKENS = 400
DECODE_MEAN_WEIGHT = 0.1
# Decoded tokens after which an earlier sample of a pool counts half.
POOLED_DECODE_TOKENS = 2_000
# Most prefill samples that wait to be sent to the pool; the oldest are dropped.
MAX_PENDING = 32
# Time for which the estimate of a pool is used.
POOLED_TTL_S = 10.0


@attrs.frozen(kw_only=True)
class Samples:
    """New samples of one model.

    Attributes
    ----------
    prefills : list of float
        Seconds per prompt token, a value for each answer.
    decoded_tokens : int
        Number of tokens decoded, in `decoded_s` seconds.
    """

    prefills: list[float] = attrs.field(factory=list)
    decoded_tokens: int = 0
    decoded_s: float = 0.0


@attrs.frozen(kw_only=True)
class Estimate:
    """Estimate of a pool, in seconds per token; 0 while it has too few samples."""

    prefill_token_s: float = 0.0
    decode_token_s: float = 0.0


def low_quantile(samples: collections.abc.Collection[float]) -> float:
    """Return a low quantile, since queueing only adds to the time of a prefill."""
    return sorted(samples)[len(samples) // LOW_QUANTILE_DIVISOR]


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
        Number of decode samples of this instance.
    pooled_until : float
        Monotonic time until which the estimates are those of a pool, in seconds.
    """

    prefill_token_s: float = INITIAL_PREFILL_TOKEN_S
    decode_token_s: float = INITIAL_DECODE_TOKEN_S
    decode_samples: int = 0
    pooled_until: float = -math.inf
    _prefill_samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([INITIAL_PREFILL_TOKEN_S], maxlen=MAX_SAMPLES)
    )
    _own_decode_token_s: float = INITIAL_DECODE_TOKEN_S
    _is_initial: bool = True
    _pending_prefills: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PENDING)
    )
    _pending_tokens: int = 0
    _pending_s: float = 0.0

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Record the time from sending a request to the head of its answer.

        Samples of short prompts are ignored: the network's delay would dominate them.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt that the upstream had not cached.
        took_s : float
            Time to the head, in seconds.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = took_s / tokens
        self._prefill_samples.append(sample)
        self._pending_prefills.append(sample)
        if self._is_initial and len(self._prefill_samples) > KNOWN_SAMPLES:
            self._prefill_samples.popleft()
            self._is_initial = False
        if not self._is_pooled:
            self.prefill_token_s = low_quantile(self._prefill_samples)

    def record_decode(self, tokens: int, took_s: float) -> None:
        """Record the time in seconds in which `tokens` were decoded."""
        sample = took_s / max(tokens, 1)
        mean_s = self._own_decode_token_s if self.decode_samples else sample
        self._own_decode_token_s = mean_s + DECODE_MEAN_WEIGHT * (sample - mean_s)
        self.decode_samples += 1
        self._pending_tokens += tokens
        self._pending_s += took_s
        if not self._is_pooled:
            self.decode_token_s = self._own_decode_token_s

    def take(self) -> Samples | None:
        """Remove and return the samples since the last call, None without any."""
        if not self._pending_prefills and not self._pending_tokens:
            return None
        found = Samples(
            prefills=list(self._pending_prefills),
            decoded_tokens=self._pending_tokens,
            decoded_s=self._pending_s,
        )
        self._pending_prefills.clear()
        self._pending_tokens, self._pending_s = 0, 0.0
        return found

    def adopt(self, pooled: Estimate, now: float) -> None:
        """Use the estimate of a pool for `POOLED_TTL_S`."""
        self.pooled_until = now + POOLED_TTL_S
        self.prefill_token_s = pooled.prefill_token_s or self.prefill_token_s
        self.decode_token_s = pooled.decode_token_s or self.decode_token_s

    def expire(self, now: float) -> None:
        """Use the own samples again once the estimate of the pool is too old."""
        if not self._is_pooled or now < self.pooled_until:
            return
        self.pooled_until = -math.inf
        self.prefill_token_s = low_quantile(self._prefill_samples)
        self.decode_token_s = self._own_decode_token_s

    @property
    def _is_pooled(self) -> bool:
        return self.pooled_until > -math.inf


Key = tuple[str, str]
"""Names of a service and a model."""


class Speeds:
    """Estimated speeds of all models."""

    def __init__(self) -> None:
        self._rows: dict[Key, Speed] = {}

    def of(self, service: str, model: str) -> Speed:
        """Return the speed of a model at a service."""
        return self._rows.setdefault((service, model), Speed())

    def copy(self) -> "Speeds":
        """Return the same speeds, to which those of further models can be added."""
        copied = Speeds()
        copied._rows = dict(self._rows)
        return copied

    def take(self) -> dict[Key, Samples]:
        """Remove and return the new samples of each model that has any."""
        taken = {key: speed.take() for key, speed in self._rows.items()}
        return {key: samples for key, samples in taken.items() if samples is not None}

    def adopt(self, pooled: dict[Key, Estimate], now: float) -> None:
        """Use the estimates of a pool."""
        for (service, model), estimate in pooled.items():
            self.of(service, model).adopt(estimate, now)

    def expire(self, now: float) -> None:
        """Drop estimates of a pool that are too old."""
        for speed in self._rows.values():
            speed.expire(now)


@attrs.define(kw_only=True)
class PooledSpeed:
    """Samples of one model from several instances.

    Attributes
    ----------
    prefills : collections.deque
        Seconds per prompt token, the latest `MAX_POOLED_SAMPLES`.
    decoded_tokens, decoded_s : float
        Weighted sums of the tokens decoded and of the seconds taken.
    """

    prefills: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_POOLED_SAMPLES)
    )
    decoded_tokens: float = 0.0
    decoded_s: float = 0.0

    def add(self, samples: Samples) -> None:
        """Add the samples of an instance; earlier decodes lose weight."""
        self.prefills.extend(samples.prefills)
        kept = 0.5 ** (samples.decoded_tokens / POOLED_DECODE_TOKENS)
        self.decoded_tokens = kept * self.decoded_tokens + samples.decoded_tokens
        self.decoded_s = kept * self.decoded_s + samples.decoded_s

    @property
    def estimate(self) -> Estimate:
        """The pooled estimate."""
        is_known = len(self.prefills) >= KNOWN_SAMPLES
        tokens = self.decoded_tokens
        return Estimate(
            prefill_token_s=low_quantile(self.prefills) if is_known else 0.0,
            decode_token_s=self.decoded_s / tokens if tokens else 0.0,
        )


class SpeedPool:
    """Pools the samples of a group of instances."""

    def __init__(self) -> None:
        self._rows: dict[Key, PooledSpeed] = {}

    def add(self, samples: dict[Key, Samples]) -> None:
        """Add the samples of an instance."""
        for key, row in samples.items():
            self._rows.setdefault(key, PooledSpeed()).add(row)

    def estimates(self) -> dict[Key, Estimate]:
        """Return the estimate of each model."""
        return {key: row.estimate for key, row in self._rows.items()}
