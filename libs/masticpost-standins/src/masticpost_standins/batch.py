"""The batch of the engine stand-in: what waits, what is written, what memory holds."""

import asyncio
import collections
import collections.abc
import typing

from masticpost_standins import answers

PREFIX_CHARS = 256
MAX_CACHED_PREFIXES = 64
CHARS_PER_TOKEN = 4
COLD_SLOWDOWN = 4.0


class BatchConfig(typing.Protocol):
    """Speed and size of an engine; times in seconds."""

    step_s: float
    step_per_seq_s: float
    kv_tokens: int
    max_running: int


class Batch:
    """Requests at work; each running one gets one word per step.

    Parameters
    ----------
    cfg : BatchConfig
        Speed and size.
    is_cold : callable
        Tells whether steps are slow.
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
        """Add a request, before those of lower priority."""
        self.waiting.append(seq)
        self.waiting.sort(key=lambda row: row.priority)
        self._has_work.set()

    def discard(self, seq: answers.Sequence) -> None:
        """Forget a request, whether or not it has ended."""
        for queue in (self.waiting, self.running):
            if seq in queue:
                queue.remove(seq)

    def clear(self) -> None:
        """Forget everything, as in a crash."""
        self.running.clear()
        self.waiting.clear()
        self._prefixes.clear()

    def cached_tokens(self, prompt: str) -> int:
        """Return how much of a prompt memory holds, and keep its beginning there."""
        prefix = prompt[:PREFIX_CHARS]
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        return len(prompt) // CHARS_PER_TOKEN * 3 // 4 if hit else 0

    async def run(self) -> None:
        """Admit what fits, then give every running request one word per step."""
        while True:
            self._admit()
            if not self.running:
                self._has_work.clear()
                await self._has_work.wait()
                continue
            step_s_total = self.cfg.step_s + self.cfg.step_per_seq_s * len(self.running)
            step_s_total += sum(seq.prefill_s for seq in self.running if seq.sent == 0)
            await asyncio.sleep(
                step_s_total * (COLD_SLOWDOWN if self.is_cold() else 1.0)
            )
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
