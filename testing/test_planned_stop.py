"""A planned stop of a product daemon: its requests get an answer within the grace."""

import asyncio
import signal
import time

import pytest
from masticpost_bench import deployment, layout

# Time limit of the whole stop: the grace, the limit and the flushes after it.
STOP_S = 15.0
LIMIT_S = 2.0


def send(dep, way, key):
    if way == "book":
        return dep.book(key, via="entry-0")
    prompt = f"{key} [len=4000]" if way == "begun" else f"{key} [len=2]"
    return dep.chat(prompt, stream=way != "chat", via="entry-0")


# Guards against requests cut without an answer, and a stop without end, when upstreams
# do not answer: the wait for handlers at the end had no limit, since 0 means none.
@pytest.mark.parametrize("way", ["chat", "stream", "begun", "book"])
async def test_request_that_is_at_work_at_the_end_of_the_grace_is_answered(way):
    plan = layout.small(instances=2)
    args = [f"--drain-limit-s={LIMIT_S}"]
    async with deployment.Deployment(plan=plan, daemon_args=args) as dep:
        if way != "begun":
            for spec in (*plan.engines, *plan.plain_upstreams):
                await dep.set_faults(spec.name, delay_s=18.0)
        waiting = asyncio.create_task(send(dep, way, "key"))
        await asyncio.sleep(0.5)
        daemon = dep.daemons["entry-0"]
        began = time.monotonic()
        daemon.proc.send_signal(signal.SIGTERM)
        reply = await waiting
        answered_s = time.monotonic() - began
        assert await daemon.proc.stop() == 0
        assert time.monotonic() - began < STOP_S
        assert answered_s < 0.5 + LIMIT_S + 1.5
        if way == "begun":
            assert reply.status == 200
            assert b"[DONE]" not in reply.body
            assert b'"error"' in reply.body
        else:
            assert reply.status == 502
            assert reply.ran == "maybe"
