"""The story of one request, read from the log lines of several instances."""

import collections.abc
import datetime

import attrs
import msgspec

CONTEXT_S = 10.0
CLOCK_STEP_S = 1.0
CONTEXT_EVENTS = (
    "start",
    "stop",
    "reload",
    "store",
    "belief",
    "watch",
    "isolation",
    "upstream",
    "suspect",
    "quarantine",
    "trial",
    "roll-out",
    "mesh",
    "relay",
)
SHOWN_APART = ("at", "level", "message", "instance", "module", "event")


@attrs.frozen(kw_only=True)
class Entry:
    """One log line; `rest` has the fields that are particular to its event."""

    at: datetime.datetime
    instance: str
    message: str
    event: str = ""
    rest: dict[str, object] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Lines:
    """What was read of the files.

    Attributes
    ----------
    unreadable : int
        Lines that are no entries, such as output of other programs.
    dropped : int
        Lines that the instances left out, as they told themselves.
    steps : int
        Places where an instance's clock went back.
    """

    entries: list[Entry] = attrs.field(factory=list)
    unreadable: int = 0
    dropped: int = 0
    steps: int = 0

    def read(self, lines: collections.abc.Iterable[str]) -> None:
        """Add the lines of one file, in the order in which they were written."""
        newest: dict[str, datetime.datetime] = {}
        for line in lines:
            row = _row(line)
            if row is None:
                self.unreadable += bool(line.strip())
                continue
            if "dropped" in row:
                self.dropped += int(row["dropped"])
                continue
            entry = _entry(row)
            if entry is None:
                self.unreadable += 1
                continue
            self._note_step(entry, newest)
            self.entries.append(entry)

    def _note_step(self, entry: Entry, newest: dict[str, datetime.datetime]) -> None:
        last = newest.get(entry.instance, entry.at)
        if (last - entry.at).total_seconds() > CLOCK_STEP_S:
            self.steps += 1
        newest[entry.instance] = entry.at


@attrs.frozen(kw_only=True)
class Story:
    """What is told of a request.

    Attributes
    ----------
    ends : list of Entry
        How it ended at each instance that had it, oldest first.
    context : list of Entry
        What those instances came to believe shortly before and meanwhile.
    """

    request_id: str
    ends: list[Entry]
    context: list[Entry]


def tell(lines: Lines, request_id: str) -> Story | None:
    """Return the story of a request, None when no line names it."""
    named = [row for row in lines.entries if row.rest.get("id") == request_id]
    ends = [row for row in named if row.event not in CONTEXT_EVENTS]
    if not ends:
        return None
    context = [row for row in lines.entries if any(_is_near(row, end) for end in ends)]
    return Story(
        request_id=request_id,
        ends=sorted(ends, key=lambda row: row.at),
        context=sorted(context, key=lambda row: row.at),
    )


def _is_near(row: Entry, end: Entry) -> bool:
    if row.instance != end.instance or row.event not in CONTEXT_EVENTS:
        return False
    before_s = (end.at - row.at).total_seconds()
    return 0 <= before_s <= CONTEXT_S + float(end.rest.get("took_s", 0.0))


def _row(line: str) -> dict[str, object] | None:
    """Return the object of a line; a prefix that a collector put there is skipped."""
    begin = line.find("{")
    if begin < 0:
        return None
    try:
        row = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    return row if isinstance(row, dict) else None


def _entry(row: dict[str, object]) -> Entry | None:
    try:
        at = datetime.datetime.fromisoformat(str(row["at"]))
        instance, message = str(row["instance"]), str(row["message"])
    except (KeyError, ValueError):
        return None
    if at.tzinfo is None:
        at = at.replace(tzinfo=datetime.UTC)
    return Entry(
        at=at.astimezone(datetime.UTC),
        instance=instance,
        message=message,
        event=str(row.get("event", "")),
        rest={k: v for k, v in row.items() if k not in SHOWN_APART},
    )
