"""An answer of an upstream whose head was read."""

import aiohttp
import attrs

from masticpost_gateway.learning import paces
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model
from masticpost_gateway.upstreams import health

SERVER_ERROR = 500


@attrs.define(kw_only=True)
class OpenAnswer:
    """An answer whose head was read and checked, and its body not yet."""

    upstream: model.Upstream
    level: str
    resp: aiohttp.ClientResponse
    head: headers.AnswerHead
    sent_at: float
    head_at: float
    health: health.Health
    pace: paces.Pace
    work: loads.Work | None = None
    unread_tokens: int = 0
    confidence: float | None = None

    @property
    def is_failure(self) -> bool:
        """Whether the upstream itself reports a failure."""
        return self.resp.status >= SERVER_ERROR
