"""`masticpost gateway route`: where a gateway would send a request now, and why."""

import urllib.parse

from masticpost_gateway.reporting import candidatelist, routeexplanation

from masticpost_cli import commands, gateways, session

# Parameters of the page, each an option of the command with hyphens.
TEXTS = ("host", "path", "customer", "session", "id", "model", "parts")


@commands.COMMANDS.register("gateway")
async def route(ses: session.Session) -> int:
    """Print where a request would go; exits with 1 if it would not be sent now."""
    (base,) = gateways.base_urls(ses)
    url = f"{base}/route?{urllib.parse.urlencode(_query(ses))}"
    kind = routeexplanation.RouteExplanation
    found = await ses.fetch(url, kind, sends_key=False)
    if ses.wants_json:
        ses.print_json(found)
    else:
        _print(ses, found)
    is_sent = found.verdict is routeexplanation.Verdict.SEND
    return commands.EXIT_OK if is_sent else commands.EXIT_NEGATIVE


def _query(ses: session.Session) -> dict[str, str]:
    query = {name: ses.args.get(f"--{name}") for name in TEXTS}
    for name in ("host", "path"):
        if not query[name]:
            raise session.UsageError(f"give --{name}")
    for name in routeexplanation.NUMBERS:
        query[name] = ses.number(name.replace("_", "-"))
    return {name: str(value) for name, value in query.items() if value is not None}


def _print(ses: session.Session, found: routeexplanation.RouteExplanation) -> None:
    for line in _lines(found):
        ses.print(line)
    if found.candidates:
        ses.print("")
        ses.print_table(
            ["UPSTREAM", "DOMAIN", "VERSION", "STATE", "SCORE", "FIRST", "TOTAL"],
            [_row(row) for row in found.candidates],
        )


def _lines(found: routeexplanation.RouteExplanation) -> list[str]:
    """Return the verdict and what it follows from, a sentence each."""
    lines = [f"{found.instance} ({found.domain}): {_verdict(found)}"]
    if found.config_age_s is not None:
        lines.append(
            f"configuration {found.config_version}, {found.config_age_s:.1f} s old"
        )
    if not found.service:
        return lines
    model = f", model {found.model}" if found.model else ""
    lines.append(
        f"route {found.route}, service {found.service},"
        f" priority {found.priority}{model}"
    )
    if found.customer:
        lines.append(f"customer {found.customer}")
    lines += _version_lines(found)
    if found.urgency is not None:
        over = ", over its customer's share" if found.is_over_share else ""
        lines.append(f"urgency {found.urgency}{over}")
    left = found.retries
    lines.append(
        f"retries left: {left.own:.1f}, planned {left.planned:.1f},"
        f" borrowed {left.borrowed}"
    )
    return lines + found.notes


def _verdict(found: routeexplanation.RouteExplanation) -> str:
    if found.verdict is routeexplanation.Verdict.SEND:
        return f"would send it to {found.chosen}"
    if found.verdict is routeexplanation.Verdict.WAIT:
        return f"would hold it for {found.wait_s:g} s at most: {found.reason}"
    after = ""
    if found.retry_after_s is not None:
        after = f", retry after {found.retry_after_s:.2f} s"
    return f"would reject it: {found.reason}{after}"


def _version_lines(found: routeexplanation.RouteExplanation) -> list[str]:
    plan = found.plan
    rows = {
        "preferred": plan.preferred,
        "avoided": plan.avoided,
        "excluded": plan.excluded,
    }
    return [f"version {value} is {name}" for name, value in rows.items() if value]


def _row(row: candidatelist.Candidate) -> list[object]:
    return [
        row.name,
        row.domain,
        row.version,
        _state(row),
        "-" if row.score is None else f"{row.score:.3f}",
        "-" if row.first_s is None else f"{row.first_s:.2f} s",
        "-" if row.total_s is None else f"{row.total_s:.2f} s",
    ]


def _state(row: candidatelist.Candidate) -> str:
    """Return what speaks for or against an upstream."""
    found = ["chosen"] if row.is_chosen else []
    found += row.obstacles
    if row.ejected_s is not None:
        found.append(f"until in {row.ejected_s:.1f} s")
    if not row.obstacles and not row.is_considered:
        found.append("of another version")
    if row.is_cold and "cold" not in row.obstacles:
        found.append("in cold start")
    if not row.has_slot:
        found.append("no free slot")
    if not row.has_memory:
        found.append("no memory")
    if row.speed_factor != 1.0:
        found.append(f"takes {row.speed_factor:.2f} times as long")
    return ", ".join(found) or "ready"
