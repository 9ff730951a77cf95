"""The closed list of how a request can end, as logs and metrics tell it."""

import enum


class Outcome(enum.StrEnum):
    """How a request ended.

    Attributes
    ----------
    ANSWERED
        An upstream's whole answer was passed on, its own failures included.
    CUT
        A stream ended before its last event.
    CALLER_GONE
        The caller closed its connection before the end.
    NO_CONFIGURATION
        Refused: this instance knows no configuration yet.
    CONFIGURATION_TOO_OLD
        Refused: an older configuration is not enough to tell that a route or a key
        does not exist.
    NO_ROUTE, UNKNOWN_KEY
        Refused for good by the configuration in force.
    TOO_LARGE
        Refused: the body is over the limit.
    STOPPING
        Refused: this instance stops.
    NOT_RUN
        Refused: no upstream ran it, and none will.
    QUARANTINED
        Refused: it crashed the upstreams that ran it, and was not run again.
    UPSTREAM_FAILED
        Given up after an upstream may have run it.
    TIMEOUT
        Given up at its deadline or its route's timeout.
    """

    ANSWERED = "answered"
    CUT = "cut"
    CALLER_GONE = "caller-gone"
    NO_CONFIGURATION = "no-configuration"
    CONFIGURATION_TOO_OLD = "configuration-too-old"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    TOO_LARGE = "too-large"
    STOPPING = "stopping"
    NOT_RUN = "not-run"
    QUARANTINED = "quarantined"
    UPSTREAM_FAILED = "upstream-failed"
    TIMEOUT = "timeout"
