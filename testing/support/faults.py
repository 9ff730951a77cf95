"""Steps and faults of the fault matrix.

A step prolongs a phase of the system's work, so that a fault is injected during it.
"""

import asyncio
import collections.abc
import contextlib
import signal

import attrs
from masticpost_bench import deployment
from masticpost_common import registry

PAUSE_S = 6.0  # longer than a lease
LOST_VERSION = "large-1"
DISPATCH_DELAY_S = 0.6
FROZEN_TIMEOUT_S = 1.0  # stand-ins paused by a fault do not answer


@attrs.define(kw_only=True)
class Step:
    """A phase of the system's work: `begin` prolongs it, `end` undoes that."""

    name: str
    begin: collections.abc.Callable
    end: collections.abc.Callable


@attrs.define(kw_only=True)
class Fault:
    """A fault and the coroutine functions that inject and clear it."""

    name: str
    inject: collections.abc.Callable
    clear: collections.abc.Callable


STEPS: registry.Registry[Step] = registry.Registry(kind="step")
FAULTS: registry.Registry[Fault] = registry.Registry(kind="fault")


def step(name):
    """Register a pair of coroutine functions (begin, end) as a step."""

    def add(make):
        begin, end = make()
        STEPS.register(name)(Step(name=name, begin=begin, end=end))
        return make

    return add


def fault(name):
    """Register a pair of coroutine functions (inject, clear) as a fault."""

    def add(make):
        inject, clear = make()
        FAULTS.register(name)(Fault(name=name, inject=inject, clear=clear))
        return make

    return add


async def set_faults_of_kind(
    dep: deployment.Deployment, kind: str, **fields: object
) -> None:
    """Set faults of every stand-in of a kind, skipping those that do not answer."""
    specs = dep.plan.plain_upstreams if kind == "plain" else dep.plan.engines
    for spec in specs:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FROZEN_TIMEOUT_S):
                await dep.set_faults(spec.name, **fields)


async def do_nothing(dep: deployment.Deployment) -> None:
    """Do nothing."""


@step("claim")
def prolong_claim():
    async def begin(dep):
        await dep.set_faults("store", delay_s=0.25)

    async def end(dep):
        await dep.set_faults("store", delay_s=0.0)

    return begin, end


@step("dispatch")
def prolong_dispatch():
    async def begin(dep):
        await set_faults_of_kind(dep, "plain", delay_s=DISPATCH_DELAY_S)
        await set_faults_of_kind(dep, "engine", delay_s=DISPATCH_DELAY_S / 2)

    async def end(dep):
        await set_faults_of_kind(dep, "plain", delay_s=0.0)
        await set_faults_of_kind(dep, "engine", delay_s=0.0)

    return begin, end


@step("stream")
def prolong_stream():
    async def begin(dep):
        await set_faults_of_kind(dep, "engine", cut_streams_after=4, cut_count=6)

    return begin, do_nothing


@step("outcome")
def prolong_outcome():
    async def begin(dep):
        await set_faults_of_kind(dep, "plain", delay_s=0.1)
        await dep.set_faults("store", delay_s=0.15)

    async def end(dep):
        await set_faults_of_kind(dep, "plain", delay_s=0.0)
        await dep.set_faults("store", delay_s=0.0)

    return begin, end


@step("bill")
def prolong_bill():
    async def begin(dep):
        await dep.set_faults("store", lose_write_answers=4, delay_s=0.05)

    async def end(dep):
        await dep.set_faults("store", lose_write_answers=0, delay_s=0.0)

    return begin, end


@step("pin")
def prolong_pin():
    async def begin(dep):
        await dep.set_faults("store", delay_s=0.2)
        await dep.apply({"versions.small-1": {"share": 100.0}})

    async def end(dep):
        await dep.set_faults("store", delay_s=0.0)

    return begin, end


@step("configuration")
def prolong_configuration():
    async def begin(dep):
        for price in (0.3, 0.4, 0.5):
            await dep.apply({"versions.small-1": {"input_price": price}})

    async def end(dep):
        await dep.apply({"versions.small-1": {"input_price": 0.6}})

    return begin, end


@step("drain")
def prolong_drain():
    async def begin(dep):
        await dep.apply({"domains.south": {"out": True}})

    async def end(dep):
        await dep.apply({})

    return begin, end


@step("takeover")
def prolong_takeover():
    async def begin(dep):
        dep.daemons["entry-2"].proc.kill()

    async def end(dep):
        dep.start_daemon("entry-2", dep.plan.instance_domain(2))
        await dep.publish_instance_list()

    return begin, end


