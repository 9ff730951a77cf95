"""Connections to upstreams that bound what the other side may send.

An upstream in trouble may send bytes without end that are no answer. Each connection
counts what came since something useful did and is reset beyond a bound, and while no
request is at work any byte ends it: it belongs to no request.
"""

import asyncio
import functools
import socket
import struct

import aiohttp
import aiohttp.client_proto

# Room for the largest head and for interim answers before it.
MAX_HEAD_BYTES = 262_144
MAX_ANSWER_BYTES = 16 * 2**20
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class EndlessError(aiohttp.ClientPayloadError):
    """An upstream has sent more bytes than an answer may have."""


class UpstreamProtocol(aiohttp.client_proto.ResponseHandler):
    """One connection to an upstream.

    Attributes
    ----------
    received : int
        Bytes that came since the request was sent or `renew_byte_limit` was last called.
    limit : int
        Bytes after which the connection is reset.
    is_idle : bool
        Whether the connection is kept without a request at work.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.received = 0
        self.limit = MAX_HEAD_BYTES
        self.is_idle = False

    def set_response_params(self, **params) -> None:
        """Get ready for the answer to the next request."""
        self.is_idle = False
        self.renew_byte_limit(MAX_HEAD_BYTES)
        super().set_response_params(**params)

    def renew_byte_limit(self, limit: int) -> None:
        """Note that something useful came; up to `limit` more bytes may follow."""
        self.received, self.limit = 0, limit

    def data_received(self, data: bytes) -> None:
        """Take bytes from the upstream."""
        self.received += len(data)
        if self.is_idle and data:
            reset(self.transport)
            return
        if self.received > self.limit:
            self._reject_endless()
            return
        super().data_received(data)

    def _reject_endless(self) -> None:
        exc = EndlessError(f"over {self.limit} bytes that are no answer")
        if self._payload is not None:
            self._payload.set_exception(exc)
        self.set_exception(exc)
        reset(self.transport)


class Connector(aiohttp.TCPConnector):
    """Makes links, and resets those whose answer is given up.

    A plain close would still deliver what the network or a full window holds back: the
    request would reach the upstream long after its caller has gone.
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
    """Close a connection and drop what is not delivered yet."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()


def renew_byte_limit(resp: aiohttp.ClientResponse, limit: int = MAX_ANSWER_BYTES) -> None:
    """Note that an answer's head or an event of it was of use.

    Parameters
    ----------
    limit : int
        Bytes that may come before the next call.
    """
    conn = resp.connection
    if conn is not None:
        conn.protocol.renew_byte_limit(limit)
