"""Rates that upstreams name, as they concern the calls of this instance."""

from masticpost_rates import statements, upstreamrates
from masticpost_text import model
from masticpost_upstream import pool


def run_of(up: model.Upstream) -> str:
    """Return the key of an upstream; its runs cannot be told apart."""
    return statements.run_key(up.name, up.url.rstrip("/"))


def listener(rates: upstreamrates.UpstreamRates) -> pool.RateListener:
    """Return a function that records the rates stated in answers."""

    def record(stated: pool.StatedRate) -> None:
        target = stated.target
        rates.record_response(
            statements.run_key(target.upstream, target.url),
            stated.values,
            sent_at=stated.sent_at,
            request_id=target.attempt_id,
        )

    return record
