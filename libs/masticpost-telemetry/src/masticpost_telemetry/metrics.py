"""Metrics of one instance in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

from masticpost_telemetry import account

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.account = account.Account(registry=self.registry)
        self.requests = prometheus_client.Counter(
            "masticpost_requests",
            "Requests by service and status.",
            ["service", "status"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "masticpost_refusals",
            "Refusals and errors by code and whether the request ran.",
            ["code", "ran"],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "masticpost_upstream_attempts",
            "Calls to upstreams by result.",
            ["upstream", "result"],
            registry=self.registry,
        )
        self.escalations = prometheus_client.Counter(
            "masticpost_escalations",
            "Answers that were not accepted and asked of a better level.",
            ["service"],
            registry=self.registry,
        )
        self.resumes = prometheus_client.Counter(
            "masticpost_stream_resumes",
            "Streams resumed on another upstream.",
            ["service"],
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            "masticpost_first_token_seconds",
            "Time to the first token, or to the whole answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.upstream_rate = prometheus_client.Gauge(
            "masticpost_upstream_rate",
            "Requests per second that an upstream takes from all instances.",
            ["upstream"],
            registry=self.registry,
        )
        self.rate_permits = prometheus_client.Gauge(
            "masticpost_rate_permits",
            "Permits for upstreams that name a rate, by result of asking.",
            ["upstream", "result"],
            registry=self.registry,
        )
        self.peer_bytes_by_kind = prometheus_client.Gauge(
            "masticpost_peer_bytes_sent_by_kind",
            "Bytes sent to other instances since the start, by kind of message.",
            ["kind"],
            registry=self.registry,
        )
        self.gauges = {
            name: prometheus_client.Gauge(
                f"masticpost_{name}", help_text, registry=self.registry
            )
            for name, help_text in GAUGES.items()
        }

    def render(self) -> bytes:
        """Return every metric in the text format."""
        return exposition.generate_latest(self.registry)


GAUGES = {
    "generation": "Generation of the text in force.",
    "members_alive": "Instances known to be alive.",
    "shards_owned": "Shards owned by this instance.",
    "bills_waiting": "Bill records not yet committed.",
    "requests_in_flight": "Requests at work.",
    "admission_limit": "Adaptive limit on concurrent requests.",
    "store_reads": "Read calls to the object API since the start.",
    "store_writes": "Write calls to the object API since the start.",
    "store_watches": "Watch calls to the object API since the start.",
    "store_failures": "Failed calls to the object API since the start.",
    "peer_bytes_sent": "Bytes sent to other instances since the start.",
    "peer_bytes_received": "Bytes received from other instances since the start.",
    "peer_messages_rejected": "Messages dropped as not authentic or not readable.",
}
CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
