"""The closed set of request outcomes, as written to logs and metrics."""

import enum


class Outcome(enum.StrEnum):
    """How a request ended.

    Attributes
    ----------
    ANSWERED
        The complete answer of an upstream was forwarded, server errors included.
    CUT
        A stream ended before its last event.
    CALLER_GONE
        The caller closed its connection before the end.
    NO_CONFIGURATION
        Refused: this instance has not loaded any configuration yet.
    CONFIGURATION_TOO_OLD
        Refused: the route or key is unknown, but the cached configuration is too old
        to refuse it for good.
    NO_ROUTE, UNKNOWN_KEY
        Refused for good according to the current configuration.
    TOO_LARGE
        Refused: the body exceeds the size limit.
    TOO_SLOW
        Refused: no part of the body came within the time limit.
    STOPPING
        Refused: this instance is shutting down.
    NOT_RUN
        Refused: no upstream ran the request, and none will.
    QUARANTINED
        Refused: the request crashed the upstreams that ran it, and was not run again.
    UPSTREAM_FAILED
        Given up after an upstream may have run the request.
    TIMEOUT
        Given up at the caller's deadline or at the timeout of the route.
    """

    ANSWERED = "answered"
    CUT = "cut"
    CALLER_GONE = "caller-gone"
    NO_CONFIGURATION = "no-configuration"
    CONFIGURATION_TOO_OLD = "configuration-too-old"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    STOPPING = "stopping"
    NOT_RUN = "not-run"
    QUARANTINED = "quarantined"
    UPSTREAM_FAILED = "upstream-failed"
    TIMEOUT = "timeout"
