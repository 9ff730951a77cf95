"""Kept connections to upstreams, one pool for each run of an upstream."""

import asyncio
import socket
import typing

import aiohttp
import attrs
import multidict
import yarl
from loguru import logger

from masticpost_gateway.state import model
from masticpost_gateway.upstreams import protocol

CONNECT_TIMEOUT_S = 0.4
UNACKED_TIMEOUT_MS = 1500
KEEPALIVE_S = 10.0
READ_BUFFER_BYTES = 65_536
MIN_CONNECTIONS = 2
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotSentError(Exception):
    """No connection came about, so that the upstream has read nothing."""


class BrokenError(Exception):
    """The connection failed after the request may have been read."""


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request as an upstream gets it; `target` is path and query, as received."""

    method: str
    target: str
    headers: multidict.CIMultiDict
    body: bytes


class Pool:
    """Connections to one run of an upstream.

    Parameters
    ----------
    upstream : model.Upstream
        Where they go.
    """

    def __init__(self, *, upstream: model.Upstream) -> None:
        self.upstream = upstream
        connector = protocol.Connector(
            limit=0,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=make_socket,
        )
        self._http = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp would send some requests twice by itself; what may be repeated is
        # decided by the route's kind alone.
        self._http._retry_connection = False

    async def send(self, out: OutgoingRequest) -> aiohttp.ClientResponse:
        """Send a request and return the answer's head; its body is yet to be read.

        Raises
        ------
        NotSentError
            No connection came about.
        BrokenError
            The connection failed, or the answer is not HTTP.
        """
        url = yarl.URL(f"http://{self.upstream.address}{out.target}", encoded=True)
        try:
            resp = await self._http.request(
                out.method,
                url,
                headers=out.headers,
                data=out.body or None,
                allow_redirects=False,
                skip_auto_headers=AUTO_HEADERS,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise NotSentError(str(exc)) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise BrokenError(f"{type(exc).__name__}: {exc}") from exc
        protocol.renew_byte_limit(resp)
        return resp

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()


class BodyEndCheck:
    """Tells a body that ends with its connection from one that was cut.

    aiohttp ends a body without length at any end of the connection. Make this before
    the body is read and call `check` after it.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        The answer whose body is to be read.
    """

    def __init__(self, resp: aiohttp.ClientResponse) -> None:
        head = resp.headers
        is_framed = "Content-Length" in head or "Transfer-Encoding" in head
        self._needs_clean_end = not is_framed
        conn = resp.connection
        self._closed = conn.protocol.closed if conn is not None else None
        if self._closed is not None:
            self._closed.add_done_callback(_mark_retrieved)

    def check(self) -> None:
        """Raise unless the body is known to be whole.

        Raises
        ------
        aiohttp.ClientPayloadError
            The connection was reset, or ended before this object was made.
        """
        if not self._needs_clean_end:
            return
        if self._closed is None or not self._closed.done():
            raise aiohttp.ClientPayloadError("the end of the connection is not known")
        exc = self._closed.exception()
        if exc is not None:
            raise aiohttp.ClientPayloadError(f"connection reset: {exc}")


def _mark_retrieved(fut: asyncio.Future) -> None:
    """Take note of a future's exception, which is else reported as never retrieved."""
    if not fut.cancelled():
        fut.exception()


class Pools:
    """The pools of all upstreams.

    Parameters
    ----------
    instance_count : callable
        Returns the number of instances that share an upstream's connections.
    """

    def __init__(self, *, instance_count: typing.Callable[[], int]) -> None:
        self.instance_count = instance_count
        self._pools: dict[tuple, Pool] = {}
        self._closing: set[asyncio.Task] = set()

    def connection_share(self, service: model.Service) -> int:
        """Return this instance's share of one upstream's connections, 0 for no bound.

        Who chooses upstreams keeps to it: a pool itself does not hold requests back.
        """
        if not service.max_connections:
            return 0
        share = service.max_connections // max(1, self.instance_count())
        return max(share, MIN_CONNECTIONS)

    def get(self, upstream: model.Upstream) -> Pool:
        """Return the pool of this run of an upstream."""
        pool = self._pools.get(upstream.incarnation)
        if pool is None:
            pool = self._pools[upstream.incarnation] = Pool(upstream=upstream)
        return pool

    def keep_only(self, upstreams: list[model.Upstream]) -> None:
        """Close the pools of upstreams that are gone."""
        kept = {upstream.incarnation for upstream in upstreams}
        for key in [key for key in self._pools if key not in kept]:
            task = asyncio.ensure_future(self._close_after_keepalive(self._pools.pop(key)))
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def _close_after_keepalive(self, pool: Pool) -> None:
        # Requests at work may still be answered by an upstream that has left the list.
        await asyncio.sleep(KEEPALIVE_S)
        await pool.close()
        logger.bind(event="pool", upstream=pool.upstream.name).debug("closed")

    async def close(self) -> None:
        """Close every pool."""
        for pool in self._pools.values():
            await pool.close()


def make_socket(addr_info: tuple) -> socket.socket:
    """Return a socket that gives up on a peer that acknowledges nothing."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock
