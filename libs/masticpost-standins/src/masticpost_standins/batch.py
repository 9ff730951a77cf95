"""Continuous batching of the engine stand-in, with a KV budget and a prefix cache."""

import asyncio
import collections
import collections.abc
import typing

from masticpost_standins import answers

# Prompts with the same first characters share a cached prefix.
PREFIX_CHARS = 256
MAX_CACHED_PREFIXES = 64
CHARS_PER_TOKEN = 4
# Factor on the time of a step in cold start.
COLD_SLOWDOWN = 4.0


class BatchConfig(typing.Protocol):
    """Speed and capacity of an engine; times in seconds."""

    step_s: float
    step_per_seq_s: float
    kv_tokens: int
    max_running: int


class Batch:
    """Queued and running requests; each running one gets one word per step.

    Parameters
    ----------
    cfg : BatchConfig
        Speed and capacity.
    is_cold : callable
        Returns whether the engine is in cold start, which slows down steps.
    """

    def __init__(
        self, *, cfg: BatchConfig, is_cold: collections.abc.Callable[[], bool]
    ) -> None:
        self.cfg = cfg
        self.is_cold = is_cold
        self.waiting: list[answers.Sequence] = []
        self.running: list[answers.Sequence] = []
        self.words_written = 0
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._has_work = asyncio.Event()

    def __len__(self) -> int:
        return len(self.running) + len(self.waiting)

    def add(self, seq: answers.Sequence) -> None:
        """Queue a request, before those with a higher priority number."""
        self.waiting.append(seq)
        self.waiting.sort(key=lambda row: row.priority)
        self._has_work.set()

    def discard(self, seq: answers.Sequence) -> None:
        """Remove a request, also if it has ended already."""
        for queue in (self.waiting, self.running):
            if seq in queue:
                queue.remove(seq)

    def clear(self) -> None:
        """Remove all requests and cached prefixes, as in a crash."""
        self.running.clear()
        self.waiting.clear()
        self._prefixes.clear()

    def cached_tokens(self, prompt: str) -> int:
        """Return how many tokens of a prompt are cached, and cache its prefix."""
        prefix = prompt[:PREFIX_CHARS]
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return len(prompt) // CHARS_PER_TOKEN * 3 // 4 if hit else 0

    async def run(self) -> None:
        """Admit requests that fit, then emit one word per step for each running one."""
        while True:
            self._admit()
            if not self.running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            duration_s = self.cfg.step_s + self.cfg.step_per_seq_s * len(self.running)
            duration_s += sum(seq.prefill_s for seq in self.running if seq.sent == 0)
            await asyncio.sleep(duration_s * (COLD_SLOWDOWN if self.is_cold() else 1.0))
            for seq in list(self.running):
                self._emit_word(seq)

    def _admit(self) -> None:
        used = sum(seq.kv for seq in self.running)
        while self.waiting and len(self.running) < self.cfg.max_running:
            if used + self.waiting[0].kv > self.cfg.kv_tokens and self.running:
                return
            seq = self.waiting.pop(0)
            used += seq.kv
            self.running.append(seq)

    def _emit_word(self, seq: answers.Sequence) -> None:
        if seq.sent < len(seq.words):
            seq.out.put_nowait(seq.words[seq.sent])
            seq.sent += 1
            self.words_written += 1
        if seq.sent >= len(seq.words):
            seq.out.put_nowait(None)
            if seq in self.running:
                self.running.remove(seq)
