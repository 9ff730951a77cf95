"""Speeds of upstreams relative to the usual speed of their service.

A sample is the logarithm of the time that an upstream took, less the usual one for the
same model and load. The samples of all instances are added up as `Evidence`, and each
instance computes the same factor from it. Requests that wait for longer than expected
raise it until they go on, so that an upstream that stands still is noticed at once.
"""

import math

import attrs

from masticpost_gateway.learning import speeds

MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
MIN_LOG, MAX_LOG = math.log(MIN_FACTOR), math.log(MAX_FACTOR)
# Evidence consists of integers in 1 / `UNITS`, for short messages and exact sums.
UNITS = 10
# Time after which a sample weighs half as much.
HALF_LIFE_S = 3.0
# Weights of a prompt and of a group of events.
PREFILL_WEIGHT = 0.25
DECODE_WEIGHT = 0.25
# Weight of the assumption that an upstream has the usual speed.
PRIOR_WEIGHT = 0.5
# A factor counts as 1 if its logarithm is at most this, plus the error of one sample
# divided by the root of their weight; up to `RAMP_LOG` more it counts in part.
LIKE_LOG = 0.3
SAMPLE_ERROR_LOG = 0.35
RAMP_LOG = 0.2
# The usual time is known after this number of samples; later ones weigh this much.
MIN_SAMPLES = 3
USUAL_WEIGHT = 0.05
# Number of events of a stream that give one sample.
GROUP_EVENTS = 8
# Share by which each other stream of an upstream slows down the decoding.
STREAM_SHARE = 0.03
# Bounds of queued prefill times within which decoding has one usual time: the engine
# reads prompts between its steps.
QUEUE_BOUNDS_S = (0.0, 0.3)
# Time that a prompt takes beside its prefill and the queue.
PREFILL_OVERHEAD_S = 0.02
# A request is overdue after this many times the expected wait, and this time more.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_S = 0.15
# Time for which the prefill of another prompt may hold up the answers.
MAX_STALL_S = 0.25
# Requests of an upstream that are assumed to be in time, and the mean logarithm up to
# which overdue ones are ignored: one stuck request says nothing about the others.
PRIOR_REQUESTS = 2
LATE_LOG = 0.3
# Events are not measured if passing on the previous ones took longer than this, since
# some have arrived meanwhile.
SLOW_WRITE_S = 0.02


@attrs.frozen(kw_only=True)
class Evidence:
    """Samples of one upstream's speed, added up; in 1 / `UNITS`.

    Attributes
    ----------
    weight : int
        Sum of the weights of the samples.
    log : int
        Sum of the samples times their weights; positive for a slow upstream.
    late : int
        Sum of the logarithms by which requests in flight are overdue.
    """

    weight: int = 0
    log: int = 0
    late: int = 0

    def plus(self, other: "Evidence", sign: int = 1) -> "Evidence":
        """Return the sum, or with `sign` -1 the difference."""
        return Evidence(
            weight=self.weight + sign * other.weight,
            log=self.log + sign * other.log,
            late=self.late + sign * other.late,
        )

    @property
    def mean_log(self) -> float:
        """Logarithm of the factor that is most likely after the samples."""
        return self.log / (max(0, self.weight) + UNITS * PRIOR_WEIGHT)

    def factor(self, requests: int) -> float:
        """Return the time that the upstream takes as a multiple of the usual one.

        It is exactly 1 if the difference may be chance.

        Parameters
        ----------
        requests : int
            Requests of all instances at the upstream.
        """
        log = self._sampled_log()
        late = self.late / UNITS / (max(0, requests) + PRIOR_REQUESTS)
        if late > LATE_LOG:
            log = max(log, late)
        return math.exp(min(MAX_LOG, max(MIN_LOG, log)))

    def _sampled_log(self) -> float:
        if self.weight <= 0:
            return 0.0
        error = SAMPLE_ERROR_LOG / math.sqrt(self.weight / UNITS)
        excess = abs(self.mean_log) - LIKE_LOG - error
        return self.mean_log * min(1.0, max(0.0, excess / RAMP_LOG))


NO_EVIDENCE = Evidence()


