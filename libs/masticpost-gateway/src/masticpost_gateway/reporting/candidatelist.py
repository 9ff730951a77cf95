"""The upstreams of a service as candidates for one request, and their obstacles."""

import collections.abc
import math

import attrs

from masticpost_gateway import shared
from masticpost_gateway.routing import choice, forecasts, placement
from masticpost_gateway.state import model

# Decimal places of times in seconds and of scores.
DECIMALS = 4


@attrs.frozen(kw_only=True)
class Candidate:
    """An upstream as a candidate for a request; times are seconds from now.

    Attributes
    ----------
    is_considered : bool
        Whether it is one of those that the choice is made of: ready, and of a version
        that the request is to run on.
    obstacles : list of str
        Why it gets no such request now, empty if it is ready.
    ejected_s : float or None
        Time until it gets requests again after its ejection; None if not ejected.
    hold_off_s : float
        Time for which it asked to get no requests.
    is_rate_limited : bool
        Whether it names a rate, so that a request needs a permit.
    rate_wait_s : float
        Time until a permit may be there.
    has_slot, has_memory : bool
        Whether it would start the request at once. The memory is looked at only where
        there is a slot.
    outstanding : int
        Requests of this instance in flight there.
    score : float or None
        The lowest one with room is preferred. For a prompt it is in seconds, else in
        requests of this instance by slot. None for an upstream that is not considered,
        or that only gets the prompt if no other one has room.
    first_s, total_s : float or None
        Expected time to the first event and to the last one; None without a prompt.
    """

    name: str
    domain: str
    version: str
    is_chosen: bool
    is_considered: bool
    obstacles: list[str]
    ejected_s: float | None
    hold_off_s: float
    is_cold: bool
    is_rate_limited: bool
    rate_wait_s: float
    has_slot: bool
    has_memory: bool
    outstanding: int
    speed_factor: float
    score: float | None = None
    first_s: float | None = None
    total_s: float | None = None


def of(
    parts: shared.Shared,
    required: choice.Requirements,
    chosen: model.Upstream | None,
    now: float,
) -> list[Candidate]:
    """Return all registered upstreams of the service, the best score first."""
    upstreams = [
        upstream
        for upstream in parts.records.upstreams(now)
        if upstream.service == required.service.name
    ]
    considered = parts.chooser.considered(required)
    scores, names = _scores(parts, considered, required), {u.name for u in considered}
    rows = []
    for upstream in upstreams:
        row = attrs.evolve(
            _candidate(parts, upstream, required, now),
            is_chosen=chosen is not None and upstream.name == chosen.name,
            is_considered=upstream.name in names,
            score=scores.get(upstream.name),
        )
        rows.append(row)
    return sorted(rows, key=_sort_key)


def _sort_key(row: Candidate) -> tuple[bool, bool, float, str]:
    score = math.inf if row.score is None else row.score
    return (not row.is_chosen, not row.is_considered, score, row.name)


def _candidate(
    parts: shared.Shared,
    upstream: model.Upstream,
    required: choice.Requirements,
    now: float,
) -> Candidate:
    chooser, loads, prefill = parts.chooser, parts.loads, required.prefill
    health = chooser.health_of(upstream)
    hold_off_s = chooser.notices.ready_at(upstream, now) - now
    ejected_s = health.ejected_for_s(now)
    load = loads.total(upstream.name, now)
    has_slot = loads.has_room(upstream, load=load)
    tokens = prefill.tokens if prefill is not None else 0
    has_room = loads.has_room(upstream, tokens, load)
    first_s, total_s = _expected(parts.forecasts, upstream, prefill)
    return Candidate(
        name=upstream.name,
        domain=upstream.domain,
        version=upstream.version,
        is_chosen=False,
        is_considered=False,
        obstacles=list(_obstacles(chooser, upstream, required, now)),
        ejected_s=None if ejected_s is None else round(ejected_s, DECIMALS),
        hold_off_s=0.0 if math.isinf(hold_off_s) else round(hold_off_s, DECIMALS),
        is_cold=chooser.is_cold(upstream, now),
        is_rate_limited=parts.rates.is_limited(upstream.run_key),
        rate_wait_s=round(_rate_wait_s(parts, upstream, required, now), DECIMALS),
        has_slot=has_slot,
        has_memory=has_room or not has_slot,
        outstanding=health.outstanding,
        speed_factor=round(loads.speed_factor(upstream.name, now), DECIMALS),
        first_s=first_s,
        total_s=total_s,
    )


def _rate_wait_s(
    parts: shared.Shared,
    upstream: model.Upstream,
    required: choice.Requirements,
    now: float,
) -> float:
    return parts.rates.asks_at(upstream.run_key, required.priority, now) - now


def _expected(
    expecting: forecasts.Forecasts,
    upstream: model.Upstream,
    prefill: placement.Prefill | None,
) -> tuple[float | None, float | None]:
    if prefill is None:
        return None, None
    tokens = prefill.prompt.tokens_expected
    decode_s = expecting.decode_s(prefill.service, (prefill.model,), tokens)
    expected = expecting.of(upstream, prefill, decode_s)
    return round(expected.first_s, DECIMALS), round(expected.total_s, DECIMALS)


def _scores(
    parts: shared.Shared,
    considered: list[model.Upstream],
    required: choice.Requirements,
) -> dict[str, float]:
    """Return the score of each upstream that has a finite one."""
    if required.prefill is None:
        return {
            upstream.name: round(parts.chooser.load_share(upstream), DECIMALS)
            for upstream in considered
        }
    return {
        row.upstream.name: round(row.score, DECIMALS)
        for row in parts.placement.scored(considered, required.prefill)
        if math.isfinite(row.score)
    }


def _obstacles(
    chooser: choice.Chooser,
    upstream: model.Upstream,
    required: choice.Requirements,
    now: float,
) -> collections.abc.Iterator[str]:
    """Yield each rule of `choice.Chooser` by which an upstream is not ready."""
    if upstream.is_draining:
        yield "draining"
    if upstream.domain in chooser.records.domains_out():
        yield "domain out"
    if chooser.is_leaving(upstream):
        yield "leaving"
    elif not chooser.notices.is_ready(upstream, now):
        yield "asked for a hold-off"
    if chooser.health_of(upstream).is_ejected(now):
        yield "ejected"
    if upstream.version == required.plan.excluded:
        yield "version excluded"
    elif not chooser.trials.allows(upstream.service, upstream.version):
        yield "version over its budget"
    limit = chooser.connection_limit(required.service)
    if limit and chooser.health_of(upstream).outstanding >= limit:
        yield "at its connection limit"
    if chooser.is_cold(upstream, now) and not chooser.cold_start.may_send(
        upstream.name, required.service.cold_rate, now
    ):
        yield "cold"
    if not chooser.rates.may_ask(upstream.run_key, required.priority, now):
        yield "at its rate"
