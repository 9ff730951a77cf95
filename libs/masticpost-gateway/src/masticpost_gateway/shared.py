"""The parts of an instance that every request uses."""

import attrs

from masticpost_gateway.learning import crashes, sessions, trial
from masticpost_gateway.reporting import measures
from masticpost_gateway.routing import cascade, choice, placement, retrybudget
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import isolation, recordcache
from masticpost_gateway.upstreams import conns, endings


@attrs.define(kw_only=True)
class Shared:
    """What every request uses.

    Attributes
    ----------
    closing_at : float or None
        Monotonic time at which this instance was told to stop, in seconds.
    """

    names: headers.HeaderNames
    known: recordcache.RecordCache
    chooser: choice.Chooser
    pools: conns.Pools
    retries: retrybudget.RetryBudget
    trials: trial.Trials
    sessions: sessions.Sessions
    metrics: measures.Measures
    loads: loads.Loads
    places: placement.Placement
    policy: cascade.Policy
    isolation: isolation.Isolation
    crashes: crashes.CrashTracker
    endings: endings.Endings
    closing_at: float | None = None
