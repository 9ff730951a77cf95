"""Lines of `status` about the rates that upstreams name."""

import collections.abc

from masticpost_rates import upstreamrates


def lines(
    statuses: collections.abc.Iterable[upstreamrates.RateStatus],
) -> list[str]:
    """Return a line per upstream that names a rate, from the newest statement."""
    newest: dict[str, upstreamrates.RateStatus] = {}
    for row in statuses:
        current = newest.get(row.upstream)
        if current is None or row.age_s < current.age_s:
            newest[row.upstream] = row
    return [
        f"upstream {row.upstream} takes {row.rate:g} requests/s from all instances:"
        f" told to {row.told_by} {row.age_s:.1f} s ago, permits from {row.granter}"
        for _, row in sorted(newest.items())
    ]
