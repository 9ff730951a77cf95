"""Typed, versioned messages between instances.

A message on the wire has three frames: envelope, body and signature. The envelope
names the kind of the body; kinds are registered by decorator.
"""

import collections.abc
import typing

import attrs
from masticpost_common import codec, registry

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2_000_000

KINDS: registry.Registry[type] = registry.Registry(kind="message")
T = typing.TypeVar("T", bound=type)


class ProtocolError(Exception):
    """A message that cannot be read or is not authentic."""


@attrs.frozen(kw_only=True)
class Envelope:
    """What goes with every message.

    `call` matches a reply to its call, 0 for a one-way message; `incarnation` is
    the sender's.
    """

    kind: str
    sender: str
    incarnation: int
    call: int = 0
    is_reply: bool = False
    version: int = PROTOCOL_VERSION


@attrs.frozen(kw_only=True)
class Incoming:
    """A message that was received and verified."""

    envelope: Envelope
    body: typing.Any


def message(name: str) -> collections.abc.Callable[[T], T]:
    """Register an attrs class as the body of messages of kind `name`."""

    def add(cls: T) -> T:
        cls.MESSAGE_KIND = name
        return KINDS.register(name)(cls)

    return add


def encode(envelope: Envelope, body: object) -> list[bytes]:
    """Return envelope and body frames."""
    return [codec.to_wire(envelope), codec.to_wire(body)]


def decode(frames: list[bytes]) -> Incoming:
    """Read envelope and body frames; raises `ProtocolError`."""
    try:
        envelope = codec.from_wire(frames[0], Envelope)
        if envelope.version != PROTOCOL_VERSION:
            raise ProtocolError(f"protocol version {envelope.version}")
        body = codec.from_wire(frames[1], KINDS.get(envelope.kind))
    except (codec.DecodeError, registry.UnknownEntryError) as exc:
        raise ProtocolError(str(exc)) from exc
    return Incoming(envelope=envelope, body=body)


@message("refused")
@attrs.frozen(kw_only=True)
class Refused:
    """Reply to a call that the peer's handler could not serve."""

    reason: str
