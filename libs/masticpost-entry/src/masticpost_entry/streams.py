"""Relays streamed answers and resumes them on another upstream when they are cut.

A stream that fails after its headers were sent ends with an error event, so that a
partial answer cannot be taken for a complete one.
"""

import asyncio
import contextlib
import time

import attrs
from aiohttp import web
from masticpost_common import codec, errors
from masticpost_gateway.learning import causes
from masticpost_text import model
from masticpost_upstream import engine, faults, openai

from masticpost_entry import (
    acquisition,
    attempts,
    intake,
    reply,
    routing,
    runtime,
    suspects,
)

DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
}
WRITE_TIMEOUT_S = 10.0
# Tokens that a stream receives from an upstream before its trial ends.
TRIAL_TOKENS = 2


@attrs.define(kw_only=True)
class Relay:
    """A stream that is relayed to a caller.

    Attributes
    ----------
    wants_usage : bool
        Whether the caller asked for a final event with the usage.
    durable : asyncio.Future or None
        Result is the session's version once its pin is committed; None without a pin.
    parts : list of str
        Content that was sent to the caller.
    tokens : int
        Number of parts, each counted as one token.
    first_token_s : float or None
        Seconds from the start of the request to the first token.
    usage : openai.Usage or None
        Usage that an engine reported last.
    is_finished : bool
        Whether an event with a finish reason was sent.
    """

    job: attempts.Job
    version: model.Version
    resp: web.StreamResponse
    wants_usage: bool
    durable: asyncio.Future | None = None
    parts: list[str] = attrs.field(factory=list)
    tokens: int = 0
    input_tokens: int = 0
    first_token_s: float | None = None
    usage: openai.Usage | None = None
    is_finished: bool = False

    @property
    def answer_id(self) -> str:
        """Id of the answer; it stays the same when the stream is resumed."""
        return engine.ID_PREFIX + self.job.call.request_id

    def resume_request(self) -> openai.EngineRequest:
        """Return the engine request for the part of the answer that is not yet sent."""
        req = attempts.engine_request(self.job, self.version.name)
        req.stream = True
        req.stream_options = openai.StreamOptions(include_usage=True)
        if not self.parts:
            return req
        partial = openai.Message(role="assistant", content="".join(self.parts))
        req.messages = [*req.messages, partial]
        req.continue_final_message = True
        req.add_generation_prompt = False
        if req.max_tokens is not None:
            req.max_tokens = max(1, req.max_tokens - self.tokens)
        return req


async def relay(rt: runtime.Runtime, stream: Relay, req: web.Request) -> None:
    """Stream the answer to the caller.

    Raises
    ------
    errors.RefusalError
        When the stream fails. Once the response is prepared, the caller of this
        function must send the error as an event of the stream.
    """
    requirements = routing.Requirements(
        target=stream.version.name,
        policy=stream.job.call.service.choice,
        prefix=stream.job.prefix,
    )
    retries = attempts.new_retries(rt, stream.job)
    while True:
        selection = await attempts.next_upstream(
            rt, stream.job, stream.version, requirements
        )
        try:
            await _relay_from(rt, stream, req, selection, requirements)
        except faults.UpstreamError as exc:
            await attempts.wait_before_retry(rt, stream.job, retries, exc)
            if stream.parts:
                rt.meters.resumes.labels(stream.job.call.service.name).inc()
            continue
        await _finish(stream)
        return


async def _relay_from(
    rt: runtime.Runtime,
    stream: Relay,
    req: web.Request,
    selection: routing.Selection,
    requirements: routing.Requirements,
) -> None:
    """Relay the events of one upstream until the answer ends or the upstream fails."""
    dispatched = False
    started = time.monotonic()
    first_s: float | None = None
    tokens_before = stream.tokens
    try:
        async with suspects.trial(
            rt, stream.job.call, stream.job.fingerprint, selection
        ) as trial:
            acquisition.check_permit(selection)
            dispatched = True
            routing.record_dispatch(rt, selection, requirements)
            stream.job.meter.open(stream.version, stream.job.prompt_tokens)
            events = rt.clients.engines.stream(
                attempts.new_target(stream.job, selection), stream.resume_request()
            )
            async with contextlib.aclosing(events):
                async for chunk in events:
                    _check_permit_held(selection)
                    if first_s is None:
                        first_s = time.monotonic() - started
                    await _forward_chunk(stream, req, chunk)
                    if stream.tokens >= tokens_before + TRIAL_TOKENS:
                        trial.end()
                    if first_s + causes.SURVIVAL_S <= time.monotonic() - started:
                        suspects.clear_parts(rt, stream.job)
    except faults.UpstreamError as exc:
        attempts.record_failure(rt, selection, requirements, exc, dispatched)
        raise
    except BaseException:
        if dispatched:
            routing.record_cancellation(rt, selection)
        else:
            acquisition.release_unused(rt, selection)
        raise
    first_s = first_s or time.monotonic() - started
    suspects.clear_parts(rt, stream.job)
    routing.record_success(rt, selection, first_s)
    rt.cluster.rollouts.add_call(
        stream.version.name, failed=False, first_token_s=first_s
    )


