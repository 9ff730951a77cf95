"""The error format of all responses to callers."""

import attrs

RAN_NO = "no"
RAN_MAYBE = "maybe"
RAN_YES = "yes"


@attrs.frozen(kw_only=True)
class Refusal:
    """An error response to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Stable machine-readable code.
    message : str
        One sentence for people to read.
    ran : str
        Whether the request ran on an upstream: ``no``, ``maybe`` or ``yes``.
    retry_after_s : float or None
        Seconds to wait before a retry; None if a retry cannot succeed.
    """

    status: int
    code: str
    message: str
    ran: str = RAN_NO
    retry_after_s: float | None = None


class RefusalError(Exception):
    """Raised to answer a request with a `Refusal` in the HTTP layer."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.code)


def refuse(
    status: int,
    code: str,
    message: str,
    *,
    ran: str = RAN_NO,
    retry_after_s: float | None = None,
) -> RefusalError:
    """Build a `RefusalError`."""
    return RefusalError(
        Refusal(
            status=status,
            code=code,
            message=message,
            ran=ran,
            retry_after_s=retry_after_s,
        )
    )
