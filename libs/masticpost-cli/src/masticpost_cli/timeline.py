"""Timeline of one request, built from the log lines of several instances."""

import collections.abc
import datetime

import attrs
import msgspec

# Context events are shown from this long before a request's start until its end.
CONTEXT_S = 10.0
# A timestamp that is older than the previous one by more than this is a clock step.
CLOCK_STEP_S = 1.0
# Values of `event` of lines about an instance's state rather than about a request.
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
# Fields of every log line.
COMMON_FIELDS = ("at", "level", "message", "instance", "module", "event")


@attrs.frozen(kw_only=True)
class Entry:
    """One log line; `rest` has the fields that are specific to its event."""

    at: datetime.datetime
    instance: str
    message: str
    event: str = ""
    rest: dict[str, object] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class LogLines:
    """Log lines read from all files.

    Attributes
    ----------
    entries : list of Entry
        Decoded lines.
    unreadable : int
        Number of lines that are not log entries, such as output of other programs.
    dropped : int
        Number of lines that the instances reported as dropped.
    steps : int
        Number of times that an instance's clock went backwards.
    """

    entries: list[Entry] = attrs.field(factory=list)
    unreadable: int = 0
    dropped: int = 0
    steps: int = 0

    def read(self, lines: collections.abc.Iterable[str]) -> None:
        """Add the lines of one file, given in the order of writing."""
        last_times: dict[str, datetime.datetime] = {}
        for line in lines:
            row = _decode_row(line)
            if row is None:
                self.unreadable += bool(line.strip())
                continue
            if "dropped" in row:
                self.dropped += int(row["dropped"])
                continue
            entry = _parse_entry(row)
            if entry is None:
                self.unreadable += 1
                continue
            self._count_clock_step(entry, last_times)
            self.entries.append(entry)

    def _count_clock_step(
        self, entry: Entry, last_times: dict[str, datetime.datetime]
    ) -> None:
        last = last_times.get(entry.instance, entry.at)
        if (last - entry.at).total_seconds() > CLOCK_STEP_S:
            self.steps += 1
        last_times[entry.instance] = entry.at


@attrs.frozen(kw_only=True)
class RequestTimeline:
    """Log entries that explain the outcome of a request.

    Attributes
    ----------
    request_id : str
        Id of the request.
    ends : list of Entry
        How it ended at each instance that handled it, oldest first.
    context : list of Entry
        State changes of those instances shortly before and during the request,
        oldest first.
    """

    request_id: str
    ends: list[Entry]
    context: list[Entry]


def build_timeline(lines: LogLines, request_id: str) -> RequestTimeline | None:
    """Return the timeline of a request, None if no line names its id."""
    of_request = [row for row in lines.entries if row.rest.get("id") == request_id]
    ends = [row for row in of_request if row.event not in CONTEXT_EVENTS]
    if not ends:
        return None
    context = [
        row for row in lines.entries if any(_is_context(row, end) for end in ends)
    ]
    return RequestTimeline(
        request_id=request_id,
        ends=sorted(ends, key=lambda row: row.at),
        context=sorted(context, key=lambda row: row.at),
    )


def _is_context(row: Entry, end: Entry) -> bool:
    """Return whether a state change happened shortly before or during a request."""
    if row.instance != end.instance or row.event not in CONTEXT_EVENTS:
        return False
    before_s = (end.at - row.at).total_seconds()
    return 0 <= before_s <= CONTEXT_S + float(end.rest.get("took_s", 0.0))


def _decode_row(line: str) -> dict[str, object] | None:
    """Decode the JSON object of a line; skips a prefix added by a log collector."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return row if isinstance(row, dict) else None


def _parse_entry(row: dict[str, object]) -> Entry | None:
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
        rest={k: v for k, v in row.items() if k not in COMMON_FIELDS},
    )
