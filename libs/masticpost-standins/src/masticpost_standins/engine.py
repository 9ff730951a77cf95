"""Stand-in for a model engine: an OpenAI-compatible server that simulates its timing.

It simulates prefill and continuous batching: each step emits one word of each running
answer. `answers` provides the words.
"""

import asyncio
import collections
import re
import time

import aiohttp
import attrs
import msgspec
from aiohttp import web

from masticpost_standins import answers, batch, control, ratenaming

# In a prompt: its hardness, which lowers the quality of answers.
HARDNESS_MARK = re.compile(r"\[hard=([0-9.]+)\]")
# In a prompt: the request crashes the engine.
CRASH_MARK = "[crash]"
LOAD_SAMPLE_INTERVAL_S = 0.1


@attrs.define(kw_only=True)
class Config:
    """Behaviour of the engine; times in seconds.

    Attributes
    ----------
    qualities : dict of str to float
        Quality of each loaded version, from 0 to 1.
    step_s, step_per_seq_s : float
        Time of a step, and what each running request adds to it.
    prefill_tokens_s : float
        Prefill speed, in tokens per second.
    kv_tokens : int
        Size of the KV cache, in tokens.
    max_running : int
        Maximum number of requests that run at once.
    cold_s : float
        Duration of the cold start.
    cold_bears : int
        Maximum concurrency that does not count as overload in cold start.
    report_lag_s : float
        Age of the load in reported load headers.
    checks_fencing : bool
        Whether orders with a fencing token below the highest seen are refused.
    link_delay_s : float
        One-way delay of the network link.
    """

    qualities: dict[str, float]
    step_s: float = 0.004
    step_per_seq_s: float = 0.0002
    prefill_tokens_s: float = 20_000.0
    kv_tokens: int = 200_000
    max_running: int = 64
    cold_s: float = 0.0
    cold_bears: int = 1
    report_lag_s: float = 0.5
    checks_fencing: bool = False
    link_delay_s: float = 0.0


@attrs.define(kw_only=True)
class Faults:
    """Injected faults.

    Attributes
    ----------
    outage : str
        Empty, ``abort`` (connections cut), ``hang`` (no response) or ``error`` (500).
    cut_streams_after, cut_count : int
        The next `cut_count` streams are cut after `cut_streams_after` words.
    cross_answers : int
        How many of the next answers carry another request's id.
    down_s : float
        Time out of service after a crash, in seconds.
    quality_drop : float
        Subtracted from the quality of every answer.
    delay_s : float
        Added to each request, in seconds.
    rate : str
        Rate named in each response, in requests per second; empty for none.
    """

    outage: str = ""
    cut_streams_after: int = 0
    cut_count: int = 0
    cross_answers: int = 0
    down_s: float = 0.5
    quality_drop: float = 0.0
    delay_s: float = 0.0
    rate: str = ""


@attrs.define(kw_only=True)
class Counts:
    """Counters of events since the start.

    Attributes
    ----------
    requests, finished, cancelled : int
        Numbers of requests received, completed, and cancelled by their callers.
    crashes : int
        Number of crashes.
    cold_peak : int
        Highest concurrency in cold start.
    cold_over : int
        Number of requests received in cold start above `Config.cold_bears`.
    tokens : int
        Number of words emitted.
    prefix_hits : int
        Number of prompts with a cached prefix.
    last_request_at : float
        Wall-clock seconds of the last request.
    dispatches : dict of str to list of float
        Wall-clock seconds of each version's requests, so that tests can find requests
        received after a withdrawal.
    orders : list of str
        Executed load and unload orders.
    refused_orders : int
        Number of orders refused for an old fencing token.
    loaded : list of str
        Versions loaded now.
    limited_arrivals : list of float
        Wall-clock seconds of the requests received while `Faults.rate` is set.
    """

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    crashes: int = 0
    cold_peak: int = 0
    cold_over: int = 0
    tokens: int = 0
    prefix_hits: int = 0
    last_request_at: float = 0.0
    dispatches: dict[str, list[float]] = attrs.field(factory=dict)
    orders: list[str] = attrs.field(factory=list)
    refused_orders: int = 0
    loaded: list[str] = attrs.field(factory=list)
    limited_arrivals: list[float] = attrs.field(factory=list)


