"""Handlers of POST /v1/chat/completions and GET /v1/models."""

import asyncio
import time

import attrs
from aiohttp import web
from masticpost_common import codec, errors
from masticpost_shards import claims, records
from masticpost_telemetry import callerconns
from masticpost_upstream import engine, openai

from masticpost_entry import (
    attempts,
    deadlyparts,
    intake,
    levels,
    meter,
    reply,
    runtime,
    streams,
    suspects,
)

PREFIX_CHARS = 1024
MAX_MESSAGES = 2048
MAX_TOKENS_BOUND = 131_072
HINT_HEADER = "X-Request-Class"
# Accepted values of the parameter `n`.
ACCEPTED_N = (None, 1)


@attrs.define(kw_only=True)
class ModelCard:
    """A service in the format of OpenAI's list of models."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "masticpost"


@attrs.define(kw_only=True)
class ModelList:
    """List of the model services of a customer."""

    data: list[ModelCard]
    object: str = "list"


async def list_models(rt: runtime.Runtime, req: web.Request) -> web.Response:
    """Return the model services that the customer may use."""
    intake.check_ready(rt)
    cust = intake.authenticate(rt, req)
    services = rt.text.services
    names = [n for n in cust.services if services[n].kind == "model"]
    return reply.json_response(ModelList(data=[ModelCard(id=n) for n in names]))


async def chat(
    rt: runtime.Runtime, req: web.Request, request_id: str
) -> web.StreamResponse:
    """Answer a chat completion request, as one response or as a stream."""
    intake.check_ready(rt)
    intake.authenticate(rt, req)
    body = await intake.read_body(req)
    intake.check_ready(rt)
    parsed = parse(body)
    call = intake.make_call(rt, req, parsed.model, "model", request_id)
    hint = intake.id_header(req, HINT_HEADER)
    job = _make_job(rt, call, parsed)
    suspects.check_quarantine(rt, job.fingerprint)
    rt.cluster.budgets.check(call.customer)
    call.check_deadline()
    instances = rt.cluster.members.expected_count()
    with rt.admission_control.admit(rt.text, call.customer, instances):
        return await _serve(rt, req, job, hint)


def parse(body: bytes) -> openai.ChatRequest:
    """Decode and validate a body; raises `errors.RefusalError`."""
    try:
        parsed = codec.from_json(body, openai.ChatRequest)
    except (codec.DecodeError, RecursionError) as exc:
        raise errors.refuse(
            400, "bad_request", f"The body is not a chat request: {exc}"
        ) from exc
    if not parsed.messages or len(parsed.messages) > MAX_MESSAGES:
        raise errors.refuse(400, "bad_request", f"Send 1 to {MAX_MESSAGES} messages.")
    if parsed.n not in ACCEPTED_N:
        raise errors.refuse(400, "bad_request", "Only n = 1 is supported.")
    bound = parsed.max_completion_tokens or parsed.max_tokens
    if bound is not None and not 1 <= bound <= MAX_TOKENS_BOUND:
        raise errors.refuse(
            400, "bad_request", f"max_tokens must be 1 to {MAX_TOKENS_BOUND}."
        )
    return parsed


def _make_job(
    rt: runtime.Runtime, call: intake.Call, parsed: openai.ChatRequest
) -> attempts.Job:
    prompt = codec.to_json(parsed.messages)
    fingerprint = claims.fingerprint(
        call.customer.name.encode(), call.service.name.encode(), prompt
    )
    if call.idempotency_key:
        unique = f"{call.idempotency_key}\0{fingerprint}"
    else:
        unique = f"{call.request_id}\0{time.time_ns()}"
    return attempts.Job(
        call=call,
        chat=parsed,
        meter=meter.new_meter(rt, call, unique),
        fingerprint=fingerprint,
        prefix=claims.fingerprint(prompt[:PREFIX_CHARS]),
        prompt_tokens=max(1, len(prompt) // attempts.CHARS_PER_TOKEN),
        parts=deadlyparts.part_keys(parsed.messages),
    )


async def _serve(
    rt: runtime.Runtime, req: web.Request, job: attempts.Job, hint: str
) -> web.StreamResponse:
    try:
        plan = levels.make_plan(rt, job, hint)
        if job.chat.stream:
            return await _serve_stream(rt, req, job, plan)
        return await _serve_completion(rt, job, plan)
    except errors.RefusalError as exc:
        job.meter.close(records.FAILED)
        raise _with_ran(exc, job.ran) from exc
    except asyncio.CancelledError:
        job.meter.close(records.PARTIAL)
        raise
    finally:
        job.meter.close(records.FAILED)


def _with_ran(exc: errors.RefusalError, ran: str) -> errors.RefusalError:
    """Return the refusal; says "not run" only if no earlier attempt may have run."""
    if exc.refusal.ran != errors.RAN_NO or ran == errors.RAN_NO:
        return exc
    return errors.RefusalError(attrs.evolve(exc.refusal, ran=ran))


async def _serve_completion(
    rt: runtime.Runtime, job: attempts.Job, plan: levels.Plan
) -> web.Response:
    if job.call.session:
        completion = await _answer_in_session(rt, job, plan)
    else:
        completion = await levels.answer(rt, job, plan)
    await job.meter.wait_until_durable()
    job.meter.close(records.ANSWERED)
    completion.id = engine.ID_PREFIX + job.call.request_id
    completion.model = job.meter.version
    _observe(rt, job, time.monotonic() - job.call.started)
    headers = {
        "X-Request-Id": job.call.request_id,
        "X-Model-Version": job.meter.version,
        "X-Request-Cost": f"{job.meter.cost:.9f}",
    }
    return reply.json_response(completion, headers)


async def _answer_in_session(
    rt: runtime.Runtime, job: attempts.Job, plan: levels.Plan
) -> openai.Completion:
    pinned = await levels.pin_session(rt, job, plan)
    job.pinned = pinned.version.name
    completion = await attempts.complete(rt, job, pinned.version)
    if pinned.durable is None:
        return completion
    committed = await pinned.durable
    if committed == pinned.version.name:
        return completion
    job.pinned = committed
    return await attempts.complete(rt, job, rt.text.versions[committed])


async def _serve_stream(
    rt: runtime.Runtime, req: web.Request, job: attempts.Job, plan: levels.Plan
) -> web.StreamResponse:
    stream = await _start_stream(rt, job, plan)
    try:
        await streams.relay(rt, stream, req)
    except errors.RefusalError as exc:
        streams.bill_usage(stream)
        if not stream.resp.prepared:
            raise
        job.meter.close(records.PARTIAL)
        refusal = _with_ran(exc, job.ran).refusal
        rt.meters.refusals.labels(refusal.code, refusal.ran).inc()
        await streams.end_with_error(stream, refusal, job.call)
        return stream.resp
    except (asyncio.CancelledError, ConnectionError, TimeoutError) as exc:
        streams.bill_usage(stream)
        job.meter.close(records.PARTIAL)
        is_cancelled = isinstance(exc, asyncio.CancelledError)
        if callerconns.has_left(req) or not stream.resp.prepared:
            raise
        if not is_cancelled and not rt.is_ending:
            raise
        if is_cancelled:
            asyncio.current_task().uncancel()
        error = reply.ending_error() if rt.is_ending else reply.cancelled_error()
        refusal = error.refusal
        await streams.end_with_error(stream, refusal, job.call)
        return stream.resp
    streams.bill_usage(stream)
    job.meter.close(records.ANSWERED)
    _rate_stream(rt, job, plan, stream)
    _observe(rt, job, stream.first_token_s or 0.0)
    return stream.resp


def _rate_stream(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: levels.Plan,
    stream: streams.Relay,
) -> None:
    """Rate a stream's answer in the background; a sent answer cannot be escalated."""
    if stream.version not in plan.versions:
        return
    message = openai.Message(role="assistant", content="".join(stream.parts))
    choice = openai.Choice(message=message, finish_reason="stop")
    completion = openai.Completion(id=stream.answer_id, choices=[choice])
    level = plan.versions.index(stream.version)
    levels.rate_later(rt, job, plan, level, completion)


async def _start_stream(
    rt: runtime.Runtime, job: attempts.Job, plan: levels.Plan
) -> streams.Relay:
    """Return a new stream; its version is final because a stream never escalates."""
    durable = None
    if job.call.session:
        pinned = await levels.pin_session(rt, job, plan)
        job.pinned = pinned.version.name
        version = pinned.version
        durable = pinned.durable
    else:
        version = plan.versions[plan.cascade.start_level(plan.request)]
    options = job.chat.stream_options
    return streams.Relay(
        job=job,
        version=version,
        resp=web.StreamResponse(),
        wants_usage=options is not None and options.include_usage,
        durable=durable,
    )


def _observe(rt: runtime.Runtime, job: attempts.Job, first_token_s: float) -> None:
    rt.meters.first_token.labels(job.call.service.name).observe(first_token_s)
