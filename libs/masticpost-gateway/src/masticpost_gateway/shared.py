"""Components of an instance that are shared by all requests."""

import attrs
from masticpost_rates import upstreamrates

from masticpost_gateway.learning import crashes, quarantine, sessions, trial
from masticpost_gateway.reporting import requestmetrics
from masticpost_gateway.routing import (
    cascade,
    choice,
    contention,
    forecasts,
    placement,
    retrybudget,
)
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import isolation, recordcache
from masticpost_gateway.upstreams import conns, exits


@attrs.define(kw_only=True)
class Shared:
    """Components shared by all requests of an instance.

    Attributes
    ----------
    closing_at : float or None
        Monotonic time in seconds at which this instance began to drain; None before.
    """

    names: headers.HeaderNames
    records: recordcache.RecordCache
    chooser: choice.Chooser
    pools: conns.Pools
    retries: retrybudget.RetryBudget
    trials: trial.Trials
    sessions: sessions.Sessions
    metrics: requestmetrics.RequestMetrics
    loads: loads.Loads
    placement: placement.Placement
    forecasts: forecasts.Forecasts
    contention: contention.Contention
    policy: cascade.Policy
    isolation: isolation.Isolation
    crashes: crashes.CrashTracker
    trial_turns: quarantine.TrialTurns
    exits: exits.ExitDetector
    rates: upstreamrates.UpstreamRates
    closing_at: float | None = None
