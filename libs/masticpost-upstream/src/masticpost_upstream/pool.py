"""Connections and error translation, shared by all clients of upstreams."""

import collections.abc
import contextlib
import ssl

import aiohttp
import attrs
from masticpost_common import clock

from masticpost_upstream import bodies, connections, faults, limits

CONNECT_TIMEOUT_S = 0.5
READ_BUFFER_BYTES = 16_384
# A body that unfolds to more than was received is not asked for.
NO_ENCODING = "identity"
# Names the requests per second that an upstream takes from all instances.
RATE_HEADER = "X-Upstream-Rate"


@attrs.frozen(kw_only=True)
class Target:
    """The upstream of a call, its correlation id and its time-out.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    url : str
        Base URL of the upstream.
    attempt_id : str
        Correlation id of the call.
    deadline_s : float
        Time left for the call, in seconds.
    """

    upstream: str
    url: str
    attempt_id: str
    deadline_s: float

    def timeout(self) -> aiohttp.ClientTimeout:
        """Return the time-outs of the call: its deadline, and less to connect."""
        return aiohttp.ClientTimeout(
            total=self.deadline_s, sock_connect=CONNECT_TIMEOUT_S
        )


@attrs.frozen(kw_only=True)
class StatedRate:
    """What the head of an answer states of the upstream's rate.

    Attributes
    ----------
    values : tuple of str
        Values of `RATE_HEADER`; empty without one.
    sent_at : float
        When the call was sent, in monotonic seconds.
    """

    target: Target
    values: tuple[str, ...]
    sent_at: float


RateListener = collections.abc.Callable[[StatedRate], None]


class Pool:
    """Connection pool of one client, opened on first use.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for https upstreams; None for the default context.
    keep_alive : bool
        Whether connections are reused for further calls.

    Attributes
    ----------
    on_rate : callable
        Called with the `StatedRate` of each answer.
    """

    def __init__(self, *, tls: ssl.SSLContext | None, keep_alive: bool) -> None:
        self._tls = tls
        self._keep_alive = keep_alive
        self.on_rate: RateListener = lambda stated: None
        self._http: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Return the session; opens it on first use."""
        if self._http is None:
            connector = connections.GuardedConnector(
                make_protocol=limits.LimitedProtocol,
                socket_factory=limits.make_socket,
                limit=0,
                force_close=not self._keep_alive,
                ssl=self._tls if self._tls is not None else True,
            )
            self._http = aiohttp.ClientSession(
                connector=connector,
                response_class=connections.GuardedResponse,
                headers={"Accept-Encoding": NO_ENCODING},
                auto_decompress=False,
                read_bufsize=READ_BUFFER_BYTES,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._http

    @contextlib.asynccontextmanager
    async def request(
        self, target: Target, method: str, url: str, **options: object
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield its answer, whose body is still unread."""
        sent_at = clock.now()
        async with self.session().request(
            method, url, timeout=target.timeout(), allow_redirects=False, **options
        ) as resp:
            if "Content-Encoding" in resp.headers:
                raise aiohttp.ClientPayloadError("an encoding that was not asked for")
            values = tuple(resp.headers.getall(RATE_HEADER, ()))
            self.on_rate(StatedRate(target=target, values=values, sent_at=sent_at))
            yield resp

    async def close(self) -> None:
        """Close all connections; calls in flight are cancelled."""
        if self._http is not None:
            await self._http.close()
            self._http = None


def call_error(
    target: Target, kind: faults.FaultKind, cause: object
) -> faults.UpstreamError:
    """Return the error to raise for a failed call."""
    return faults.UpstreamError(kind=kind, upstream=target.upstream, message=str(cause))


@contextlib.contextmanager
def translated_errors(target: Target) -> collections.abc.Iterator[None]:
    """Translate errors of the HTTP library into `faults.UpstreamError`.

    Raises
    ------
    faults.UpstreamError
        `REFUSED` if nothing was sent; `CUT` or `TIMEOUT` if the call may have run.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise call_error(target, faults.FaultKind.REFUSED, exc) from exc
    except TimeoutError as exc:
        bodies.drop_frames(exc)
        raise call_error(target, faults.FaultKind.TIMEOUT, exc) from exc
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        bodies.drop_frames(exc)
        raise call_error(target, faults.FaultKind.CUT, exc) from exc
