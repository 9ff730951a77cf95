"""The fault matrix: every fault at every step, against the real programs.

The oracle is what the stand-ins counted and what the callers got.
"""

import asyncio
import contextlib
import itertools
import random

import attrs
import pytest
from masticpost_bench import deployment, layout, procs
from masticpost_shards import state
from support import faults, oracle, workload

SEED = 20261204
BEFORE_S = 0.8
AFTER_S = 1.5
PAIRS = 24
DAEMON_ARGS = ["--settle-after-s=1"]
COLD = {"cold_s": 1.0, "cold_bears": 2}


def single_cells():
    """Return every fault at every step."""
    names = itertools.product(faults.STEPS.names(), faults.FAULTS.names())
    return [(step, (fault,)) for step, fault in names]


def pair_cells():
    """Return pairs of faults at a step, drawn by a fixed seed."""
    draw = random.Random(SEED)
    known = [name for name in faults.FAULTS.names() if name != "none"]
    return [
        (draw.choice(faults.STEPS.names()), tuple(draw.sample(known, 2)))
        for _ in range(PAIRS)
    ]


CELLS = single_cells() + pair_cells()


def chosen(share, index):
    """Tell whether a share of the matrix has the cell in it; the same every time."""
    return random.Random(f"{SEED}/{index}").random() < share


def cell_id(cell):
    step, fault_names = cell
    return f"{step}: {' + '.join(fault_names)}".replace(" ", "-")


def matrix_plan():
    plan = layout.small()
    engines = tuple(attrs.evolve(e, extra={**e.extra, **COLD}) for e in plan.engines)
    return attrs.evolve(plan, engines=engines, cold_seconds=1.2)


@pytest.mark.parametrize("index", range(len(CELLS)), ids=map(cell_id, CELLS))
async def test_cell(index, request):
    if not chosen(request.config.getoption("--matrix-share"), index):
        pytest.skip("not in the share that is run")
    step, fault_names = CELLS[index]
    plan = matrix_plan()
    async with deployment.Deployment(plan=plan, daemon_args=DAEMON_ARGS) as dep:
        found = await run_cell(dep, step, fault_names, seed=index)
    assert not found, "\n".join([*found, f"logs: {dep.dir}"])


async def run_cell(dep, step_name, fault_names, seed):
    """Strike while the step is held open; return the violations."""
    step = faults.STEPS.get(step_name)
    load = workload.Workload(dep=dep, seed=seed)
    task = asyncio.create_task(load.run())
    await asyncio.sleep(BEFORE_S)
    await step.begin(dep)
    for name in fault_names:
        await faults.FAULTS.get(name).inject(dep)
    for name in fault_names:
        await faults.FAULTS.get(name).clear(dep)
    await step.end(dep)
    await asyncio.sleep(AFTER_S)
    load.stop()
    await task
    await dep.wait_ready()
    with contextlib.suppress(TimeoutError):
        await procs.wait_for(lambda: is_settled(dep, load), "bills settled", 20.0)
    return oracle.violations(await oracle.collect(dep, load))


def has_open_bill(found):
    """Tell whether a bill is open, but for those of calls that stay in doubt."""
    doubts = {key for key, call in found.calls.items() if not state.is_final(call)}
    return bool(set(found.open_bills) - doubts)


async def is_settled(dep, load):
    """Tell whether no bill waits any more, and all that was answered is billed."""
    for name, daemon in dep.daemons.items():
        if daemon.proc.is_running() and (await dep.status(name))["bills_waiting"]:
            return False
    evidence = await oracle.collect(dep, load)
    if any(has_open_bill(found) for found in evidence.states):
        return False
    if oracle.engines_are_loaded(evidence):
        return False
    return not oracle.billed_once(evidence)
