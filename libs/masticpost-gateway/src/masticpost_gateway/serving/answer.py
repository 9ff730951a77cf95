"""An upstream's answer whose headers have been read."""

import aiohttp
import attrs

from masticpost_gateway.learning import progress
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import health

SERVER_ERROR = 500


class CutError(Exception):
    """An answer was cut after a part of it had been passed on."""


@attrs.define(kw_only=True)
class OpenAnswer:
    """An answer whose headers were read and checked, but not its body yet.

    Attributes
    ----------
    level : str
        Name of the model that was requested, empty when the caller chose.
    sent_at, head_at : float
        When the request was sent and when the headers arrived, in monotonic seconds.
    confidence : float or None
        Confidence on which the choice of the model was based, None for none.
    has_survived : bool
        Whether it went on for so long that no part of the prompt crashes the upstream.
    """

    upstream: model.Upstream
    level: str
    resp: aiohttp.ClientResponse
    head: headers.AnswerHead
    sent_at: float
    head_at: float
    health: health.Health
    progress: progress.AnswerProgress
    work: loads.ActiveRequest | None = None
    uncached_tokens: int = 0
    confidence: float | None = None
    has_survived: bool = False

    @property
    def is_failure(self) -> bool:
        """Whether the upstream answered with a server error."""
        return self.resp.status >= SERVER_ERROR
