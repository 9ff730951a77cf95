"""Callers' connections: what each still owes, closed only when that is nothing.

All use of what aiohttp does not publish is in this module; `test_callerconns` fails if
aiohttp changes it.
"""

import array
import asyncio
import collections.abc
import fcntl
import select
import termios

from aiohttp import web, web_protocol
from masticpost_common import clock

from masticpost_telemetry import account as accounts

# Keys under which a handler says how its request ended.
REFUSED_KEY = web.ResponseKey("masticpost-refused", bool)
CUT_KEY = web.RequestKey("masticpost-cut", str)
# Time until another look at an idle connection that has bytes to read.
LOOK_AGAIN_S = 0.5
POLL_S = 0.02
ACCEPT_POLL_S = 0.002


class CallerConn(web_protocol.RequestHandler):
    """One connection of a caller, with its part of the account.

    Parameters
    ----------
    account : account.Account
        Gets the end of each request.
    id_header : str
        Name of the header with the caller's id of a request.

    Attributes
    ----------
    has_left : bool
        Whether the caller closed its side of the connection, or reset it.
    """

    def __init__(
        self, *args, account: accounts.Account, id_header: str, **kwargs
    ) -> None:
        super().__init__(*args, **kwargs)
        self.account = account
        self.id_header = id_header
        self.has_left = False
        self._socket_transport: asyncio.Transport | None = None
        # Requests that a handler has, and answers not known to be written.
        self._serving: list[str] = []
        self._handed: list[tuple[str, accounts.End]] = []
        self._done_count = 0

    @property
    def parsed_count(self) -> int:
        """Requests parsed on this connection."""
        return self._request_count

    @property
    def open_ids(self) -> list[str]:
        """Ids of the requests that were parsed and have not ended."""
        waiting = [self._id_of(message) for message, _ in self._messages]
        handed = [name for name, _ in self._handed]
        return [*waiting, *["?"] * self._starting, *self._serving, *handed]

    @property
    def _starting(self) -> int:
        """Requests whose handler's task is made and has not begun, 0 or 1."""
        begun = self._done_count + len(self._serving)
        return self._request_count - len(self._messages) - begun

    @property
    def has_ended(self) -> bool:
        """Whether the connection is lost."""
        return self._manager is None

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for the head of a request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_more(self) -> bool:
        """Whether requests, or bytes of them, wait behind the one being served."""
        return bool(self._messages) or self.unread() > 0

    @property
    def is_owing(self) -> bool:
        """Whether the caller is owed something: unanswered, unread or unwritten."""
        if self.has_ended:
            return False
        is_served = self._request_count == self._done_count
        return not is_served or self.unwritten() > 0 or self.unread() > 0

    def unread(self) -> int:
        """Return the number of bytes that wait in the socket to be read."""
        transport = self._socket_transport
        if transport is None or transport.is_closing():
            return 0
        size = array.array("i", [0])
        try:
            fcntl.ioctl(
                transport.get_extra_info("socket").fileno(), termios.FIONREAD, size
            )
        except (OSError, ValueError):
            return 0
        return size[0]

    def unwritten(self) -> int:
        """Return the number of bytes that wait to be written to the socket."""
        if self._socket_transport is None or self.has_ended:
            return 0
        return self._socket_transport.get_write_buffer_size()

    def settle(self) -> None:
        """Record the ends of the answers that are written."""
        if self._handed and self.unwritten() == 0:
            self._end_handed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the connection's part of the account."""
        self._socket_transport = transport
        self.account.conns.add(self)
        super().connection_made(transport)

    def eof_received(self) -> None:
        """Count the end of the caller's side as its leaving."""
        self.has_left = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection's part of the account."""
        self.has_left = self.has_left or exc is not None
        left = accounts.End.CALLER_LEFT
        self._end_handed(None if exc is None else left)
        unseen = [self._id_of(message) for message, _ in self._messages]
        # A task that is cancelled before its first step does not run at all.
        unseen += ["?"] * self._starting
        self._messages.clear()
        for name in unseen:
            self._done_count += 1
            end = left if self.has_left else accounts.End.UNSEEN
            self.account.record_end(name, end, "no handler had seen it")
        super().connection_lost(exc)
        self._leave_if_done()

    def force_close(self) -> None:
        """Close the connection at once; count what was left unread."""
        size = self.unread()
        if size and not self.has_left and self.transport is not None:
            self.account.record_closed_unread(size)
        super().force_close()

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request and owes nothing."""
        if self.is_waiting and not self.is_owing:
            self.force_close()

    def end_unwritten(self) -> None:
        """Record what the process leaves as it ends."""
        self.settle()
        size = self.unwritten()
        self._end_handed(accounts.End.UNWRITTEN, f"{size} bytes were not written")

    def _process_keepalive(self) -> None:
        # After a pause of the process this timer comes before the read.
        if self.is_waiting and self.is_owing:
            self._next_keepalive_close_time = self._loop.time() + LOOK_AGAIN_S
        super()._process_keepalive()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: collections.abc.Callable,
    ) -> tuple[web.StreamResponse, bool]:
        self.settle()
        name = request.headers.get(self.id_header, "")
        self._serving.append(name)
        end, reason = accounts.End.CUT, "its answer could not be written"
        is_told = False
        try:
            resp, is_lost = await super()._handle_request(
                request, start_time, request_handler
            )
            if not is_lost:
                is_refusal = resp.get(REFUSED_KEY, False)
                end = accounts.End.REFUSED if is_refusal else accounts.End.ANSWERED
        except BaseException as exc:
            is_told = CUT_KEY in request
            reason = request.get(CUT_KEY) or f"{type(exc).__name__} in its handler"
            raise
        finally:
            self._serving.remove(name)
            self._done_count += 1
            self._end_served(name, end, reason, is_told)
        return resp, is_lost

    def _end_served(
        self, name: str, end: accounts.End, reason: str, is_told: bool
    ) -> None:
        if end is not accounts.End.CUT:
            self._handed.append((name, end))
            if self.has_ended:
                self._end_handed(accounts.End.CALLER_LEFT if self.has_left else None)
        elif self.has_left:
            self.account.record_end(name, accounts.End.CALLER_LEFT)
        else:
            self.account.record_end(name, end, reason, is_told=is_told)
        self._leave_if_done()

    def _end_handed(self, end: accounts.End | None = None, reason: str = "") -> None:
        handed, self._handed = self._handed, []
        for name, meant in handed:
            self.account.record_end(name, end or meant, reason)

    def _leave_if_done(self) -> None:
        if self.has_ended and not self._serving:
            self.account.record_closed(self)

    def _id_of(self, message: object) -> str:
        fields = getattr(message, "headers", None) or {}
        return fields.get(self.id_header, "")


class CallerServer(web.Server):
    """Makes the connections of callers.

    Parameters
    ----------
    account : account.Account
        Gets the end of each request.
    id_header : str
        Name of the header with the caller's id of a request.
    """

    def __init__(
        self, handler, *, account: accounts.Account, id_header: str, **kwargs
    ) -> None:
        super().__init__(handler, **kwargs)
        self.account = account
        self.id_header = id_header

    def __call__(self) -> CallerConn:
        """Return the protocol of a new connection."""
        return CallerConn(
            self,
            loop=self._loop,
            account=self.account,
            id_header=self.id_header,
            **self._kwargs,
        )

    def close_idle(self) -> None:
        """Close the connections that wait for a request and are owed nothing."""
        for conn in list(self.connections):
            conn.close_if_idle()

    @property
    def is_owing(self) -> bool:
        """Whether any caller is owed something."""
        return any(conn.is_owing for conn in self.account.conns)

    async def end(
        self, sites: collections.abc.Iterable[web.TCPSite], ends_at: float
    ) -> None:
        """Stop listening once no connection waits, then close what is owed nothing.

        Parameters
        ----------
        ends_at : float
            Monotonic time in seconds at which the rest is given up.
        """
        for site in list(sites):
            while _has_backlog(site) and clock.now() < ends_at:
                await asyncio.sleep(ACCEPT_POLL_S)
            await site.stop()
        # A connection is made some event-loop iterations after it was accepted.
        await asyncio.sleep(POLL_S)
        while True:
            self.close_idle()
            if not self.is_owing or clock.now() > ends_at:
                break
            await asyncio.sleep(POLL_S)
        for conn in list(self.account.conns):
            conn.end_unwritten()
        self.account.check()


class CallerRunner(web.AppRunner):
    """Runs an application on connections that keep an account.

    Parameters
    ----------
    account : account.Account
        Gets the end of each request.
    id_header : str
        Name of the header with the caller's id of a request.
    """

    def __init__(
        self, app: web.Application, *, account: accounts.Account, id_header: str, **kw
    ) -> None:
        super().__init__(app, **kw)
        self._account = account
        self._id_header = id_header

    async def _make_server(self) -> CallerServer:
        made = await super()._make_server()
        return CallerServer(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            account=self._account,
            id_header=self._id_header,
            **made._kwargs,
        )


def has_left(req: web.BaseRequest) -> bool:
    """Return whether the caller of a request closed its side of the connection."""
    return req.protocol.has_left


def may_close(req: web.BaseRequest) -> bool:
    """Return whether a connection owes nothing behind this request."""
    return not req.protocol.has_more


def _has_backlog(site: web.TCPSite) -> bool:
    """Return whether a connection waits to be accepted."""
    server = site._server
    if server is None:
        return False
    poller = select.poll()
    for sock in server.sockets or ():
        poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
