"""`masticpost status`: every instance with its generation, and the upstreams."""

import asyncio

import attrs
from masticpost_confsync import head
from masticpost_entry import admin, stages

from masticpost_cli import commands, gateways, rates, session


@attrs.define(kw_only=True)
class Overview:
    """Content of the status report.

    Attributes
    ----------
    head_generation : int or None
        Newest accepted generation; None if the object API is not given or cannot be
        read, 0 if no text has been applied.
    instances : list of admin.Status
        Status of each instance that answered.
    unreachable : list of str
        Names of live members that did not answer.
    """

    head_generation: int | None
    instances: list[admin.Status]
    unreachable: list[str] = attrs.field(factory=list)


async def collect(ses: session.Session) -> Overview:
    """Fetch the members from one instance, then the status of each member."""
    entry = ses.required("entry").rstrip("/")
    first = await ses.fetch(f"{entry}/admin/status", admin.Status)
    alive = [m for m in first.members if m.state in ("alive", "suspect") and m.http]
    urls = {m.name: f"{m.http}/admin/status" for m in alive}
    overview = Overview(head_generation=await _head_generation(ses), instances=[])
    answers = await asyncio.gather(
        *(ses.fetch(url, admin.Status) for url in urls.values()),
        return_exceptions=True,
    )
    for name, answer in zip(urls, answers, strict=True):
        if isinstance(answer, admin.Status):
            overview.instances.append(answer)
        else:
            overview.unreachable.append(name)
    return overview


async def _head_generation(ses: session.Session) -> int | None:
    if not ses.option("store-url"):
        return None
    found = await head.read(ses.store)
    if found.is_err():
        return None
    current = found.unwrap()
    return current.stored.generation if current else 0


@commands.COMMANDS.register("status")
async def status(ses: session.Session) -> int:
    """Print the overview; exits with 1 if an instance is behind or does not answer."""
    if gateways.base_urls(ses):
        return await _show_gateways(ses)
    overview = await collect(ses)
    accepted = overview.head_generation
    newest = max(row.generation for row in overview.instances)
    behind = [
        row.instance
        for row in overview.instances
        if row.generation < (accepted if accepted is not None else newest)
    ]
    if ses.wants_json:
        ses.print_json(overview)
    else:
        _print(ses, overview)
    is_healthy = not behind and not overview.unreachable
    return commands.EXIT_OK if is_healthy else commands.EXIT_NEGATIVE


async def _show_gateways(ses: session.Session) -> int:
    overview = await gateways.collect(ses)
    if ses.wants_json:
        ses.print_json(overview)
    else:
        gateways.print_overview(ses, overview)
    return commands.EXIT_NEGATIVE if overview.findings() else commands.EXIT_OK


def _print(ses: session.Session, overview: Overview) -> None:
    if overview.head_generation is not None:
        ses.print(f"newest accepted generation: {overview.head_generation}")
    rows = [
        [
            row.instance,
            row.domain,
            row.generation,
            _state(row),
            len(row.shards),
            row.bills_waiting,
        ]
        for row in overview.instances
    ]
    rows += [[name, "-", "-", "no answer", "-", "-"] for name in overview.unreachable]
    ses.print_table(
        ["INSTANCE", "DOMAIN", "GENERATION", "STATE", "SHARDS", "BILLS WAITING"], rows
    )
    _print_trials(ses, overview)
    ses.print("")
    ses.print_table(["UPSTREAM", "DOMAIN", "STATE"], _upstream_rows(overview))
    for line in rates.lines(rate for row in overview.instances for rate in row.rates):
        ses.print(line)


def _print_trials(ses: session.Session, overview: Overview) -> None:
    for row in overview.instances[0].trials:
        if row.is_stopped:
            ses.print(
                f"version {row.version} was stopped in trial {row.trial}: "
                f"{row.reason}; increase its `trial` in the text to try it again"
            )
    for roll in _rollouts(overview):
        ses.print(
            f"version {roll.version} is being rolled out: stage {roll.stage + 1} of "
            f"{roll.stages}, {roll.share:g}% of {roll.target:g}%, for "
            f"{roll.seconds:.0f} of at least {roll.needed_s:g} s, "
            f"{roll.samples} of at least {roll.needed_samples} samples"
        )


def _rollouts(overview: Overview) -> list[stages.RolloutStatus]:
    """Return each roll-out once, from the instance that last began to judge it."""
    found: dict[str, stages.RolloutStatus] = {}
    for instance in overview.instances:
        for roll in instance.rollouts:
            current = found.get(roll.version)
            if current is None or roll.seconds < current.seconds:
                found[roll.version] = roll
    return [found[name] for name in sorted(found)]


def _state(row: admin.Status) -> str:
    if row.is_draining:
        return "draining"
    if not row.is_current:
        return "not current"
    if row.store_is_down:
        return "object API down"
    return "ok"


def _upstream_rows(overview: Overview) -> list[list[object]]:
    first = overview.instances[0]
    rows: list[list[object]] = []
    for up in first.upstreams:
        blocked = sum(
            other.is_blocked
            for row in overview.instances
            for other in row.upstreams
            if other.name == up.name
        )
        state = "ok" if up.is_warm else "cold"
        if not up.is_usable:
            state = "out"
        if blocked:
            state += f", failing at {blocked} instances"
        rows.append([up.name, up.domain, state])
    return rows
