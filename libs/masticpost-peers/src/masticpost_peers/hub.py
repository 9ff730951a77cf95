"""Message transport between instances over ZeroMQ.

Each instance has one listening socket and one connection to each peer that it sends to.
"""

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

# Limit of each socket's send queue and receive queue.
SOCKET_QUEUE_MESSAGES = 1000
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
# Handlers that may run at once; urgent messages are exempt.
MAX_HANDLERS = 2000
CONNECT_POLL_S = 0.01
# Messages queued for a peer that is not connected yet (the oldest are dropped), and how
# long they wait for the connection.
MAX_QUEUED_MESSAGES = 64
QUEUE_TIMEOUT_S = 1.0

Handler = collections.abc.Callable[
    [messages.Envelope, typing.Any], collections.abc.Awaitable[object]
]


class PeerUnreachableError(Exception):
    """The peer cannot be reached, did not reply in time, or refused the call."""


@attrs.define(kw_only=True)
class KindTraffic:
    """Messages of one kind that were sent, and their bytes."""

    sent: int = 0
    sent_bytes: int = 0


@attrs.define(kw_only=True)
class Traffic:
    """Counts of messages and bytes since the process started.

    `received` includes messages that were then rejected. `kinds` has what was sent by
    kind of message.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0
    kinds: dict[str, KindTraffic] = attrs.field(factory=dict)


class Sealed(list[bytes]):
    """The frames of a signed message, and its kind."""

    def __init__(self, frames: list[bytes], kind: str) -> None:
        super().__init__(frames)
        self.kind = kind


class PeerConn(mode.Service):
    """Connection to one peer: a socket and the task that reads its replies.

    Parameters
    ----------
    hub : Hub
        Hub of this instance, whose name and keys are used.
    address : str
        ``host:port`` of the peer.
    """

    def __init__(self, *, hub: "Hub", address: str) -> None:
        super().__init__()
        self.hub = hub
        self.address = address
        self._pending_calls: dict[int, asyncio.Future] = {}
        self._queued: collections.deque[Sealed] = collections.deque(
            maxlen=MAX_QUEUED_MESSAGES
        )
        self._is_flushing = False
        self._sock: zmq.asyncio.Socket | None = None

    async def on_start(self) -> None:
        """Start to connect; ZeroMQ reconnects in the background.

        ``immediate`` makes sends fail while there is no connection, instead of queueing
        them in the socket.
        """
        sock = self.hub.context.socket(zmq.DEALER)
        _set_limits(sock)
        sock.immediate = 1
        sock.reconnect_ivl = RECONNECT_MIN_MS
        sock.reconnect_ivl_max = RECONNECT_MAX_MS
        try:
            sock.connect(f"tcp://{self.address}")
        except (zmq.ZMQError, UnicodeError) as exc:
            # The address comes from a list that others write.
            logger.warning("no address to connect to: {!r}: {}", self.address, exc)
            sock.close(linger=0)
            return
        self._sock = sock

    async def on_stop(self) -> None:
        """Close the socket and fail the pending calls."""
        if self._sock is not None:
            self._sock.close(linger=0)
        for fut in self._pending_calls.values():
            if not fut.done():
                fut.set_exception(
                    PeerUnreachableError(f"{self.address}: connection closed")
                )

    async def send(self, body: object) -> None:
        """Send a one-way message without waiting.

        Raises
        ------
        PeerUnreachableError
            If there is no connection, or the socket's queue is full.
        """
        await self._send_now(self.hub.seal(body))

    async def call(self, body: object, timeout_s: float) -> typing.Any:
        """Send a message and return the body of the reply.

        Parameters
        ----------
        body : object
            Body of the message.
        timeout_s : float
            Time limit in seconds, which includes waiting for the connection.

        Raises
        ------
        PeerUnreachableError
            After `timeout_s`, when the connection is closed or when the peer refused.
        """
        call_id = next(self.hub.call_ids)
        fut = asyncio.get_running_loop().create_future()
        self._pending_calls[call_id] = fut
        try:
            async with asyncio.timeout(timeout_s):
                await self._send_when_connected(self.hub.seal(body, call_id=call_id))
                reply = await fut
        except TimeoutError as exc:
            raise PeerUnreachableError(f"{self.address}: no reply") from exc
        finally:
            del self._pending_calls[call_id]
        if isinstance(reply, messages.Refused):
            raise PeerUnreachableError(f"{self.address}: {reply.reason}")
        return reply

    async def send_frames(self, frames: Sealed) -> None:
        """Send the frames of a sealed message; see `send`."""
        await self._send_now(frames)

    async def send_or_queue(self, frames: Sealed) -> None:
        """Send the frames of a sealed message, queued until the peer is connected.

        They are dropped if there is no connection within `QUEUE_TIMEOUT_S`.
        """
        self._queued.append(frames)
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            await self._flush()
            self._is_flushing = False
        except PeerUnreachableError:
            self.add_future(self._flush_when_connected())

    async def _flush_when_connected(self) -> None:
        ends_at = time.monotonic() + QUEUE_TIMEOUT_S
        while self._queued and time.monotonic() < ends_at:
            await asyncio.sleep(CONNECT_POLL_S)
            with contextlib.suppress(PeerUnreachableError):
                await self._flush()
        self._queued.clear()
        self._is_flushing = False

    async def _flush(self) -> None:
        while self._queued:
            await self._send_now(self._queued[0])
            self._queued.popleft()

    async def _send_when_connected(self, frames: Sealed) -> None:
        while True:
            try:
                return await self._send_now(frames)
            except PeerUnreachableError:
                if self._sock is None or self._sock.closed:
                    raise
                await asyncio.sleep(CONNECT_POLL_S)

    async def _send_now(self, frames: Sealed) -> None:
        if self._sock is None or self._sock.closed:
            raise PeerUnreachableError(f"{self.address}: connection closed")
        try:
            await self._sock.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            raise PeerUnreachableError(f"{self.address}: {exc}") from exc
        self.hub.record_sent(frames)

    @mode.Service.task
    async def read_replies(self) -> None:
        """Resolve pending calls with their replies until the service stops."""
        while self._sock is not None and not self.should_stop:
            frames = await self._sock.recv_multipart()
            incoming = self.hub.open(frames)
            if incoming is None:
                continue
            fut = self._pending_calls.get(incoming.envelope.call)
            if fut is not None and not fut.done():
                fut.set_result(incoming.body)


class Hub(mode.Service):
    """Sends and receives the messages of one instance.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Start of the process, in milliseconds; larger than at any earlier start of this
        instance.
    address : str
        ``host:port`` to listen on.
    ring : keys.KeyRing
        Shared keys of the deployment.
    """

    def __init__(
        self, *, name: str, incarnation: int, address: str, ring: keys.KeyRing
    ) -> None:
        super().__init__()
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.ring = ring
        self.call_ids = itertools.count(1)
        self.traffic = Traffic()
        self.context = zmq.asyncio.Context()
        self._handlers: dict[str, Handler] = {}
        self._urgent_kinds: set[str] = set()
        self._conns: dict[str, PeerConn] = {}
        self._handler_tasks: set[asyncio.Task] = set()
        self._sock: zmq.asyncio.Socket | None = None

    def handle(self, kind: type, handler: Handler, *, is_urgent: bool = False) -> None:
        """Register the handler of a kind of message.

        Parameters
        ----------
        kind : type
            Attrs class of the messages' bodies.
        handler : callable
            Called with envelope and body; its result is the reply to a call. If it
            raises, the caller gets `messages.Refused` with the exception's class name.
        is_urgent : bool
            Whether to run the handler even if `MAX_HANDLERS` are running.
        """
        self._handlers[kind.MESSAGE_KIND] = handler
        if is_urgent:
            self._urgent_kinds.add(kind.MESSAGE_KIND)

    async def on_start(self) -> None:
        """Bind the listening socket."""
        sock = self.context.socket(zmq.ROUTER)
        _set_limits(sock)
        sock.bind(f"tcp://{self.address}")
        self._sock = sock

    async def on_stop(self) -> None:
        """Close every socket and cancel the running handlers."""
        for conn in list(self._conns.values()):
            await conn.stop()
        for task in list(self._handler_tasks):
            task.cancel()
        if self._sock is not None:
            self._sock.close(linger=0)
        self.context.destroy(linger=0)

    async def conn(self, address: str) -> PeerConn:
        """Return the connection to `address`, created at first use."""
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
        """Send a one-way message; it is dropped if the peer is unreachable."""
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
        """Send a one-way message to several peers; unreachable ones do not get it.

        Parameters
        ----------
        addresses : iterable of str
            ``host:port`` of each peer.
        body : object
            Body of the message.
        queue_until_connected : bool
            Whether to queue the message for a peer that is not connected yet, see
            `PeerConn.send_or_queue`. For messages whose loss no later message repairs.
        """
        frames = self.seal(body)
        for address in addresses:
            conn = await self.conn(address)
            if queue_until_connected:
                await conn.send_or_queue(frames)
                continue
            try:
                await conn.send_frames(frames)
            except PeerUnreachableError:
                continue

    async def call(self, address: str, body: object, timeout_s: float) -> typing.Any:
        """Send a message to a peer and return the reply; see `PeerConn.call`."""
        conn = await self.conn(address)
        return await conn.call(body, timeout_s)

    def seal(self, body: object, *, call_id: int = 0, is_reply: bool = False) -> Sealed:
        """Encode and sign a message and return its frames.

        `call_id` is 0 for a one-way message.
        """
        envelope = messages.Envelope(
            kind=body.MESSAGE_KIND,
            sender=self.name,
            incarnation=self.incarnation,
            call=call_id,
            is_reply=is_reply,
        )
        frames = messages.encode(envelope, body)
        signed = [*frames, self.ring.sign(b"".join(frames))]
        return Sealed(signed, body.MESSAGE_KIND)

    def open(self, frames: list[bytes]) -> messages.Incoming | None:
        """Verify and decode frames; returns None for a message that is rejected."""
        self.traffic.received += 1
        self.traffic.received_bytes += sum(map(len, frames))
        if len(frames) != 3 or not self.ring.verify(frames[0] + frames[1], frames[2]):
            self.traffic.rejected += 1
            return None
        try:
            return messages.decode(frames[:2])
        except messages.ProtocolError as exc:
            self.traffic.rejected += 1
            logger.warning("rejected a message that cannot be decoded: {}", exc)
            return None

    def record_sent(self, frames: Sealed) -> None:
        """Count a sent message in `traffic`."""
        size = sum(map(len, frames))
        self.traffic.sent += 1
        self.traffic.sent_bytes += size
        row = self.traffic.kinds.setdefault(frames.kind, KindTraffic())
        row.sent += 1
        row.sent_bytes += size

    @mode.Service.task
    async def read_calls(self) -> None:
        """Start a handler for each message until the service stops.

        Messages beyond `MAX_HANDLERS` are dropped, but for urgent ones.
        """
        while not self.should_stop:
            routing_id, *frames = await self._sock.recv_multipart()
            incoming = self.open(frames)
            if incoming is None or not self._may_start_handler(incoming.envelope.kind):
                continue
            task = asyncio.create_task(self._serve(routing_id, incoming))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    def _may_start_handler(self, kind: str) -> bool:
        return len(self._handler_tasks) < MAX_HANDLERS or kind in self._urgent_kinds

    async def _serve(self, routing_id: bytes, incoming: messages.Incoming) -> None:
        envelope = incoming.envelope
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            reply = messages.Refused(reason=f"no handler for {envelope.kind}")
        else:
            reply = await self._run_handler(handler, incoming)
        if not envelope.call or reply is None:
            return
        frames = self.seal(reply, call_id=envelope.call, is_reply=True)
        try:
            await self._sock.send_multipart([routing_id, *frames], flags=zmq.NOBLOCK)
        except zmq.ZMQError:
            return
        self.record_sent(frames)

    async def _run_handler(
        self, handler: Handler, incoming: messages.Incoming
    ) -> object:
        try:
            return await handler(incoming.envelope, incoming.body)
        except Exception as exc:
            logger.exception("handler of kind {} failed", incoming.envelope.kind)
            return messages.Refused(reason=type(exc).__name__)


def _set_limits(sock: zmq.asyncio.Socket) -> None:
    sock.maxmsgsize = messages.MAX_MESSAGE_BYTES
    sock.sndhwm = SOCKET_QUEUE_MESSAGES
    sock.rcvhwm = SOCKET_QUEUE_MESSAGES
    sock.linger = 0
