"""Checks over a whole text. Each rule is an entry of a registry."""

import collections.abc
import itertools
import urllib.parse

import attrs
from masticpost_common import findings, registry

from masticpost_text import model

MIN_KEY_HEX = 64
MAX_SHARDS = 1024
SHARE_TOLERANCE = 1e-6
VERSION_STATES = ("active", "draining", "withdrawn")
SERVICE_KINDS = ("model", "plain")
WITHDRAWN_RULES = ("move", "refuse")
MIN_DEADLINE_S = 0.05
MAX_DEADLINE_S = 3600.0
MIN_BUDGET_S = 1.0


@attrs.frozen(kw_only=True)
class Problem:
    """A rule's complaint: the path of the key, what is wrong and how to mend it."""

    path: str
    message: str
    remedy: str


Rule = collections.abc.Callable[[model.Text], collections.abc.Iterator[Problem]]
RULES: registry.Registry[Rule] = registry.Registry(kind="text rule")


def check(
    text: model.Text, places: dict[str, findings.Place], source: str
) -> list[findings.Finding]:
    """Run every rule and return the findings with their places."""
    found = []
    for rule in RULES.entries():
        for problem in rule(text):
            place = _place_of(problem.path, places, source)
            found.append(
                findings.Finding(
                    place=place, message=problem.message, remedy=problem.remedy
                )
            )
    return found


def _place_of(
    path: str, places: dict[str, findings.Place], source: str
) -> findings.Place:
    while path:
        if path in places:
            return places[path]
        if f"text.{path}" in places:
            return places[f"text.{path}"]
        parent, bracket, _ = path.rpartition("[")
        path = parent if bracket else path.rpartition(".")[0]
    return findings.Place(source=source, line=1, column=1)


def _unknown(
    path: str, names: tuple[str, ...], known: collections.abc.Collection[str], what: str
) -> collections.abc.Iterator[Problem]:
    for i, name in enumerate(names):
        if name in known:
            continue
        yield Problem(
            path=f"{path}[{i}]",
            message=f"{what} {name!r} is not known",
            remedy=f"use one of: {', '.join(sorted(known)) or 'none defined yet'}",
        )


def _one_of(
    path: str, value: str, known: tuple[str, ...]
) -> collections.abc.Iterator[Problem]:
    if value not in known:
        yield Problem(
            path=path,
            message=f"{value!r} is not allowed here",
            remedy=f"use one of: {', '.join(known)}",
        )


@RULES.register("names")
def check_names(text: model.Text) -> collections.abc.Iterator[Problem]:
    """Every name that is used must be defined."""
    for up in text.upstreams.values():
        base = f"upstreams.{up.name}"
        yield from _unknown(
            f"{base}.domain", (up.domain,), text.domains, "failure domain"
        )
        targets = set(text.versions) | {
            s.name for s in text.services.values() if s.kind == "plain"
        }
        yield from _unknown(
            f"{base}.serves", up.serves, targets, "version or plain service"
        )
    for svc in text.services.values():
        base = f"services.{svc.name}"
        yield from _unknown(f"{base}.levels", svc.levels, text.models(), "model")
        yield from _unknown(
            f"{base}.depends_on", svc.depends_on, text.services, "service"
        )
    for cust in text.customers.values():
        base = f"customers.{cust.name}"
        yield from _unknown(f"{base}.services", cust.services, text.services, "service")
        yield from _unknown(f"{base}.models", cust.models, text.models(), "model")
        yield from _unknown(f"{base}.versions", cust.versions, text.versions, "version")


@RULES.register("values")
def check_values(text: model.Text) -> collections.abc.Iterator[Problem]:
    """Words and numbers must be in range."""
    if not 1 <= text.shards <= MAX_SHARDS:
        yield Problem(
            path="shards",
            message=f"shards must be from 1 to {MAX_SHARDS}",
            remedy="use 8 for a deployment of 8 instances",
        )
    if text.weight_loads_s <= 0:
        yield Problem(
            path="weight_loads_s",
            message="weight_loads_s must be above 0",
            remedy="give the loads a second that the weight store allows",
        )
    for ver in text.versions.values():
        base = f"versions.{ver.name}"
        yield from _one_of(f"{base}.state", ver.state, VERSION_STATES)
        if not 0 <= ver.share <= model.SHARE_TOTAL:
            yield Problem(
                path=f"{base}.share",
                message="share must be from 0 to 100",
                remedy="give the share in percent",
            )
        if min(ver.input_price, ver.output_price) < 0:
            yield Problem(
                path=base, message="a price is negative", remedy="use 0 or more"
            )
    for svc in text.services.values():
        yield from _service_values(svc)
    for up in text.upstreams.values():
        yield from _upstream_values(up)
    for cust in text.customers.values():
        yield from _customer_values(cust)


