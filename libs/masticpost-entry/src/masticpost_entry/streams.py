"""Streams: relays events, resumes a cut stream, never ends short in silence."""

import asyncio
import contextlib
import time

import attrs
from aiohttp import web
from masticpost_common import codec, errors
from masticpost_text import model
from masticpost_upstream import engine, faults, openai

from masticpost_entry import attempts, intake, reply, routing, runtime, suspects

DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
}
WRITE_TIMEOUT_S = 10.0
TRIAL_TOKENS = 2


@attrs.define(kw_only=True)
class Relay:
    """A stream on its way to the caller.

    Attributes
    ----------
    parts : list of str
        Content that the caller has.
    billed_input, billed_output : int
        Tokens added to the meter so far.
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
        """Id of the answer, the same over resumes."""
        return engine.ID_PREFIX + self.job.call.request_id

    def resume_request(self) -> openai.EngineRequest:
        """Return the request for what the caller does not have yet."""
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


async def relay(rt: runtime.Runtime, run: Relay, req: web.Request) -> None:
    """Stream the answer to the caller.

    Raises
    ------
    errors.RefusalError
        When nothing was sent yet. Afterwards errors go into the stream.
    """
    need = routing.Need(
        target=run.version.name,
        policy=run.job.call.service.choice,
        prefix=run.job.prefix,
    )
    tries = attempts.new_tries(rt, run.job)
    while True:
        place = await attempts.next_place(rt, run.job, run.version, need)
        try:
            await _relay_from(rt, run, req, place, need)
        except faults.UpstreamError as exc:
            await attempts.after_failure(rt, run.job, tries, exc)
            if run.parts:
                rt.meters.resumes.labels(run.job.call.service.name).inc()
            continue
        await _finish(run)
        return


async def _relay_from(
    rt: runtime.Runtime,
    run: Relay,
    req: web.Request,
    place: routing.Place,
    need: routing.Need,
) -> None:
    """Relay the events of one upstream until the end or its failure."""
    begun = False
    started = time.monotonic()
    first_s: float | None = None
    had = run.tokens
    try:
        async with suspects.trial(
            rt, run.job.call, run.job.fingerprint, place
        ) as trial:
            routing.check_permit(place)
            begun = True
            routing.begin(rt, place, need)
            run.job.meter.open(run.version, run.job.prompt_tokens)
            events = rt.clients.engines.stream(
                attempts.target_of(run.job, place), run.resume_request()
            )
            async with contextlib.aclosing(events):
                async for chunk in events:
                    _check_permit_held(place)
                    if first_s is None:
                        first_s = time.monotonic() - started
                    await _pass_on(run, req, chunk)
                    if run.tokens >= had + TRIAL_TOKENS:
                        trial.end()
    except faults.UpstreamError as exc:
        attempts.count_failure(rt, place, need, exc, begun)
        raise
    except BaseException:
        if begun:
            routing.cancel(rt, place)
        else:
            attempts.give_up(rt, place)
        raise
    first_s = first_s or time.monotonic() - started
    routing.succeed(rt, place, first_s)
    rt.agreed.guard.add_call(run.version.name, failed=False, first_token_s=first_s)


def _check_permit_held(place: routing.Place) -> None:
    if place.permit is not None and place.permit.lost.is_set():
        raise faults.UpstreamError(
            kind=faults.FaultKind.PERMIT_LOST, upstream=place.upstream.name
        )


async def _pass_on(run: Relay, req: web.Request, chunk: openai.Chunk) -> None:
    """Send one event to the caller and remember what it has then."""
    if chunk.usage is not None:
        run.usage = chunk.usage
    if not chunk.choices:
        return
    if run.is_finished:
        return
    await _prepare(run, req)
    choice = chunk.choices[0]
    content = choice.delta.content or ""
    chunk.id = run.answer_id
    chunk.usage = None
    if run.parts and choice.delta.role is not None:
        choice.delta.role = None
        if not content and choice.finish_reason is None:
            return
    await _write(run, b"data: " + codec.to_json(chunk) + b"\n\n")
    run.job.ran = errors.RAN_YES
    if content:
        _note_token(run, content)
    if choice.finish_reason is not None:
        run.is_finished = True


def _note_token(run: Relay, content: str) -> None:
    run.parts.append(content)
    run.tokens += 1
    if run.first_token_s is None:
        run.first_token_s = time.monotonic() - run.job.call.started


async def _prepare(run: Relay, req: web.Request) -> None:
    """Send the header, once the session's pin is committed."""
    if run.resp.prepared:
        return
    if run.durable is not None:
        version = await run.durable
        if version != run.version.name:
            raise errors.refuse(
                503,
                "session_moved",
                "The session was pinned to another version meanwhile.",
                ran=errors.RAN_MAYBE,
                retry_after_s=1.0,
            )
    run.resp.headers.update(STREAM_HEADERS)
    run.resp.headers["X-Request-Id"] = run.job.call.request_id
    run.resp.headers["X-Model-Version"] = run.version.name
    await run.resp.prepare(req)


async def _write(run: Relay, data: bytes) -> None:
    """Write to the caller; a caller that does not read in time is cut."""
    async with asyncio.timeout(WRITE_TIMEOUT_S):
        await run.resp.write(data)


async def _finish(run: Relay) -> None:
    await run.job.meter.make_safe()
    if run.wants_usage:
        usage = _total_usage(run)
        chunk = openai.Chunk(id=run.answer_id, model=run.version.name, usage=usage)
        await _write(run, b"data: " + codec.to_json(chunk) + b"\n\n")
    await _write(run, DONE_EVENT)
    await run.resp.write_eof()


def _total_usage(run: Relay) -> openai.Usage:
    prompt = run.job.prompt_tokens
    if run.usage is not None:
        prompt = run.usage.prompt_tokens
    return openai.Usage(
        prompt_tokens=prompt,
        completion_tokens=run.tokens,
        total_tokens=prompt + run.tokens,
    )


def bill_usage(run: Relay) -> None:
    """Add what the caller got to the meter."""
    usage = _total_usage(run)
    run.job.meter.add(run.version, usage.prompt_tokens, usage.completion_tokens)


async def end_with_error(
    run: Relay, refusal: errors.Refusal, call: intake.Call
) -> None:
    """End a stream that has begun with a typed error event."""
    body = reply.error_body(refusal, call.request_id)
    await _write(run, b"data: " + codec.to_json(body) + b"\n\n")
    await run.resp.write_eof()
