"""Connection pools for upstreams, one for each run of an upstream."""

import asyncio
import functools
import socket
import typing

import aiohttp
import attrs
import multidict
import yarl
from loguru import logger
from masticpost_upstream import bodies, connections, limits

from masticpost_gateway.state import model

CONNECT_TIMEOUT_S = 0.4
# Time after which a connection with unacknowledged data is given up.
UNACKED_TIMEOUT_MS = 1500
# Time for which an idle connection, and the pool of a removed upstream, stays open.
KEEPALIVE_S = 10.0
READ_BUFFER_BYTES = 16_384
# Largest body that is read whole before anything of it is passed on, while memory is
# plentiful and while it is scarce.
MAX_HELD_BYTES = 262_144
MAX_HELD_IF_SCARCE_BYTES = 16_384
# Largest body that is passed on.
MAX_ANSWER_BYTES = 16 * 2**20
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
    allowance : limits.Allowance
        Bytes that all connections may hold.
    """

    def __init__(
        self, *, upstream: model.Upstream, allowance: limits.Allowance
    ) -> None:
        self.upstream = upstream
        connector = connections.GuardedConnector(
            make_protocol=functools.partial(
                limits.LimitedProtocol, allowance=allowance
            ),
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
            bodies.drop_frames(exc)
            raise BrokenError(f"{type(exc).__name__}: {exc}") from exc
        limits.renew(resp, MAX_HELD_BYTES)
        return resp

    @property
    def is_used(self) -> bool:
        """Whether a connection carries a request."""
        return self._http.connector.is_used

    async def close(self) -> None:
        """Close every connection."""
        await self._http.close()


async def read_start(
    resp: connections.GuardedResponse, allowance: limits.Allowance
) -> tuple[bytes, bool]:
    """Return the body of a response, or the start of a large one of known length.

    A body of unknown length is held whole while the allowance lasts, since it may turn
    out to have no end.

    Returns
    -------
    bytes
        What has been read.
    bool
        Whether that is the whole body.

    Raises
    ------
    aiohttp.ClientError, OSError
        The connection failed before its end, or the body is too large.
    """
    length = resp.content_length
    if length is not None and length > MAX_ANSWER_BYTES:
        raise limits.EndlessError(f"a body of {length} bytes is too large")
    limits.renew(resp, MAX_ANSWER_BYTES)
    most = MAX_HELD_IF_SCARCE_BYTES if allowance.is_scarce else MAX_HELD_BYTES
    if length is None or length <= most:
        return await bodies.read(resp), True
    return await resp.content.readany(), False


class Pools:
    """The pools of all upstreams.

    Parameters
    ----------
    instance_count : callable
        Returns the number of instances that share the connections to an upstream.
    allowance : limits.Allowance
        Bytes that all connections may hold.
    """

    def __init__(
        self,
        *,
        instance_count: typing.Callable[[], int],
        allowance: limits.Allowance,
    ) -> None:
        self.instance_count = instance_count
        self.allowance = allowance
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
            pool = Pool(upstream=upstream, allowance=self.allowance)
            self._pools[upstream.incarnation] = pool
        return pool

    def keep_only(self, upstreams: list[model.Upstream]) -> None:
        """Close the pools of all other upstreams once they are unused."""
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
        while pool.is_used:
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
    sock = limits.make_socket(addr_info)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock
