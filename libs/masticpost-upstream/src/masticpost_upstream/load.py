"""Load reports that come with answers.

Source: Open Request Cost Aggregation (ORCA), the `endpoint-load-metrics` response
header in JSON format, as vLLM's server sends it.
"""

import attrs
from masticpost_common import codec

REQUEST_HEADER = "endpoint-load-metrics-format"
RESPONSE_HEADER = "endpoint-load-metrics"
PREFIX = "JSON "


@attrs.frozen(kw_only=True)
class NamedMetrics:
    """Named metrics of an engine."""

    num_requests_running: float = 0.0
    num_requests_waiting: float = 0.0
    kv_cache_usage_perc: float = 0.0
    warming: float = 0.0


@attrs.frozen(kw_only=True)
class LoadReport:
    """What an engine said of its load, some time ago."""

    named_metrics: NamedMetrics = attrs.field(factory=NamedMetrics)

    @property
    def outstanding(self) -> float:
        """Requests that run or wait."""
        metrics = self.named_metrics
        return metrics.num_requests_running + metrics.num_requests_waiting


def parse(header: str | None) -> LoadReport | None:
    """Read the header's value; None when it is missing or not readable."""
    if not header:
        return None
    try:
        return codec.from_json(header.removeprefix(PREFIX), LoadReport)
    except codec.DecodeError:
        return None
