"""Rules for single values of a text: allowed words and ranges of numbers."""

import collections.abc
import urllib.parse

from masticpost_text import model, rules

KEY_HEX_DIGITS = 64
MAX_SHARDS = 1024
VERSION_STATES = ("active", "draining", "withdrawn")
SERVICE_KINDS = ("model", "plain")
WITHDRAWN_ACTIONS = ("move", "refuse")
MIN_DEADLINE_S = 0.05
MAX_DEADLINE_S = 3600.0
MIN_BUDGET_S = 1.0


@rules.RULES.register("values")
def check_values(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Words must be among the allowed ones, and numbers in their ranges."""
    if not 1 <= text.shards <= MAX_SHARDS:
        yield rules.Problem(
            path="shards",
            message=f"shards must be from 1 to {MAX_SHARDS}",
            remedy="use 8 for a deployment of 8 instances",
        )
    if text.weight_loads_s <= 0:
        yield rules.Problem(
            path="weight_loads_s",
            message="weight_loads_s must be above 0",
            remedy="set it to the loads per second that the weight store allows",
        )
    for ver in text.versions.values():
        base = f"versions.{ver.name}"
        yield from _check_allowed(f"{base}.state", ver.state, VERSION_STATES)
        if not 0 <= ver.share <= model.SHARE_TOTAL:
            yield rules.Problem(
                path=f"{base}.share",
                message="share must be from 0 to 100",
                remedy="write the share in percent",
            )
        if min(ver.input_price, ver.output_price) < 0:
            yield rules.Problem(
                path=base, message="a price is negative", remedy="use 0 or more"
            )
    for svc in text.services.values():
        yield from _check_service(svc)
    for up in text.upstreams.values():
        yield from _check_upstream(up)
    for cust in text.customers.values():
        yield from _check_customer(cust)


def _check_service(svc: model.Service) -> collections.abc.Iterator[rules.Problem]:
    base = f"services.{svc.name}"
    yield from _check_allowed(f"{base}.kind", svc.kind, SERVICE_KINDS)
    yield from _check_allowed(
        f"{base}.on_withdrawn", svc.on_withdrawn, WITHDRAWN_ACTIONS
    )
    if not 0 <= svc.quality_target <= 1:
        yield rules.Problem(
            path=f"{base}.quality_target",
            message="quality_target must be from 0 to 1",
            remedy="for a mean rating of 0.8, write 0.8",
        )
    if not MIN_DEADLINE_S <= svc.deadline_s <= MAX_DEADLINE_S:
        yield rules.Problem(
            path=f"{base}.deadline_s",
            message=f"deadline_s must be {MIN_DEADLINE_S} to {MAX_DEADLINE_S:g}",
            remedy="write the deadline in seconds",
        )
    if svc.kind == "model" and not svc.levels:
        yield rules.Problem(
            path=base,
            message=f"model service {svc.name!r} has no levels",
            remedy="add `levels: [cheap-model, better-model]`",
        )
    if svc.kind == "plain" and not svc.operations:
        yield rules.Problem(
            path=base,
            message=f"plain service {svc.name!r} has no operations",
            remedy="add `operations: [{path: /, idempotent: true}]`",
        )
    for i, op in enumerate(svc.operations):
        if not op.path.startswith("/"):
            yield rules.Problem(
                path=f"{base}.operations[{i}].path",
                message=f"path {op.path!r} must begin with /",
                remedy=f"write /{op.path}",
            )
        yield from _check_status(f"{base}.operations[{i}]", op)


def _check_status(
    base: str, op: model.Operation
) -> collections.abc.Iterator[rules.Problem]:
    path = op.status_path
    if path and (not path.startswith("/") or path.count("{key}") != 1):
        yield rules.Problem(
            path=f"{base}.status_path",
            message=f"status path {path!r} must begin with / and have {{key}} once",
            remedy="write it as /bookings/by-key/{key}",
        )
    if path and op.idempotent:
        yield rules.Problem(
            path=f"{base}.status_path",
            message="only the status of calls that may not be repeated is queried",
            remedy="remove it, or set `idempotent: false`",
        )
    if op.final_after_s < 0 or (op.final_after_s and not path):
        yield rules.Problem(
            path=f"{base}.final_after_s",
            message="final_after_s must be 0 or more and goes with status_path",
            remedy="write the seconds that the service guarantees, or remove it",
        )


def _check_upstream(up: model.Upstream) -> collections.abc.Iterator[rules.Problem]:
    base = f"upstreams.{up.name}"
    parts = urllib.parse.urlsplit(up.url)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        yield rules.Problem(
            path=f"{base}.url",
            message=f"{up.url!r} is not an HTTP URL",
            remedy="write http://ADDRESS:PORT",
        )
    cold = up.cold
    if cold.seconds < 0:
        yield rules.Problem(
            path=f"{base}.cold.seconds",
            message="seconds must be 0 or more",
            remedy="write the length of the upstream's cold start in seconds",
        )
    if min(up.max_concurrent, cold.max_concurrent, cold.successes) < 1:
        yield rules.Problem(
            path=base,
            message="max_concurrent and successes must be 1 or more",
            remedy="to stop new work, set `draining: true`",
        )


def _check_customer(cust: model.Customer) -> collections.abc.Iterator[rules.Problem]:
    base = f"customers.{cust.name}"
    for i, key in enumerate(cust.keys):
        if len(key) == KEY_HEX_DIGITS and all(c in "0123456789abcdef" for c in key):
            continue
        yield rules.Problem(
            path=f"{base}.keys[{i}]",
            message="a key must be a SHA-256 digest of 64 lower-case hex digits",
            remedy="run `masticpost hash-key` and paste what it prints",
        )
    if cust.max_concurrent < 1 or cust.weight <= 0:
        yield rules.Problem(
            path=base,
            message="max_concurrent must be 1 or more, and weight above 0",
            remedy="to stop a customer, remove its keys",
        )
    if cust.budget < 0 or cust.budget_s < MIN_BUDGET_S:
        yield rules.Problem(
            path=f"{base}.budget",
            message=f"budget must be 0 or more, budget_s {MIN_BUDGET_S:g} or more",
            remedy="to set no limit, remove it",
        )


def _check_allowed(
    path: str, value: str, allowed: tuple[str, ...]
) -> collections.abc.Iterator[rules.Problem]:
    if value not in allowed:
        yield rules.Problem(
            path=path,
            message=f"{value!r} is not allowed here",
            remedy=f"use one of: {', '.join(allowed)}",
        )
