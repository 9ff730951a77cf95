"""The check of each invariant detects a daemon with a disabled mechanism."""

import asyncio
import contextlib
import pathlib
import random
import sys

import attrs
import pytest
import test_matrix
from masticpost_bench import deployment, layout, procs
from support import oracle, workload

COLD_BURST = 24
ORDER_WAIT_S = 4.0
SESSIONS = tuple(f"session-{number}" for number in range(8))
SETTLE_TIMEOUT_S = 20.0
STALE_ROUNDS = 20
STALE_S = 2.0
MUTANT_DAEMON = str(pathlib.Path(__file__).parent / "support" / "mutantdaemon.py")
CASES = [
    ("claims are always granted", "repeat", "at most once"),
    ("calls in doubt are tried again", "cut bookings", "at most once"),
    ("calls in doubt are said not to have run", "cut bookings", "is true"),
    ("an unseen call is taken for one that never runs", "late booking", "is true"),
    ("ids of answers are not compared", "answers crossed", "whole"),
    ("a cut stream just ends", "cut streams", "whole"),
    ("cold upstreams are taken for warm", "cold burst", "cold"),
    ("an order is given only once", "lost version", "versions of the text"),
    ("sessions are not pinned", "shares move", "keeps its version"),
    ("bills are lost on the way", "none", "billed exactly once"),
    ("any generation is put in force", "stale reads", "reverts"),
]


@pytest.mark.parametrize(
    ("mutation", "fault", "check"),
    CASES,
    ids=[case[0].replace(" ", "-") for case in CASES],
)
async def test_oracle_detects_a_mutant_daemon(mutation, fault, check):
    program = [sys.executable, MUTANT_DAEMON, mutation]
    plan = test_matrix.matrix_plan()
    async with deployment.Deployment(
        plan=without_status_queries(plan) if fault == "cut bookings" else plan,
        daemon_args=test_matrix.DAEMON_ARGS,
        daemon_program=program,
    ) as dep:
        if fault in SCENARIOS:
            found = await SCENARIOS[fault](dep)
        else:
            found = await test_matrix.run_cell(dep, "claim", (fault,), seed=1)
    assert any(check in row for row in found), found


async def repeat_booking(dep):
    """Send the same booking through every instance."""
    for index in range(3):
        await dep.book("again", via=f"entry-{index}")
    return await check_now(dep)


def without_status_queries(plan):
    """Return a layout whose services have no status query for calls in doubt."""
    crews = dict(plan.services["crews"])
    removed = ("status_path", "final_after_s")
    crews["operations"] = [
        {name: value for name, value in row.items() if name not in removed}
        for row in crews["operations"]
    ]
    return attrs.evolve(plan, services={**plan.services, "crews": crews})


async def lose_version(dep):
    """Have an engine lose a version twice; wait long enough for a repeated order."""
    name = dep.plan.engines[0].name

    async def is_loaded():
        return "large-1" in (await dep.counts(name))["loaded"]

    await dep.run_action(name, "forget", "large-1")
    await procs.wait_for(is_loaded, "the version loaded again", 30.0)
    await dep.run_action(name, "forget", "large-1")
    await asyncio.sleep(ORDER_WAIT_S)
    return await check_now(dep)


async def run_booking_late(dep):
    """Cut the connection of a booking that runs later; the caller does not retry."""
    late_s = layout.FINAL_AFTER_S / 2
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, cut_late=1, late_s=late_s)
    load = workload.Workload(dep=dep, seed=0)
    load.sent = [workload.SentRequest(kind="book", key="late")]
    load.sent[0].replies.append(await dep.book("late"))

    async def has_run():
        return (await dep.booking_runs()).get("late", 0) > 0

    await procs.wait_for(has_run, "the late booking")
    return oracle.violations(await oracle.collect(dep, load))


async def cut_bookings(dep):
    """Cut each service's first booking after it ran; the caller does not retry."""
    for spec in dep.plan.plain_upstreams:
        await dep.set_faults(spec.name, cut_after=1)
    load = workload.Workload(dep=dep, seed=0)
    load.sent = [workload.SentRequest(kind="book", key="cut")]
    load.sent[0].replies.append(await dep.book("cut"))
    return oracle.violations(await oracle.collect(dep, load))


async def cut_streams(dep):
    """Cut the connections of streams midway."""
    load = workload.Workload(dep=dep, seed=3)
    task = asyncio.create_task(load.run())
    await asyncio.sleep(1.0)
    for spec in dep.plan.engines:
        await dep.set_faults(spec.name, cut_streams_after=2, cut_count=8)
    await asyncio.sleep(2.0)
    load.stop()
    await task
    return await check_when_settled(dep, load)


async def move_shares(dep):
    """Drain the version of the sessions between two requests of each."""
    load = workload.Workload(dep=dep, seed=4)
    rng = random.Random(load.seed)

    async def chat_in_each_session(turn):
        for session in SESSIONS:
            key = f"{session}-{turn}"
            await load.chat(key, rng, stream=False, session=session)

    await chat_in_each_session("before")
    generation = await dep.apply({"versions.small-1": {"state": "draining"}})
    await dep.wait_generation(generation)
    await chat_in_each_session("after")
    return await check_when_settled(dep, load)


async def check_when_settled(dep, load):
    """Wait until all answered requests are billed; return the violations."""
    with contextlib.suppress(TimeoutError):
        await procs.wait_for(
            lambda: test_matrix.is_settled(dep, load), "bills settled", SETTLE_TIMEOUT_S
        )
    return oracle.violations(await oracle.collect(dep, load))


async def read_stale(dep):
    """Repeat an edit followed by stale reads until a violation, up to 20 times."""
    for number in range(STALE_ROUNDS):
        await dep.set_faults("store", stale_s=0.0)
        generation = await dep.apply({"versions.small-1": {"input_price": number}})
        await dep.wait_generation(generation)
        await dep.set_faults("store", stale_s=STALE_S)
        await asyncio.sleep(STALE_S / 2)
        found = await check_now(dep)
        if found:
            return found
    return []


async def send_cold_burst(dep):
    """Make every engine cold and send many more requests at once than they allow."""
    for spec in dep.plan.engines:
        await dep.run_action(spec.name, "make-cold")
    coros = [dep.chat(f"burst {i} [len=20]") for i in range(COLD_BURST)]
    await asyncio.gather(*coros)
    return await check_now(dep)


async def check_now(dep):
    """Return the violations of a deployment without a recorded workload."""
    load = workload.Workload(dep=dep, seed=0)
    return oracle.violations(await oracle.collect(dep, load))


SCENARIOS = {
    "repeat": repeat_booking,
    "cut bookings": cut_bookings,
    "cut streams": cut_streams,
    "late booking": run_booking_late,
    "lost version": lose_version,
    "shares move": move_shares,
    "cold burst": send_cold_burst,
    "stale reads": read_stale,
}
