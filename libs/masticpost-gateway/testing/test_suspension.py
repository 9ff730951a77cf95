"""Behaviour after the machine was suspended and resumed.

Records and deadlines that expired during the suspension must not be relied on.
"""

import asyncio
import time

import pytest
from masticpost_common import clock
from masticpost_gateway.state import source
from support import gatewaykit as kit


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that advances the clock as a suspension does."""
    suspended_s = [0.0]

    def now():
        return time.clock_gettime(time.CLOCK_BOOTTIME) + suspended_s[0]

    def advance(seconds):
        suspended_s[0] += seconds

    monkeypatch.setattr(clock, "now", now)
    return advance


async def test_unknown_key_is_not_rejected_after_a_suspension(suspend):
    """The key may have been added during the suspension."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await dep.add_node()
        assert (await dep.call("/lookup/", Api_Key="stranger")).status == 401
        dep.store.fail(source.Kind.CONFIGURATION, source.FaultKind.NOT_DONE)
        suspend(30.0)
        assert (await dep.call("/lookup/", Api_Key="stranger")).status == 503


async def test_deadline_sent_to_an_upstream_excludes_the_suspension(suspend):
    async def script(req, writer):
        if len(worker.requests) == 1:
            suspend(1.5)
            await kit.not_run()(req, writer)
            return
        await kit.answers()(req, writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.store.put(
            source.Kind.UPSTREAMS, "w2", worker.record(name="w2", slots=4)
        )
        await dep.configure()
        instance = await dep.add_node()
        await kit.until(lambda: len(instance.records.upstreams(clock.now())) == 2)
        assert (await dep.call("/lookup/")).status == 200
        left_ms = [int(req.headers["request-deadline-ms"]) for req in worker.requests]
        assert left_ms[1] <= left_ms[0] - 1500


async def test_response_that_arrives_after_a_suspension_is_delivered(suspend):
    async def script(req, writer):
        suspend(60.0)
        await asyncio.sleep(0.05)
        await kit.answers()(req, writer)

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        assert (await dep.call("/book/", method="POST", body=b"x")).status == 200
