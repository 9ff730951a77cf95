"""`masticpost explain`: shows what happened to a request, from instances' logs."""

import pathlib

from masticpost_cli import commands, session, timeline

TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
# Fields with a list, printed one item per line.
LIST_FIELDS = ("tries", "models")


@commands.COMMANDS.register("explain")
async def explain(ses: session.Session) -> int:
    """Print a request's timeline; exits with 1 if no line names its id."""
    lines = timeline.LogLines()
    for name in ses.args["LOG"]:
        lines.read(_read_lines(name))
    request_id = str(ses.args["REQUEST_ID"])
    found = timeline.build_timeline(lines, request_id)
    if found is None:
        ses.print_error(_not_found(request_id, lines))
        return commands.EXIT_NEGATIVE
    if ses.wants_json:
        ses.print_json(found)
        return commands.EXIT_OK
    for text in render(found):
        ses.print(text)
    for caveat in caveats(lines):
        ses.print_error(caveat)
    return commands.EXIT_OK


def _read_lines(name: str) -> list[str]:
    try:
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as exc:
        raise session.UsageError(f"cannot read {name}: {exc}") from exc


def _not_found(request_id: str, lines: timeline.LogLines) -> str:
    details = "; ".join([f"{len(lines.entries)} lines read", *caveats(lines)])
    return (
        f"no log line names request {request_id} ({details}): give the files of every"
        " instance, and the request id that the caller sent or received"
    )


def caveats(lines: timeline.LogLines) -> list[str]:
    """Return what may make the timeline incomplete or wrong, one sentence each."""
    found = []
    if lines.unreadable:
        found.append(f"{lines.unreadable} lines could not be decoded")
    if lines.dropped:
        found.append(f"{lines.dropped} lines were dropped by the instances")
    if lines.steps:
        found.append(
            f"a clock went backwards {lines.steps} times: the order may be wrong"
        )
    return found


def render(found: timeline.RequestTimeline) -> list[str]:
    """Return the timeline as lines of text."""
    rows = []
    for entry in found.context:
        rows.append(
            f"{_format_origin(entry)} context: {entry.message}{_format_fields(entry)}"
        )
    for entry in found.ends:
        rows.append(f"{_format_origin(entry)} {entry.message}{_format_fields(entry)}")
        for name in LIST_FIELDS:
            rows += [f"    {name}: {item}" for item in entry.rest.get(name) or []]
    return rows


def _format_origin(entry: timeline.Entry) -> str:
    return f"{entry.at.strftime(TIME_FORMAT)[:-3]} {entry.instance}"


def _format_fields(entry: timeline.Entry) -> str:
    shown = {
        key: value
        for key, value in entry.rest.items()
        if key not in LIST_FIELDS and value not in (None, "")
    }
    return "".join(f" {key}={value}" for key, value in shown.items())
