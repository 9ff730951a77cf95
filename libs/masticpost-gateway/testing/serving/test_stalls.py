"""A wait ends early only if a rule is met, each rule from its own time on."""

import asyncio
import math

import pytest
from masticpost_gateway.serving import stalls


async def answer_after(seconds):
    await asyncio.sleep(seconds)
    return "answer"


async def test_result_of_work_that_ends_in_time_is_returned():
    assert await stalls.wait(answer_after(0.0), limit_s=5.0) == "answer"


async def test_limit_ends_the_wait_and_cancels_the_work():
    ended = asyncio.Event()

    async def work():
        try:
            await asyncio.sleep(60.0)
        finally:
            ended.set()

    with pytest.raises(TimeoutError):
        await stalls.wait(work(), limit_s=0.01)
    assert ended.is_set()


async def test_rule_is_evaluated_from_its_own_time_on():
    evaluated_at = []

    def condition(waited_s):
        evaluated_at.append(waited_s)
        return True

    rule = stalls.StallRule(after_s=0.05, condition=condition)
    with pytest.raises(TimeoutError):
        await stalls.wait(answer_after(60.0), limit_s=60.0, rules=(rule,))
    assert len(evaluated_at) == 1
    assert evaluated_at[0] >= 0.05


async def test_rule_that_is_not_met_does_not_end_the_wait():
    never = stalls.StallRule(after_s=0.0, condition=lambda waited_s: False)
    later = stalls.StallRule(after_s=math.inf, condition=lambda waited_s: True)
    work = answer_after(0.02)
    assert await stalls.wait(work, limit_s=5.0, rules=(never, later)) == "answer"
