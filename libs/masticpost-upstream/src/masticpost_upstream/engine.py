"""Calls to model engines: whole answers and streams, checked for whose they are."""

import asyncio
import collections.abc
import contextlib
import ssl

import aiohttp
import attrs
from masticpost_common import codec

from masticpost_upstream import faults, load, openai, pool

EVENT_GAP_TIMEOUT_S = 10.0
HEALTH_TIMEOUT_S = 0.5
ID_PREFIX = "chatcmpl-"
MAX_ANSWER_BYTES = 8_000_000
MAX_EVENT_BYTES = 1_000_000
DATA_PREFIX = b"data:"
COLD_HEADER = "X-Upstream-State"
COLD_VALUE = "cold"
OVERLOAD_STATUSES = (429, 503)
NOT_LOADED_STATUS = 404


@attrs.frozen(kw_only=True)
class CompleteAnswer:
    """A whole answer and the load report that came with it."""

    completion: openai.Completion
    report: load.LoadReport | None


class EngineClient:
    """HTTP client of the engines; one connection pool per process.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Used for https upstreams; None for the system's defaults.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self.pool = pool.Pool(tls=tls, keep_alive=True)

    async def complete(
        self, target: pool.Target, req: openai.EngineRequest
    ) -> CompleteAnswer:
        """Return a whole answer; raises `faults.UpstreamError`."""
        async with self._post(target, req) as resp:
            body = await _read_body(resp)
        report = load.parse(resp.headers.get(load.RESPONSE_HEADER))
        try:
            completion = codec.from_json(body, openai.Completion)
        except codec.DecodeError as exc:
            raise pool.call_error(target, faults.FaultKind.INCOMPLETE, exc) from exc
        _check_id(target, completion.id)
        if not completion.choices or completion.choices[0].finish_reason is None:
            raise pool.call_error(
                target, faults.FaultKind.INCOMPLETE, "no finish reason"
            )
        return CompleteAnswer(completion=completion, report=report)

    async def stream(
        self, target: pool.Target, req: openai.EngineRequest
    ) -> collections.abc.AsyncIterator[openai.Chunk]:
        """Yield the events of a stream up to its end marker.

        Raises
        ------
        faults.UpstreamError
            `INCOMPLETE` or `CUT` when the stream ends without the end marker.
        """
        finished = False
        async with self._post(target, req) as resp:
            while True:
                data = await self._next_event(target, resp)
                if data is None:
                    raise pool.call_error(
                        target, faults.FaultKind.CUT, "stream ended early"
                    )
                if data == openai.DONE:
                    if not finished:
                        raise pool.call_error(
                            target, faults.FaultKind.INCOMPLETE, "no finish"
                        )
                    return
                chunk = _decode_chunk(target, data)
                finished = finished or any(c.finish_reason for c in chunk.choices)
                yield chunk

    async def is_healthy(self, url: str) -> bool:
        """Tell whether an engine says that it serves, or has no health page."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self.pool.session().get(
                f"{url}/health", timeout=timeout
            ) as resp:
                return resp.status < 500
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _next_event(
        self, target: pool.Target, resp: aiohttp.ClientResponse
    ) -> bytes | None:
        """Return the data of the next event, None at the end of the body."""
        while True:
            async with asyncio.timeout(EVENT_GAP_TIMEOUT_S):
                line = await resp.content.readline()
            if not line:
                return None
            if line.startswith(DATA_PREFIX):
                return line[len(DATA_PREFIX) :].strip()

    @contextlib.asynccontextmanager
    async def _post(
        self, target: pool.Target, req: openai.EngineRequest
    ) -> collections.abc.AsyncIterator[aiohttp.ClientResponse]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": target.attempt_id,
            load.REQUEST_HEADER: "JSON",
        }
        with pool.translated_errors(target):
            async with self.pool.session().post(
                f"{target.url}/v1/chat/completions",
                data=codec.to_json(req),
                headers=headers,
                timeout=target.timeout(),
                allow_redirects=False,
            ) as resp:
                await _check_status(target, resp)
                yield resp


async def _check_status(target: pool.Target, resp: aiohttp.ClientResponse) -> None:
    if resp.status < 300:
        return
    body = (await resp.content.read(MAX_EVENT_BYTES))[:MAX_EVENT_BYTES]
    if resp.headers.get(COLD_HEADER) == COLD_VALUE:
        raise pool.call_error(target, faults.FaultKind.COLD, resp.status)
    if resp.status in OVERLOAD_STATUSES:
        raise pool.call_error(target, faults.FaultKind.OVERLOADED, resp.status)
    if resp.status == NOT_LOADED_STATUS:
        raise pool.call_error(target, faults.FaultKind.NOT_LOADED, resp.status)
    if resp.status >= 500:
        raise pool.call_error(target, faults.FaultKind.FAILED, resp.status)
    raise faults.UpstreamError(
        kind=faults.FaultKind.REJECTED,
        upstream=target.upstream,
        message=str(resp.status),
        status=resp.status,
        body=body,
    )


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    chunks = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise ValueError("answer too large")
        chunks.append(chunk)
    return b"".join(chunks)


def _decode_chunk(target: pool.Target, data: bytes) -> openai.Chunk:
    try:
        chunk = codec.from_json(data, openai.Chunk)
    except codec.DecodeError as exc:
        raise pool.call_error(target, faults.FaultKind.INCOMPLETE, exc) from exc
    _check_id(target, chunk.id)
    return chunk


def _check_id(target: pool.Target, answer_id: str) -> None:
    if answer_id != ID_PREFIX + target.attempt_id:
        raise pool.call_error(target, faults.FaultKind.MISMATCHED, answer_id)
