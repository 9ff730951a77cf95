"""The account of callers' requests: each that was read ends in exactly one way."""

import asyncio
import enum
import typing

import attrs
import prometheus_client
from loguru import logger

CHECK_INTERVAL_S = 1.0


class End(enum.StrEnum):
    """How a request that was read ended, as seen on the caller's connection.

    Attributes
    ----------
    ANSWERED, REFUSED
        The whole answer was written to the socket.
    CALLER_LEFT
        The caller closed its side of the connection, or reset it, before that.
    CUT
        This instance ended the connection without the whole answer.
    UNSEEN
        The request was parsed, but its connection ended before a handler got it.
    UNWRITTEN
        The process ended with a part of the answer in its buffers.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    CALLER_LEFT = "caller-left"
    CUT = "cut"
    UNSEEN = "unseen"
    UNWRITTEN = "unwritten"


QUIET_ENDS = frozenset({End.ANSWERED, End.REFUSED, End.CALLER_LEFT})


class Conn(typing.Protocol):
    """What the account asks of a connection."""

    parsed_count: int
    open_ids: list[str]

    def settle(self) -> None:
        """Record the ends of the answers that are written."""


@attrs.frozen(kw_only=True)
class Balance:
    """Requests parsed and requests accounted for; they are equal if none is lost."""

    parsed: int
    accounted: int

    @property
    def difference(self) -> int:
        """Requests parsed that neither are open nor have ended."""
        return self.parsed - self.accounted


class Account:
    """Counts the requests that callers' connections parsed, and how each ended.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where the counters are shown.

    Attributes
    ----------
    conns : set of Conn
        Connections that are open.
    ends : dict of End to int
        Requests that ended, by the way they did.
    """

    def __init__(self, *, registry: prometheus_client.CollectorRegistry) -> None:
        self.conns: set[Conn] = set()
        self.ends = dict.fromkeys(End, 0)
        self._parsed_before = 0
        self._reported = 0
        self._suspected = 0
        self._ended = prometheus_client.Counter(
            "masticpost_account_ends",
            "Requests read from callers, by how they ended on the connection.",
            ["end"],
            registry=registry,
        )
        self._differences = prometheus_client.Counter(
            "masticpost_account_differences",
            "Requests read from callers that neither are open nor ended.",
            registry=registry,
        )
        self._unread = prometheus_client.Counter(
            "masticpost_account_closed_unread",
            "Connections that this instance closed with unread bytes in the socket.",
            registry=registry,
        )
        for end in End:
            self._ended.labels(end)

    def record_end(
        self, request_id: str, end: End, reason: str = "", *, is_told: bool = False
    ) -> None:
        """Count the end of one request.

        Those that got no whole answer are logged, unless their handler told so.
        """
        self.ends[end] += 1
        self._ended.labels(end).inc()
        if end not in QUIET_ENDS and not is_told:
            logger.bind(event="account", id=request_id, end=end, reason=reason).warning(
                "request ended without a whole answer"
            )

    def record_closed_unread(self, size: int) -> None:
        """Count a connection that was closed with unread bytes in the socket."""
        self._unread.inc()
        logger.bind(event="account", bytes=size).warning("connection closed unread")

    def record_closed(self, conn: Conn) -> None:
        """Take a connection that is closed from the open ones."""
        if conn in self.conns:
            self.conns.discard(conn)
            self._parsed_before += conn.parsed_count

    def balance(self) -> Balance:
        """Return both sides of the account at this moment."""
        parsed, accounted = self._parsed_before, sum(self.ends.values())
        for conn in self.conns:
            parsed += conn.parsed_count
            accounted += len(conn.open_ids)
        return Balance(parsed=parsed, accounted=accounted)

    def check(self) -> None:
        """Compare both sides; log and count a difference that lasts for two checks."""
        for conn in list(self.conns):
            conn.settle()
        now = self.balance()
        lasting = min(now.difference, self._suspected, key=abs)
        if lasting * now.difference > 0 and abs(lasting) > abs(self._reported):
            self._differences.inc(abs(lasting) - abs(self._reported))
            self._reported = lasting
            ids = [name for conn in self.conns for name in conn.open_ids]
            logger.bind(
                event="account", parsed=now.parsed, accounted=now.accounted, open=ids
            ).error("requests read and requests accounted for differ")
        self._suspected = now.difference

    async def watch(self) -> None:
        """Compare both sides each second."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()
