"""Splitting of an event stream into complete events.

Source: the `text/event-stream` format of the HTML standard, section 9.2.
"""

import re

import attrs

_BLANK_LINE = re.compile(rb"\n\n|\r\n\r\n")
_DATA_FIELD = re.compile(rb"(?:^|\n)data")
_ID_FIELD = re.compile(rb"(?:^|\n)id:([^\r\n]*)")
# Bytes of a blank line that may have been received before the rest of it.
_OVERLAP = 3


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event: its bytes as received, with comments before it, and its id.

    Attributes
    ----------
    event_id : str
        Empty when the event has none.
    has_data : bool
        Whether it has a data field; comments and empty lines have none.
    """

    raw: bytes
    event_id: str
    has_data: bool = True


class Splitter:
    """Buffers received bytes and returns the events that are complete.

    Each byte is looked at a bounded number of times, however few arrive at once.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Blocks without data that follow the last event are returned as one.
        """
        self._buffer += data
        end = self._end_of_complete()
        if not end:
            self._searched = max(0, len(self._buffer) - _OVERLAP)
            return []
        raw = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._searched = 0
        return _split(raw)

    def _end_of_complete(self) -> int:
        """Return the index after the last blank line, 0 when there is none."""
        start = self._searched
        ends = [self._buffer.rfind(sep, start) for sep in (b"\n\n", b"\r\n\r\n")]
        found = [at + size for at, size in zip(ends, (2, 4), strict=True) if at >= 0]
        return max(found, default=0)


def _split(raw: bytes) -> list[StreamEvent]:
    if b"data" not in raw:
        return [StreamEvent(raw=raw, event_id="", has_data=False)]
    completed, start, block_start = [], 0, 0
    for match in _BLANK_LINE.finditer(raw):
        block = raw[block_start : match.start()]
        block_start = match.end()
        if b"data" not in block or not _DATA_FIELD.search(block):
            continue
        event = StreamEvent(raw=raw[start:block_start], event_id=_event_id(block))
        completed.append(event)
        start = block_start
    if start < len(raw):
        rest = StreamEvent(raw=raw[start:], event_id="", has_data=False)
        completed.append(rest)
    return completed


def _event_id(block: bytes) -> str:
    match = _ID_FIELD.search(block)
    return match[1].strip().decode("ascii", "replace") if match else ""
