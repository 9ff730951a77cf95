"""The fault matrix: every fault during every step, with the real programs.

The oracle checks invariants against the stand-ins' counters and the callers' replies.
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
LEAD_IN_S = 0.8
RECOVERY_S = 1.5
PAIRS = 24
DAEMON_ARGS = ["--settle-after-s=1"]
COLD = {"cold_s": 1.0, "cold_bears": 2}


def single_cells():
    """Return every fault during every step."""
    names = itertools.product(faults.STEPS.names(), faults.FAULTS.names())
    return [(step, (fault,)) for step, fault in names]


def pair_cells():
    """Return pairs of faults during a step, drawn with a fixed seed."""
    rng = random.Random(SEED)
    fault_kinds = [name for name in faults.FAULTS.names() if name != "none"]
    return [
        (rng.choice(faults.STEPS.names()), tuple(rng.sample(fault_kinds, 2)))
        for _ in range(PAIRS)
    ]


CELLS = single_cells() + pair_cells()


def is_in_share(share, index):
    """Return whether a cell belongs to a share of the matrix, by a fixed seed."""
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
    if not is_in_share(request.config.getoption("--matrix-share"), index):
        pytest.skip("not in the share that is run")
    step, fault_names = CELLS[index]
    plan = matrix_plan()
    async with deployment.Deployment(plan=plan, daemon_args=DAEMON_ARGS) as dep:
        found = await run_cell(dep, step, fault_names, seed=index)
    assert not found, "\n".join([*found, f"logs: {dep.dir}"])


async def run_cell(dep, step_name, fault_names, seed):
    """Inject the faults while the step is prolonged; return the violations."""
    step = faults.STEPS.get(step_name)
    load = workload.Workload(dep=dep, seed=seed)
    task = asyncio.create_task(load.run())
    await asyncio.sleep(LEAD_IN_S)
    await step.begin(dep)
    for name in fault_names:
        await faults.FAULTS.get(name).inject(dep)
    for name in fault_names:
        await faults.FAULTS.get(name).clear(dep)
    await step.end(dep)
    await asyncio.sleep(RECOVERY_S)
    load.stop()
    await task
    await dep.wait_ready()
    with contextlib.suppress(TimeoutError):
        await procs.wait_for(lambda: is_settled(dep, load), "bills settled", 20.0)
    return oracle.violations(await oracle.collect(dep, load))


def has_open_bill(found):
    """Return whether a bill is open, other than those of calls still in doubt."""
    in_doubt = {key for key, call in found.calls.items() if not state.is_final(call)}
    return bool(set(found.open_bills) - in_doubt)


async def is_settled(dep, load):
    """Return whether no bill is pending and every answered request is billed."""
    for name, daemon in dep.daemons.items():
        if daemon.proc.is_running() and (await dep.status(name))["bills_waiting"]:
            return False
    evidence = await oracle.collect(dep, load)
    if any(has_open_bill(found) for found in evidence.states):
        return False
    if oracle.engines_are_loaded(evidence):
        return False
    return not oracle.billed_once(evidence)
