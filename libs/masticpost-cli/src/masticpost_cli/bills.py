"""Commands on the shards' committed state: bills, audit, doubts, budgets."""

import collections
import time

import attrs
from masticpost_common import codec
from masticpost_confsync import head
from masticpost_shards import log, state
from masticpost_text import model, parse

from masticpost_cli import commands, session

MAX_SHARDS_READ = 1024
NS_PER_MS = 1_000_000


@attrs.define(kw_only=True)
class ExecutedRequests:
    """Requests that upstreams executed for one customer, service and version."""

    customer: str
    service: str
    version: str
    requests: int


@attrs.frozen(kw_only=True)
class Mismatch:
    """A difference between the numbers of billed and of executed requests."""

    customer: str
    service: str
    version: str
    billed: int
    ran: int


@attrs.frozen(kw_only=True)
class BudgetUsage:
    """What a customer spent of its budget in the current window.

    `until` is the end of the window in wall-clock milliseconds, 0 if nothing was
    spent in it.
    """

    customer: str
    spent: float
    budget: float
    until: int


@attrs.frozen(kw_only=True)
class PendingCall:
    """A claimed call without a known outcome.

    Attributes
    ----------
    key : str
        Key of the call.
    instance : str
        Instance that claimed it.
    claimed_at : int
        Wall-clock milliseconds.
    is_at_work : bool
        Whether the call is still in progress; False once it is recorded as in doubt.
    is_asked : bool
        Whether the service can be queried about the call.
    """

    key: str
    instance: str
    claimed_at: int
    is_at_work: bool
    is_asked: bool


async def read_shard_states(ses: session.Session) -> list[state.State]:
    """Return the committed state of every shard, read by one list call each."""
    listed = await ses.store.list({log.KIND_LABEL: log.SLOT_KIND})
    if listed.is_err():
        raise session.UnreachableError(f"object API: {listed.unwrap_err().message}")
    shards = {obj.labels[log.SHARD_LABEL] for obj in listed.unwrap().objects}
    states = []
    for label in sorted(shards):
        found = await ses.store.list({log.SHARD_LABEL: label})
        if found.is_err():
            raise session.UnreachableError(f"object API: {found.unwrap_err().message}")
        states.append(log.replay(found.unwrap(), int(label)).state)
    return states


def sum_totals(states: list[state.State]) -> list[state.Total]:
    """Return the bills' totals over all shards, sorted by their keys."""
    sums: dict[tuple[str, str, str, str], state.Total] = {}
    for found in states:
        for row in found.totals.values():
            key = (row.customer, row.service, row.version, row.state)
            merged = sums.setdefault(
                key,
                state.Total(
                    customer=row.customer,
                    service=row.service,
                    version=row.version,
                    state=row.state,
                ),
            )
            merged.requests += row.requests
            merged.input_tokens += row.input_tokens
            merged.output_tokens += row.output_tokens
            merged.cost += row.cost
    return [sums[key] for key in sorted(sums)]


@commands.COMMANDS.register("bills")
async def bills(ses: session.Session) -> int:
    """Print the bills' totals."""
    rows = sum_totals(await read_shard_states(ses))
    if ses.wants_json:
        ses.print_json(rows)
        return commands.EXIT_OK
    table = [
        [
            row.customer,
            row.service,
            row.version or "-",
            row.state,
            row.requests,
            row.input_tokens,
            row.output_tokens,
            f"{row.cost:.6f}",
        ]
        for row in rows
    ]
    header = ["CUSTOMER", "SERVICE", "VERSION", "STATE", "REQUESTS"]
    ses.print_table([*header, "INPUT", "OUTPUT", "COST"], table)
    return commands.EXIT_OK


