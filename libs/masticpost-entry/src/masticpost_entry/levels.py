"""Cascades: runs a model request on one level after the other."""

import asyncio

import attrs
from masticpost_common import errors
from masticpost_decide import cascade, estimates, versionchoice
from masticpost_shards import sessions
from masticpost_text import model
from masticpost_upstream import openai, rating

from masticpost_entry import attempts, runtime

EXPECTED_OUTPUT_TOKENS = 200
RETRY_AFTER_S = 5.0


@attrs.define(kw_only=True)
class Plan:
    """Usable versions by level, and what the cascade is asked."""

    versions: tuple[model.Version, ...]
    ask: cascade.CascadeRequest
    cascade: cascade.Cascade


def make_plan(rt: runtime.Runtime, job: attempts.Job, hint: str) -> Plan:
    """Return the levels that the customer may use now.

    Raises
    ------
    errors.RefusalError
        ``no_version`` when there is none.
    """
    svc = job.call.service
    stopped = rt.agreed.guard.stopped()
    picked = [_pick(rt, job, name, job.call.request_id, stopped) for name in svc.levels]
    versions = tuple(version for version in picked if version is not None)
    if not versions:
        raise errors.refuse(
            503,
            "no_version",
            "No version that this customer may use is active.",
            retry_after_s=RETRY_AFTER_S,
        )
    request_class = cascade.request_class(svc.name, job.prompt_tokens, hint)
    ask = cascade.CascadeRequest(
        service=svc.name,
        target=svc.quality_target,
        levels=tuple(_key(request_class, version) for version in versions),
        costs=tuple(_expected_cost(version, job) for version in versions),
        can_escalate=_can_escalate(rt, job),
    )
    return Plan(versions=versions, ask=ask, cascade=rt.cascade_of(svc))


def _can_escalate(rt: runtime.Runtime, job: attempts.Job) -> bool:
    """Tell whether an answer may be rated and then replaced by a better level's."""
    if job.chat.stream or job.call.session:
        return False
    return not rt.clients.ratings.is_blocked


def _key(request_class: str, version: model.Version) -> estimates.Key:
    return estimates.Key(
        request_class=request_class, model=version.model, version=version.name
    )


def _pick(
    rt: runtime.Runtime, job: attempts.Job, name: str, key: str, stopped: set[str]
) -> model.Version | None:
    stage_of = rt.agreed.guard.stage_of
    return versionchoice.pick(rt.text, job.call.customer, name, key, stopped, stage_of)


def _expected_cost(version: model.Version, job: attempts.Job) -> float:
    outputs = job.max_tokens or EXPECTED_OUTPUT_TOKENS
    cost = job.prompt_tokens * version.input_price + outputs * version.output_price
    return cost / 1e6


async def answer(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan
) -> openai.Completion:
    """Return an accepted answer, escalating to the best level when needed."""
    level = plan.cascade.start_level(plan.ask)
    completion = await attempts.complete(rt, job, plan.versions[level])
    if level >= plan.ask.top_level:
        rate_later(rt, job, plan, level, completion)
        return completion
    use = _rating_use(rt, plan, level)
    if use is not cascade.RatingUse.DECIDE:
        rate_later(rt, job, plan, level, completion)
        return completion
    score = await _rate(rt, job, plan, level, completion)
    if score is None or plan.cascade.accepts(plan.ask, level, score):
        return completion
    return await _escalate(rt, job, plan, completion)


async def _escalate(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: Plan,
    fallback: openai.Completion,
) -> openai.Completion:
    """Ask the best level; keep the answer there is when that fails."""
    rt.meters.escalations.labels(job.call.service.name).inc()
    top = plan.ask.top_level
    try:
        completion = await attempts.complete(rt, job, plan.versions[top])
    except errors.RefusalError:
        return fallback
    rate_later(rt, job, plan, top, completion)
    return completion


def _rating_use(rt: runtime.Runtime, plan: Plan, level: int) -> cascade.RatingUse:
    if not rt.text.rating_url:
        return cascade.RatingUse.NONE
    use = plan.cascade.rating_use(plan.ask, level)
    if use is not cascade.RatingUse.NONE:
        return use
    wanted = rt.agreed.guard.wanted_share(plan.versions[level].name)
    if rt.choices.random.random() < wanted:
        return cascade.RatingUse.LEARN
    return use


def rate_later(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: Plan,
    level: int,
    completion: openai.Completion,
) -> None:
    """Have an answer rated in the background, if the cascade wants to learn."""
    if _rating_use(rt, plan, level) is not cascade.RatingUse.NONE:
        rt.agreed.views.add_future(_rate(rt, job, plan, level, completion))


async def _rate(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: Plan,
    level: int,
    completion: openai.Completion,
) -> float | None:
    prompt = job.chat.messages[-1].content
    reply = completion.choices[0].message.content
    req = rating.RateRequest(
        service=job.call.service.name,
        version=plan.versions[level].name,
        prompt=prompt if isinstance(prompt, str) else "",
        answer=reply if isinstance(reply, str) else "",
    )
    score = await rt.clients.ratings.rate(rt.text.rating_url, req)
    if score is not None:
        plan.cascade.record_rating(plan.ask, level, score)
        rt.agreed.guard.add_rating(plan.versions[level].name, score)
    return score


@attrs.define(kw_only=True)
class SessionVersion:
    """The version of a session; `durable` completes when its pin is committed."""

    version: model.Version
    durable: asyncio.Future | None = None


async def pin_session(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan
) -> SessionVersion:
    """Return the version that the caller's session keeps.

    A session whose version is withdrawn moves to another one, once and for all
    instances, or is refused, as the text says.
    """
    call = job.call
    key = sessions.session_key(call.customer.name, call.service.name, call.session)
    level = plan.cascade.start_level(plan.ask)
    proposed = _proposal(rt, job, plan, level)
    pinned = await rt.agreed.sessions.pin(key, proposed.name, call.deadline)
    if versionchoice.may_continue(rt.text, call.customer, pinned.version):
        return _session_version(rt, pinned)
    if call.service.on_withdrawn == "refuse":
        raise errors.refuse(
            409,
            "session_version_withdrawn",
            "The version of this session was withdrawn. It was not run.",
        )
    moved = await rt.agreed.sessions.pin(
        key, proposed.name, call.deadline, pinned.version
    )
    return _session_version(rt, moved)


def _proposal(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan, level: int
) -> model.Version:
    """Return the version that a new session gets: by share of the session's id."""
    name = plan.versions[level].model
    stopped = rt.agreed.guard.stopped()
    return _pick(rt, job, name, job.call.session, stopped) or plan.versions[level]


def _session_version(rt: runtime.Runtime, pinned: sessions.Pinned) -> SessionVersion:
    version = rt.text.versions.get(pinned.version)
    if version is None:
        raise errors.refuse(
            503,
            "version_withdrawn",
            "The version of this session is not in the configuration any more.",
            retry_after_s=RETRY_AFTER_S,
        )
    return SessionVersion(version=version, durable=pinned.durable)
