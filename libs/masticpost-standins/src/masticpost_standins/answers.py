"""Answers of the engine stand-in, which tests can verify word by word.

A word depends only on version, prompt and position, so resumed and migrated streams can
be verified too. The first word contains the answer's quality, which the rating stand-in
reads.
"""

import asyncio
import hashlib
import re
import time

import attrs
import msgspec
from aiohttp import web

# In a prompt: number of words of the answer.
LENGTH_MARK = re.compile(r"\[len=(\d+)\]")
DEFAULT_LENGTH = 24


@attrs.define(kw_only=True)
class Message:
    """A message of a conversation."""

    role: str
    content: str = ""


@attrs.define(kw_only=True)
class Request:
    """The fields of a chat request that the engine stand-in uses."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    priority: int = 0
    continue_final_message: bool = False


@attrs.define(kw_only=True)
class Sequence:
    """A queued or running request.

    Attributes
    ----------
    words : list of str
        Words of the answer to emit.
    out : asyncio.Queue
        Receives the words, then None.
    kv : int
        Tokens that the request occupies in the KV cache.
    prefill_s : float
        Time to prefill the prompt, in seconds.
    sent : int
        Number of words emitted so far.
    priority : int
        Priority; smaller numbers are admitted first.
    answer_id : str
        Id that replaces that of the answer, to inject a mismatched answer; empty for
        none.
    """

    words: list[str]
    out: asyncio.Queue
    kv: int
    prefill_s: float
    sent: int = 0
    priority: int = 0
    answer_id: str = ""


def split_prompt(parsed: Request) -> tuple[str, list[str]]:
    """Return the prompt, and the words of a resumed answer already received."""
    messages = parsed.messages
    received: list[str] = []
    if parsed.continue_final_message:
        received = messages[-1].content.split()
        messages = messages[:-1]
    prompt = "\n".join(f"{m.role}: {m.content}" for m in messages)
    return prompt, received


def answer_words(
    version: str, prompt: str, quality: float, parsed: Request, received: int
) -> list[str]:
    """Return the words of the answer after the first `received` ones."""
    found = LENGTH_MARK.search(prompt)
    length = int(found.group(1)) if found else DEFAULT_LENGTH
    if parsed.max_tokens is not None:
        length = min(length, received + parsed.max_tokens)
    return [_word(version, prompt, quality, i) for i in range(received, length)]


def _word(version: str, prompt: str, quality: float, index: int) -> str:
    if index == 0:
        return f"q={quality:.3f}"
    digest = hashlib.blake2b(f"{version}|{prompt}|{index}".encode(), digest_size=3)
    return " " + digest.hexdigest()


def usage(prompt: int, completion: int) -> dict[str, int]:
    """Return the `usage` object of a response."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    }


async def write_event(
    resp: web.StreamResponse,
    answer_id: str,
    model: str,
    delta: dict[str, str],
    finish: str | None,
) -> None:
    """Write one chunk of a stream as a server-sent event."""
    event = {
        "id": answer_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    await resp.write(b"data: " + msgspec.json.encode(event) + b"\n\n")