@commands.COMMANDS.register("audit")
async def audit(ses: session.Session) -> int:
    """Compare answered bills with a JSON list of `ExecutedRequests`."""
    try:
        executed_rows = codec.from_json(ses.read_file(), list[ExecutedRequests])
    except codec.DecodeError as exc:
        raise session.UsageError(
            f"FILE is not a list of executed requests: {exc}"
        ) from exc
    billed: collections.Counter[tuple[str, str, str]] = collections.Counter()
    for row in sum_totals(await read_shard_states(ses)):
        if row.state == "answered":
            billed[(row.customer, row.service, row.version)] += row.requests
    executed = {(r.customer, r.service, r.version): r.requests for r in executed_rows}
    mismatches = [
        Mismatch(
            customer=key[0],
            service=key[1],
            version=key[2],
            billed=billed[key],
            ran=executed.get(key, 0),
        )
        for key in sorted(set(billed) | set(executed))
        if billed[key] != executed.get(key, 0)
    ]
    if ses.wants_json:
        ses.print_json(mismatches)
    else:
        for row in mismatches:
            name = f"{row.customer} {row.service} {row.version or '-'}"
            ses.print(f"{name}: billed {row.billed}, ran {row.ran}")
        ses.print(f"{len(mismatches)} differences")
    return commands.EXIT_NEGATIVE if mismatches else commands.EXIT_OK


@commands.COMMANDS.register("doubts")
async def doubts(ses: session.Session) -> int:
    """List claimed calls without a known outcome, also those still in progress."""
    rows = [
        PendingCall(
            key=call.claim.key,
            instance=call.claim.run.instance,
            claimed_at=call.claim.at,
            is_at_work=call.outcome is None,
            is_asked=call.claim.inquiry is not None,
        )
        for found in await read_shard_states(ses)
        for call in found.calls.values()
        if not state.is_final(call)
    ]
    if ses.wants_json:
        ses.print_json(rows)
        return commands.EXIT_OK
    table = [
        [
            row.key,
            row.instance,
            session.format_utc(row.claimed_at),
            "claimed" if row.is_at_work else "in doubt",
            "yes" if row.is_asked else "no",
        ]
        for row in rows
    ]
    header = ["CALL", "INSTANCE", "CLAIMED AT (UTC)", "STATE", "CAN QUERY SERVICE"]
    ses.print_table(header, table)
    return commands.EXIT_OK


@commands.COMMANDS.register("budgets")
async def budgets(ses: session.Session) -> int:
    """Print spending in the current windows; exits with 1 if a budget is used up."""
    found = await head.read(ses.store)
    if found.is_err() or found.unwrap() is None:
        raise session.UnreachableError("object API: cannot read a text")
    text = parse.parse(found.unwrap().stored.raw).text
    rows = _budget_usage(
        await read_shard_states(ses), text, time.time_ns() // NS_PER_MS
    )
    if ses.wants_json:
        ses.print_json(rows)
    else:
        table = [
            [
                row.customer,
                f"{row.spent:.6f}",
                f"{row.budget:.6f}",
                session.format_utc(row.until) if row.until else "-",
            ]
            for row in rows
        ]
        ses.print_table(["CUSTOMER", "SPENT", "BUDGET", "UNTIL (UTC)"], table)
    is_used_up = any(row.spent >= row.budget for row in rows)
    return commands.EXIT_NEGATIVE if is_used_up else commands.EXIT_OK


def _budget_usage(
    states: list[state.State], text: model.Text, now_ms: int
) -> list[BudgetUsage]:
    """Return the usage of each customer with a budget, summed over the shards."""
    amounts: collections.Counter[str] = collections.Counter()
    ends: dict[str, int] = {}
    for found in states:
        for key, runs in found.spends.items():
            first = next(iter(runs.values()))
            if first.window <= now_ms < first.until:
                amounts[first.customer] += found.spent(key)
                ends[first.customer] = first.until
    return [
        BudgetUsage(
            customer=cust.name,
            spent=amounts[cust.name],
            budget=cust.budget,
            until=ends.get(cust.name, 0),
        )
        for cust in text.customers.values()
        if cust.budget > 0
    ]
