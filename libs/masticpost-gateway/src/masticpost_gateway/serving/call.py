"""An admitted request and the record of its attempts."""

import functools
import hashlib

import attrs
import multidict
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import causes
from masticpost_gateway.serving import headers, outcomes
from masticpost_gateway.state import model

# Time before the deadline at which the gateway gives up and answers the caller.
ANSWER_MARGIN_S = 0.04
FINGERPRINT_BYTES = 12


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """One attempt, for the log; times in seconds."""

    upstream: str
    model: str
    result: str
    took_s: float


@attrs.frozen(kw_only=True)
class ModelDecision:
    """Whether an answer was kept or escalated to a larger model, and the inputs.

    Attributes
    ----------
    model : str
        Model that answered.
    chosen : str
        Model to which the request goes next, empty when the answer is kept.
    confidence : float or None
        The model's confidence in its answer, 0 to 1.
    backlog_s : float
        Mean prefill time queued at an upstream, in seconds.
    first_s, total_s, read_s : float
        Expected seconds for the largest model to its first event, to its last event,
        and for its prefill of the prompt.
    delay_factor : float
        Factor on the cost of the delay of other requests, 1 where none is set.
    """

    model: str
    chosen: str
    confidence: float | None
    backlog_s: float
    first_s: float
    total_s: float
    read_s: float
    delay_factor: float = 1.0

    def __str__(self) -> str:
        outcome = f"then {self.chosen}" if self.chosen else "kept"
        return (
            f"{self.model} {outcome}, confidence {self.confidence}, backlog"
            f" {self.backlog_s:.2f}, largest first {self.first_s:.2f}"
            f" last {self.total_s:.2f} read {self.read_s:.2f}"
            f" delay factor {self.delay_factor:.2g}"
        )


@attrs.frozen(kw_only=True)
class Urgency:
    """Rank of one attempt in the queue of its upstream.

    Attributes
    ----------
    rank : int
        0 for the most urgent, 9 for the least.
    yields : bool
        Whether it is one lower since the customer is over its share of the work.
    """

    rank: int
    yields: bool = False

    def __str__(self) -> str:
        return f"{self.rank} over share" if self.yields else str(self.rank)


@attrs.define(kw_only=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    target : str
        Path and query as received.
    passed : multidict.CIMultiDict
        The caller's headers that are forwarded to the upstream.
    started_at, deadline_at : float
        Monotonic seconds; the deadline is the caller's or the route's.
    records : list of AttemptRecord
        The attempts that have ended, oldest first.
    decisions : list of ModelDecision
        The choices of the model, oldest first.
    held_by : set of str
        Upstreams whose rate had no permit for the request when it was to be sent.
    urgencies : list of Urgency
        The rank of each attempt, oldest first, where it is more than the priority.
    is_hopeless : bool
        Whether it was rejected as no upstream could complete it in time.
    first_event_s : float or None
        Seconds from the arrival of the request to the first event of a stream.
    """

    head: headers.CallHead
    route: model.Route
    service: model.Service
    customer: str
    priority: int
    method: str
    target: str
    passed: multidict.CIMultiDict = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    started_at: float
    deadline_at: float
    records: list[AttemptRecord] = attrs.field(factory=list)
    decisions: list[ModelDecision] = attrs.field(factory=list)
    held_by: set[str] = attrs.field(factory=set)
    urgencies: list[Urgency] = attrs.field(factory=list)
    is_hopeless: bool = False
    first_event_s: float | None = None
    config_version: int = 0

    @functools.cached_property
    def fingerprint(self) -> str:
        """Hash of customer, method, target and body.

        It is equal for all repeats of a request, at every instance.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (self.customer, self.method, self.target):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()

    @functools.cached_property
    def part_keys(self) -> tuple[str, ...]:
        """Keys of the shared parts of the prompt, as possible causes of crashes."""
        return tuple(map(causes.part_key, self.head.prompt.shared_names))

    @property
    def answer_due_at(self) -> float:
        """Monotonic time by which the caller must get an answer."""
        return self.deadline_at - ANSWER_MARGIN_S

    def left_s(self) -> float:
        """Return the seconds until the answer is due."""
        return self.answer_due_at - clock.now()

    def age_s(self) -> float:
        """Return the seconds since the request arrived."""
        return clock.now() - self.started_at

    def objective_left_s(self) -> float:
        """Return the seconds left of the route's latency objective."""
        return self.started_at + self.route.objective_s - clock.now()

    def log_end(self, outcome: outcomes.Outcome, status: int, reason: str = "") -> None:
        """Log the line that summarizes the request."""
        attempts = [
            f"{r.upstream}/{r.model or '-'}:{r.result}@{r.took_s:.3f}"
            for r in self.records
        ]
        logger.bind(
            event="request",
            id=self.head.request_id,
            fingerprint=self.fingerprint,
            route=self.route.name,
            kind=self.route.kind.value,
            customer=self.customer,
            session=self.head.session,
            config=self.config_version,
            parts=self.head.prompt.shared_names,
            tokens=(self.head.prompt.tokens_in, self.head.prompt.tokens_expected),
            outcome=outcome,
            status=status,
            reason=reason,
            tries=attempts,
            held_by_rate=sorted(self.held_by),
            urgencies=[str(urgency) for urgency in self.urgencies],
            models=[str(decision) for decision in self.decisions],
            first_s=None
            if self.first_event_s is None
            else round(self.first_event_s, 3),
            took_s=round(self.age_s(), 3),
        ).info("request ended")
