"""Calls to model engines; each answer is checked to belong to its request."""

import collections.abc
import contextlib
import ssl

import aiohttp
import attrs
from masticpost_common import codec

from masticpost_upstream import bodies, faults, limits, lines, load, openai, pool

HEALTH_TIMEOUT_S = 0.5
ID_PREFIX = "chatcmpl-"
MAX_ANSWER_BYTES = 8_000_000
# Bytes read of the body of an error response; the rest is dropped.
MAX_ERROR_BYTES = 1_000_000
COLD_HEADER = "X-Upstream-State"
COLD_VALUE = "cold"
OVERLOAD_STATUSES = (429, 503)
NOT_LOADED_STATUS = 404


@attrs.frozen(kw_only=True)
class CompleteAnswer:
    """A complete answer and the load report in its headers."""

    completion: openai.Completion
    report: load.LoadReport | None


class EngineClient:
    """HTTP client of the engines; one per process, with one connection pool.

    Parameters
    ----------
    tls : ssl.SSLContext or None
        Context for https upstreams; None for the default context.
    """

    def __init__(self, *, tls: ssl.SSLContext | None = None) -> None:
        self.pool = pool.Pool(tls=tls, keep_alive=True)

    async def complete(
        self, target: pool.Target, req: openai.EngineRequest
    ) -> CompleteAnswer:
        """Return a complete answer; raises `faults.UpstreamError`."""
        async with self._post(target, req) as resp:
            limits.renew(resp, MAX_ANSWER_BYTES)
            body = await bodies.read(resp)
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
        """Yield the events of a stream until its end marker.

        Raises
        ------
        faults.UpstreamError
            `CUT` if the stream ends without the end marker, `INCOMPLETE` if it has no
            finish reason.
        """
        finished = False
        async with self._post(target, req) as resp:
            limits.renew(resp, lines.MAX_LINE_BYTES)
            rows = lines.DataLines(resp)
            while True:
                data = await rows.next()
                if data is None:
                    raise pool.call_error(
                        target, faults.FaultKind.CUT, "stream ended without end marker"
                    )
                if data == openai.DONE:
                    if not finished:
                        raise pool.call_error(
                            target,
                            faults.FaultKind.INCOMPLETE,
                            "no finish reason in the stream",
                        )
                    return
                chunk = _decode_chunk(target, data)
                finished = finished or any(c.finish_reason for c in chunk.choices)
                yield chunk

    async def is_healthy(self, url: str) -> bool:
        """Return whether the health check of an engine succeeds.

        An engine without a health page counts as healthy.
        """
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self.pool.session().get(
                f"{url}/health", timeout=timeout
            ) as resp:
                return resp.status < 500
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

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
            async with self.pool.request(
                target,
                "POST",
                f"{target.url}/v1/chat/completions",
                data=codec.to_json(req),
                headers=headers,
            ) as resp:
                await _check_status(target, resp)
                yield resp


async def _check_status(target: pool.Target, resp: aiohttp.ClientResponse) -> None:
    if resp.status < 300:
        return
    body = (await resp.content.read(MAX_ERROR_BYTES))[:MAX_ERROR_BYTES]
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
