"""Client protocol that guards against bytes that belong to no request.

A faulty upstream may send an endless stream of bytes that is not a valid response. Each
connection counts the bytes received since the last valid head or event and is reset
when they exceed a limit. A connection without a request in flight is reset on any byte,
since the byte cannot belong to a request. A refusal ends its connection, since its
repetition there would be taken for the answer to the next request.
"""

import asyncio
import functools
import socket
import struct

import aiohttp
import aiohttp.client_proto
from aiohttp import connector

# Enough for the largest head and for interim (1xx) responses before it.
MAX_HEAD_BYTES = 262_144
MAX_ANSWER_BYTES = 16 * 2**20
# SO_LINGER with a time of 0: closing sends a reset and drops unsent data.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# Statuses that may tell that a request was not run.
REFUSAL_STATUSES = frozenset((400, 408, 421, 429, 503))


class EndlessError(aiohttp.ClientPayloadError):
    """An upstream has sent more bytes than a response may have."""


class UpstreamProtocol(aiohttp.client_proto.ResponseHandler):
    """One connection to an upstream.

    Attributes
    ----------
    received : int
        Bytes received since the request was sent or `renew_byte_limit` was called.
    limit : int
        Bytes after which the connection is reset.
    is_idle : bool
        Whether the connection is kept open without a request in flight.
    is_lost : bool
        Whether the connection has ended.
    lost_exc : BaseException or None
        Why it ended; None if the upstream closed it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.received = 0
        self.limit = MAX_HEAD_BYTES
        self.is_idle = False
        self.is_lost = False
        self.lost_exc: BaseException | None = None

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self.is_idle = False
        self.renew_byte_limit(MAX_HEAD_BYTES)
        super().set_response_params(**params)

    def renew_byte_limit(self, limit: int) -> None:
        """Restart the count of received bytes and allow up to `limit` more."""
        self.received, self.limit = 0, limit

    def data_received(self, data: bytes) -> None:
        """Process bytes from the upstream, or reset the connection."""
        self.received += len(data)
        if self.is_idle and data:
            reset(self.transport)
            return
        if self.received > self.limit:
            self._reject_endless()
            return
        super().data_received(data)

    def feed_data(self, data: object, size: int = 0) -> None:
        """Pass a response on, and let a refusal end the connection."""
        message, _ = data
        if message.code in REFUSAL_STATUSES:
            self.force_close()
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended, before readers of the body are woken."""
        self.is_lost, self.lost_exc = True, exc
        super().connection_lost(exc)

    def _reject_endless(self) -> None:
        exc = EndlessError(f"over {self.limit} bytes without a valid response")
        if self._payload is not None:
            self._payload.set_exception(exc)
        self.set_exception(exc)
        reset(self.transport)


class UpstreamResponse(aiohttp.ClientResponse):
    """A response that knows its connection, even after its end.

    Attributes
    ----------
    protocol : UpstreamProtocol or None
        The connection, None before the head has arrived.
    """

    protocol: UpstreamProtocol | None = None

    async def start(self, connection: connector.Connection) -> "UpstreamResponse":
        """Read the head."""
        self.protocol = connection.protocol
        await super().start(connection)
        return self


class Connector(aiohttp.TCPConnector):
    """Creates connections, and resets those whose response is abandoned.

    A plain close would still deliver data that is delayed by the network or by a full
    TCP window, so the request would reach the upstream long after its caller has
    disconnected.
    """

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = functools.partial(UpstreamProtocol, asyncio.get_running_loop())

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        if should_close:
            reset(protocol.transport)
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True


def reset(transport: asyncio.Transport | None) -> None:
    """Reset a connection and drop data that is not delivered yet."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()


def renew_byte_limit(
    resp: aiohttp.ClientResponse, limit: int = MAX_ANSWER_BYTES
) -> None:
    """Restart the byte count of a connection after a valid head or event.

    Parameters
    ----------
    limit : int
        Bytes that may be received before the next call.
    """
    conn = resp.connection
    if conn is not None:
        conn.protocol.renew_byte_limit(limit)
