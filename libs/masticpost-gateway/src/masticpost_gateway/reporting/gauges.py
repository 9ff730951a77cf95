"""Gauges that are read from an instance's status whenever the metrics are asked for."""

import collections
import collections.abc

from prometheus_client import core

from masticpost_gateway.reporting import status


class StatusGauges:
    """Gauges that are read from a status at each collection.

    Parameters
    ----------
    read : callable
        Returns the status.
    """

    def __init__(self, *, read: collections.abc.Callable[[], status.Status]) -> None:
        self.read = read

    def describe(self) -> list[core.Metric]:
        """Return nothing: registration does not read the status."""
        return []

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield every gauge."""
        row = self.read()
        yield core.GaugeMetricFamily(
            "masticpost_gateway_requests_in_flight",
            "Requests at work.",
            value=row.requests_in_flight,
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_members_alive",
            "Instances known to be alive, this one included.",
            value=len(row.members),
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_config_version",
            "Version of the configuration in force, -1 before the first.",
            value=row.config_version,
        )
        yield core.CounterMetricFamily(
            "masticpost_gateway_log_lines_dropped",
            "Log lines that were left out to bound their volume.",
            value=row.dropped_lines,
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_quarantined_requests",
            "Requests that are not run, since they crash upstreams.",
            value=len(row.quarantined),
        )
        yield _ages(row)
        yield _upstreams(row)


def _ages(row: status.Status) -> core.Metric:
    found = core.GaugeMetricFamily(
        "masticpost_gateway_belief_age_seconds",
        "Time since the store was last known to hold nothing newer, by kind.",
        labels=["kind"],
    )
    for belief in row.beliefs:
        if belief.age_s is not None:
            found.add_metric([belief.kind.value], belief.age_s)
    return found


def _upstreams(row: status.Status) -> core.Metric:
    found = core.GaugeMetricFamily(
        "masticpost_gateway_upstreams",
        "Registered upstreams by service and state.",
        labels=["service", "state"],
    )
    counts = collections.Counter((u.service, u.state.value) for u in row.upstreams)
    for labels, count in sorted(counts.items()):
        found.add_metric(list(labels), count)
    return found
