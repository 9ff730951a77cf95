"""Splitting of an event stream into complete events.

Source: the `text/event-stream` format of the HTML standard, section 9.2.
"""

import attrs


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event: its bytes as received and its id, empty when it has none."""

    raw: bytes
    event_id: str


class Splitter:
    """Buffers received bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        completed = []
        while (end := _end_of_event(self._buffer)) > 0:
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            completed.append(StreamEvent(raw=raw, event_id=_event_id(raw)))
        return completed


def _end_of_event(data: bytes) -> int:
    """Return the index after the first blank line, 0 when there is none."""
    ends = [data.find(sep) + len(sep) for sep in (b"\n\n", b"\r\n\r\n")]
    ends = [end for end, size in zip(ends, (2, 4), strict=True) if end >= size]
    return min(ends, default=0)


def _event_id(raw: bytes) -> str:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("ascii", "replace")
    return ""
