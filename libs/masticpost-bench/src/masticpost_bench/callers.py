"""Callers of a deployment: what they send and what they got."""

import asyncio
import collections.abc
import json
import time
import typing

import aiohttp
import attrs

from masticpost_bench import layout, programs


@attrs.frozen(kw_only=True)
class Reply:
    """An answer that a caller got; `status` 0 means that the connection broke."""

    status: int
    body: bytes = b""
    headers: collections.abc.Mapping[str, str] = attrs.field(factory=dict)
    elapsed_s: float = 0.0

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def ran(self) -> str:
        """What the answer says about whether the request ran."""
        return self.headers.get("X-Request-Ran", "")

    @property
    def code(self) -> str:
        """Error code, empty for an answer or a broken connection."""
        if self.status < 400 or not self.body.startswith(b'{"error"'):
            return ""
        return self.json()["error"]["code"]


class CallerClient:
    """Sends requests to the daemons of a deployment, as a balancer would.

    Parameters
    ----------
    plan : layout.Layout
        Has the customers and their keys.
    """

    def __init__(self, *, plan: layout.Layout) -> None:
        self.plan = plan
        self.daemons: dict[str, programs.Daemon] = {}
        self.http: aiohttp.ClientSession | None = None
        self._next_caller = 0

    def pick(self, name: str | None = None) -> programs.Daemon:
        """Return a daemon by name, or the next ready one, as a balancer would."""
        if name is not None:
            return self.daemons[name]
        running = [
            d for d in self.daemons.values() if d.was_ready and d.proc.is_running()
        ]
        self._next_caller += 1
        return running[self._next_caller % len(running)]

    async def call(
        self,
        method: str,
        path: str,
        *,
        via: str | None = None,
        customer: int = 0,
        headers: dict[str, str] | None = None,
        body: object = None,
    ) -> Reply:
        """Send a request as a caller would."""
        daemon = self.pick(via)
        sent = {
            "Authorization": f"Bearer {self.plan.customers[customer].key}",
            **(headers or {}),
        }
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        started = time.monotonic()
        try:
            async with self.http.request(
                method, f"{daemon.url}{path}", data=data, headers=sent
            ) as resp:
                content = await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Reply(status=0, elapsed_s=time.monotonic() - started)
        return Reply(
            status=resp.status,
            body=content,
            headers=resp.headers,
            elapsed_s=time.monotonic() - started,
        )

    async def chat(
        self,
        prompt: str = "hello",
        *,
        service: str = "setup",
        stream: bool = False,
        **kwargs: typing.Any,
    ) -> Reply:
        """Send a chat request."""
        body = {
            "model": service,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
            "stream_options": {"include_usage": True} if stream else None,
        }
        return await self.call("POST", "/v1/chat/completions", body=body, **kwargs)

    async def book(self, key: str, body: str = "crew", **kwargs: typing.Any) -> Reply:
        """Book a crew under an idempotency key."""
        return await self.call(
            "POST",
            "/v1/services/crews/bookings",
            headers={"Idempotency-Key": key},
            body={"crew": body},
            **kwargs,
        )


def stream_words(body: bytes) -> list[str]:
    """Return the content pieces of a streamed answer."""
    words = []
    for line in body.splitlines():
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        for choice in event.get("choices", []):
            if choice["delta"].get("content"):
                words.append(choice["delta"]["content"])
    return words


async def gather_limited(
    limit: int, coros: list[typing.Coroutine[None, None, typing.Any]]
) -> list[typing.Any]:
    """Run coroutines, at most `limit` at a time."""
    gate = asyncio.Semaphore(limit)

    async def run(work: typing.Coroutine[None, None, typing.Any]) -> typing.Any:
        async with gate:
            return await work

    return await asyncio.gather(*(run(work) for work in coros))
