"""The rates that upstreams name, as this instance knows them."""

import collections.abc

import attrs
from loguru import logger
from masticpost_common import clock

from masticpost_rates import header, statements


@attrs.frozen(kw_only=True)
class RateStatus:
    """A rate in force, for operators.

    Attributes
    ----------
    rate : float
        Requests per second that the upstream takes from all instances.
    told_by : str
        Instance that received the newest statement.
    age_s : float
        Seconds since then.
    """

    upstream: str
    rate: float
    told_by: str
    age_s: float


class UpstreamRates:
    """Records the rates that upstreams name in their answers.

    Parameters
    ----------
    me : str
        Name of this instance.
    """

    def __init__(self, *, me: str) -> None:
        self.me = me
        self.statements = statements.Statements()

    def record_response(
        self,
        run: str,
        values: collections.abc.Sequence[str],
        *,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record what the head of an answer says of the upstream's rate.

        Parameters
        ----------
        run : str
            Key of the run of the upstream, see `statements.run_key`.
        values : sequence of str
            Values of the header that names the rate; empty without one.
        sent_at : float
            When the request was sent, in monotonic seconds.
        """
        if not values and run not in self.statements.rows:
            return
        try:
            rate = header.parse(values)
        except header.InvalidRateError as exc:
            logger.bind(
                event="upstream", upstream=statements.upstream_of(run), id=request_id
            ).warning("ignored the rate that an upstream named: {}", exc)
            return
        now = clock.now()
        row = statements.Statement(
            rate=rate, sent_at=sent_at, seen_at=now, told_by=self.me
        )
        change = self.statements.merge(run, row)
        if change is not None:
            statements.log_change(run, change, row, request_id=request_id, now=now)

    def statuses(self) -> list[RateStatus]:
        """Return the rates in force, by upstream."""
        now = clock.now()
        return [
            RateStatus(
                upstream=statements.upstream_of(run),
                rate=row.rate,
                told_by=row.told_by,
                age_s=round(now - row.seen_at, 3),
            )
            for run, row in sorted(self.statements.limited.items())
        ]