@step("planned stop")
def prolong_stop():
    async def begin(dep):
        dep.daemons["entry-2"].proc.send_signal(signal.SIGTERM)

    async def end(dep):
        code = await dep.daemons["entry-2"].proc.wait()
        assert code == 0, f"a planned stop exited with code {code}"
        dep.start_daemon("entry-2", dep.plan.instance_domain(2))
        await dep.publish_instance_list()

    return begin, end


@step("order")
def prolong_order():
    async def begin(dep):
        for spec in dep.plan.engines:
            await dep.run_action(spec.name, "forget", LOST_VERSION)

    return begin, do_nothing


@fault("none")
def no_fault():
    return do_nothing, do_nothing


@fault("instance killed")
def kill_instance():
    async def inject(dep):
        dep.daemons["entry-0"].proc.kill()

    async def clear(dep):
        dep.start_daemon("entry-0", dep.plan.instance_domain(0))
        await dep.publish_instance_list()

    return inject, clear


@fault("instance paused past its lease")
def pause_instance():
    async def inject(dep):
        dep.daemons["entry-1"].proc.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)

    async def clear(dep):
        dep.daemons["entry-1"].proc.send_signal(signal.SIGCONT)

    return inject, clear


def store_fault(**fields):
    """Return the inject and clear functions of a fault of the object API."""
    no_fault_fields = {"outage": "", "lose_write_answers": 0, "stale_s": 0.0}

    async def inject(dep):
        await dep.set_faults("store", **fields)
        await asyncio.sleep(1.5)

    async def clear(dep):
        await dep.set_faults("store", **no_fault_fields)

    return inject, clear


@fault("object API cuts connections")
def cut_store():
    return store_fault(outage="abort")


@fault("object API hangs")
def hang_store():
    return store_fault(outage="hang")


@fault("object API answers 503")
def make_store_fail():
    return store_fault(outage="error")


@fault("object API loses answers")
def lose_answers():
    return store_fault(lose_write_answers=12)


@fault("object API reads are stale")
def make_store_stale():
    return store_fault(stale_s=1.0)


@fault("upstreams frozen")
def freeze_upstreams():
    async def inject(dep):
        for name in ("engine-0", "booking-0"):
            dep.standins[name].proc.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def clear(dep):
        for name in ("engine-0", "booking-0"):
            dep.standins[name].proc.send_signal(signal.SIGCONT)

    return inject, clear


@fault("upstreams cut connections")
def cut_upstreams():
    async def inject(dep):
        await set_faults_of_kind(dep, "plain", cut_before=3, cut_after=3, cut_late=2)
        await set_faults_of_kind(dep, "engine", cut_streams_after=1, cut_count=3)
        await asyncio.sleep(1.0)

    async def clear(dep):
        await set_faults_of_kind(dep, "plain", cut_before=0, cut_after=0, cut_late=0)
        await set_faults_of_kind(dep, "engine", cut_count=0)

    return inject, clear


@fault("answers crossed")
def cross_answers():
    async def inject(dep):
        await set_faults_of_kind(dep, "engine", cross_answers=5)
        await set_faults_of_kind(dep, "plain", cross_answers=2)
        await asyncio.sleep(0.5)

    async def clear(dep):
        await set_faults_of_kind(dep, "plain", cross_answers=0)
        await set_faults_of_kind(dep, "engine", cross_answers=0)

    return inject, clear


@fault("engine cold again")
def make_engine_cold():
    async def inject(dep):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FROZEN_TIMEOUT_S):
                await dep.run_action("engine-0", "crash")
        await asyncio.sleep(1.5)

    return inject, do_nothing


@fault("operators race")
def race_operators():
    async def inject(dep):
        base_generation = dep.generation
        coros = [dep.try_apply(base_generation, price) for price in (0.7, 0.8, 0.9)]
        accepted = sum(await asyncio.gather(*coros))
        assert accepted <= 1, f"{accepted} of three conflicting edits were accepted"
        await dep.refresh_generation()

    return inject, do_nothing


@fault("list lags and fails")
def make_list_lag():
    async def inject(dep):
        await dep.set_faults("list", lag_s=5.0, outage=True)
        await asyncio.sleep(0.5)

    async def clear(dep):
        await dep.set_faults("list", lag_s=0.5, outage=False)

    return inject, clear
