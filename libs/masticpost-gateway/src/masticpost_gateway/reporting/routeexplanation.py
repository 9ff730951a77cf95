"""Where a request would go now and why, without sending or counting it."""

import collections.abc
import enum
import typing

import attrs
import multidict
from masticpost_common import clock
from masticpost_overload import decision

from masticpost_gateway import shared
from masticpost_gateway.learning import trial
from masticpost_gateway.reporting import candidatelist, previews
from masticpost_gateway.routing import retrybudget
from masticpost_gateway.serving import attempts, demands, gateway, headers
from masticpost_gateway.serving import call as calls
from masticpost_gateway.sharing import mesh
from masticpost_gateway.state import model, source
from masticpost_gateway.state import table as tables

# Decimal places of times in seconds.
DECIMALS = 3
# Parts of a prompt in a query; each is looked up at each upstream.
MAX_PARTS = 64
NUMBERS = ("priority", "tokens_in", "tokens_out", "tokens_hint", "deadline_ms")


class QueryError(Exception):
    """A value of the query is missing or not valid."""


class Verdict(enum.Enum):
    """What the instance would do with a request."""

    SEND = "send"
    WAIT = "wait"
    REJECT = "reject"


@attrs.frozen(kw_only=True)
class RouteExplanation:
    """Where an instance would send a request now, and why; times in seconds.

    Attributes
    ----------
    reason : str
        Why the request would wait or be rejected, empty if it would be sent.
    retry_after_s : float or None
        Time after which a rejected caller would be told to return.
    notes : list of str
        What else would happen before the request is sent.
    model : str
        Model that would be asked first, empty if the route has no choice of models.
    config_age_s : float or None
        Age of the cached configuration; None before the first.
    wait_s : float
        Longest time that the request waits for an upstream before it is rejected.
    plan : trial.VersionPlan or None
        Versions that the request would prefer, avoid and not use.
    chosen : str
        Upstream that the request would be sent to, empty if it would not be sent. Where
        upstreams are sampled or equally good, the next request may get another one.
    urgency : int or None
        Rank in the queue of the upstream, 0 first; None if only the priority counts.
    is_over_share : bool
        Whether it ranks lower since the customer has had more than its share.
    retries : retrybudget.Left or None
        Retries that the instance may still send.
    """

    instance: str
    domain: str
    verdict: Verdict
    reason: str = ""
    retry_after_s: float | None = None
    notes: list[str] = attrs.field(factory=list)
    route: str = ""
    service: str = ""
    customer: str = ""
    priority: int | None = None
    model: str = ""
    config_version: int = -1
    config_age_s: float | None = None
    wait_s: float = 0.0
    plan: trial.VersionPlan | None = None
    chosen: str = ""
    urgency: int | None = None
    is_over_share: bool = False
    retries: retrybudget.Left | None = None
    candidates: list[candidatelist.Candidate] = attrs.field(factory=list)


class Parts(typing.Protocol):
    """The components of an instance that decide on a request."""

    mesh: mesh.Mesh
    shared: shared.Shared


def of(parts: Parts, query: collections.abc.Mapping[str, str]) -> RouteExplanation:
    """Return what the instance would do with the request that a query describes.

    Raises
    ------
    QueryError
        The query is not valid.
    """
    _check(query)
    me, records = parts.mesh.me, parts.shared.records
    view = records.views[source.Kind.CONFIGURATION]
    base = RouteExplanation(instance=me.name, domain=me.domain, verdict=Verdict.REJECT)
    table = records.table
    if table is None:
        return attrs.evolve(base, reason="no configuration loaded yet")
    base = attrs.evolve(
        base,
        config_version=table.cfg.version,
        config_age_s=round(view.age_s(clock.now()), DECIMALS),
    )
    route = table.route(query["host"], query["path"].partition("?")[0])
    if route is None:
        return attrs.evolve(base, reason="no route matches host and path")
    base = attrs.evolve(base, route=route.name)
    customers = {row.name: row for row in table.cfg.customers}
    name, level = query.get("customer", ""), query.get("model", "")
    if name and name not in customers:
        return attrs.evolve(base, reason=f"no customer {name}")
    if level and level not in route.levels:
        return attrs.evolve(base, reason=f"the route has no model {level}")
    call = _call(parts.shared.names, table, route, query, customers.get(name))
    return _Question(
        parts=previews.of(parts.shared),
        call=call,
        level=level or next(iter(route.levels), ""),
    ).answer(base)


def _check(query: collections.abc.Mapping[str, str]) -> None:
    for name in ("host", "path"):
        if not query.get(name):
            raise QueryError(f"the query has no {name}")
    for name in NUMBERS:
        text = query.get(name, "0")
        if not (text.isascii() and text.isdigit()):
            raise QueryError(f"{name} must be a non-negative integer")
    if query.get("parts", "").count(",") >= MAX_PARTS:
        raise QueryError(f"a prompt may have {MAX_PARTS} parts here")


def _call(
    names: headers.HeaderNames,
    table: tables.Table,
    route: model.Route,
    query: collections.abc.Mapping[str, str],
    customer: model.Customer | None,
) -> calls.Call:
    """Return the described request, as if it had just been admitted."""
    head = headers.read_call(_headers(names, query), names)
    priority = route.priority
    if customer is not None and customer.priority is not None:
        priority = customer.priority
    if "priority" in query:
        priority = int(query["priority"])
    timeout_s = min(
        route.timeout_s or gateway.DEFAULT_TIMEOUT_S,
        head.deadline_s or gateway.DEFAULT_TIMEOUT_S,
    )
    now = clock.now()
    return calls.Call(
        head=head,
        route=route,
        service=table.service_of(route, head.session or head.request_id),
        customer=customer.name if customer is not None else "",
        priority=priority,
        method="GET",
        target=query["path"],
        passed=multidict.CIMultiDict(),
        body=b"",
        started_at=now,
        deadline_at=now + timeout_s,
        config_version=table.cfg.version,
    )


