"""Counters of the observations of upstreams that instances share."""

import prometheus_client


class HealthMetrics:
    """Counts shared observations, and connections tried to unreachable upstreams.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where the counters are registered.
    """

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self.observations = prometheus_client.Counter(
            "masticpost_gateway_health_observations",
            "Shared observations of upstreams, by source (own, reported) and kind.",
            ["source", "kind"],
            registry=registry,
        )
        self.tests = prometheus_client.Counter(
            "masticpost_gateway_health_tests",
            "Connections tried to ejected upstreams, by result.",
            ["result"],
            registry=registry,
        )

    def record_observation(self, source: str, *, is_recovery: bool) -> None:
        """Count an observation that was sent, or one that was news."""
        kind = "recovered" if is_recovery else "unreachable"
        self.observations.labels(source, kind).inc()

    def record_test(self, result: str) -> None:
        """Count a tried connection."""
        self.tests.labels(result).inc()
