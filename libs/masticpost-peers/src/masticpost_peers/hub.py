"""Sends and receives messages: one listening socket, one connection per peer."""

import asyncio
import collections
import collections.abc
import contextlib
import itertools
import time
import typing

import attrs
import mode
import zmq
import zmq.asyncio
from loguru import logger

from masticpost_peers import keys, messages

SEND_QUEUE_MESSAGES = 1000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
MAX_HANDLERS = 2000
CONNECT_POLL_S = 0.01
MAX_QUEUED_MESSAGES = 64
QUEUE_TIMEOUT_S = 1.0

Handler = collections.abc.Callable[
    [messages.Envelope, typing.Any], collections.abc.Awaitable[object]
]


class PeerUnreachableError(Exception):
    """No reply came in time, or the peer refused the call."""


@attrs.define(kw_only=True)
class Traffic:
    """Messages and bytes since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0


class PeerConn(mode.Service):
    """Connection to one peer: a socket and the task that reads replies.

    Parameters
    ----------
    hub : Hub
        Whose identity and keys are used.
    address : str
        ``host:port`` of the peer.
    """

    def __init__(self, *, hub: "Hub", address: str) -> None:
        super().__init__()
        self.hub = hub
        self.address = address
        self._waiting: dict[int, asyncio.Future] = {}
        self._held: collections.deque[list[bytes]] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._is_sending_held = False
        self._sock: zmq.asyncio.Socket | None = None

    async def on_start(self) -> None:
        """Connect; ZeroMQ keeps reconnecting in the background."""
        sock = self.hub.context.socket(zmq.DEALER)
        _set_limits(sock)
        sock.immediate = 1
        sock.reconnect_ivl = RECONNECT_MS
        sock.reconnect_ivl_max = RECONNECT_MAX_MS
        sock.connect(f"tcp://{self.address}")
        self._sock = sock

    async def on_stop(self) -> None:
        """Close the socket and fail the calls that wait."""
        if self._sock is not None:
            self._sock.close(linger=0)
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(PeerUnreachableError(f"{self.address}: closed"))

    async def send(self, body: object) -> None:
        """Send a one-way message; dropped when the peer's queue is full."""
        await self._post(self.hub.seal(body))

    async def call(self, body: object, timeout_s: float) -> typing.Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerUnreachableError
            After `timeout_s`, or when the peer refused.
        """
        call = next(self.hub.calls)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[call] = fut
        try:
            async with asyncio.timeout(timeout_s):
                await self._post_when_connected(self.hub.seal(body, call=call))
                reply = await fut
        except TimeoutError as exc:
            raise PeerUnreachableError(f"{self.address}: no reply") from exc
        finally:
            del self._waiting[call]
        if isinstance(reply, messages.Refused):
            raise PeerUnreachableError(f"{self.address}: {reply.reason}")
        return reply

    async def post(self, frames: list[bytes]) -> None:
        """Send frames that are sealed already; see `send`."""
        await self._post(frames)

    async def post_lasting(self, frames: list[bytes]) -> None:
        """Send sealed frames, or keep them until the connection stands.

        They are dropped when it does not within `QUEUE_TIMEOUT_S`.
        """
        self._held.append(frames)
        if self._is_sending_held:
            return
        self._is_sending_held = True
        try:
            await self._send_all_held()
            self._is_sending_held = False
        except PeerUnreachableError:
            self.add_future(self._send_held())

    async def _send_held(self) -> None:
        ends_at = time.monotonic() + QUEUE_TIMEOUT_S
        while self._held and time.monotonic() < ends_at:
            await asyncio.sleep(CONNECT_POLL_S)
            with contextlib.suppress(PeerUnreachableError):
                await self._send_all_held()
        self._held.clear()
        self._is_sending_held = False

    async def _send_all_held(self) -> None:
        while self._held:
            await self._post(self._held[0])
            self._held.popleft()

    async def _post_when_connected(self, frames: list[bytes]) -> None:
        while True:
            try:
                return await self._post(frames)
            except PeerUnreachableError:
                if self._sock is None or self._sock.closed:
                    raise
                await asyncio.sleep(CONNECT_POLL_S)

    async def _post(self, frames: list[bytes]) -> None:
        if self._sock is None or self._sock.closed:
            raise PeerUnreachableError(f"{self.address}: closed")
        try:
            await self._sock.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise PeerUnreachableError(f"{self.address}: {exc}") from exc
        self.hub.count_sent(frames)

    @mode.Service.task
    async def read_replies(self) -> None:
        """Match replies to calls until the service stops."""
        while not self.should_stop:
            frames = await self._sock.recv_multipart()
            incoming = self.hub.open(frames)
            if incoming is None:
                continue
            fut = self._waiting.get(incoming.envelope.call)
            if fut is not None and not fut.done():
                fut.set_result(incoming.body)


class Hub(mode.Service):
    """The messages of one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Start of the process, in milliseconds; larger than that of any earlier one.
    address : str
        ``host:port`` to listen on.
    ring : keys.KeyRing
        Keys of the deployment.
    """

    def __init__(
        self, *, name: str, incarnation: int, address: str, ring: keys.KeyRing
    ) -> None:
        super().__init__()
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.ring = ring
        self.calls = itertools.count(1)
        self.traffic = Traffic()
        self.context = zmq.asyncio.Context()
        self._handlers: dict[str, Handler] = {}
        self._urgent: set[str] = set()
        self._conns: dict[str, PeerConn] = {}
        self._handling: set[asyncio.Task] = set()
        self._sock: zmq.asyncio.Socket | None = None

    def handle(self, kind: type, handler: Handler, *, is_urgent: bool = False) -> None:
        """Serve messages of an attrs class; the handler's result is the reply.

        Urgent ones are served even when too many handlers are at work.
        """
        self._handlers[kind.MESSAGE_KIND] = handler
        if is_urgent:
            self._urgent.add(kind.MESSAGE_KIND)

    async def on_start(self) -> None:
        """Listen."""
        sock = self.context.socket(zmq.ROUTER)
        _set_limits(sock)
        sock.bind(f"tcp://{self.address}")
        self._sock = sock

    async def on_stop(self) -> None:
        """Close every socket."""
        for conn in list(self._conns.values()):
            await conn.stop()
        for task in list(self._handling):
            task.cancel()
        if self._sock is not None:
            self._sock.close(linger=0)
        self.context.destroy(linger=0)

    async def conn(self, address: str) -> PeerConn:
        """Return the connection to `address`, opened at first use."""
        found = self._conns.get(address)
        if found is None:
            found = PeerConn(hub=self, address=address)
            self._conns[address] = found
            await found.start()
        return found

    async def disconnect(self, address: str) -> None:
        """Close the connection to `address`."""
        conn = self._conns.pop(address, None)
        if conn is not None:
            await conn.stop()

    async def send(self, address: str, body: object) -> None:
        """Send a one-way message and ignore an unreachable peer."""
        conn = await self.conn(address)
        try:
            await conn.send(body)
        except PeerUnreachableError:
            return

    async def broadcast(
        self,
        addresses: collections.abc.Iterable[str],
        body: object,
        *,
        queue_until_connected: bool = False,
    ) -> None:
        """Send a one-way message to several peers and ignore unreachable ones.

        Parameters
        ----------
        queue_until_connected : bool
            Whether to keep the message for a peer whose connection does not stand yet,
            as nothing later makes up for it.
        """
        frames = self.seal(body)
        for address in addresses:
            conn = await self.conn(address)
            if queue_until_connected:
                await conn.post_lasting(frames)
                continue
            try:
                await conn.post(frames)
            except PeerUnreachableError:
                continue

    async def call(self, address: str, body: object, timeout_s: float) -> typing.Any:
        """Call a peer; see `PeerConn.call`."""
        conn = await self.conn(address)
        return await conn.call(body, timeout_s)

    def seal(
        self, body: object, *, call: int = 0, is_reply: bool = False
    ) -> list[bytes]:
        """Return the signed frames of a message."""
        envelope = messages.Envelope(
            kind=body.MESSAGE_KIND,
            sender=self.name,
            incarnation=self.incarnation,
            call=call,
            is_reply=is_reply,
        )
        frames = messages.encode(envelope, body)
        return [*frames, self.ring.sign(b"".join(frames))]

    def open(self, frames: list[bytes]) -> messages.Incoming | None:
        """Verify and decode frames; None for a message that is dropped."""
        self.traffic.received += 1
        self.traffic.received_bytes += sum(map(len, frames))
        if len(frames) != 3 or not self.ring.verify(frames[0] + frames[1], frames[2]):
            self.traffic.rejected += 1
            return None
        try:
            return messages.decode(frames[:2])
        except messages.ProtocolError as exc:
            self.traffic.rejected += 1
            logger.warning("message dropped: {}", exc)
            return None

    def count_sent(self, frames: list[bytes]) -> None:
        """Add sent frames to the traffic."""
        self.traffic.sent += 1
        self.traffic.sent_bytes += sum(map(len, frames))

    @mode.Service.task
    async def read_calls(self) -> None:
        """Start a handler for each message until the service stops."""
        while not self.should_stop:
            route, *frames = await self._sock.recv_multipart()
            incoming = self.open(frames)
            if incoming is None or not self._has_room(incoming.envelope.kind):
                continue
            task = asyncio.create_task(self._serve(route, incoming))
            self._handling.add(task)
            task.add_done_callback(self._handling.discard)

    def _has_room(self, kind: str) -> bool:
        return len(self._handling) < MAX_HANDLERS or kind in self._urgent

    async def _serve(self, route: bytes, incoming: messages.Incoming) -> None:
        envelope = incoming.envelope
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            reply = messages.Refused(reason=f"no handler for {envelope.kind}")
        else:
            reply = await self._run(handler, incoming)
        if not envelope.call or reply is None:
            return
        frames = self.seal(reply, call=envelope.call, is_reply=True)
        try:
            await self._sock.send_multipart([route, *frames], flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            return
        self.count_sent(frames)

    async def _run(self, handler: Handler, incoming: messages.Incoming) -> object:
        try:
            return await handler(incoming.envelope, incoming.body)
        except Exception as exc:
            logger.exception("handler of {} failed", incoming.envelope.kind)
            return messages.Refused(reason=type(exc).__name__)


def _set_limits(sock: zmq.asyncio.Socket) -> None:
    sock.maxmsgsize = messages.MAX_MESSAGE_BYTES
    sock.sndhwm = SEND_QUEUE_MESSAGES
    sock.rcvhwm = SEND_QUEUE_MESSAGES
    sock.linger = 0
