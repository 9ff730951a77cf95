"""`masticpost explain`: what happened to a request, from the instances' logs."""

import pathlib

from masticpost_cli import commands, session, timeline

TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
LIST_FIELDS = ("tries", "models")


@commands.COMMANDS.register("explain")
async def explain(ses: session.Session) -> int:
    """Print a request's story; exit 1 when no line names it."""
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
        f"no line names request {request_id} ({details}): give the files of every"
        " instance, and the id as the caller sent or got it"
    )


def caveats(lines: timeline.LogLines) -> list[str]:
    """Return what limits how far the story can be trusted."""
    found = []
    if lines.unreadable:
        found.append(f"{lines.unreadable} lines are not readable")
    if lines.dropped:
        found.append(f"{lines.dropped} lines were dropped by the instances")
    if lines.steps:
        found.append(f"{lines.steps} times a clock went back: the order may be wrong")
    return found


def render(found: timeline.RequestTimeline) -> list[str]:
    """Return the story as lines of text."""
    rows = []
    for entry in found.context:
        rows.append(
            f"{_format_origin(entry)} believes: {entry.message}{_format_fields(entry)}"
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
