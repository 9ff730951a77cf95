"""Callers that record every request and reply for the oracle."""

import asyncio
import random

import attrs
from masticpost_bench import callers, deployment
from masticpost_standins import answers

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.25
CUSTOMER = "plant-0"


@attrs.define(kw_only=True)
class SentRequest:
    """One logical request with the replies to its attempts, in order."""

    kind: str
    key: str
    prompt: str = ""
    session: str = ""
    replies: list[callers.Reply] = attrs.field(factory=list)

    @property
    def final(self) -> callers.Reply:
        return self.replies[-1]

    @property
    def is_answered(self) -> bool:
        return any(reply.status in (200, 201) for reply in self.replies)


@attrs.define(kw_only=True)
class Workload:
    """Sends requests of every kind until `stop` is called."""

    dep: deployment.Deployment
    seed: int
    sent: list[SentRequest] = attrs.field(factory=list)
    is_stopped: bool = False

    async def run(self, callers: int = 6) -> None:
        """Run callers until `stop` is called and their last requests have ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(callers):
                group.create_task(self._caller(number))

    def stop(self) -> None:
        """Have every caller end after its current request."""
        self.is_stopped = True

    async def _caller(self, number: int) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        serial = 0
        while not self.is_stopped:
            serial += 1
            name = f"{number}-{serial}"
            if number % 3 == 0:
                await self._book(f"book-{name}")
            elif number % 3 == 1:
                await self.chat(f"chat-{name}", rng, stream=True, session="")
            else:
                session = f"session-{number}-{serial // 12}"
                await self.chat(f"chat-{name}", rng, stream=False, session=session)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _book(self, key: str) -> None:
        sent = SentRequest(kind="book", key=key)
        self.sent.append(sent)
        for _ in range(MAX_ATTEMPTS):
            reply = await self.dep.book(key)
            sent.replies.append(reply)
            if reply.status == 201 or reply.code == "in_doubt":
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def chat(
        self, key: str, rng: random.Random, *, stream: bool, session: str
    ) -> None:
        """Send one chat request and retry it until it is answered."""
        prompt = f"question {key} [len={rng.randint(3, 30)}]"
        kind = "stream" if stream else "whole"
        sent = SentRequest(kind=kind, key=key, prompt=prompt, session=session)
        self.sent.append(sent)
        headers = {"Idempotency-Key": key}
        if session:
            headers["X-Session-Id"] = session
        for _ in range(MAX_ATTEMPTS):
            reply = await self.dep.chat(prompt, stream=stream, headers=headers)
            sent.replies.append(reply)
            if reply.status == 200:
                return
            await asyncio.sleep(RETRY_DELAY_S)


def expected_words(prompt: str, version: str, quality: float) -> list[str]:
    """Return the words of the engine stand-in's answer to a prompt."""
    parsed = answers.Request(
        model=version, messages=[answers.Message(role="user", content=prompt)]
    )
    text, _ = answers.split_prompt(parsed)
    return answers.answer_words(version, text, quality, parsed, 0)
