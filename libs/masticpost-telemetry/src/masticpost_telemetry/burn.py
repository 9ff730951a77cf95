"""Burn rate of the error budget of service levels, over several windows.

Source of the windows and thresholds: Beyer et al., "The Site Reliability Workbook",
O'Reilly 2018, chapter 5, multiwindow multi-burn-rate alerts.
"""

import collections
import time

import attrs
from hdrh import histogram

# Share of good requests.
OBJECTIVE = 0.995
SLICE_S = 10
WINDOWS_S = {"5m": 300, "1h": 3600}
FAST_BURN = 14.4
SLOW_BURN = 6.0
RETENTION_S = 3600
LOWEST_LATENCY_MS = 1
HIGHEST_LATENCY_MS = 600_000
SIGNIFICANT_DIGITS = 2


@attrs.frozen(kw_only=True)
class Series:
    """The dimensions by which requests are counted."""

    service: str
    customer: str
    domain: str


@attrs.define(kw_only=True)
class Slice:
    """Requests in one time slice of `SLICE_S` seconds."""

    good: int = 0
    bad: int = 0


@attrs.define(kw_only=True)
class SeriesReport:
    """Counts of a series on one instance, newest slice last.

    `slices` maps a slice's number (wall-clock seconds // `SLICE_S`) to its counts;
    `latency` is an encoded HdrHistogram of milliseconds.
    """

    series: Series
    slices: dict[str, Slice]
    latency: str


@attrs.define(kw_only=True)
class BurnRow:
    """Burn rates of a series over all instances."""

    series: Series
    good: int
    bad: int
    burn: dict[str, float]
    budget_left: float
    alert: str
    p50_ms: float
    p95_ms: float
    p99_ms: float


class BurnMeter:
    """Counts good and bad requests of one instance."""

    def __init__(self) -> None:
        self._slices: dict[Series, dict[int, Slice]] = collections.defaultdict(dict)
        self._latency: dict[Series, histogram.HdrHistogram] = {}

    def record(self, series: Series, *, good: bool, latency_s: float) -> None:
        """Count one request."""
        number = int(time.time()) // SLICE_S
        slices = self._slices[series]
        found = slices.get(number)
        if found is None:
            found = Slice()
            slices[number] = found
            _drop_expired(slices, number)
        if good:
            found.good += 1
        else:
            found.bad += 1
        self._histogram(series).record_value(
            max(LOWEST_LATENCY_MS, int(latency_s * 1000))
        )

    def _histogram(self, series: Series) -> histogram.HdrHistogram:
        found = self._latency.get(series)
        if found is None:
            found = _new_histogram()
            self._latency[series] = found
        return found

    def report(self) -> list[SeriesReport]:
        """Return the counts of all series."""
        return [
            SeriesReport(
                series=series,
                slices={str(number): item for number, item in slices.items()},
                latency=_encode(self._latency[series]),
            )
            for series, slices in self._slices.items()
        ]


def merge(reports: list[SeriesReport], *, now_s: float) -> list[BurnRow]:
    """Return the burn rates of each series, merged over all instances."""
    grouped: dict[Series, list[SeriesReport]] = collections.defaultdict(list)
    for report in reports:
        grouped[report.series].append(report)
    rows = [_row(series, group, now_s) for series, group in grouped.items()]
    return sorted(
        rows,
        key=lambda r: (r.series.service, r.series.customer, r.series.domain),
    )


def _row(series: Series, group: list[SeriesReport], now_s: float) -> BurnRow:
    merged = _new_histogram()
    for report in group:
        merged.add(histogram.HdrHistogram.decode(report.latency.encode()))
    good, bad = _counts(group, now_s, RETENTION_S)
    burn = {name: _burn(group, now_s, size) for name, size in WINDOWS_S.items()}
    spent = _bad_share(good, bad) / (1 - OBJECTIVE)
    return BurnRow(
        series=series,
        good=good,
        bad=bad,
        burn=burn,
        budget_left=1.0 - spent,
        alert=_alert(burn),
        p50_ms=merged.get_value_at_percentile(50),
        p95_ms=merged.get_value_at_percentile(95),
        p99_ms=merged.get_value_at_percentile(99),
    )


def _counts(group: list[SeriesReport], now_s: float, window_s: int) -> tuple[int, int]:
    first = int(now_s - window_s) // SLICE_S
    good = bad = 0
    for report in group:
        for number, item in report.slices.items():
            if int(number) > first:
                good += item.good
                bad += item.bad
    return good, bad


def _burn(group: list[SeriesReport], now_s: float, window_s: int) -> float:
    good, bad = _counts(group, now_s, window_s)
    return _bad_share(good, bad) / (1 - OBJECTIVE)


def _bad_share(good: int, bad: int) -> float:
    return bad / (good + bad) if good + bad else 0.0


def _alert(burn: dict[str, float]) -> str:
    lowest = min(burn.values())
    if lowest >= FAST_BURN:
        return "page"
    if lowest >= SLOW_BURN:
        return "ticket"
    return ""


def _drop_expired(slices: dict[int, Slice], newest: int) -> None:
    for number in [n for n in slices if n < newest - RETENTION_S // SLICE_S]:
        del slices[number]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_LATENCY_MS, HIGHEST_LATENCY_MS, SIGNIFICANT_DIGITS
    )


def _encode(hist: histogram.HdrHistogram) -> str:
    encoded = hist.encode()
    return encoded.decode() if isinstance(encoded, bytes) else encoded
