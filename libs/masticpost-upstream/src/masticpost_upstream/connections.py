"""Connections to upstreams that guard against bytes that belong to no request.

A connection without a request in flight is reset on any byte, since the byte cannot
belong to a request. A refusal ends its connection, since its repetition there would be
taken for the answer to the next request. A connection notes how it ended, since a body
without a length ends with it.
"""

import asyncio
import collections.abc
import functools
import socket
import struct

import aiohttp
import aiohttp.client_proto
from aiohttp import connector

# SO_LINGER with a time of 0: closing sends a reset and drops unsent data.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Statuses that may tell that a request was not run.
REFUSAL_STATUSES = frozenset((400, 404, 408, 421, 429, 503))
# State in TCP_INFO of a connection that was reset.
TCP_CLOSE = 7


class GuardedProtocol(aiohttp.client_proto.ResponseHandler):
    """One connection to an upstream.

    Attributes
    ----------
    is_idle : bool
        Whether the connection is kept open without a request in flight.
    is_lost : bool
        Whether the connection has ended.
    is_ended : bool
        Whether the upstream has ended it, so that all that it sent has arrived.
    lost_exc : BaseException or None
        Why it ended; None if the upstream or this process closed it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.is_lost = False
        self.is_ended = False
        self.lost_exc: BaseException | None = None

    def mark_idle(self) -> None:
        """Note that the connection has no request in flight."""
        self.is_idle = True

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self.is_idle = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process bytes from the upstream, or reset the connection."""
        if self.is_idle and data:
            reset(self.transport)
            return
        super().data_received(data)

    def feed_data(self, data: object, size: int = 0) -> None:
        """Pass a response on, and let a refusal end the connection."""
        message, _ = data
        if message.code in REFUSAL_STATUSES:
            self.force_close()
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Note that the upstream has ended the connection, unless it was reset.

        A failed write takes the error of a reset, and the next read returns an end.
        """
        self.is_ended = not _is_reset(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended, before readers of the body are woken."""
        self.is_lost, self.lost_exc = True, exc
        super().connection_lost(exc)


class GuardedResponse(aiohttp.ClientResponse):
    """A response that knows its connection, even after its end.

    Attributes
    ----------
    protocol : GuardedProtocol or None
        The connection, None before the head has arrived.
    """

    protocol: GuardedProtocol | None = None

    async def start(self, connection: connector.Connection) -> "GuardedResponse":
        """Read the head."""
        self.protocol = connection.protocol
        await super().start(connection)
        return self


class GuardedConnector(aiohttp.TCPConnector):
    """Creates connections, and resets those whose response is abandoned.

    A plain close would still deliver data that is delayed by the network or by a full
    TCP window, so the request would reach the upstream long after its caller has
    disconnected.

    Parameters
    ----------
    make_protocol : callable
        Makes a connection, given the event loop.
    """

    def __init__(
        self,
        *,
        make_protocol: collections.abc.Callable[..., GuardedProtocol] = GuardedProtocol,
        **options,
    ) -> None:
        super().__init__(**options)
        self._factory = functools.partial(make_protocol, asyncio.get_running_loop())

    @property
    def is_used(self) -> bool:
        """Whether a connection carries a request."""
        return bool(self._acquired)

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        if should_close:
            reset(protocol.transport)
        super()._release(key, protocol, should_close=should_close)
        protocol.mark_idle()


def reset(transport: asyncio.Transport | None) -> None:
    """Reset a connection and drop data that is not delivered yet."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()


def _is_reset(transport: asyncio.Transport | None) -> bool:
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None:
        return True
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE


def check_body_end(resp: GuardedResponse) -> None:
    """Raise unless a body that was read to its end is known to be complete.

    aiohttp takes any end of the connection for the end of a body without a length,
    also a reset and a close by this process. A read that has begun does not look for
    an error that was set meanwhile.

    Raises
    ------
    aiohttp.ClientPayloadError
        The connection was reset or closed here.
    """
    if resp.content.exception() is not None:
        raise resp.content.exception()
    if resp.content is aiohttp.streams.EMPTY_PAYLOAD or _has_length(resp):
        return
    conn = resp.protocol
    if conn.is_lost and (conn.lost_exc is not None or not conn.is_ended):
        raise aiohttp.ClientPayloadError(f"connection reset: {conn.lost_exc}")


def _has_length(resp: GuardedResponse) -> bool:
    """Return whether a body ends before its connection does."""
    codings = ",".join(resp.headers.getall("Transfer-Encoding", ())).split(",")
    if codings != [""]:
        return codings[-1].strip().lower() == "chunked"
    return "Content-Length" in resp.headers
