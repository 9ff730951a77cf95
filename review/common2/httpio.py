"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Message:
    """One request or response; header names are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None if the connection has ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return Message(start=lines[0].split(" ", 2), headers=headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Return the body of a message; `is_whole` tells whether it was complete."""
    parts: list[bytes] = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, parts)
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            parts.append(await reader.readexactly(size))
    except asyncio.IncompleteReadError as exc:
        parts.append(exc.partial)
        message.is_whole = False
    except (ConnectionError, ValueError):
        message.is_whole = False
    message.body = b"".join(parts)
    return message.body


async def _read_chunks(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        parts.append(data[:size])


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message whose body has a length."""
    rows = [start, *(f"{name}: {value}" for name, value in headers.items())]
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*rows, "", ""]).encode("latin-1") + body


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection and ignore how it ended."""
    writer.close()
    try:
        await writer.wait_closed()
    except (ConnectionError, OSError):
        return
