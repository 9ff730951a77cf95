"""Failures of calls to upstreams."""

import enum

from masticpost_common import retry


class FaultKind(enum.Enum):
    """Kind of a failure."""

    REFUSED = "connection refused"
    CUT = "connection cut"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"
    COLD = "in cold start"
    FAILED = "server error"
    REJECTED = "request rejected"
    MISMATCHED = "answer of another request"
    INCOMPLETE = "answer not whole"
    PERMIT_LOST = "permit lost"
    NOT_LOADED = "version not loaded"
    NO_PERMIT = "rate permit expired"


VERDICTS = {
    FaultKind.REFUSED: retry.Verdict.NOT_PROCESSED,
    FaultKind.OVERLOADED: retry.Verdict.NOT_PROCESSED,
    FaultKind.COLD: retry.Verdict.NOT_PROCESSED,
    FaultKind.NOT_LOADED: retry.Verdict.NOT_PROCESSED,
    FaultKind.NO_PERMIT: retry.Verdict.NOT_PROCESSED,
    FaultKind.REJECTED: retry.Verdict.ANSWERED,
}


class UpstreamError(Exception):
    """Raised when a call to an upstream fails.

    Parameters
    ----------
    kind : FaultKind
        Kind of the failure.
    upstream : str
        Name of the upstream.
    message : str
        Details, for the log.
    status : int
        HTTP status of a `REJECTED` answer, 0 otherwise.
    body : bytes
        Body of a `REJECTED` answer.
    """

    def __init__(
        self,
        *,
        kind: FaultKind,
        upstream: str,
        message: str = "",
        status: int = 0,
        body: bytes = b"",
    ) -> None:
        super().__init__(f"{upstream}: {kind.value}: {message}")
        self.kind = kind
        self.upstream = upstream
        self.status = status
        self.body = body

    @property
    def verdict(self) -> retry.Verdict:
        """Whether the call may have run."""
        return VERDICTS.get(self.kind, retry.Verdict.NOT_KNOWN)

    @property
    def is_possible_crash(self) -> bool:
        """Whether the upstream may have crashed while it ran the call."""
        return self.kind is FaultKind.CUT
