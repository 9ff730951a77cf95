"""Commands on the configuration text, and `hash-key`."""

import hashlib
import sys

import attrs
from masticpost_common import clock, findings
from masticpost_confsync import head
from masticpost_text import diff, edit, parse

from masticpost_cli import commands, session


@attrs.frozen(kw_only=True)
class CheckResult:
    """Findings of a check; empty if the text can be applied."""

    ok: bool
    findings: list[findings.Finding]


@attrs.frozen(kw_only=True)
class ApplyResult:
    """The generation that `apply` created, or the one that it conflicts with."""

    ok: bool
    generation: int
    difference: str = ""


@commands.COMMANDS.register("check")
async def check(ses: session.Session) -> int:
    """Check a text and print every finding."""
    raw = ses.read_file()
    try:
        parse.parse(raw, source=str(ses.args["FILE"]))
    except findings.FindingsError as exc:
        if not ses.wants_json:
            raise
        ses.print_json(CheckResult(ok=False, findings=exc.findings))
        return commands.EXIT_NEGATIVE
    if ses.wants_json:
        ses.print_json(CheckResult(ok=True, findings=[]))
    else:
        ses.print("no findings")
    return commands.EXIT_OK


@commands.COMMANDS.register("apply")
async def apply(ses: session.Session) -> int:
    """Check a text and store it as the newest generation."""
    raw = ses.read_file()
    parse.parse(raw, source=str(ses.args["FILE"]))
    seen = ses.number("seen")
    if seen is None:
        current = await _read_head(ses)
        seen = current.generation if current else 0
    return await _apply(ses, raw, seen, str(ses.args["--note"] or ""))


async def _apply(ses: session.Session, raw: str, seen: int, note: str) -> int:
    outcome = await head.apply(
        ses.store,
        raw=raw,
        seen_generation=seen,
        author=ses.author,
        note=note,
        at=clock.wall_ms(),
    )
    if outcome.is_ok():
        generation = outcome.unwrap().generation
        if ses.wants_json:
            ses.print_json(ApplyResult(ok=True, generation=generation))
        else:
            ses.print(f"generation {generation} accepted")
        return commands.EXIT_OK
    fault = outcome.unwrap_err()
    if not isinstance(fault, head.Conflict):
        raise session.UnreachableError(
            f"object API: {fault.kind.value}: {fault.message}; "
            "the edit may have been accepted: check with `masticpost history`"
        )
    return _print_conflict(ses, raw, seen, fault)


def _print_conflict(
    ses: session.Session, raw: str, seen: int, fault: head.Conflict
) -> int:
    current = fault.current.generation if fault.current else 0
    old = fault.current.raw if fault.current else ""
    changes = diff.unified(
        old, raw, old_name=f"generation {current}", new_name="your text"
    )
    if ses.wants_json:
        result = ApplyResult(ok=False, generation=current, difference=changes)
        ses.print_json(result)
        return commands.EXIT_NEGATIVE
    ses.print_error(
        f"conflict: the edit was made from generation {seen}, but generation "
        f"{current} is in force. Merge this difference and apply with "
        f"--seen {current}:"
    )
    ses.print(changes)
    return commands.EXIT_NEGATIVE


async def _read_head(ses: session.Session) -> head.StoredText | None:
    found = await head.read(ses.store)
    if found.is_err():
        raise session.UnreachableError(f"object API: {found.unwrap_err().message}")
    current = found.unwrap()
    return current.stored if current else None


async def _require_head(ses: session.Session) -> head.StoredText:
    current = await _read_head(ses)
    if current is None:
        raise session.UsageError("no text has been applied yet: run `masticpost apply`")
    return current


async def _read_history(ses: session.Session) -> list[head.StoredText]:
    found = await head.history(ses.store)
    if found.is_err():
        raise session.UnreachableError(f"object API: {found.unwrap_err().message}")
    return found.unwrap()


