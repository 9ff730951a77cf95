"""Limits on what upstreams send: for each connection, and for all of a process.

A faulty upstream may send bytes without end that are no response. Each connection
counts what it has received since the last head or event that made sense, and is reset
beyond its limit. What all connections hold together is bounded as well; beyond that
bound, the one that holds most is reset. A connection is also reset on a response with
an invalid status.
"""

import asyncio
import collections.abc
import socket

import aiohttp
import attrs
from loguru import logger

from masticpost_upstream import connections

# Enough for the largest head and for interim (1xx) responses before it.
MAX_HEAD_BYTES = 65_536
MAX_INTERIM_RESPONSES = 16
# 101 is no answer either, since no request asks for another protocol.
VALID_STATUSES = frozenset(range(100, 600)) - {101}
# Parsed at once before the head is complete, so that interim responses are counted.
HEAD_SLICE_BYTES = 4_096
# Of a body whose reader does not say what it expects.
MAX_BODY_BYTES = 2**20
# Bytes that the kernel holds of a connection. Linux doubles the value.
KERNEL_BUFFER_BYTES = 32_768
DEFAULT_MEMORY_BYTES = 150 * 2**20
# Part of a process's memory that received bytes may take.
MEMORY_SHARE = 0.04


class EndlessError(aiohttp.ClientPayloadError):
    """An upstream has sent more bytes than a response may have."""


class InvalidStatusError(aiohttp.ClientPayloadError):
    """An upstream has sent a response with an invalid status."""


def _log(reason: str, held: int, exc: Exception) -> None:
    logger.bind(event="upstream", reason=reason, held=held).warning(
        "reset a connection to an upstream: {}", exc
    )


@attrs.define(kw_only=True, eq=False)
class Allowance:
    """Bytes that the connections of a process may hold together.

    Attributes
    ----------
    limit : int
        The most that they may hold.
    held : int
        What they hold now.
    on_reset : callable
        Called with the name of the limit when a connection is reset.
    """

    limit: int = int(MEMORY_SHARE * DEFAULT_MEMORY_BYTES)
    held: int = 0
    on_reset: collections.abc.Callable[[str], None] = lambda reason: None
    _conns: set["LimitedProtocol"] = attrs.field(factory=set)

    @classmethod
    def of_memory(cls, memory_bytes: float) -> "Allowance":
        """Return the allowance of a process with a memory limit."""
        return cls(limit=int(MEMORY_SHARE * memory_bytes))

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of it is used, so that nothing large is held."""
        return self.held > self.limit / 2

    def take(self, conn: "LimitedProtocol", size: int) -> None:
        """Note that a connection holds more, and reset the largest beyond the limit."""
        self._conns.add(conn)
        conn.held += size
        self.held += size
        while self.held > self.limit and self._conns:
            max(self._conns, key=lambda row: row.held).reject("memory")

    def give_back(self, conn: "LimitedProtocol") -> None:
        """Note that a connection holds nothing any more."""
        self.held -= conn.held
        conn.held = 0
        self._conns.discard(conn)


DEFAULT_ALLOWANCE = Allowance()


class LimitedProtocol(connections.GuardedProtocol):
    """One connection to an upstream, which ends when too many bytes arrive.

    Parameters
    ----------
    allowance : Allowance
        What all connections of the process may hold.

    Attributes
    ----------
    received : int
        Bytes received since the request was sent or `renew` was called.
    limit : int
        Bytes after which the connection is reset.
    held : int
        Bytes that count for the allowance.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        allowance: Allowance = DEFAULT_ALLOWANCE,
    ) -> None:
        super().__init__(loop)
        self.allowance = allowance
        self.received = self.held = 0
        self.limit = MAX_HEAD_BYTES
        self._interim_count = 0
        self._has_head = False
        self._rejection: aiohttp.ClientPayloadError | None = None

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self.renew(MAX_HEAD_BYTES)
        self._interim_count = 0
        self._has_head = False
        super().set_response_params(**params)

    def renew(self, limit: int) -> None:
        """Restart the count of received bytes and allow up to `limit` more."""
        self.received, self.limit = 0, limit
        self.allowance.give_back(self)

    def mark_idle(self) -> None:
        """Note that the connection has no request in flight."""
        self.allowance.give_back(self)
        super().mark_idle()

    def data_received(self, data: bytes) -> None:
        """Process bytes from the upstream, or reset the connection."""
        start = 0
        while not self._has_head and not self.is_idle and start < len(data):
            self._feed(data[start : start + HEAD_SLICE_BYTES])
            start += HEAD_SLICE_BYTES
        if start < len(data) or not data:
            self._feed(data[start:] if start else data)

    def _feed(self, data: bytes) -> None:
        if self._rejection is not None:
            return
        self.received += len(data)
        if self.received > self.limit:
            self.reject("body" if self._has_head else "head")
            return
        self.allowance.take(self, len(data))
        if self._rejection is None:
            super().data_received(data)

    def feed_data(self, data: object, size: int = 0) -> None:
        """Pass a response on if its status is valid; count interim ones."""
        message, _ = data
        if self._rejection is not None:
            return
        if message.code not in VALID_STATUSES:
            self._reset("status", InvalidStatusError(f"status {message.code}"))
            return
        if message.code >= 200:
            self._has_head = True
            self.limit += MAX_BODY_BYTES
        else:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                self.reject("interim responses")
                return
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note that the connection holds nothing any more."""
        self.allowance.give_back(self)
        super().connection_lost(self._rejection or exc)

    def reject(self, reason: str) -> None:
        """Reset the connection beyond a limit, and let its reader fail."""
        if self._rejection is not None:
            return
        self._reset(
            reason, EndlessError(f"no end of the response within the limit: {reason}")
        )

    def _reset(self, reason: str, exc: aiohttp.ClientPayloadError) -> None:
        self._rejection = exc
        _log(reason, self.held, exc)
        self.allowance.give_back(self)
        self.allowance.on_reset(reason)
        payload = self._payload
        if payload is not None and payload is not aiohttp.streams.EMPTY_PAYLOAD:
            payload.set_exception(exc)
            payload._buffer.clear()
        self.set_exception(exc)
        connections.reset(self.transport)


def renew(resp: aiohttp.ClientResponse, limit: int) -> None:
    """Restart the byte count of a connection after a valid head, part or event.

    Parameters
    ----------
    limit : int
        Bytes that may be received before the next call.
    """
    conn = resp.connection
    if conn is not None:
        conn.protocol.renew(limit)


def make_socket(addr_info: tuple) -> socket.socket:
    """Return a socket for which the kernel holds few bytes."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    return sock