@attrs.frozen(kw_only=True)
class UsualKey:
    """What the usual time of a model depends on.

    Attributes
    ----------
    is_prefilled : bool
        Whether it is the time of decoding, not of a prefill.
    queue : int
        How many of `QUEUE_BOUNDS_S` the queued prefill time exceeds; 0 for a prefill.
    """

    service: str
    model: str
    is_prefilled: bool
    queue: int = 0


@attrs.define(kw_only=True)
class RequestTiming:
    """Times of a request in flight.

    Attributes
    ----------
    wait_s : float
        Expected time until its prompt is read, at the usual speed, in seconds.
    waits_since : float
        Monotonic time since when the upstream is waited for, in seconds.
    is_alone : bool
        Whether no other prompt waited at the upstream when it was sent.
    is_waiting : bool
        Whether the upstream is waited for; not while events are passed on to a caller.
    is_prefilled : bool
        Whether its prompt is read, since the answer has begun.
    is_overdue : bool
        Whether it has waited for longer than expected since `waits_since`.
    event_tokens : int
        Length of the latest event, 0 before the first.
    """

    upstream: str
    service: str
    model: str
    wait_s: float
    waits_since: float
    is_alone: bool = False
    is_waiting: bool = True
    is_prefilled: bool = False
    is_overdue: bool = False
    event_tokens: int = 0
    _gaps: list[tuple[float, int]] = attrs.field(factory=list)
    _group_size: int = 0

    def note_progress(self, now: float) -> None:
        """Note that the upstream has sent something, which is passed on."""
        self.is_waiting = self.is_overdue = False
        self.waits_since = now

    def note_waiting(self, now: float) -> None:
        """Note that what the upstream has sent is passed on."""
        if now - self.waits_since > SLOW_WRITE_S:
            self._reset_group()
        self.is_waiting = True
        self.waits_since = now

    def add_gap(self, events: int, tokens: int, took_s: float) -> float | None:
        """Add events that arrived together, `took_s` after the previous ones.

        Returns
        -------
        float or None
            Mean time per token in seconds once a group of events is complete. The
            longest gap is left out: the upstream has probably read other prompts in it.
        """
        self.event_tokens = max(1, tokens // events)
        self._gaps.append((took_s, tokens))
        self._group_size += events
        if self._group_size < GROUP_EVENTS or len(self._gaps) < 2:
            return None
        gaps = sorted(self._gaps, key=lambda gap: gap[0] / gap[1])[:-1]
        self._reset_group()
        return sum(gap[0] for gap in gaps) / sum(gap[1] for gap in gaps)

    def _reset_group(self) -> None:
        self._gaps, self._group_size = [], 0


@attrs.define(kw_only=True)
class Usual:
    """Mean logarithm of the ratios of times taken to expected ones."""

    samples: int = 0
    log: float = 0.0

    def add(self, log: float) -> None:
        """Add a sample; recent ones weigh more."""
        self.samples += 1
        weight = max(USUAL_WEIGHT, 1.0 / self.samples)
        self.log += weight * (log - self.log)


@attrs.define(kw_only=True)
class Recent:
    """Samples of one upstream, which lose weight with time.

    Attributes
    ----------
    at : float
        Monotonic time in seconds to which the weights apply.
    weight, log : float
        Sum of the weights, and of the samples times their weights.
    """

    at: float
    weight: float = 0.0
    log: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the weights to those at a time."""
        left = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.weight *= left
        self.log *= left
        self.at = max(self.at, now)

    def add(self, log: float, weight: float, now: float) -> None:
        """Add a sample."""
        self.decay(now)
        self.weight += weight
        self.log += weight * min(MAX_LOG, max(MIN_LOG, log))


class UpstreamSpeeds:
    """Samples of the speeds of upstreams from the requests of one instance."""

    def __init__(self) -> None:
        self._usual: dict[UsualKey, Usual] = {}
        self._recent: dict[str, Recent] = {}

    def record_prefill(
        self,
        timing: RequestTiming,
        *,
        tokens: int,
        took_s: float,
        factor: float,
        now: float,
    ) -> None:
        """Record a completed prefill of `tokens` that were not cached.

        Prompts that have waited are ignored: queues are not known well enough to tell
        the time of the prefill from the wait.

        Parameters
        ----------
        factor : float
            The upstream's factor so far. The usual time is learnt without it, or slow
            upstreams would raise it.
        """
        if tokens < speeds.MIN_SAMPLE_TOKENS or not timing.is_alone:
            return
        log = math.log(max(took_s, 1e-3) / (timing.wait_s + PREFILL_OVERHEAD_S))
        self._record(timing, log, PREFILL_WEIGHT, factor, now)

    def record_events(
        self,
        timing: RequestTiming,
        *,
        events: int,
        tokens: int,
        reading_s: float,
        streams: int,
        factor: float,
        now: float,
    ) -> None:
        """Record events that arrived together.

        Parameters
        ----------
        reading_s : float
            Queued prefill time at the upstream, in seconds.
        streams : int
            Answers that the upstream decodes.
        factor : float
            As in `record_prefill`.
        """
        token_s = timing.add_gap(events, tokens, now - timing.waits_since)
        if token_s is not None:
            log = math.log(max(token_s, 1e-6) / (1.0 + STREAM_SHARE * streams))
            self._record(timing, log, DECODE_WEIGHT, factor, now, reading_s)

    def evidence(self, upstream: str, now: float) -> Evidence:
        """Return the samples of an upstream."""
        recent = self._recent.get(upstream)
        if recent is None:
            return NO_EVIDENCE
        recent.decay(now)
        return Evidence(
            weight=round(recent.weight * UNITS), log=round(recent.log * UNITS)
        )

    def upstreams(self) -> set[str]:
        """Return the names of the upstreams with samples."""
        return set(self._recent)

    def overdue(
        self,
        timing: RequestTiming,
        *,
        reading_s: float,
        streams: int,
        factor: float,
        now: float,
    ) -> Evidence:
        """Return the evidence of a request that waits for longer than expected.

        Parameters
        ----------
        reading_s : float
            Queued prefill time at the upstream, in seconds.
        streams : int
            Answers that the upstream decodes.
        factor : float
            The upstream's factor. A request that is overdue stays so if it rises.
        """
        usual = self._usual.get(_usual_key(timing, reading_s))
        if not timing.is_waiting or usual is None or usual.samples < MIN_SAMPLES:
            return NO_EVIDENCE
        if timing.is_prefilled:
            token_s = math.exp(usual.log) * (1.0 + STREAM_SHARE * streams)
            expected_s = max(1, timing.event_tokens) * token_s
            margin_s = OVERDUE_MARGIN_S + min(MAX_STALL_S, reading_s)
        else:
            wait_s = max(timing.wait_s, reading_s)
            expected_s = math.exp(usual.log) * (wait_s + PREFILL_OVERHEAD_S)
            margin_s = OVERDUE_MARGIN_S
        waited_s = now - timing.waits_since
        if waited_s > OVERDUE_FACTOR * factor * expected_s + margin_s:
            timing.is_overdue = True
        if not timing.is_overdue:
            return NO_EVIDENCE
        log = math.log(waited_s / (expected_s + margin_s / 2))
        return Evidence(late=round(UNITS * min(MAX_LOG, max(0.0, log))))

    def keep_only(self, names: set[str]) -> None:
        """Drop the samples of upstreams that are not in `names`."""
        for name in self._recent.keys() - names:
            del self._recent[name]

    def _record(
        self,
        timing: RequestTiming,
        log: float,
        weight: float,
        factor: float,
        now: float,
        reading_s: float = 0.0,
    ) -> None:
        usual = self._usual.setdefault(_usual_key(timing, reading_s), Usual())
        if usual.samples >= MIN_SAMPLES:
            recent = self._recent.setdefault(timing.upstream, Recent(at=now))
            recent.add(log - usual.log, weight, now)
        usual.add(log - math.log(factor))


def _usual_key(timing: RequestTiming, reading_s: float) -> UsualKey:
    queue = sum(reading_s > bound_s for bound_s in QUEUE_BOUNDS_S)
    return UsualKey(
        service=timing.service,
        model=timing.model,
        is_prefilled=timing.is_prefilled,
        queue=queue if timing.is_prefilled else 0,
    )
