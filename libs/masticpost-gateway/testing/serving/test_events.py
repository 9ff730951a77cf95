"""The splitter returns complete events, however the bytes were chunked."""

import hypothesis
from hypothesis import strategies
from masticpost_gateway.serving import events

LINES = strategies.text(
    strategies.characters(codec="utf-8", exclude_characters="\r\n"), max_size=20
)


@hypothesis.given(
    texts=strategies.lists(LINES, min_size=1, max_size=8),
    cuts=strategies.lists(strategies.integers(1, 30), min_size=1, max_size=20),
    crlf=strategies.booleans(),
)
@hypothesis.settings(deadline=None)
def test_events_do_not_depend_on_the_chunks(texts, cuts, crlf):
    end = "\r\n" if crlf else "\n"
    raws = [
        f"id: {number}{end}data: {text}{end}{end}".encode()
        for number, text in enumerate(texts, 1)
    ]
    data = b"".join(raws)
    splitter, found, start = events.Splitter(), [], 0
    while start < len(data):
        size = cuts[len(found) % len(cuts)]
        found += splitter.feed(data[start : start + size])
        start += size
    assert [event.raw for event in found] == raws
    assert [event.event_id for event in found] == [
        str(number) for number in range(1, len(texts) + 1)
    ]
    assert not splitter.has_partial_event


def test_incomplete_event_is_buffered():
    splitter = events.Splitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.has_partial_event
