"""Callers' connections: limits on what they take, and what each is still owed.

A connection is closed only when it owes nothing, or beyond a limit. All use of what
aiohttp does not publish is in this module; `test_callerconns` fails if aiohttp changes
it.
"""

import array
import asyncio
import collections.abc
import fcntl
import select
import socket
import termios

import aiohttp
from aiohttp import web, web_protocol
from masticpost_common import clock

from masticpost_telemetry import account as accounts
from masticpost_telemetry import callerbytes, callerguard

# Keys under which a handler says how its request ended.
REFUSED_KEY = web.ResponseKey("masticpost-refused", bool)
CUT_KEY = web.RequestKey("masticpost-cut", str)
# Time until another look at an idle connection that has bytes to read.
LOOK_AGAIN_S = 0.5
POLL_S = 0.02
ACCEPT_POLL_S = 0.002
# Bytes that aiohttp and the kernel hold of a connection before they stop reading.
# Linux doubles the kernel's value.
READ_BUFFER_BYTES = 32_768
KERNEL_BUFFER_BYTES = 65_536
# An answer counts as not read when this much of it waits.
UNREAD_ANSWER_BYTES = 65_536
# Time for which a rejected caller may read its answer, while nothing more is read from
# it. A connection that is closed at once with bytes unread loses the answer.
LINGER_S = 0.5
# Time after which a rejected connection is aborted: one whose caller reads nothing
# would wait for its buffer to be written.
ABORT_AFTER_S = 2.0
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class BodyTooLargeError(Exception):
    """The body of a request exceeds its limit."""


class BodyRejectedError(Exception):
    """A request is given up while its body is read; it has not run.

    Attributes
    ----------
    is_slow : bool
        Whether its caller sent nothing for too long.
    """

    def __init__(self, limit: str) -> None:
        super().__init__(limit)
        self.is_slow = limit == "body time"


BODY_ERRORS = (BodyTooLargeError, BodyRejectedError)


