"""Encoding of attrs classes: JSON for storage and display, MessagePack on the wire."""

import typing

import msgspec

T = typing.TypeVar("T")

DecodeError = msgspec.MsgspecError


def to_json(value: object) -> bytes:
    """Encode as compact JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON into `kind`; raises `DecodeError`."""
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as exc:
        raise DecodeError("nested too deeply") from exc


def to_wire(value: object) -> bytes:
    """Encode as MessagePack."""
    return msgspec.msgpack.encode(value)


def from_wire(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack into `kind`; raises `DecodeError`."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except RecursionError as exc:
        raise DecodeError("nested too deeply") from exc


def to_plain(value: object) -> object:
    """Convert attrs classes to the dicts, lists and scalars of JSON."""
    return msgspec.to_builtins(value)
