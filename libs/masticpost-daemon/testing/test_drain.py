"""The drain of an instance: a step that fails must not skip the steps after it."""

import types

import pytest
from masticpost_daemon import instance, main

STEPS = ("leave", "hand_over", "claims", "bills", "budgets")


class FakeInstance:
    """What `Instance.drain` uses; the step that is named fails."""

    def __init__(self, failing):
        self.failing = failing
        self.done = []
        flushes = {
            name: types.SimpleNamespace(flush=self._step(name), pending=0)
            for name in ("claims", "bills", "budgets")
        }
        cluster = types.SimpleNamespace(
            members=types.SimpleNamespace(leave=self._step("leave")),
            shards=types.SimpleNamespace(hand_over=self._step("hand_over")),
            **flushes,
        )
        self.cfg = types.SimpleNamespace(drain_grace_s=0.0, drain_limit_s=0.0)
        self.rt = types.SimpleNamespace(cluster=cluster, end_all=lambda: None)

    def _step(self, name):
        async def take(*args):
            self.done.append(name)
            if name == self.failing:
                raise RuntimeError("injected by the test")

        return take

    async def _wait_idle(self, limit_s):
        return None


# Guards against bills and claims that are not written, and requests that are cut, as an
# earlier step of the drain fails.
@pytest.mark.parametrize("failing", STEPS)
async def test_drain_takes_all_its_steps_though_one_fails(failing):
    fake = FakeInstance(failing)
    await instance.Instance.drain(fake)
    assert sorted(fake.done) == sorted(STEPS)


# Guards against a stop that is skipped when the drain fails.
async def test_instance_stops_after_a_drain_that_fails(monkeypatch):
    calls = []

    class FailingInstance:
        has_failed = False

        def __init__(self, **settings):
            return None

        async def start(self):
            calls.append("start")
            main.signal.raise_signal(main.signal.SIGTERM)

        async def drain(self):
            raise RuntimeError("injected by the test")

        async def stop(self):
            calls.append("stop")

    monkeypatch.setattr(instance, "Instance", FailingInstance)
    with pytest.raises(RuntimeError):
        await main._run(None)
    assert calls == ["start", "stop"]
