"""Requests that callers send to a deployment, and the replies they get."""

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
    """A reply to a caller; `status` 0 means that the connection failed."""

    status: int
    body: bytes = b""
    headers: collections.abc.Mapping[str, str] = attrs.field(factory=dict)
    elapsed_s: float = 0.0

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def ran(self) -> str:
        """Value of `X-Request-Ran`, whether the request ran; empty if not given."""
        return self.headers.get("X-Request-Ran", "")

    @property
    def code(self) -> str:
        """Error code; empty for a success or a failed connection."""
        if self.status < 400 or not self.body.startswith(b'{"error"'):
            return ""
        return self.json()["error"]["code"]


class CallerClient:
    """Sends requests to the daemons of a deployment, as a load balancer would.

    Parameters
    ----------
    plan : layout.Layout
        The deployment, with its customers and their keys.
    """

    def __init__(self, *, plan: layout.Layout) -> None:
        self.plan = plan
        self.daemons: dict[str, programs.Daemon] = {}
        self.http: aiohttp.ClientSession | None = None
        self._round_robin_index = 0

    def pick(self, name: str | None = None) -> programs.Daemon:
        """Return a daemon by name, or the next one in turn that runs and was ready."""
        if name is not None:
            return self.daemons[name]
        running = [
            d for d in self.daemons.values() if d.was_ready and d.proc.is_running()
        ]
        self._round_robin_index += 1
        return running[self._round_robin_index % len(running)]

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
        """Send a request of a customer and return the reply."""
        daemon = self.pick(via)
        request_headers = {
            "Authorization": f"Bearer {self.plan.customers[customer].key}",
            **(headers or {}),
        }
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        started = time.monotonic()
        try:
            async with self.http.request(
                method, f"{daemon.url}{path}", data=data, headers=request_headers
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
    """Return the content fragments of a streamed answer."""
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
    """Run coroutines, at most `limit` at a time, and return their results in order."""
    semaphore = asyncio.Semaphore(limit)

    async def run(coro: typing.Coroutine[None, None, typing.Any]) -> typing.Any:
        async with semaphore:
            return await coro

    return await asyncio.gather(*(run(coro) for coro in coros))
