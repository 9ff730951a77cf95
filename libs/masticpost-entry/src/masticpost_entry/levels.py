"""Runs a model request through the levels of its service's cascade."""

import asyncio

import attrs
from masticpost_common import errors
from masticpost_decide import cascade, estimates, versionchoice
from masticpost_shards import sessions
from masticpost_text import model
from masticpost_upstream import openai, rating

from masticpost_entry import attempts, runtime

# Assumed length of an answer if the caller sets no maximum.
EXPECTED_OUTPUT_TOKENS = 200
RETRY_AFTER_S = 5.0


@attrs.define(kw_only=True)
class Plan:
    """Usable versions by level, the cascade and the request to it."""

    versions: tuple[model.Version, ...]
    request: cascade.CascadeRequest
    cascade: cascade.Cascade


def make_plan(rt: runtime.Runtime, job: attempts.Job, hint: str) -> Plan:
    """Return the plan of a request, with one version for each usable level.

    A level without a version that the customer may use now is left out.

    Raises
    ------
    errors.RefusalError
        ``no_version`` when there is no usable level.
    """
    svc = job.call.service
    stopped = rt.cluster.rollouts.stopped_versions()
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
    request = cascade.CascadeRequest(
        service=svc.name,
        target=svc.quality_target,
        levels=tuple(_key(request_class, version) for version in versions),
        costs=tuple(_expected_cost(version, job) for version in versions),
        can_escalate=_can_escalate(rt, job),
    )
    return Plan(versions=versions, request=request, cascade=rt.cascade_of(svc))


def _can_escalate(rt: runtime.Runtime, job: attempts.Job) -> bool:
    """Return whether an answer may be replaced by the top level's after its rating."""
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
    stage_of = rt.cluster.rollouts.stage_of
    return versionchoice.pick(rt.text, job.call.customer, name, key, stopped, stage_of)


def _expected_cost(version: model.Version, job: attempts.Job) -> float:
    outputs = job.max_tokens or EXPECTED_OUTPUT_TOKENS
    cost = job.prompt_tokens * version.input_price + outputs * version.output_price
    return cost / 1e6


async def answer(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan
) -> openai.Completion:
    """Return an answer, from the top level if the first one is not accepted."""
    level = plan.cascade.start_level(plan.request)
    completion = await attempts.complete(rt, job, plan.versions[level])
    if level >= plan.request.top_level:
        rate_later(rt, job, plan, level, completion)
        return completion
    use = _rating_use(rt, plan, level)
    if use is not cascade.RatingUse.DECIDE:
        rate_later(rt, job, plan, level, completion)
        return completion
    score = await _rate(rt, job, plan, level, completion)
    if score is None or plan.cascade.accepts(plan.request, level, score):
        return completion
    return await _escalate(rt, job, plan, completion)


async def _escalate(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: Plan,
    fallback: openai.Completion,
) -> openai.Completion:
    """Return the top level's answer, or `fallback` if the top level fails."""
    rt.meters.escalations.labels(job.call.service.name).inc()
    top = plan.request.top_level
    try:
        completion = await attempts.complete(rt, job, plan.versions[top])
    except errors.RefusalError:
        return fallback
    rate_later(rt, job, plan, top, completion)
    return completion


def _rating_use(rt: runtime.Runtime, plan: Plan, level: int) -> cascade.RatingUse:
    if not rt.text.rating_url:
        return cascade.RatingUse.NONE
    use = plan.cascade.rating_use(plan.request, level)
    if use is not cascade.RatingUse.NONE:
        return use
    rate = rt.cluster.rollouts.rating_share(plan.versions[level].name)
    if rt.choice_context.random.random() < rate:
        return cascade.RatingUse.LEARN
    return use


def rate_later(
    rt: runtime.Runtime,
    job: attempts.Job,
    plan: Plan,
    level: int,
    completion: openai.Completion,
) -> None:
    """Rate an answer in the background if its rating is needed."""
    if _rating_use(rt, plan, level) is not cascade.RatingUse.NONE:
        rt.cluster.shared_view.add_future(_rate(rt, job, plan, level, completion))


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
        plan.cascade.record_rating(plan.request, level, score)
        rt.cluster.rollouts.add_rating(plan.versions[level].name, score)
    return score


@attrs.define(kw_only=True)
class SessionVersion:
    """Version that a session is pinned to.

    Attributes
    ----------
    durable : asyncio.Future or None
        Result is the session's version once its pin is committed.
    """

    version: model.Version
    durable: asyncio.Future | None = None


async def pin_session(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan
) -> SessionVersion:
    """Return the version that the caller's session is pinned to.

    If that version is withdrawn, the session is pinned to another one, once for all
    instances, or refused, depending on `on_withdrawn` of the service.

    Raises
    ------
    errors.RefusalError
        ``session_version_withdrawn`` or ``version_withdrawn``.
    """
    call = job.call
    key = sessions.session_key(call.customer.name, call.service.name, call.session)
    level = plan.cascade.start_level(plan.request)
    proposed = _proposed_version(rt, job, plan, level)
    pinned = await rt.cluster.sessions.pin(key, proposed.name, call.deadline)
    if versionchoice.may_continue(rt.text, call.customer, pinned.version):
        return _session_version(rt, pinned)
    if call.service.on_withdrawn == "refuse":
        raise errors.refuse(
            409,
            "session_version_withdrawn",
            "The version of this session was withdrawn. The request was not run.",
        )
    moved = await rt.cluster.sessions.pin(
        key, proposed.name, call.deadline, pinned.version
    )
    return _session_version(rt, moved)


def _proposed_version(
    rt: runtime.Runtime, job: attempts.Job, plan: Plan, level: int
) -> model.Version:
    """Return the version for a new session, drawn by the id of the session."""
    name = plan.versions[level].model
    stopped = rt.cluster.rollouts.stopped_versions()
    return _pick(rt, job, name, job.call.session, stopped) or plan.versions[level]


def _session_version(rt: runtime.Runtime, pinned: sessions.Pinned) -> SessionVersion:
    version = rt.text.versions.get(pinned.version)
    if version is None:
        raise errors.refuse(
            503,
            "version_withdrawn",
            "The version of this session is no longer in the configuration.",
            retry_after_s=RETRY_AFTER_S,
        )
    return SessionVersion(version=version, durable=pinned.durable)
