"""What a shard's log holds. Times are wall-clock milliseconds."""

import attrs

ANSWERED = "answered"
PARTIAL = "partial"
FAILED = "failed"
NOT_RUN = "not-run"
SETTLED = "settled"

RELEASED = "released"
DONE = "done"
DOUBTFUL = "doubtful"


@attrs.frozen(kw_only=True)
class Run:
    """One run of the program on an instance; `started` tells restarts apart."""

    instance: str
    started: int


@attrs.frozen(kw_only=True)
class Inquiry:
    """How to ask a service whether a call ran.

    Attributes
    ----------
    urls : list of str
        Base URLs of the only upstreams that the call may be sent to.
    path : str
        Path that answers with the call's outcome, or 404 where it is not known.
    idempotency_key : str
        The key as the service has it.
    price : float
        What the call costs if it ran.
    final_after_ms : int
        The service's promise: a call that it does not know so long after it was sent
        never runs. 0 for no promise.
    """

    service: str
    urls: list[str]
    path: str
    idempotency_key: str
    price: float = 0.0
    final_after_ms: int = 0


@attrs.frozen(kw_only=True)
class Claim:
    """The right to dispatch a non-idempotent call, given at most once.

    `fingerprint` is a digest of the request; `nonce` names the attempt that claims.
    """

    key: str
    fingerprint: str
    nonce: str
    run: Run
    at: int
    inquiry: Inquiry | None = None


@attrs.frozen(kw_only=True)
class Answer:
    """An upstream's answer that repeats of a call get, unless it was too large."""

    status: int
    content_type: str
    body: bytes
    is_kept: bool = True


@attrs.frozen(kw_only=True)
class Outcome:
    """How a claimed call ended.

    ``done`` with an answer; ``released``, not run; or ``doubtful``: it may have run,
    and its instance will not send it any more. A doubt may still be settled.
    """

    key: str
    nonce: str
    kind: str
    at: int
    answer: Answer | None = None


@attrs.frozen(kw_only=True)
class BillOpen:
    """A request was dispatched; `input_tokens` is what is known by then."""

    key: str
    customer: str
    service: str
    version: str
    run: Run
    at: int
    input_tokens: int = 0
    input_price: float = 0.0


@attrs.frozen(kw_only=True)
class BillClose:
    """The one bill of a request."""

    key: str
    customer: str
    service: str
    version: str
    state: str
    at: int
    input_tokens: int = 0
    output_tokens: int = 0
    cost: float = 0.0


@attrs.frozen(kw_only=True)
class Pin:
    """The version of a session."""

    key: str
    version: str
    at: int


@attrs.frozen(kw_only=True)
class Crash:
    """A request with this fingerprint may have crashed an upstream.

    `nonce` tells a crash from another one of the same upstream.
    """

    fingerprint: str
    upstream: str
    nonce: str
    at: int


@attrs.frozen(kw_only=True)
class Warmth:
    """Whether an upstream is past its cold start."""

    upstream: str
    warm: bool
    at: int


@attrs.frozen(kw_only=True)
class Trial:
    """How far a trial of a version has come.

    Attributes
    ----------
    trial : int
        Number of the trial, as in the text.
    stage : int
        Stage of its roll-out, 0 for the first.
    is_stopped : bool
        Whether evidence spoke against the version, for the `reason` given.
    """

    version: str
    trial: int
    stage: int = 0
    is_stopped: bool = False
    reason: str = ""
    at: int = 0

    def is_after(self, other: "Trial | None") -> bool:
        """Tell whether this one replaces `other`: a stop and a stage never go back."""
        return other is None or self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, int]:
        return (self.trial, self.is_stopped, self.stage)


@attrs.frozen(kw_only=True)
class Spend:
    """What a customer spent through one run of an instance in one window so far.

    `window` begins at that many milliseconds, and ends at `until`.
    """

    customer: str
    window: int
    until: int
    run: Run
    amount: float

    @property
    def key(self) -> str:
        """Key of the customer's window."""
        return f"{self.customer}\0{self.window}"


@attrs.frozen(kw_only=True)
class HeldPermit:
    """A permit that is in use when a shard is handed over."""

    resource: str
    nonce: str


@attrs.frozen(kw_only=True)
class Batch:
    """One entry of a shard's log.

    `nonce` tells whose write took effect when its answer was lost. A batch with
    `takeover` set begins a new owner's epoch; its `seq` is the fencing number.
    """

    seq: int
    nonce: str
    owner: Run
    at: int
    takeover: bool = False
    released: bool = False
    claims: list[Claim] = attrs.field(factory=list)
    outcomes: list[Outcome] = attrs.field(factory=list)
    opens: list[BillOpen] = attrs.field(factory=list)
    closes: list[BillClose] = attrs.field(factory=list)
    pins: list[Pin] = attrs.field(factory=list)
    crashes: list[Crash] = attrs.field(factory=list)
    warmth: list[Warmth] = attrs.field(factory=list)
    trials: list[Trial] = attrs.field(factory=list)
    spends: list[Spend] = attrs.field(factory=list)
    permits: list[HeldPermit] = attrs.field(factory=list)
