"""What a request needs of an upstream, and the decisions while capacity is short."""

import random

from masticpost_common import clock
from masticpost_overload import decision, demand, urgency

from masticpost_gateway import shared
from masticpost_gateway.routing import forecasts, placement
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model

# Queued prefill at an upstream from which on capacity counts as short, in seconds.
SHORT_QUEUE_S = 0.3


def urgency_of(
    parts: shared.Shared,
    call: calls.Call,
    upstream: model.Upstream,
    prefill: placement.Prefill | None,
) -> int | None:
    """Return the urgency of a request that is sent to an upstream now.

    It is None to rank the request by its priority only. The request is recorded in its
    customer's share, and its urgency in the call.
    """
    priorities = parts.contention.classes_of(call.service.name)
    if priorities is None or not call.route.kind.is_stream:
        return None
    expected = _forecast(parts, call, upstream, prefill)
    now = clock.now()
    shares = parts.contention.shares_of(call.service.name, call.priority)
    is_short = expected.queued_s > SHORT_QUEUE_S
    yields = is_short and shares.is_over(call.customer, now)
    shares.record(call.customer, _work_s(expected, upstream), now)
    needed = _demand(call, expected.without_queue())
    rank = urgency.rank(needed, priorities, yields=yields)
    call.urgencies.append(calls.Urgency(rank=rank, yields=yields))
    return rank


def decide(
    parts: shared.Shared,
    call: calls.Call,
    upstreams: list[model.Upstream],
    prefill: placement.Prefill | None,
) -> decision.Decision:
    """Return whether to send a request to one of several upstreams, or to reject it.

    Nothing of it was sent yet. If it is to be rejected, the queue of the best upstream
    is recorded.
    """
    priorities = parts.contention.classes_of(call.service.name)
    if priorities is None or prefill is None or not upstreams:
        return decision.Send()
    found = [_forecast(parts, call, upstream, prefill) for upstream in upstreams]
    best = min(found, key=lambda row: row.total_s)
    if not priorities.is_last(call.priority):
        # The queue holds prompts of all priorities and is read by urgency: only the
        # least urgent request is surely behind all of it.
        best = best.without_queue()
    needed = _demand(call, best)
    drain = parts.contention.drain_of(call.service.name)
    if decision.is_hopeless(needed):
        drain.record(best.queued_s, clock.now())
    return decision.decide(needed, drain.rate, random.random())


def _forecast(
    parts: shared.Shared,
    call: calls.Call,
    upstream: model.Upstream,
    prefill: placement.Prefill | None,
) -> forecasts.Forecast:
    models = (prefill.model,) if prefill is not None else ("",)
    prompt = call.head.prompt
    # Without a hint (0) only the maximum is known, and most answers are far shorter: no
    # time is expected for decoding.
    tokens = min(prompt.tokens_hint, prompt.tokens_out)
    decode_s = parts.forecasts.decode_s(call.service.name, models, tokens)
    return parts.forecasts.of(upstream, prefill, decode_s)


def _demand(call: calls.Call, expected: forecasts.Forecast) -> demand.Demand:
    return demand.Demand(
        priority=call.priority,
        objective_s=call.route.objective_s,
        objective_left_s=call.objective_left_s(),
        deadline_left_s=call.left_s(),
        first_s=expected.first_s,
        total_s=expected.total_s,
        has_begun=call.first_event_s is not None,
    )


def _work_s(expected: forecasts.Forecast, upstream: model.Upstream) -> float:
    """Return the work of a request; its answer takes one slot while it is decoded."""
    decode_s = expected.total_s - expected.first_s
    return expected.prefill_s + decode_s / max(1, upstream.slots)