async def _read_generation(ses: session.Session, number: int) -> head.StoredText:
    for stored in await _read_history(ses):
        if stored.generation == number:
            return stored
    raise session.UsageError(f"generation {number} does not exist")


@commands.COMMANDS.register("show")
async def show(ses: session.Session) -> int:
    """Print the text of a generation."""
    number = ses.number("generation")
    if number is None:
        stored = await _require_head(ses)
    else:
        stored = await _read_generation(ses, number)
    if ses.wants_json:
        ses.print_json(stored)
    else:
        ses.print(stored.raw.rstrip("\n"))
    return commands.EXIT_OK


@commands.COMMANDS.register("diff")
async def show_diff(ses: session.Session) -> int:
    """Compare a file with the text in force, or two generations."""
    if ses.args["FILE"]:
        old = await _require_head(ses)
        new_raw, new_name = ses.read_file(), str(ses.args["FILE"])
    else:
        old = await _read_generation(ses, ses.number("from") or 0)
        new = await _read_generation(ses, ses.number("to") or 0)
        new_raw, new_name = new.raw, f"generation {new.generation}"
    changes = diff.unified(
        old.raw, new_raw, old_name=f"generation {old.generation}", new_name=new_name
    )
    if changes:
        ses.print(changes)
    return commands.EXIT_NEGATIVE if changes else commands.EXIT_OK


@commands.COMMANDS.register("history")
async def history(ses: session.Session) -> int:
    """List the generations."""
    rows = await _read_history(ses)
    if ses.wants_json:
        ses.print_json([attrs.evolve(row, raw="") for row in rows])
        return commands.EXIT_OK
    table = [
        [row.generation, session.format_utc(row.at), row.author, row.note or "-"]
        for row in rows
    ]
    ses.print_table(["GENERATION", "APPLIED", "BY", "NOTE"], table)
    return commands.EXIT_OK


@attrs.frozen(kw_only=True)
class DrainField:
    """Field of the text that takes an entry out of service.

    Attributes
    ----------
    section : str
        Section of the text that lists such entries.
    field : str
        Name of the field.
    out, back : str
        Values that take the entry out of service and bring it back.
    """

    section: str
    field: str
    out: str
    back: str


DRAIN_FIELDS = {
    "domain": DrainField(section="domains", field="out", out="true", back="false"),
    "upstream": DrainField(
        section="upstreams", field="draining", out="true", back="false"
    ),
    "version": DrainField(
        section="versions", field="state", out="draining", back="active"
    ),
}


@commands.COMMANDS.register("drain")
async def drain(ses: session.Session) -> int:
    """Take a domain, upstream or version out of service by an edit of the text."""
    return await _set_drain_field(ses, is_out=True)


@commands.COMMANDS.register("restore")
async def restore(ses: session.Session) -> int:
    """Bring a domain, upstream or version back by an edit of the text."""
    return await _set_drain_field(ses, is_out=False)


async def _set_drain_field(ses: session.Session, *, is_out: bool) -> int:
    kind = next(name for name in DRAIN_FIELDS if ses.args[name])
    drain_field = DRAIN_FIELDS[kind]
    name = str(ses.args["NAME"])
    current = await _require_head(ses)
    value = drain_field.out if is_out else drain_field.back
    try:
        raw = edit.set_field(
            current.raw, drain_field.section, name, drain_field.field, value
        )
    except edit.EditError as exc:
        raise session.UsageError(f"cannot edit the text: {exc}") from exc
    parse.parse(raw, source="the edited text")
    verb = "drain" if is_out else "restore"
    note = f"{verb} {kind} {name}"
    return await _apply(ses, raw, current.generation, note)


@commands.COMMANDS.register("hash-key")
async def hash_key(ses: session.Session) -> int:
    """Print the SHA-256 digest of an API key read from standard input."""
    key = sys.stdin.readline().rstrip("\n")
    if not key:
        raise session.UsageError("no API key on standard input")
    ses.print(hashlib.sha256(key.encode()).hexdigest())
    return commands.EXIT_OK
