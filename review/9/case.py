"""The machines that watch the store are killed; the others keep a revoked key."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2 import case, client, deployment, worker  # noqa: E402

# TROUBLE=0 leaves the disruption out, and nothing else.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

AWAY_S = 9.0
APPLY_S = 2.0
CALM_S = 8.0
# Recently enough for a machine that keeps watching, as a watch lasts some seconds.
READ_WITHIN_S = 4.5
MOST_KILLED = 4
DOWN_S = 2.0
KEYS = ("key-that-goes", "key-that-stays", "key-that-comes")


async def play(record: case.Record, temp: pathlib.Path, has_trouble: bool) -> list[str]:
    """Play the case and return the requests that break the rule."""
    system = deployment.Deployment(temp)
    ports = deployment.free_ports(2)
    workers = [
        worker.Worker(name=f"i-{number}", host="127.0.8.1", port=port)
        for number, port in enumerate(ports)
    ]
    try:
        return await _play(record, system, workers, has_trouble)
    finally:
        for row in workers:
            await row.stop()
        await system.stop()


async def _play(record, system, workers, has_trouble) -> list[str]:
    for row in workers:
        await row.start()
        await system.store.put("servers", row.name, row.entry("desk", "seeb"))
    keys = {"hule": ["key-that-stays", "key-that-goes"]}
    await system.store.put("config", "main", deployment.configuration(1, keys))
    await system.start()
    await asyncio.sleep(CALM_S)
    killed = await _begin(record, system, has_trouble)
    keys = {"hule": ["key-that-stays", "key-that-comes"]}
    new = deployment.configuration(2, keys)
    revoked_at = await system.store.put("config", "main", new)
    record.write("version 2 without key-that-goes, with key-that-comes", revoked_at)
    in_touch = [m for m in system.machines if m.name not in killed]
    sent = await _ask_until(system, in_touch, revoked_at + AWAY_S - 1.0)
    return _judge(record, sent, workers, revoked_at)


async def _begin(record, system, has_trouble: bool) -> list[str]:
    """Kill the machines that read the store's list last, a third of all."""
    now = time.monotonic()
    seen = system.store.watched_at
    readers = [name for name, at in seen.items() if now - at < READ_WITHIN_S]
    record.write(f"machines that watch the list of workers: {sorted(readers)}")
    if not 0 < len(readers) <= MOST_KILLED:
        raise case.CannotRunError("more or fewer machines read than may be killed")
    if not has_trouble:
        return []
    killed = [machine for machine in system.machines if machine.name in readers]
    for machine in killed:
        machine.signal(signal.SIGKILL)
    record.write(f"killed: {sorted(readers)}")
    asyncio.get_running_loop().call_later(DOWN_S, _restart, record, system, killed)
    return readers


def _restart(record, system, machines) -> None:
    for machine in machines:
        asyncio.ensure_future(system.start_machine(machine))
    record.write("the killed machines start again")


async def _ask_until(system, machines, ends_at: float) -> list[client.Sent]:
    """Send a request with each key to each machine, ten times a second."""
    tasks = []
    while time.monotonic() < ends_at:
        for machine in machines:
            for key in KEYS:
                work = client.send(machine.name, system.front(machine), key=key)
                tasks.append(asyncio.create_task(work))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


def _judge(record, sent, workers, revoked_at: float) -> list[str]:
    ran = {run.request_id: run for row in workers for run in row.runs}
    broken = []
    for row in sent:
        run = ran.get(row.request_id)
        after_s = row.sent_at - revoked_at
        where = run.worker if run else "nowhere"
        text = (
            f"{row.request_id} with {row.key} at {row.machine}, {after_s:.2f} s after"
            f" the acknowledgement: {row.status}, run {where}"
        )
        record.write(text, row.sent_at)
        is_run = row.key == "key-that-goes" and run is not None
        is_refused = row.key == "key-that-comes" and row.status == 401
        if after_s > APPLY_S and (is_run or is_refused):
            broken.append(text)
    if not any(row.status == 200 for row in sent):
        raise case.CannotRunError("no request was served")
    return broken


if __name__ == "__main__":
    case.main(play, HERE, has_trouble=HAS_TROUBLE)