def _headers(
    names: headers.HeaderNames, query: collections.abc.Mapping[str, str]
) -> multidict.CIMultiDict:
    """Return the headers with which a caller would send the described request."""
    counts = f"{query.get('tokens_in', '0')},{query.get('tokens_out', '0')}"
    return multidict.CIMultiDict(
        {
            names.request_id: query.get("id", ""),
            names.session: query.get("session", ""),
            names.deadline_ms: query.get("deadline_ms", ""),
            names.token_counts: counts,
            names.length_hint: query.get("tokens_hint", ""),
            names.prefix: query.get("parts", ""),
        }
    )


class _Question:
    """One request on copies of the components, see `previews`."""

    def __init__(self, *, parts: shared.Shared, call: calls.Call, level: str) -> None:
        self.parts = parts
        self.call = call
        self.level = level
        self.attempts = attempts.Attempts(parts=parts, call=call)
        self.subject = (call.service.name, call.head.session, call.head.request_id)
        self.attempts.plan = parts.trials.plan(*self.subject)
        self.required = self.attempts.requirements(level)
        self.wait_s = attempts.WAIT_OBJECTIVE_SHARE * call.route.objective_s

    def answer(self, base: RouteExplanation) -> RouteExplanation:
        """Return what would happen to the request."""
        now, call = clock.now(), self.call
        chosen = self.parts.chooser.pick(self.required)
        # The decision is before the urgency, which counts the request's work.
        verdict, reason, retry_after_s = self._verdict(chosen, now)
        if verdict is not Verdict.SEND:
            chosen = None
        found = attrs.evolve(
            base,
            verdict=verdict,
            reason=reason,
            retry_after_s=None
            if retry_after_s is None
            else round(retry_after_s, DECIMALS),
            notes=list(self._notes(chosen)),
            service=call.service.name,
            customer=call.customer,
            priority=call.priority,
            model=self.level,
            wait_s=round(max(0.0, min(self.wait_s, call.left_s())), DECIMALS),
            plan=self.required.plan,
            chosen=chosen.name if chosen is not None else "",
            retries=self.parts.retries.left(call.service.name, now),
            candidates=candidatelist.of(self.parts, self.required, chosen, now),
        )
        if chosen is None:
            return found
        rank = demands.urgency_of(self.parts, call, chosen, self.required.prefill)
        is_over = any(urgency.yields for urgency in call.urgencies)
        return attrs.evolve(found, urgency=rank, is_over_share=is_over)

    def _verdict(
        self, chosen: model.Upstream | None, now: float
    ) -> tuple[Verdict, str, float | None]:
        """Return what the instance would do, why, and when a caller is to return."""
        closing_at = self.parts.closing_at
        if closing_at is not None and now > closing_at + gateway.ACCEPT_AFTER_STOP_S:
            after_s = gateway.STOPPING_RETRY_AFTER_S
            return Verdict.REJECT, "this instance is shutting down", after_s
        if self.parts.crashes.quarantines_of(self.call.part_keys, now):
            return Verdict.REJECT, "a part of the prompt is quarantined", None
        if self.parts.isolation.is_isolated(now):
            return Verdict.WAIT, "this instance is isolated", None
        if chosen is None:
            return self._verdict_without_upstream(now)
        found = self.attempts.overload_decision(chosen, self.level)
        if isinstance(found, decision.Reject):
            return Verdict.REJECT, attempts.HOPELESS_REASON, found.retry_after_s
        return Verdict.SEND, "", None

    def _verdict_without_upstream(
        self, now: float
    ) -> tuple[Verdict, str, float | None]:
        chooser = self.parts.chooser
        if not chooser.usable(self.call.service.name, now):
            after_s = attempts.RETRY_AFTER_S
            return Verdict.REJECT, "no upstream is in service", after_s
        held = chooser.held_upstreams(self.required)
        if held:
            # Only the granter of a rate knows its queue; this is its last answer here.
            rates, priority = self.parts.rates, self.call.priority
            free_at = min(rates.asks_at(u.run_key, priority, now) for u in held)
            reason = "the upstreams are at the rates that they name"
            if free_at - now > self.wait_s:
                return Verdict.REJECT, reason, free_at - now
            return Verdict.WAIT, reason, None
        ready_in_s = chooser.next_ready_at(self.required, now) - now
        if ready_in_s >= self.wait_s:
            return Verdict.REJECT, "no upstream accepts requests for now", ready_in_s
        return Verdict.WAIT, "no upstream is ready", None

    def _notes(self, chosen: model.Upstream | None) -> collections.abc.Iterator[str]:
        if self.parts.trials.lack(*self.subject) is not None:
            yield "budget for the version on trial would be borrowed first"
        if chosen is None:
            return
        if self.parts.rates.is_limited(chosen.run_key):
            yield "a permit would be needed, as the upstream names a rate"
        if self.parts.chooser.health_of(chosen).is_ejected(clock.now()):
            yield "all upstreams are ejected, so ejected ones are used"
