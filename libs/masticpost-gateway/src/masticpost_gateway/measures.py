"""Counters and latency histograms of the gateway, in the Prometheus text format."""

import prometheus_client
from masticpost_common import errors
from prometheus_client import exposition

from masticpost_gateway import call

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST


class Measures:
    """Counters of one process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "masticpost_gateway_requests",
            "Requests by route, kind, outcome and status.",
            ["route", "kind", "outcome", "status"],
            registry=self.registry,
        )
        self.tries = prometheus_client.Counter(
            "masticpost_gateway_tries",
            "Tries by model and result.",
            ["model", "result"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "masticpost_gateway_refusals",
            "Requests refused before a route's service was asked, by code.",
            ["code"],
            registry=self.registry,
        )
        self.first_event = prometheus_client.Histogram(
            "masticpost_gateway_first_event_seconds",
            "Time to the first event of a stream.",
            ["route"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )

    def ended(self, item: call.Call, outcome: str, status: int) -> None:
        """Count a request that ended."""
        kind = item.route.kind.value
        self.requests.labels(item.route.name, kind, outcome, str(status)).inc()
        for row in item.records:
            self.tries.labels(row.model, row.result.split(":")[0].split(" ")[0]).inc()
        if item.first_event_s is not None:
            self.first_event.labels(item.route.name).observe(item.first_event_s)

    def refused(self, refusal: errors.Refusal) -> None:
        """Count a refusal."""
        self.refusals.labels(refusal.code).inc()

    def render(self) -> bytes:
        """Return every metric in the text format."""
        return exposition.generate_latest(self.registry)
