"""Waits end early only for the reasons given, each from its own time on."""

import asyncio
import math

import pytest
from masticpost_gateway.serving import stalls


async def answer_after(seconds):
    await asyncio.sleep(seconds)
    return "answer"


async def test_work_that_ends_in_time_is_returned():
    assert await stalls.wait(answer_after(0.0), limit_s=5.0) == "answer"


async def test_limit_ends_the_wait_and_the_work():
    ended = asyncio.Event()

    async def work():
        try:
            await asyncio.sleep(60.0)
        finally:
            ended.set()

    with pytest.raises(TimeoutError):
        await stalls.wait(work(), limit_s=0.01)
    assert ended.is_set()


async def test_reason_counts_from_its_own_time_on():
    asked = []

    def holds(waited_s):
        asked.append(waited_s)
        return True

    leave = stalls.StallRule(after_s=0.05, holds=holds)
    with pytest.raises(TimeoutError):
        await stalls.wait(answer_after(60.0), limit_s=60.0, leaves=(leave,))
    assert len(asked) == 1
    assert asked[0] >= 0.05


async def test_reason_that_does_not_hold_leaves_the_wait_alone():
    never = stalls.StallRule(after_s=0.0, holds=lambda waited_s: False)
    later = stalls.StallRule(after_s=math.inf, holds=lambda waited_s: True)
    work = answer_after(0.02)
    assert await stalls.wait(work, limit_s=5.0, leaves=(never, later)) == "answer"
