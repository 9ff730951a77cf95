"""Status of gateways, fetched from the address of each one's metrics."""

import asyncio
import collections
import collections.abc
import time
import typing

import attrs
from masticpost_gateway.reporting import status
from masticpost_gateway.serving import gateway
from masticpost_telemetry import burn

from masticpost_cli import rates, session

T = typing.TypeVar("T")
# Age of cached records above which `status` reports them as old.
STALE_AFTER_S = gateway.CONFIG_FRESH_S


@attrs.define(kw_only=True)
class Overview:
    """Status of the gateways that answered, and URLs of those that did not."""

    instances: list[status.Status]
    unreachable: list[str] = attrs.field(factory=list)

    def findings(self) -> list[str]:
        """Return the problems, one sentence each."""
        found = [f"{url} does not answer" for url in self.unreachable]
        newest = max((row.config_version for row in self.instances), default=-1)
        for row in self.instances:
            found += _findings(row, newest)
        return found


def _findings(row: status.Status, newest: int) -> collections.abc.Iterator[str]:
    if not row.is_ready:
        yield f"{row.instance} is not ready"
    if row.config_version < newest:
        yield f"{row.instance} has configuration {row.config_version}, not {newest}"
    for belief in row.beliefs:
        if belief.age_s is None:
            yield f"{row.instance} has not read the {belief.kind.value} yet"
        elif belief.age_s > STALE_AFTER_S:
            age = f"{belief.age_s:.1f} s old"
            yield f"{row.instance}'s cache of the {belief.kind.value} is {age}"
        if belief.lost_s is not None:
            lost = f"for {belief.lost_s:.1f} s"
            yield f"{row.instance} cannot read the {belief.kind.value} {lost}"


def base_urls(ses: session.Session) -> list[str]:
    """Return the base URLs of the gateways that were given as arguments."""
    return [_url(str(text)) for text in ses.args.get("ADDRESS") or []]


def _url(text: str) -> str:
    base = text if "://" in text else f"http://{text}"
    return base.rstrip("/")


async def collect(ses: session.Session) -> Overview:
    """Fetch the status of each gateway."""
    urls = base_urls(ses)
    replies = await _fetch_all(ses, urls, "/status", status.Status)
    overview = Overview(instances=[])
    for url, reply in zip(urls, replies, strict=True):
        if isinstance(reply, session.UnreachableError):
            overview.unreachable.append(url)
        else:
            overview.instances.append(reply)
    return overview


async def burn_rows(ses: session.Session) -> list[burn.BurnRow]:
    """Return the burn rates of each series, merged over the gateways.

    Raises
    ------
    session.UnreachableError
        If a gateway does not answer, as the sums would be too small.
    """
    kind = list[burn.SeriesReport]
    replies = await _fetch_all(ses, base_urls(ses), "/burn", kind)
    for reply in replies:
        if isinstance(reply, session.UnreachableError):
            raise reply
    series = [item for reply in replies for item in reply]
    return burn.merge(series, now_s=time.time())


async def _fetch_all(
    ses: session.Session, urls: list[str], path: str, kind: type[T]
) -> list[T | session.UnreachableError]:
    calls = (_fetch(ses, url + path, kind) for url in urls)
    return await asyncio.gather(*calls)


async def _fetch(
    ses: session.Session, url: str, kind: type[T]
) -> T | session.UnreachableError:
    try:
        return await ses.fetch(url, kind, sends_key=False)
    except session.UnreachableError as exc:
        return exc


def print_overview(ses: session.Session, overview: Overview) -> None:
    """Print the instances, the upstreams, the roll-outs and the findings."""
    ses.print_table(
        [
            "INSTANCE",
            "DOMAIN",
            "STATE",
            "CONFIGURATION",
            "IN FLIGHT",
            "MEMBERS",
            *_AGE_HEADERS,
        ],
        [_instance_row(row) for row in overview.instances],
    )
    ses.print("")
    ses.print_table(
        ["UPSTREAM", "SERVICE", "DOMAIN", "STATES"], _upstream_rows(overview)
    )
    for line in rates.lines(rate for row in overview.instances for rate in row.rates):
        ses.print(line)
    for line in _rollout_lines(overview):
        ses.print(line)
    for line in overview.findings():
        ses.print_error(line)


_AGE_HEADERS = ["CONFIG AGE", "UPSTREAMS AGE", "ROLL-OUTS AGE", "DOMAINS-OUT AGE"]


def _instance_row(row: status.Status) -> list[object]:
    state = "ready" if row.is_ready else "not ready"
    if row.is_draining:
        state = "draining"
    if row.instance in row.watchers:
        state += ", watcher"
    ages = [_format_age(belief.age_s) for belief in row.beliefs]
    return [
        row.instance,
        row.domain,
        state,
        row.config_version,
        row.requests_in_flight,
        len(row.members),
        *ages,
    ]


def _format_age(age_s: float | None) -> str:
    return "never read" if age_s is None else f"{age_s:.1f} s"


def _upstream_rows(overview: Overview) -> list[list[object]]:
    """Return a row per upstream, with the number of instances that see each state."""
    states: dict[str, collections.Counter[str]] = {}
    upstreams: dict[str, status.UpstreamStatus] = {}
    for row in overview.instances:
        for up in row.upstreams:
            upstreams[up.name] = up
            states.setdefault(up.name, collections.Counter())[up.state.value] += 1
    return [
        [
            name,
            upstreams[name].service,
            upstreams[name].domain,
            _format_counts(states[name]),
        ]
        for name in sorted(upstreams)
    ]


def _format_counts(states: collections.Counter[str]) -> str:
    return ", ".join(f"{state} at {count}" for state, count in sorted(states.items()))


def _rollout_lines(overview: Overview) -> list[str]:
    """Return a line per open roll-out, from the instance that counted most calls."""
    chosen: dict[str, status.TrialStatus] = {}
    for row in overview.instances:
        for trial in row.trials:
            current = chosen.get(trial.service)
            if current is None or trial.calls > current.calls:
                chosen[trial.service] = trial
    lines = [
        f"version {row.version} of {row.service} is being rolled out: {row.share:.0%},"
        f" {row.failures} of {row.calls} calls failed"
        + (f", rolled back: {row.verdict}" if row.verdict else "")
        for row in chosen.values()
    ]
    return lines + _completed_lines(overview)


def _completed_lines(overview: Overview) -> list[str]:
    """Return a line per completed version that an instance finds bad since."""
    found: dict[tuple[str, str], list[status.CompletedStatus]] = {}
    for row in overview.instances:
        for done in row.completed:
            found.setdefault((done.service, done.version), []).append(done)
    return [
        f"version {version} of {service} is bad after its completion:"
        f" {sum(row.failures for row in rows)} of {sum(row.calls for row in rows)}"
        f" calls failed, {sum(row.late for row in rows)} began late"
        for (service, version), rows in sorted(found.items())
        if any(row.fault for row in rows)
    ]
