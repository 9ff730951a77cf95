"""Records in a shard's log. Times are wall-clock milliseconds."""

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
    """One process lifetime of an instance; `started` distinguishes restarts."""

    instance: str
    started: int


@attrs.frozen(kw_only=True)
class Inquiry:
    """How to query a service whether a call ran.

    Attributes
    ----------
    urls : list of str
        Base URLs of all upstreams that the call may be sent to.
    path : str
        Path that returns the call's outcome, or 404 if the call is not known there.
    idempotency_key : str
        The key as it was sent to the service.
    price : float
        What the call costs if it ran.
    final_after_ms : int
        Guarantee of the service: a call that it does not know this long after the call
        was sent never runs. 0 if the service gives no guarantee.
    """

    service: str
    urls: list[str]
    path: str
    idempotency_key: str
    price: float = 0.0
    final_after_ms: int = 0


@attrs.frozen(kw_only=True)
class Claim:
    """The right to dispatch a non-idempotent call, granted at most once.

    `fingerprint` is a digest of the request; `nonce` identifies the claiming attempt.
    """

    key: str
    fingerprint: str
    nonce: str
    run: Run
    at: int
    inquiry: Inquiry | None = None


@attrs.frozen(kw_only=True)
class Answer:
    """An upstream's answer, returned to repeats of the call.

    `is_kept` is False, and `body` empty, if the answer was too large to be stored.
    """

    status: int
    content_type: str
    body: bytes
    is_kept: bool = True


@attrs.frozen(kw_only=True)
class Outcome:
    """How a claimed call ended.

    `kind` is ``done``, with an answer; ``released``, not run; or ``doubtful``: the call
    may have run, and its instance will not send it again. A ``doubtful`` outcome may
    later be replaced by one of the others.
    """

    key: str
    nonce: str
    kind: str
    at: int
    answer: Answer | None = None


@attrs.frozen(kw_only=True)
class BillOpen:
    """A dispatched request; `input_tokens` is the count known at dispatch."""

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
    """The only bill of a request."""

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
    """The version that a session stays on."""

    key: str
    version: str
    at: int


@attrs.frozen(kw_only=True)
class Crash:
    """A possible crash of an upstream by the request with this fingerprint.

    `nonce` distinguishes crashes of the same upstream.
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
    """Progress of a trial of a version.

    Attributes
    ----------
    trial : int
        Number of the trial, from the text.
    stage : int
        Stage of its roll-out, 0 for the first.
    is_stopped : bool
        Whether the trial was stopped because of evidence against the version; `reason`
        says which.
    """

    version: str
    trial: int
    stage: int = 0
    is_stopped: bool = False
    reason: str = ""
    at: int = 0

    def is_after(self, other: "Trial | None") -> bool:
        """Return whether this one replaces `other`.

        Within a trial a stop is never undone and the stage never decreases.
        """
        return other is None or self._rank() > other._rank()

    def _rank(self) -> tuple[int, bool, int]:
        return (self.trial, self.is_stopped, self.stage)


@attrs.frozen(kw_only=True)
class Spend:
    """Amount a customer has spent through one run of an instance in one window.

    The window begins at `window` and ends at `until`.
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
    """A permit that is in use when its shard is handed over."""

    resource: str
    nonce: str


@attrs.frozen(kw_only=True)
class Batch:
    """One entry of a shard's log.

    `nonce` identifies the write, to find out whether it took effect when the answer was
    lost. A batch with `takeover` set begins a new owner's epoch; its `seq` is the
    fencing number. `released` marks the last batch of an owner that handed over.
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
