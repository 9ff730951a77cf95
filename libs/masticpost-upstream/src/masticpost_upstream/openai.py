"""Types of the OpenAI chat completions protocol, limited to the fields in use.

Source: OpenAI API reference, "Create chat completion"; vLLM's OpenAI-compatible
server for `priority`, `continue_final_message` and the answer's id.
"""

import attrs

DONE = b"[DONE]"


@attrs.define(kw_only=True)
class Message:
    """A message of a conversation."""

    role: str
    content: str | list | None = ""
    name: str | None = None


@attrs.define(kw_only=True)
class StreamOptions:
    """Options of a stream."""

    include_usage: bool = False


@attrs.define(kw_only=True)
class ChatRequest:
    """A caller's request; unknown fields are handled separately and passed on."""

    model: str
    messages: list[Message]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    n: int | None = None
    user: str | None = None


@attrs.define(kw_only=True)
class EngineRequest:
    """A request to an engine."""

    model: str
    messages: list[Message]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    priority: int = 0
    continue_final_message: bool = False
    add_generation_prompt: bool = True


@attrs.define(kw_only=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


@attrs.define(kw_only=True)
class Choice:
    """One generated answer."""

    message: Message
    index: int = 0
    finish_reason: str | None = None


@attrs.define(kw_only=True)
class Completion:
    """A complete, non-streamed response."""

    id: str
    choices: list[Choice]
    model: str = ""
    created: int = 0
    object: str = "chat.completion"
    usage: Usage | None = None


@attrs.define(kw_only=True)
class Delta:
    """A part of an answer in a stream."""

    role: str | None = None
    content: str | None = None


@attrs.define(kw_only=True)
class ChunkChoice:
    """The part of one answer in an event of a stream."""

    delta: Delta
    index: int = 0
    finish_reason: str | None = None


@attrs.define(kw_only=True)
class Chunk:
    """One event of a stream."""

    id: str
    choices: list[ChunkChoice] = attrs.field(factory=list)
    model: str = ""
    created: int = 0
    object: str = "chat.completion.chunk"
    usage: Usage | None = None
