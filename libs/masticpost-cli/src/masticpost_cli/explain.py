"""`masticpost explain`: what happened to a request, from the instances' logs."""

import pathlib

from masticpost_cli import commands, session, story

TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
LISTED_FIELDS = ("tries", "models")


@commands.COMMANDS.register("explain")
async def explain(ses: session.Session) -> int:
    """Print a request's story; exit 1 when no line names it."""
    lines = story.Lines()
    for name in ses.args["LOG"]:
        lines.read(_open(name))
    request_id = str(ses.args["REQUEST_ID"])
    found = story.tell(lines, request_id)
    if found is None:
        ses.print_error(_not_found(request_id, lines))
        return commands.EXIT_NO
    if ses.wants_json:
        ses.print_json(found)
        return commands.EXIT_OK
    for text in render(found):
        ses.print(text)
    for note in notes(lines):
        ses.print_error(note)
    return commands.EXIT_OK


def _open(name: str) -> list[str]:
    try:
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as exc:
        raise session.UsageError(f"cannot read {name}: {exc}") from exc


def _not_found(request_id: str, lines: story.Lines) -> str:
    told = "; ".join([f"{len(lines.entries)} lines read", *notes(lines)])
    return (
        f"no line names request {request_id} ({told}): give the files of every"
        " instance, and the id as the caller sent or got it"
    )


def notes(lines: story.Lines) -> list[str]:
    """Return what limits how far the story can be trusted."""
    found = []
    if lines.unreadable:
        found.append(f"{lines.unreadable} lines are not readable")
    if lines.dropped:
        found.append(f"{lines.dropped} lines were dropped by the instances")
    if lines.steps:
        found.append(f"{lines.steps} times a clock went back: the order may be wrong")
    return found


def render(found: story.Story) -> list[str]:
    """Return the story as lines of text."""
    rows = []
    for entry in found.context:
        rows.append(f"{_when(entry)} believes: {entry.message}{_fields(entry)}")
    for entry in found.ends:
        rows.append(f"{_when(entry)} {entry.message}{_fields(entry)}")
        for name in LISTED_FIELDS:
            rows += [f"    {name}: {item}" for item in entry.rest.get(name) or []]
    return rows


def _when(entry: story.Entry) -> str:
    return f"{entry.at.strftime(TIME_FORMAT)[:-3]} {entry.instance}"


def _fields(entry: story.Entry) -> str:
    shown = {
        key: value
        for key, value in entry.rest.items()
        if key not in LISTED_FIELDS and value not in (None, "")
    }
    return "".join(f" {key}={value}" for key, value in shown.items())
