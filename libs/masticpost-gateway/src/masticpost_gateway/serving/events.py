"""Splitting of an event stream into whole events.

Source: the `text/event-stream` format of the HTML standard, section 9.2.
"""

import attrs


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event: its bytes as received and its id, empty when it has none."""

    raw: bytes
    event_id: str


class Splitter:
    """Collects bytes and returns the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event were received."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._rest += data
        found = []
        while (end := _end_of_event(self._rest)) > 0:
            raw, self._rest = self._rest[:end], self._rest[end:]
            found.append(StreamEvent(raw=raw, event_id=_event_id(raw)))
        return found


def _end_of_event(data: bytes) -> int:
    ends = [data.find(mark) + len(mark) for mark in (b"\n\n", b"\r\n\r\n")]
    ends = [end for end, mark in zip(ends, (2, 4), strict=True) if end >= mark]
    return min(ends, default=0)


def _event_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return ""
