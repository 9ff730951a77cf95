"""Connection pools for upstreams, one for each run of an upstream."""

import asyncio
import socket
import typing

import aiohttp
import attrs
import multidict
import yarl
from loguru import logger
from masticpost_upstream import connections

from masticpost_gateway.state import model
from masticpost_gateway.upstreams import protocol

CONNECT_TIMEOUT_S = 0.4
# Time after which a connection with unacknowledged data is given up.
UNACKED_TIMEOUT_MS = 1500
# Time for which an idle connection, and the pool of a removed upstream, stays open.
KEEPALIVE_S = 10.0
READ_BUFFER_BYTES = 65_536
# Lower bound of an instance's share of the connections to one upstream.
MIN_CONNECTIONS = 2
# Headers that aiohttp would add by itself.
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class NotSentError(Exception):
    """No connection was established, so the upstream has read nothing."""


class BrokenError(Exception):
    """The connection failed after the request may have been read."""


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request as sent to an upstream; `target` is path and query, as received."""

    method: str
    target: str
    headers: multidict.CIMultiDict
    body: bytes


class Pool:
    """Connections to one run of an upstream.

    Parameters
    ----------
    upstream : model.Upstream
        The upstream to connect to.
    """

    def __init__(self, *, upstream: model.Upstream) -> None:
        self.upstream = upstream
        connector = connections.GuardedConnector(
            protocol_class=protocol.UpstreamProtocol,
            limit=0,
            keepalive_timeout=KEEPALIVE_S,
            socket_factory=make_socket,
        )
        self._http = aiohttp.ClientSession(
            connector=connector,
            response_class=connections.GuardedResponse,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp would retry some requests by itself; only the kind of the route
        # decides whether a request may be retried.
        self._http._retry_connection = False

    async def send(self, out: OutgoingRequest) -> aiohttp.ClientResponse:
        """Send a request and return the response with its body still unread.

        Raises
        ------
        NotSentError
            No connection was established.
        BrokenError
            The connection failed, or the response is not valid HTTP.
        """
        try:
            url = yarl.URL(f"http://{self.upstream.address}{out.target}", encoded=True)
        except ValueError as exc:
            raise NotSentError(str(exc)) from exc
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


async def read_body(resp: connections.GuardedResponse) -> bytes:
    """Return the whole body of a response.

    Raises
    ------
    aiohttp.ClientError, OSError
        The connection failed before its end.
    """
    body = await resp.read()
    connections.check_body_end(resp)
    return body


class Pools:
    """The pools of all upstreams.

    Parameters
    ----------
    instance_count : callable
        Returns the number of instances that share the connections to an upstream.
    """

    def __init__(self, *, instance_count: typing.Callable[[], int]) -> None:
        self.instance_count = instance_count
        self._pools: dict[tuple, Pool] = {}
        self._closing: set[asyncio.Task] = set()

    def connection_share(self, service: model.Service) -> int:
        """Return this instance's share of the connections to one upstream.

        0 means no limit. The code that selects upstreams enforces it; a pool does not
        limit requests itself.
        """
        if not service.max_connections:
            return 0
        share = service.max_connections // max(1, self.instance_count())
        return max(share, MIN_CONNECTIONS)

    def get(self, upstream: model.Upstream) -> Pool:
        """Return the pool for this run of an upstream; creates it if needed."""
        pool = self._pools.get(upstream.incarnation)
        if pool is None:
            pool = self._pools[upstream.incarnation] = Pool(upstream=upstream)
        return pool

    def keep_only(self, upstreams: list[model.Upstream]) -> None:
        """Close the pools of all other upstreams after `KEEPALIVE_S`."""
        kept = {upstream.incarnation for upstream in upstreams}
        for key in [key for key in self._pools if key not in kept]:
            task = asyncio.ensure_future(
                self._close_after_keepalive(self._pools.pop(key))
            )
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def _close_after_keepalive(self, pool: Pool) -> None:
        # An upstream that is no longer listed may still respond to requests in flight.
        await asyncio.sleep(KEEPALIVE_S)
        await pool.close()
        logger.bind(event="pool", upstream=pool.upstream.name).debug(
            "connection pool closed"
        )

    async def close(self) -> None:
        """Close all pools at once."""
        for pool in self._pools.values():
            await pool.close()


def make_socket(addr_info: tuple) -> socket.socket:
    """Return a socket that times out when the peer does not acknowledge data."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock
