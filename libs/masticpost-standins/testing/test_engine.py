"""A crash of the engine stand-in ends all requests that it has received."""

import asyncio

import aiohttp
import pytest
from aiohttp import test_utils
from masticpost_standins import engine

BODY = {"model": "m", "messages": [{"role": "user", "content": "x [len=2]"}]}


async def test_crash_cuts_a_request_that_is_still_on_the_link():
    """Guards against a request that survives a crash while it is delayed on the link.

    It would run in the restarted, cold engine, as if it was sent after the crash.
    """
    cfg = engine.Config(qualities={"m": 1.0}, link_delay_s=0.1)
    standin = engine.Engine(cfg=cfg)
    server = test_utils.TestServer(standin.make_app())
    async with test_utils.TestClient(server) as client:
        sent = asyncio.create_task(client.post("/v1/chat/completions", json=BODY))
        async with asyncio.timeout(20):
            while not standin._transports:
                await asyncio.sleep(0.001)
        standin.crash()
        with pytest.raises(aiohttp.ClientError):
            await sent
        await asyncio.sleep(3 * cfg.link_delay_s)
    assert standin.counts.requests == 0