def _service_values(svc: model.Service) -> collections.abc.Iterator[Problem]:
    base = f"services.{svc.name}"
    yield from _one_of(f"{base}.kind", svc.kind, SERVICE_KINDS)
    yield from _one_of(f"{base}.on_withdrawn", svc.on_withdrawn, WITHDRAWN_RULES)
    if not 0 <= svc.quality_target <= 1:
        yield Problem(
            path=f"{base}.quality_target",
            message="quality_target must be from 0 to 1",
            remedy="0.8 asks for a mean rating of 0.8",
        )
    if not MIN_DEADLINE_S <= svc.deadline_s <= MAX_DEADLINE_S:
        yield Problem(
            path=f"{base}.deadline_s",
            message=f"deadline_s must be {MIN_DEADLINE_S} to {MAX_DEADLINE_S:g}",
            remedy="give seconds",
        )
    if svc.kind == "model" and not svc.levels:
        yield Problem(
            path=base,
            message=f"model service {svc.name!r} has no levels",
            remedy="add `levels: [cheap-model, better-model]`",
        )
    if svc.kind == "plain" and not svc.operations:
        yield Problem(
            path=base,
            message=f"plain service {svc.name!r} has no operations",
            remedy="add `operations: [{path: /, idempotent: true}]`",
        )
    for i, op in enumerate(svc.operations):
        if not op.path.startswith("/"):
            yield Problem(
                path=f"{base}.operations[{i}].path",
                message=f"path {op.path!r} must begin with /",
                remedy=f"write /{op.path}",
            )
        yield from _status_values(f"{base}.operations[{i}]", op)


def _status_values(base: str, op: model.Operation) -> collections.abc.Iterator[Problem]:
    path = op.status_path
    if path and (not path.startswith("/") or path.count("{key}") != 1):
        yield Problem(
            path=f"{base}.status_path",
            message=f"status path {path!r} must begin with / and have {{key}} once",
            remedy="write it as /bookings/by-key/{key}",
        )
    if path and op.idempotent:
        yield Problem(
            path=f"{base}.status_path",
            message="only a call that may not be repeated is asked about",
            remedy="remove it, or set `idempotent: false`",
        )
    if op.final_after_s < 0 or (op.final_after_s and not path):
        yield Problem(
            path=f"{base}.final_after_s",
            message="final_after_s must be 0 or more and goes with status_path",
            remedy="give the seconds that the service promises, or remove it",
        )


