"""Gauges that are computed from an instance's status at each scrape."""

import collections
import collections.abc

from masticpost_peers import hub
from prometheus_client import core

from masticpost_gateway.reporting import status


class StatusGauges:
    """A Prometheus collector that reads an instance's status at each scrape.

    Parameters
    ----------
    read : callable
        Returns the current status.
    traffic : hub.Traffic
        Counts of the messages to other instances.
    """

    def __init__(
        self,
        *,
        read: collections.abc.Callable[[], status.Status],
        traffic: hub.Traffic,
    ) -> None:
        self.read = read
        self.traffic = traffic

    def describe(self) -> list[core.Metric]:
        """Return no metrics, so that registration does not read the status."""
        return []

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield every gauge."""
        current = self.read()
        yield core.GaugeMetricFamily(
            "masticpost_gateway_requests_in_flight",
            "Requests at work.",
            value=current.requests_in_flight,
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_members_alive",
            "Instances known to be alive, this one included.",
            value=len(current.members),
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_config_version",
            "Version of the configuration in force, -1 before the first.",
            value=current.config_version,
        )
        yield core.CounterMetricFamily(
            "masticpost_gateway_log_lines_dropped",
            "Log lines that were left out to bound their volume.",
            value=current.dropped_lines,
        )
        yield core.GaugeMetricFamily(
            "masticpost_gateway_quarantined_requests",
            "Requests that are not run, since they crash upstreams.",
            value=len(current.quarantined),
        )
        yield _record_ages(current)
        yield _upstream_counts(current)
        yield _speed_factors(current)
        yield _rates(current)
        yield _rate_permits(current)
        yield _completed_versions(current)
        yield from _peer_traffic(self.traffic)


def _record_ages(current: status.Status) -> core.Metric:
    family = core.GaugeMetricFamily(
        "masticpost_gateway_belief_age_seconds",
        "Time since the store was last known to hold nothing newer, by kind.",
        labels=["kind"],
    )
    for cached in current.beliefs:
        if cached.age_s is not None:
            family.add_metric([cached.kind.value], cached.age_s)
    return family


def _upstream_counts(current: status.Status) -> core.Metric:
    family = core.GaugeMetricFamily(
        "masticpost_gateway_upstreams",
        "Registered upstreams by service and state.",
        labels=["service", "state"],
    )
    counts = collections.Counter((u.service, u.state.value) for u in current.upstreams)
    for labels, count in sorted(counts.items()):
        family.add_metric(list(labels), count)
    return family


def _speed_factors(current: status.Status) -> core.Metric:
    family = core.GaugeMetricFamily(
        "masticpost_gateway_upstream_speed_factor",
        "Time that an upstream takes as a multiple of the usual one, if not 1.",
        labels=["upstream"],
    )
    for row in current.upstreams:
        if row.speed_factor != 1.0:
            family.add_metric([row.name], row.speed_factor)
    return family


def _rates(current: status.Status) -> core.Metric:
    family = core.GaugeMetricFamily(
        "masticpost_gateway_upstream_rate",
        "Requests per second that an upstream takes from all instances.",
        labels=["upstream"],
    )
    for row in current.rates:
        family.add_metric([row.upstream], row.rate)
    return family


def _rate_permits(current: status.Status) -> core.Metric:
    family = core.CounterMetricFamily(
        "masticpost_gateway_rate_permits",
        "Permits for upstreams that name a rate, by result of asking.",
        labels=["upstream", "result"],
    )
    for row in current.rates:
        family.add_metric([row.upstream, "granted"], row.granted)
        family.add_metric([row.upstream, "held"], row.held)
    return family


def _completed_versions(current: status.Status) -> core.Metric:
    family = core.GaugeMetricFamily(
        "masticpost_gateway_completed_version_answers",
        "Answers of a version since its roll-out was completed, by result.",
        labels=["service", "version", "result"],
    )
    for row in current.completed:
        labels = [row.service, row.version]
        family.add_metric([*labels, "good"], row.calls - row.failures)
        family.add_metric([*labels, "failed"], row.failures)
        family.add_metric([*labels, "late"], row.late)
    return family


def _peer_traffic(traffic: hub.Traffic) -> collections.abc.Iterator[core.Metric]:
    sent = core.CounterMetricFamily(
        "masticpost_gateway_peer_messages",
        "Messages sent to other instances, by kind.",
        labels=["kind"],
    )
    size = core.CounterMetricFamily(
        "masticpost_gateway_peer_bytes",
        "Bytes of the messages sent to other instances, by kind.",
        labels=["kind"],
    )
    for kind, row in sorted(traffic.kinds.items()):
        sent.add_metric([kind], row.sent)
        size.add_metric([kind], row.sent_bytes)
    yield sent
    yield size
