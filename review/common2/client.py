"""Clients: one request on a new connection, and what came of it."""

import asyncio
import dataclasses
import itertools
import time

from common2 import httpio

_numbers = itertools.count(1)


@dataclasses.dataclass
class Sent:
    """A request of a client and its answer; times are monotonic seconds."""

    request_id: str
    machine: str
    target: str
    key: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


async def send(
    machine: str,
    address: tuple[str, int],
    *,
    method: str = "POST",
    path: str = "/safe/x",
    host: str = "shop.example",
    key: str = "",
    body: bytes = b"{}",
    deadline_s: float = 4.0,
    headers: dict[str, str] | None = None,
) -> Sent:
    """Send one request and wait for its answer until the deadline."""
    request_id = f"{next(_numbers):016x}"
    head = {"Host": host, "X-Masticpost-Attempt-Identifier": request_id}
    head["X-Masticpost-Deadline-Milliseconds"] = str(int(deadline_s * 1000))
    if key:
        head["Api-Key"] = key
    raw = httpio.encode(f"{method} {path} HTTP/1.1", head | (headers or {}), body)
    sent = Sent(request_id, machine, f"{method} {path}", key, time.monotonic())
    try:
        async with asyncio.timeout(deadline_s):
            await _exchange(sent, address, raw)
    except (TimeoutError, OSError):
        pass
    sent.answered_at = time.monotonic()
    return sent


async def _exchange(sent: Sent, address: tuple[str, int], raw: bytes) -> None:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(raw)
        resp = await httpio.read_head(reader)
        if resp is None:
            return
        sent.status, sent.headers = resp.status, resp.headers
        sent.body = await httpio.read_body(reader, resp)
        sent.is_whole = resp.is_whole
    finally:
        await httpio.close(writer)


async def is_ready(address: tuple[str, int]) -> bool:
    """Ask for readiness as the platform does."""
    try:
        async with asyncio.timeout(0.9):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            resp = await httpio.read_head(reader)
            await httpio.close(writer)
    except (TimeoutError, OSError):
        return False
    return resp is not None and resp.status == 200
