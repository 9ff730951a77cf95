"""Counters and latency histograms of requests, in the Prometheus text format."""

import prometheus_client
from masticpost_common import errors
from masticpost_telemetry import account, burn
from prometheus_client import exposition

from masticpost_gateway.serving import call, outcomes

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
CONFIDENCE_BUCKETS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9)
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
SERVER_ERROR = 500


class RequestMetrics:
    """Request metrics of one instance, and its error-budget burn meter.

    Parameters
    ----------
    domain : str
        Failure domain of the instance; labels each burn series.
    """

    def __init__(self, *, domain: str) -> None:
        self.domain = domain
        self.registry = prometheus_client.CollectorRegistry()
        self.burn = burn.BurnMeter()
        self.account = account.Account(registry=self.registry)
        self.requests = prometheus_client.Counter(
            "masticpost_gateway_requests",
            "Requests by route, kind, outcome and status.",
            ["route", "kind", "outcome", "status"],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
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
        self.resets = prometheus_client.Counter(
            "masticpost_gateway_resets",
            "Connections to upstreams that were reset, by limit passed or faulty part.",
            ["limit"],
            registry=self.registry,
        )
        self.retry_loans = prometheus_client.Counter(
            "masticpost_gateway_retry_loans",
            "Retries borrowed from other instances, lent to them, or refused by them.",
            ["service", "result"],
            registry=self.registry,
        )
        self.overload = prometheus_client.Counter(
            "masticpost_gateway_overload",
            "Requests rejected or ranked lower as capacity was short, by decision.",
            ["route", "decision"],
            registry=self.registry,
        )
        self.first_event = prometheus_client.Histogram(
            "masticpost_gateway_first_event_seconds",
            "Time to the first event of a stream.",
            ["route"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.confidence = prometheus_client.Histogram(
            "masticpost_gateway_confidence_ratio",
            "A model's opinion of its own answer, by model and whether it was kept.",
            ["model", "kept"],
            buckets=CONFIDENCE_BUCKETS,
            registry=self.registry,
        )

    def record_end(
        self, item: call.Call, outcome: outcomes.Outcome, status_code: int
    ) -> None:
        """Count a finished request, its attempts and its model decisions."""
        kind = item.route.kind.value
        self.requests.labels(item.route.name, kind, outcome, str(status_code)).inc()
        for row in item.records:
            self.attempts.labels(
                row.model, row.result.split(":")[0].split(" ")[0]
            ).inc()
        for row in item.decisions:
            if row.confidence is not None:
                kept = "no" if row.chosen else "yes"
                self.confidence.labels(row.model, kept).observe(row.confidence)
        if item.is_hopeless:
            self.overload.labels(item.route.name, "rejected").inc()
        if any(urgency.yields for urgency in item.urgencies):
            self.overload.labels(item.route.name, "over share").inc()
        if item.first_event_s is not None:
            self.first_event.labels(item.route.name).observe(item.first_event_s)
        self._record_burn(item, outcome, status_code)

    def record_reset(self, limit: str) -> None:
        """Count a connection that was reset since it passed a limit or was faulty."""
        self.resets.labels(limit).inc()

    def record_loan(self, service: str, result: str, count: int) -> None:
        """Count retries that were borrowed, lent or refused."""
        self.retry_loans.labels(service, result).inc(count)

    def _record_burn(
        self, item: call.Call, outcome: outcomes.Outcome, status_code: int
    ) -> None:
        """Count a request for the burn report, unless its caller disconnected."""
        if outcome is outcomes.Outcome.CALLER_GONE:
            return
        took_s = item.first_event_s
        if took_s is None:
            took_s = item.age_s()
        is_answered = outcome is outcomes.Outcome.ANSWERED
        is_good = is_answered and status_code < SERVER_ERROR
        series = burn.Series(
            service=item.service.name, customer=item.customer, domain=self.domain
        )
        self.burn.record(
            series,
            good=is_good and took_s <= item.route.objective_s,
            latency_s=took_s,
        )

    def record_refusal(self, refusal: errors.Refusal) -> None:
        """Count a refused request."""
        self.refusals.labels(refusal.code).inc()

    def render(self) -> bytes:
        """Return every metric in the text format."""
        return exposition.generate_latest(self.registry)