def _upstream_values(up: model.Upstream) -> collections.abc.Iterator[Problem]:
    base = f"upstreams.{up.name}"
    parts = urllib.parse.urlsplit(up.url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        yield Problem(
            path=f"{base}.url",
            message=f"{up.url!r} is not an HTTP URL",
            remedy="write http://ADDRESS:PORT",
        )
    cold = up.cold
    if cold.seconds < 0:
        yield Problem(
            path=f"{base}.cold.seconds",
            message="seconds must be 0 or more",
            remedy="give the length of the upstream's cold start",
        )
    if min(up.max_concurrent, cold.max_concurrent, cold.successes) < 1:
        yield Problem(
            path=base,
            message="max_concurrent and successes must be 1 or more",
            remedy="to stop new work, set `draining: true`",
        )


def _customer_values(cust: model.Customer) -> collections.abc.Iterator[Problem]:
    base = f"customers.{cust.name}"
    for i, key in enumerate(cust.keys):
        if len(key) == MIN_KEY_HEX and all(c in "0123456789abcdef" for c in key):
            continue
        yield Problem(
            path=f"{base}.keys[{i}]",
            message="a key must be a SHA-256 digest of 64 lower-case hex digits",
            remedy="run `masticpost hash-key` and paste what it prints",
        )
    if cust.max_concurrent < 1 or cust.weight <= 0:
        yield Problem(
            path=base,
            message="max_concurrent must be 1 or more, and weight above 0",
            remedy="to stop a customer, remove its keys",
        )
    if cust.budget < 0 or cust.budget_s < MIN_BUDGET_S:
        yield Problem(
            path=f"{base}.budget",
            message=f"budget must be 0 or more, budget_s {MIN_BUDGET_S:g} or more",
            remedy="remove it for no bound",
        )


@RULES.register("unique")
def check_unique(text: model.Text) -> collections.abc.Iterator[Problem]:
    """No two customers may share a key."""
    seen: dict[str, str] = {}
    for cust in text.customers.values():
        for i, key in enumerate(cust.keys):
            if key in seen:
                yield Problem(
                    path=f"customers.{cust.name}.keys[{i}]",
                    message=f"this key is also a key of customer {seen[key]!r}",
                    remedy="give each customer keys of its own",
                )
            seen[key] = cust.name


@RULES.register("shares")
def check_shares(text: model.Text) -> collections.abc.Iterator[Problem]:
    """The shares of a model's active versions must add up to 100."""
    for name in sorted(text.models()):
        active = [v for v in text.versions_of(name) if v.state == "active"]
        total = sum(v.share for v in active)
        if not active or abs(total - model.SHARE_TOTAL) <= SHARE_TOLERANCE:
            continue
        yield Problem(
            path=f"versions.{active[0].name}.share",
            message=f"shares of the active versions of {name!r} add up to {total:g}",
            remedy="make them add up to 100",
        )


@RULES.register("stages")
def check_stages(text: model.Text) -> collections.abc.Iterator[Problem]:
    """A roll-out's stages must rise to its share and leave the rest to another one."""
    for ver in text.versions.values():
        if not ver.stages:
            continue
        base = f"versions.{ver.name}.stages"
        steps = (0.0, *ver.stages, ver.share)
        if any(low >= high for low, high in itertools.pairwise(steps)):
            yield Problem(
                path=base,
                message="stages must rise from above 0 to below the share",
                remedy=f"write for example [1, 5, 20] below share {ver.share:g}",
            )
        if ver.stage_s < 0 or ver.stage_samples < 1:
            yield Problem(
                path=base,
                message="stage_s must be 0 or more, stage_samples 1 or more",
                remedy="remove them for the defaults",
            )
        yield from _check_rest(text, ver, base)


def _check_rest(
    text: model.Text, ver: model.Version, base: str
) -> collections.abc.Iterator[Problem]:
    others = [
        other
        for other in text.versions_of(ver.model)
        if other.state == "active" and other.name != ver.name
    ]
    if any(other.stages for other in others):
        yield Problem(
            path=base,
            message=f"two versions of {ver.model!r} are rolled out at once",
            remedy="remove the stages of one of them",
        )
    elif ver.state == "active" and not others:
        yield Problem(
            path=base,
            message=f"no other active version of {ver.model!r} takes the rest",
            remedy="keep the old version active with share 0 until the end",
        )


@RULES.register("cycles")
def check_cycles(text: model.Text) -> collections.abc.Iterator[Problem]:
    """No service may depend on itself, directly or through others."""
    done: set[str] = set()
    for name in text.services:
        cycle = _find_cycle(text, name, [], done)
        if not cycle:
            continue
        yield Problem(
            path=f"services.{cycle[0]}.depends_on",
            message=f"services depend on each other: {' -> '.join(cycle)}",
            remedy="remove one of these dependencies",
        )


def _find_cycle(
    text: model.Text, name: str, path: list[str], done: set[str]
) -> list[str]:
    if name in path:
        return [*path[path.index(name) :], name]
    if name in done or name not in text.services:
        return []
    for dep in text.services[name].depends_on:
        cycle = _find_cycle(text, dep, [*path, name], done)
        if cycle:
            done.update(cycle)
            return cycle
    done.add(name)
    return []


@RULES.register("served")
def check_served(text: model.Text) -> collections.abc.Iterator[Problem]:
    """Every customer must have a usable version for each of its services."""
    for cust in text.customers.values():
        for i, name in enumerate(cust.services):
            svc = text.services.get(name)
            if svc is None or svc.kind != "model":
                continue
            if any(allowed_versions(text, cust, model_) for model_ in svc.levels):
                continue
            yield Problem(
                path=f"customers.{cust.name}.services[{i}]",
                message=f"customer {cust.name!r} has no usable version for {name!r}",
                remedy="allow a version that is active, or remove the service",
            )


def allowed_versions(
    text: model.Text, cust: model.Customer, model_name: str
) -> list[model.Version]:
    """Return the active versions of a model that the customer may use."""
    return [
        ver
        for ver in text.versions_of(model_name)
        if ver.state == "active" and is_allowed(cust, ver)
    ]


def is_allowed(cust: model.Customer, ver: model.Version) -> bool:
    """Tell whether the customer may run on the version, whatever its state."""
    if cust.models and ver.model not in cust.models:
        return False
    return not cust.versions or ver.name in cust.versions