def _check_permit_held(selection: routing.Selection) -> None:
    if selection.permit is not None and selection.permit.lost.is_set():
        raise faults.UpstreamError(
            kind=faults.FaultKind.PERMIT_LOST, upstream=selection.upstream.name
        )


async def _forward_chunk(stream: Relay, req: web.Request, chunk: openai.Chunk) -> None:
    """Send one event to the caller and record the content that was sent."""
    if chunk.usage is not None:
        stream.usage = chunk.usage
    if not chunk.choices:
        return
    if stream.is_finished:
        return
    await _send_headers(stream, req)
    choice = chunk.choices[0]
    content = choice.delta.content or ""
    chunk.id = stream.answer_id
    chunk.usage = None
    if stream.parts and choice.delta.role is not None:
        choice.delta.role = None
        if not content and choice.finish_reason is None:
            return
    await _write(stream, b"data: " + codec.to_json(chunk) + b"\n\n")
    stream.job.ran = errors.RAN_YES
    if content:
        _record_token(stream, content)
    if choice.finish_reason is not None:
        stream.is_finished = True


def _record_token(stream: Relay, content: str) -> None:
    stream.parts.append(content)
    stream.tokens += 1
    if stream.first_token_s is None:
        stream.first_token_s = time.monotonic() - stream.job.call.started


async def _send_headers(stream: Relay, req: web.Request) -> None:
    """Send the response headers once the session's pin is committed.

    Raises
    ------
    errors.RefusalError
        ``session_moved`` when the session is pinned to another version.
    """
    if stream.resp.prepared:
        return
    if stream.durable is not None:
        version = await stream.durable
        if version != stream.version.name:
            raise errors.refuse(
                503,
                "session_moved",
                "The session was pinned to another version in the meantime.",
                ran=errors.RAN_MAYBE,
                retry_after_s=1.0,
            )
    stream.resp.headers.update(STREAM_HEADERS)
    stream.resp.headers["X-Request-Id"] = stream.job.call.request_id
    stream.resp.headers["X-Model-Version"] = stream.version.name
    await stream.resp.prepare(req)


async def _write(stream: Relay, data: bytes) -> None:
    """Write to the caller; raises `TimeoutError` if it does not read in time."""
    async with asyncio.timeout(WRITE_TIMEOUT_S):
        await stream.resp.write(data)


async def _finish(stream: Relay) -> None:
    await stream.job.meter.wait_until_durable()
    if stream.wants_usage:
        usage = _total_usage(stream)
        chunk = openai.Chunk(
            id=stream.answer_id, model=stream.version.name, usage=usage
        )
        await _write(stream, b"data: " + codec.to_json(chunk) + b"\n\n")
    await _write(stream, DONE_EVENT)
    await stream.resp.write_eof()


def _total_usage(stream: Relay) -> openai.Usage:
    prompt = stream.job.prompt_tokens
    if stream.usage is not None:
        prompt = stream.usage.prompt_tokens
    return openai.Usage(
        prompt_tokens=prompt,
        completion_tokens=stream.tokens,
        total_tokens=prompt + stream.tokens,
    )


def bill_usage(stream: Relay) -> None:
    """Add the tokens that were sent to the caller to the meter."""
    usage = _total_usage(stream)
    stream.job.meter.add(stream.version, usage.prompt_tokens, usage.completion_tokens)


async def end_with_error(
    stream: Relay, refusal: errors.Refusal, call: intake.Call
) -> None:
    """End a stream whose headers were sent with an error event."""
    body = reply.error_body(refusal, call.request_id)
    await _write(stream, b"data: " + codec.to_json(body) + b"\n\n")
    await stream.resp.write_eof()
