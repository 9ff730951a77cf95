"""Split JSON into its members and elements without decoding them.

One value that cannot be decoded, be it nested too deeply, out of range or no UTF-8,
then does not keep the others from being read. The depth of nesting costs no stack.
"""

import re

import msgspec

TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
OPENING, CLOSING = b"[{", b"]}"
WHITE_SPACE = b" \t\r\n"


class SplitError(ValueError):
    """The data is not the expected kind of JSON value."""


def members(data: bytes) -> dict[str, bytes]:
    """Return the values of an object as bytes, by key; unreadable keys are left out.

    Raises
    ------
    SplitError
        The data is no object.
    """
    found = {}
    for part in _parts(data, b"{", b"}"):
        key = TOKEN.match(part)
        if key is None or not part[key.end() :].lstrip(WHITE_SPACE).startswith(b":"):
            raise SplitError("expected a key and a colon")
        _, _, value = part[key.end() :].partition(b":")
        try:
            found[msgspec.json.decode(key.group(), type=str)] = value.strip(WHITE_SPACE)
        except msgspec.MsgspecError:
            continue
    return found


def elements(data: bytes) -> list[bytes]:
    """Return the elements of an array as bytes.

    Raises
    ------
    SplitError
        The data is no array.
    """
    return _parts(data, b"[", b"]")


def _parts(data: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    """Return what stands between the outermost brackets, split at its commas."""
    data = data.strip(WHITE_SPACE)
    if not data.startswith(opening) or not data.endswith(closing):
        raise SplitError(f"expected {opening.decode()}...{closing.decode()}")
    found, depth, start = [], 0, 1
    for match in TOKEN.finditer(data):
        token = match.group()
        if token in OPENING:
            depth += 1
        elif token in CLOSING:
            depth -= 1
        elif token == b"," and depth == 1:
            found.append(data[start : match.start()].strip(WHITE_SPACE))
            start = match.end()
        if not depth:
            break
    if depth or match.end() != len(data):
        raise SplitError("the brackets do not match")
    last = data[start:-1].strip(WHITE_SPACE)
    return [*found, last] if last or found else []
