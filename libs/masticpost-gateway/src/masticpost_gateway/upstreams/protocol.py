"""Client protocol that limits how many bytes an upstream may send.

A faulty upstream may send an endless stream of bytes that is not a valid response. Each
connection counts the bytes received since the last valid head or event and is reset
when they exceed a limit.
"""

import asyncio

import aiohttp
from masticpost_upstream import connections

# Enough for the largest head and for interim (1xx) responses before it.
MAX_HEAD_BYTES = 262_144
MAX_ANSWER_BYTES = 16 * 2**20


class EndlessError(aiohttp.ClientPayloadError):
    """An upstream has sent more bytes than a response may have."""


class UpstreamProtocol(connections.GuardedProtocol):
    """One connection to an upstream.

    Attributes
    ----------
    received : int
        Bytes received since the request was sent or `renew_byte_limit` was called.
    limit : int
        Bytes after which the connection is reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.received = 0
        self.limit = MAX_HEAD_BYTES

    def set_response_params(self, **params) -> None:
        """Prepare for the response to the next request."""
        self.renew_byte_limit(MAX_HEAD_BYTES)
        super().set_response_params(**params)

    def renew_byte_limit(self, limit: int) -> None:
        """Restart the count of received bytes and allow up to `limit` more."""
        self.received, self.limit = 0, limit

    def data_received(self, data: bytes) -> None:
        """Process bytes from the upstream, or reset the connection."""
        self.received += len(data)
        if self.received > self.limit:
            self._reject_endless()
            return
        super().data_received(data)

    def _reject_endless(self) -> None:
        exc = EndlessError(f"over {self.limit} bytes without a valid response")
        if self._payload is not None:
            self._payload.set_exception(exc)
        self.set_exception(exc)
        connections.reset(self.transport)


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
