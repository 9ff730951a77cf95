"""Typed, versioned messages between instances.

A message has three frames: envelope, body and signature. The envelope names the kind
of the message; the decorator `message` registers the class of a kind's bodies.
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
    """A message cannot be decoded."""


@attrs.frozen(kw_only=True)
class Envelope:
    """Metadata of a message.

    Attributes
    ----------
    kind : str
        Name under which the class of the body is registered.
    sender : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    call : int
        Id that matches a reply to its call, 0 for a one-way message.
    is_reply : bool
        Whether this is the reply to a call.
    version : int
        Protocol version.
    """

    kind: str
    sender: str
    incarnation: int
    call: int = 0
    is_reply: bool = False
    version: int = PROTOCOL_VERSION


@attrs.frozen(kw_only=True)
class Incoming:
    """A received message whose signature was verified."""

    envelope: Envelope
    body: typing.Any


def message(name: str) -> collections.abc.Callable[[T], T]:
    """Return a decorator that registers an attrs class as the body of kind `name`."""

    def add(cls: T) -> T:
        cls.MESSAGE_KIND = name
        return KINDS.register(name)(cls)

    return add


def encode(envelope: Envelope, body: object) -> list[bytes]:
    """Return envelope and body frames."""
    return [codec.to_wire(envelope), codec.to_wire(body)]


def decode(frames: list[bytes]) -> Incoming:
    """Decode envelope and body frames.

    Raises
    ------
    ProtocolError
        If the frames cannot be decoded, the kind is not registered, or the protocol
        version differs.
    """
    try:
        envelope = codec.from_wire(frames[0], Envelope)
        if envelope.version != PROTOCOL_VERSION:
            raise ProtocolError(f"unsupported protocol version {envelope.version}")
        body = codec.from_wire(frames[1], KINDS.get(envelope.kind))
    except (codec.DecodeError, registry.UnknownEntryError) as exc:
        raise ProtocolError(str(exc)) from exc
    return Incoming(envelope=envelope, body=body)


@message("refused")
@attrs.frozen(kw_only=True)
class Refused:
    """Reply to a call that has no handler at the peer, or whose handler failed."""

    reason: str
