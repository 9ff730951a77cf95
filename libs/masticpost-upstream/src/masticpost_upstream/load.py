"""Load reports in the headers of answers.

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
    """The metrics in a load report."""

    num_requests_running: float = 0.0
    num_requests_waiting: float = 0.0
    kv_cache_usage_perc: float = 0.0
    warming: float = 0.0


@attrs.frozen(kw_only=True)
class LoadReport:
    """The load of an engine as it reported it, possibly some time ago."""

    named_metrics: NamedMetrics = attrs.field(factory=NamedMetrics)

    @property
    def outstanding(self) -> float:
        """Number of requests that run or wait."""
        metrics = self.named_metrics
        return metrics.num_requests_running + metrics.num_requests_waiting


def parse(header: str | None) -> LoadReport | None:
    """Parse the header's value; None if it is missing or invalid."""
    if not header:
        return None
    try:
        return codec.from_json(header.removeprefix(PREFIX), LoadReport)
    except codec.DecodeError:
        return None