class GuardedConn(web_protocol.RequestHandler):
    """One connection of a client, with limits on what it takes.

    Parameters
    ----------
    guard : callerguard.Guard
        Account of the bytes that the process holds for its clients.
    limits : callable
        Returns the limits of the listener.
    """

    def __init__(
        self,
        *args,
        guard: callerguard.Guard,
        limits: collections.abc.Callable[[], callerbytes.CallerLimits],
        **kwargs,
    ) -> None:
        kwargs.setdefault("keepalive_timeout", limits().idle_s)
        super().__init__(
            *args,
            read_bufsize=READ_BUFFER_BYTES,
            max_headers=limits().fields,
            **kwargs,
        )
        self.guard = guard
        self.limits = limits
        self.is_rejected = False
        self._socket_transport: asyncio.Transport | None = None
        self._is_serving = False
        self._reader: aiohttp.StreamReader | None = None
        self._last_payload: aiohttp.StreamReader | None = None
        self._body = bytearray()
        self._partial_head_bytes = self._head_cost = self._body_held = 0
        self._head_began_at = self._read_at = self._answer_moved_at = 0.0
        self._unwritten_before = 0

    @property
    def has_ended(self) -> bool:
        """Whether the connection is lost."""
        return self._manager is None

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for the head of a request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed: no request runs whose answer is being read."""
        if self.is_rejected or self.has_ended:
            return False
        if self._reader is not None or not self._is_serving:
            return True
        return self.unwritten() >= UNREAD_ANSWER_BYTES

    @property
    def head_since(self) -> float | None:
        """Time at which an incomplete head began."""
        is_partial = self._partial_head_bytes > 0 and self.is_waiting
        return self._head_began_at if is_partial else None

    @property
    def body_since(self) -> float | None:
        """Time of the last bytes of a body that a handler waits for."""
        if self._reader is None or self._reading_paused:
            return None
        return self._read_at

    @property
    def answer_since(self) -> float | None:
        """Time at which the size of an unread answer changed."""
        return self._answer_moved_at if self._unwritten_before else None

    def unwritten(self) -> int:
        """Return the number of bytes that wait to be written to the socket."""
        if self._socket_transport is None or self.has_ended:
            return 0
        return self._socket_transport.get_write_buffer_size()

    def held(self) -> int:
        """Return an estimate of the bytes that the process holds for the client."""
        waiting = sum(
            callerbytes.head_cost(getattr(message, "raw_headers", ()))
            + getattr(payload, "_size", 0)
            for message, payload in self._messages
        )
        served = self._last_payload if not self._messages else None
        return (
            callerbytes.CONNECTION_BYTES
            + waiting
            + getattr(served, "_size", 0)
            + self._partial_head_bytes
            + self._head_cost
            + self._body_held
            + len(self._message_tail)
            + self.unwritten()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the connection's part of the account."""
        self._socket_transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        super().connection_made(transport)
        self.guard.open(self, self._manager.connections)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection's part of the account."""
        self.guard.close(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Count an answer that is not read."""
        super().pause_writing()
        self.guard.update(self)

    def data_received(self, data: bytes) -> None:
        """Parse what came within the limits; drop what comes after a rejection."""
        if self.is_rejected:
            return
        before, is_in_body = self._request_count, self._is_in_body
        super().data_received(data)
        self._read_at = clock.now()
        if self._request_count != before:
            self._partial_head_bytes = 0
            if self._messages:
                self._last_payload = self._messages[-1][1]
        elif not is_in_body and data:
            self._count_head(len(data))
        self.guard.record_read(self, len(data), self._read_at)

    @property
    def _is_in_body(self) -> bool:
        return self._last_payload is not None and not self._last_payload.is_eof()

    def _count_head(self, size: int) -> None:
        if not self._partial_head_bytes:
            self._head_began_at = self._read_at
        self._partial_head_bytes += size
        self._check_head()

    def _check_head(self) -> None:
        is_too_large = self._partial_head_bytes > self.limits().head_bytes
        if is_too_large and not self._is_serving and not self.is_rejected:
            self._socket_transport.write(HEAD_TOO_LARGE)
            self.guard.reject(self, "head size")

    def check(self, now: float) -> None:
        """Count what the connection holds, and reject it if it exceeds a time limit."""
        size = self.unwritten()
        if size != self._unwritten_before:
            moved = max(0, self._unwritten_before - size)
            self.guard.account.move(self, moved, now)
            self._unwritten_before, self._answer_moved_at = size, now
        self.guard.update(self)
        self._check_head()
        limit = callerbytes.find_overdue(self, self.limits(), now)
        if limit and not self.is_rejected:
            self.guard.reject(self, limit)

    def reject(self, limit: str, *, is_abrupt: bool = False) -> None:
        """Give up a request whose body is read, or else close the connection."""
        self.is_rejected = True
        self._stop_reading()
        if self._reader is not None and not is_abrupt:
            self._loop.call_later(ABORT_AFTER_S, self._socket_transport.abort)
            self._body.clear()
            self._reader.set_exception(BodyRejectedError(limit))
        elif self._is_serving or is_abrupt:
            self._socket_transport.abort()
        else:
            self._loop.call_later(ABORT_AFTER_S, self._socket_transport.abort)
            self._force_close = True
            self._socket_transport.close()

    def _stop_reading(self) -> None:
        self._lingering_time = 0.0
        self._buffer_paused = True
        self._pause_transport_reading()

    async def read_body(self, payload: aiohttp.StreamReader, limit: int) -> bytes:
        """Return a complete body; see the function `read_body`."""
        self._reader, self._read_at = payload, clock.now()
        try:
            async for part in payload.iter_any():
                self._require_accepted(payload)
                self._body += part
                if len(self._body) > limit:
                    raise BodyTooLargeError
                self._hold_body(len(self._body))
            # The complete body is copied once.
            self._hold_body(2 * len(self._body))
            self._require_accepted(payload)
            body = bytes(self._body)
        finally:
            self._reader = None
            # A traceback that refers to the array would keep its bytes.
            self._body.clear()
            self._hold_body(0)
        self._hold_body(len(body))
        return body

    def _require_accepted(self, payload: aiohttp.StreamReader) -> None:
        """Raise if the connection was rejected; one closed at once sets no error."""
        if self.is_rejected:
            raise payload.exception() or BodyRejectedError(callerguard.MEMORY)

    def _hold_body(self, size: int) -> None:
        self._body_held = size
        self.guard.update(self)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: collections.abc.Callable,
    ) -> tuple[web.StreamResponse, bool]:
        resp, is_lost = await self._serve(request, start_time, request_handler)
        is_too_large = (request.content_length or 0) > self.limits().body_bytes
        is_unread = not request.content.is_eof()
        if is_unread and not is_lost and (is_too_large or not resp.keep_alive):
            await self._linger()
        return resp, is_lost

    async def _serve(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: collections.abc.Callable,
    ) -> tuple[web.StreamResponse, bool]:
        """Let the handler answer a request, and count what it holds meanwhile."""
        fields = request._message.raw_headers
        self._head_cost = callerbytes.head_cost(fields)
        self._is_serving = True
        size = sum(len(name) + len(value) for name, value in fields)
        if size > self.limits().head_bytes:
            request_handler = _refuse_head
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._is_serving = False
            self._head_cost = self._body_held = 0
            self.guard.account.restart(self, clock.now())
            self.guard.update(self)

    async def _linger(self) -> None:
        """Give a caller time to read its answer; read no more from it."""
        self._stop_reading()
        transport = self._socket_transport
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()
        await asyncio.sleep(LINGER_S)
        self.close()


async def _refuse_head(req: web.BaseRequest) -> web.Response:
    resp = web.Response(status=431)
    resp[REFUSED_KEY] = True
    resp.force_close()
    return resp


class GuardedServer(web.Server):
    """Makes connections with limits.

    Parameters
    ----------
    guard : callerguard.Guard
        Account of the bytes that the process holds for its clients.
    limits : callable
        Returns the limits of the listener.
    """

    def __init__(
        self,
        handler,
        *,
        guard: callerguard.Guard | None = None,
        limits: collections.abc.Callable[
            [], callerbytes.CallerLimits
        ] = callerbytes.CallerLimits,
        **kwargs,
    ) -> None:
        super().__init__(handler, **kwargs)
        self.guard = guard or callerguard.Guard()
        self.limits = limits

    def __call__(self) -> GuardedConn:
        """Return the protocol of a new connection."""
        return GuardedConn(
            self,
            loop=self._loop,
            guard=self.guard,
            limits=self.limits,
            **self._kwargs,
        )


async def read_body(req: web.BaseRequest, limit: int) -> bytes:
    """Return the complete body of a request, counted as long as the request lasts.

    Raises
    ------
    BodyTooLargeError
        As soon as it is known that the body is larger than `limit` bytes.
    BodyRejectedError
        If the request is given up to stay within a limit.
    """
    if not req.body_exists:
        return b""
    if (req.content_length or 0) > limit:
        raise BodyTooLargeError
    return await req.protocol.read_body(req.content, limit)


class CallerConn(GuardedConn):
    """One connection of a caller, which accounts for the end of each request.

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

    def settle(self) -> None:
        """Record the ends of the answers that are written."""
        if self._handed and self.unwritten() == 0:
            self._end_handed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the connection's part of the account."""
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

    async def _serve(
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
            resp, is_lost = await super()._serve(request, start_time, request_handler)
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


class CallerServer(GuardedServer):
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
            guard=self.guard,
            limits=self.limits,
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
    guard, limits
        As in `GuardedServer`.
    """

    def __init__(
        self,
        app: web.Application,
        *,
        account: accounts.Account,
        id_header: str,
        guard: callerguard.Guard | None = None,
        limits: collections.abc.Callable[
            [], callerbytes.CallerLimits
        ] = callerbytes.CallerLimits,
        **kw,
    ) -> None:
        super().__init__(app, **kw)
        self._account = account
        self._id_header = id_header
        self._guard = guard or callerguard.Guard()
        self._limits = limits

    async def _make_server(self) -> CallerServer:
        made = await super()._make_server()
        return CallerServer(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            account=self._account,
            id_header=self._id_header,
            guard=self._guard,
            limits=self._limits,
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
