"""A machine that was suspended does not act on what ran out meanwhile."""

import asyncio
import time

import pytest
from masticpost_common import clock
from masticpost_gateway.state import source
from support import gatewaykit as kit


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that lets time pass as a suspension does."""
    lost = [0.0]

    def now():
        return time.clock_gettime(time.CLOCK_BOOTTIME) + lost[0]

    def pass_time(seconds):
        lost[0] += seconds

    monkeypatch.setattr(clock, "now", now)
    return pass_time


async def test_unknown_key_is_no_verdict_after_a_suspension(suspend):
    """The key may have been added meanwhile."""
    async with kit.Deployment() as dep:
        await dep.configure()
        await dep.add_node()
        assert (await dep.call("/lookup/", Api_Key="stranger")).status == 401
        dep.store.fail(source.Kind.CONFIGURATION, source.FaultKind.NOT_DONE)
        suspend(30.0)
        assert (await dep.call("/lookup/", Api_Key="stranger")).status == 503


async def test_upstream_is_not_handed_time_that_passed_in_a_suspension(suspend):
    async def script(got, writer):
        if len(worker.requests) == 1:
            suspend(1.5)
            await kit.not_run()(got, writer)
            return
        await kit.answers()(got, writer)

    async with kit.Deployment() as dep:
        worker = await dep.add_worker("w1", script)
        await dep.store.put(
            source.Kind.UPSTREAMS, "w2", worker.record(name="w2", slots=4)
        )
        await dep.configure()
        made = await dep.add_node()
        await kit.until(lambda: len(made.records.upstreams(clock.now())) == 2)
        assert (await dep.call("/lookup/")).status == 200
        left = [int(got.headers["request-deadline-ms"]) for got in worker.requests]
        assert left[1] <= left[0] - 1500


async def test_answer_that_is_ready_after_a_suspension_is_delivered(suspend):
    async def script(got, writer):
        suspend(60.0)
        await asyncio.sleep(0.05)
        await kit.answers()(got, writer)

    async with kit.Deployment() as dep:
        await dep.add_worker("w1", script)
        await dep.configure()
        await dep.add_node()
        assert (await dep.call("/book/", method="POST", body=b"x")).status == 200