class Engine(control.StandIn):
    """The engine."""

    def __init__(self, *, cfg: Config) -> None:
        super().__init__(cfg=cfg, faults=Faults(), counts=Counts())
        self.started_at = time.monotonic()
        self.down_until = 0.0
        self.highest_fencing_token = -1
        self.loaded = set(cfg.qualities)
        self.counts.loaded = sorted(self.loaded)
        self.adapters: set[str] = set()
        self.batch = batch.Batch(cfg=cfg, is_cold=lambda: self.is_cold)
        self._transports: set[asyncio.Transport] = set()
        self._load_samples: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )
        self._tasks: list[asyncio.Task] = []
        self.actions["make-cold"] = self._make_cold
        self.actions["crash"] = self._crash_action
        self.actions["forget"] = self._lose_version

    def make_app(self) -> web.Application:
        """Return the engine's application."""
        app = web.Application(client_max_size=8_000_000)
        ratenaming.add_to(app, self)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_get("/v1/models", self.models)
        app.router.add_get("/health", self.health)
        app.router.add_post("/v1/load_lora_adapter", self.load_adapter)
        app.router.add_post("/v1/unload_lora_adapter", self.unload_adapter)
        self._tasks = [
            asyncio.ensure_future(self.batch.run()),
            asyncio.ensure_future(self._sample_load_loop()),
        ]
        return app

    @property
    def is_cold(self) -> bool:
        """Whether the engine is in cold start."""
        return time.monotonic() < self.started_at + self.cfg.cold_s

    async def _make_cold(self, body: bytes) -> bool:
        self.started_at = time.monotonic()
        return True

    async def _crash_action(self, body: bytes) -> bool:
        self.crash()
        return True

    async def _lose_version(self, body: bytes) -> bool:
        """Lose a version without an order, as in a restart without it."""
        self._set_loaded(self.loaded - {msgspec.json.decode(body, type=str)})
        return True

    def _set_loaded(self, loaded: set[str]) -> None:
        self.loaded = loaded
        self.counts.loaded = sorted(loaded)

    def crash(self) -> None:
        """Cut all connections, stay down for `Faults.down_s`, then start cold."""
        self.counts.crashes += 1
        self.down_until = time.monotonic() + self.faults.down_s
        self.started_at = self.down_until
        self.batch.clear()
        for transport in list(self._transports):
            transport.abort()

    async def health(self, req: web.Request) -> web.Response:
        """Return 200, or 503 while the engine is down."""
        return web.Response(status=503 if self._is_down() else 200)

    def _is_down(self) -> bool:
        return time.monotonic() < self.down_until

    async def models(self, req: web.Request) -> web.Response:
        """List the loaded versions."""
        rows = [
            {"id": name, "parent": "base" if name in self.adapters else None}
            for name in sorted(self.loaded)
        ]
        return web.json_response({"data": rows})

    async def chat(self, req: web.Request) -> web.StreamResponse:
        """Run a chat request."""
        if self._is_down() or self.faults.outage == "abort":
            control.abort(req)
        if self.faults.outage == "hang":
            await control.hang()
        if self.faults.outage == "error":
            return web.Response(status=500, text="fault")
        parsed = msgspec.json.decode(await req.read(), type=answers.Request)
        if parsed.model not in self.loaded:
            return web.Response(status=404, text="no such model")
        transport = req.transport
        self._transports.add(transport)
        try:
            return await self._receive(req, parsed)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        finally:
            self._transports.discard(transport)

    async def _receive(
        self, req: web.Request, parsed: answers.Request
    ) -> web.StreamResponse:
        crashes = self.counts.crashes
        await asyncio.sleep(2 * self.cfg.link_delay_s + self.faults.delay_s)
        if self.counts.crashes != crashes:
            control.abort(req)
        self._count_request(parsed)
        if any(CRASH_MARK in m.content for m in parsed.messages):
            await asyncio.sleep(self.cfg.step_s)
            self.crash()
            control.abort(req)
        return await self._generate(req, parsed)

    def _count_request(self, parsed: answers.Request) -> None:
        self.counts.requests += 1
        self.counts.last_request_at = time.time()
        self.counts.dispatches.setdefault(parsed.model, []).append(time.time())
        if self.is_cold:
            concurrency = len(self.batch) + 1
            self.counts.cold_peak = max(self.counts.cold_peak, concurrency)
            if concurrency > self.cfg.cold_bears:
                self.counts.cold_over += 1

    async def _generate(
        self, req: web.Request, parsed: answers.Request
    ) -> web.StreamResponse:
        seq = self._make_sequence(parsed)
        if self.faults.cross_answers > 0:
            self.faults.cross_answers -= 1
            seq.words = [f"another's {word}" for word in seq.words]
            seq.answer_id = "chatcmpl-of-another-request"
        self.batch.add(seq)
        try:
            if parsed.stream:
                return await self._send_stream(req, parsed, seq)
            return await self._send_completion(req, parsed, seq)
        finally:
            self.batch.discard(seq)
            self.counts.tokens = self.batch.words_written

    def _make_sequence(self, parsed: answers.Request) -> answers.Sequence:
        prompt, received = answers.split_prompt(parsed)
        words = answers.answer_words(
            parsed.model,
            prompt,
            self._quality(parsed.model, prompt),
            parsed,
            len(received),
        )
        tokens = max(1, len(prompt) // batch.CHARS_PER_TOKEN)
        cached = self.batch.cached_tokens(prompt)
        self.counts.prefix_hits += cached > 0
        return answers.Sequence(
            words=words,
            out=asyncio.Queue(),
            kv=tokens + len(words),
            prefill_s=max(0, tokens - cached) / self.cfg.prefill_tokens_s,
            priority=parsed.priority,
        )

    def _quality(self, version: str, prompt: str) -> float:
        base = self.cfg.qualities[version] - self.faults.quality_drop
        found = HARDNESS_MARK.search(prompt)
        hardness = float(found.group(1)) if found else 0.0
        return min(1.0, max(0.0, base - hardness * (1 - base)))

    def _answer_id(self, req: web.Request) -> str:
        return "chatcmpl-" + req.headers.get("X-Request-Id", "none")

    def _load_header(self) -> dict[str, str]:
        until = time.monotonic() - self.cfg.report_lag_s
        running = waiting = 0
        for at, run, wait in self._load_samples:
            if at <= until:
                running, waiting = run, wait
        report = {
            "named_metrics": {
                "num_requests_running": running,
                "num_requests_waiting": waiting,
                "warming": 1.0 if self.is_cold else 0.0,
            }
        }
        return {"endpoint-load-metrics": "JSON " + msgspec.json.encode(report).decode()}

    async def _sample_load_loop(self) -> None:
        while True:
            row = (time.monotonic(), len(self.batch.running), len(self.batch.waiting))
            self._load_samples.append(row)
            while self._load_samples[0][0] < row[0] - 5 - self.cfg.report_lag_s:
                self._load_samples.popleft()
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)

    async def _send_completion(
        self, req: web.Request, parsed: answers.Request, seq: answers.Sequence
    ) -> web.Response:
        words = []
        while (word := await seq.out.get()) is not None:
            words.append(word)
        self.counts.finished += 1
        prompt_tokens = seq.kv - len(seq.words)
        body = {
            "id": seq.answer_id or self._answer_id(req),
            "object": "chat.completion",
            "created": int(time.time()),
            "model": parsed.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(words)},
                    "finish_reason": "stop",
                }
            ],
            "usage": answers.usage(prompt_tokens, len(words)),
        }
        return web.Response(
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=self._load_header(),
        )

    async def _send_stream(
        self, req: web.Request, parsed: answers.Request, seq: answers.Sequence
    ) -> web.StreamResponse:
        resp = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", **self._load_header()}
        )
        await resp.prepare(req)
        answer_id = seq.answer_id or self._answer_id(req)
        cut_after = self._next_cut()
        sent = 0
        await answers.write_event(
            resp, answer_id, parsed.model, {"role": "assistant"}, None
        )
        while (word := await seq.out.get()) is not None:
            if cut_after is not None and sent >= cut_after:
                control.abort(req)
            await answers.write_event(
                resp, answer_id, parsed.model, {"content": word}, None
            )
            sent += 1
        await answers.write_event(resp, answer_id, parsed.model, {}, "stop")
        usage_event = {
            "id": answer_id,
            "model": parsed.model,
            "choices": [],
            "usage": answers.usage(seq.kv - len(seq.words), sent),
        }
        await resp.write(b"data: " + msgspec.json.encode(usage_event) + b"\n\n")
        await resp.write(b"data: [DONE]\n\n")
        self.counts.finished += 1
        return resp

    def _next_cut(self) -> int | None:
        if self.faults.cut_count <= 0:
            return None
        self.faults.cut_count -= 1
        return self.faults.cut_streams_after

    def _is_order_refused(self, req: web.Request) -> bool:
        """Check the fencing token of an order, and record it if it is accepted."""
        number = int(req.headers.get("X-Fencing-Token", "-1"))
        if self.cfg.checks_fencing and number < self.highest_fencing_token:
            self.counts.refused_orders += 1
            return True
        self.highest_fencing_token = max(self.highest_fencing_token, number)
        return False

    async def load_adapter(self, req: web.Request) -> web.Response:
        """Load a version."""
        if self._is_order_refused(req):
            return web.Response(status=409, text="old fencing number")
        order = await req.json()
        name = order["lora_name"]
        if not await _fetch_weights(order.get("lora_path", "")):
            return web.Response(status=503, text="the weight store gives none now")
        self.counts.orders.append(f"load {name}")
        self.cfg.qualities.setdefault(name, 0.8)
        self.adapters.add(name)
        self._set_loaded(self.loaded | {name})
        return web.Response(text="loaded")

    async def unload_adapter(self, req: web.Request) -> web.Response:
        """Unload a version."""
        if self._is_order_refused(req):
            return web.Response(status=409, text="old fencing number")
        name = (await req.json())["lora_name"]
        self.counts.orders.append(f"unload {name}")
        self._set_loaded(self.loaded - {name})
        return web.Response(text="unloaded")


async def _fetch_weights(url: str) -> bool:
    """Fetch weights if the path is a URL; returns False if the store refuses."""
    if not url.startswith("http"):
        return True
    async with aiohttp.ClientSession() as http, http.get(url) as resp:
        await resp.read()
        return resp.status == 200
