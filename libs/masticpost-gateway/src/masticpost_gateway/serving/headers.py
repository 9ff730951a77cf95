"""Header names on the callers' and the upstreams' side, and parsing of headers."""

import attrs
import multidict

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
RETRY_AFTER = "Retry-After"
FALSE_VALUES = ("", "0")
MS_PER_S = 1000.0


@attrs.frozen(kw_only=True)
class HeaderNames:
    """The name of each header on the wire.

    Attributes
    ----------
    request_id, deadline_ms, key, session, last_event_id, model, token_counts, \
    length_hint, prefix
        Sent by callers.
    expected_instance, customer, urgency
        Set by the gateway for upstreams.
    signature, not_run, confidence, leaving, rate
        Sent by upstreams.
    internal : frozenset of str
        Lower-case names of headers that are removed when a caller sends them.
    """

    request_id: str = "Request-Id"
    deadline_ms: str = "Request-Deadline-Ms"
    key: str = "Api-Key"
    session: str = "Session"
    last_event_id: str = "Last-Event-Id"
    model: str = "Request-Model"
    token_counts: str = "Token-Counts"
    length_hint: str = "Length-Hint"
    prefix: str = "Prompt-Prefix"
    expected_instance: str = "Expected-Instance"
    customer: str = "Customer"
    urgency: str = "Urgency"
    signature: str = "Answer-Signature"
    not_run: str = "Not-Run"
    confidence: str = "Confidence"
    leaving: str = "Upstream-Leaving"
    rate: str = "Upstream-Rate"
    internal: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Part:
    """A part of a prompt: its identity and its length in tokens."""

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """A caller's description of its prompt; lengths in tokens.

    Attributes
    ----------
    tokens_out : int
        Maximum length of the answer.
    tokens_hint : int
        The caller's estimate of the answer's length, 0 for none.
    """

    parts: tuple[Part, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    tokens_hint: int = 0

    @property
    def tokens_expected(self) -> int:
        """The expected length of the answer, `tokens_out` at most."""
        return min(self.tokens_hint or self.tokens_out, self.tokens_out)

    @property
    def shared(self) -> tuple[Part, ...]:
        """The leading parts, which prompts of other requests may share."""
        return self.parts[:-1]

    @property
    def shared_names(self) -> tuple[str, ...]:
        """The names of the leading parts."""
        return tuple(part.name for part in self.shared)


@attrs.frozen(kw_only=True)
class CallHead:
    """The values that the gateway parses from a caller's headers."""

    request_id: str
    deadline_s: float | None
    key: str | None = attrs.field(repr=False)
    session: str
    last_event_id: str
    prompt: Prompt


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The values that the gateway parses from an upstream's headers.

    Attributes
    ----------
    confidence : float or None
        The model's confidence in its answer, 0 to 1.
    is_leaving : bool
        Whether the upstream announces that it is about to stop.
    retry_after_s : float or None
        Seconds for which the upstream asks to get no further requests; None when the
        header is absent or not valid.
    rates : tuple of str
        Values of the header in which the upstream names the requests per second that it
        takes from all instances; empty without one.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    confidence: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    rates: tuple[str, ...] = ()


def read_call(headers: multidict.CIMultiDictProxy, names: HeaderNames) -> CallHead:
    """Parse a caller's headers; invalid values count as absent."""
    deadline_ms = _parse_number(headers.get(names.deadline_ms, ""))
    return CallHead(
        request_id=headers.get(names.request_id, ""),
        deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
        key=headers.get(names.key),
        session=headers.get(names.session, ""),
        last_event_id=headers.get(names.last_event_id, ""),
        prompt=_parse_prompt(headers, names),
    )


def read_answer(headers: multidict.CIMultiDictProxy, names: HeaderNames) -> AnswerHead:
    """Parse an upstream's headers; invalid values count as absent."""
    confidence = _parse_number(headers.get(names.confidence, ""))
    return AnswerHead(
        request_id=headers.get(names.request_id, ""),
        is_signed=names.signature in headers,
        is_not_run=names.not_run in headers,
        confidence=None if confidence is None else confidence / 100.0,
        is_leaving=headers.get(names.leaving, "") not in FALSE_VALUES,
        retry_after_s=_parse_number(headers.get(RETRY_AFTER, "")),
        rates=tuple(headers.getall(names.rate, ())),
    )


def end_to_end(
    headers: multidict.CIMultiDictProxy, dropped: frozenset[str]
) -> multidict.CIMultiDict:
    """Return the end-to-end headers, without those that concern one connection only.

    Parameters
    ----------
    dropped : frozenset of str
        Lower-case names of further headers to leave out.
    """
    rows = headers.getall("Connection", ())
    listed = {part.strip().lower() for row in rows for part in row.split(",")}
    out = multidict.CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in dropped or lower in listed:
            continue
        out.add(name, value)
    return out


def _parse_prompt(headers: multidict.CIMultiDictProxy, names: HeaderNames) -> Prompt:
    counts = headers.get(names.token_counts, "").split(",")
    numbers = [_parse_number(text) or 0 for text in counts[:2]]
    tokens_in, tokens_out = (int(n) for n in (*numbers, 0, 0)[:2])
    parts = []
    for row in headers.get(names.prefix, "").split(","):
        name, _, tokens = row.strip().partition(":")
        if name:
            parts.append(Part(name=name, tokens=int(_parse_number(tokens) or 0)))
    return Prompt(
        parts=tuple(parts),
        tokens_in=tokens_in,
        tokens_out=tokens_out,
        tokens_hint=int(_parse_number(headers.get(names.length_hint, "")) or 0),
    )


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None
