"""What the clients of engines and plain services share: connections and faults."""

import collections.abc
import contextlib
import ssl

import aiohttp
import attrs

from masticpost_upstream import faults

CONNECT_TIMEOUT_S = 0.5
READ_BUFFER_BYTES = 1_000_000


@attrs.frozen(kw_only=True)
class Target:
    """Where a call goes and under which correlation id.

    `deadline_s` is what is left for the call, in seconds.
    """

    upstream: str
    url: str
    attempt_id: str
    deadline_s: float

    def timeout(self) -> aiohttp.ClientTimeout:
        """Return the call's bounds: its deadline, and a short one to connect."""
        return aiohttp.ClientTimeout(
            total=self.deadline_s, sock_connect=CONNECT_TIMEOUT_S
        )


class Pool:
    """Connections of one client, opened at first use.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Used for https upstreams; None for the system's defaults.
    keep_alive : bool
        Whether a connection is used for more than one call.
    """

    def __init__(self, *, tls: ssl.SSLContext | None, keep_alive: bool) -> None:
        self._tls = tls
        self._keep_alive = keep_alive
        self._http: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Return the open session."""
        if self._http is None:
            connector = aiohttp.TCPConnector(
                limit=0,
                force_close=not self._keep_alive,
                ssl=self._tls if self._tls is not None else True,
            )
            self._http = aiohttp.ClientSession(
                connector=connector,
                read_bufsize=READ_BUFFER_BYTES,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._http

    async def close(self) -> None:
        """Close the connections, which cancels what runs."""
        if self._http is not None:
            await self._http.close()
            self._http = None


def call_error(
    target: Target, kind: faults.FaultKind, cause: object
) -> faults.UpstreamError:
    """Return the error of a failed call."""
    return faults.UpstreamError(kind=kind, upstream=target.upstream, message=str(cause))


@contextlib.contextmanager
def translated_errors(target: Target) -> collections.abc.Iterator[None]:
    """Turn the HTTP library's errors into faults of the call.

    Raises
    ------
    faults.UpstreamError
        `REFUSED` when nothing was sent; `CUT` or `TIMEOUT` when it may have run.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise call_error(target, faults.FaultKind.REFUSED, exc) from exc
    except TimeoutError as exc:
        raise call_error(target, faults.FaultKind.TIMEOUT, exc) from exc
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        raise call_error(target, faults.FaultKind.CUT, exc) from exc
