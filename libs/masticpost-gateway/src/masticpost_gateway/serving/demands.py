"""What a request needs of an upstream, for the decisions under overload."""

from masticpost_overload import demand, urgency

from masticpost_gateway import shared
from masticpost_gateway.routing import forecasts, placement
from masticpost_gateway.serving import call as calls
from masticpost_gateway.state import model


def forecast(
    parts: shared.Shared,
    call: calls.Call,
    upstream: model.Upstream,
    prefill: placement.Prefill | None,
) -> forecasts.Forecast:
    """Return the expected times of a request at an upstream."""
    models = (prefill.model,) if prefill is not None else ("",)
    tokens = call.head.prompt.tokens_expected
    decode_s = parts.forecasts.decode_s(call.service.name, models, tokens)
    return parts.forecasts.of(upstream, prefill, decode_s)


def of(call: calls.Call, expected: forecasts.Forecast) -> demand.Demand:
    """Return the demand of a request with its expected times at an upstream."""
    return demand.Demand(
        priority=call.priority,
        objective_s=call.route.objective_s,
        objective_left_s=call.objective_left_s(),
        deadline_left_s=call.left_s(),
        first_s=expected.first_s,
        total_s=expected.total_s,
        prefill_s=expected.prefill_s,
        has_begun=call.first_event_s is not None,
    )


def urgency_of(
    parts: shared.Shared,
    call: calls.Call,
    upstream: model.Upstream,
    prefill: placement.Prefill | None,
) -> int | None:
    """Return the urgency of a request at an upstream, None to rank by priority only."""
    classes = parts.contention.classes_of(call.service.name)
    if classes is None or not call.route.kind.is_stream:
        return None
    expected = forecast(parts, call, upstream, prefill)
    return urgency.rank(of(call, expected), classes)
