"""What instances tell each other of crashes is bounded, whatever the traffic."""

import asyncio
import random

import pytest
from masticpost_common import clock
from masticpost_gateway.learning import causes
from support import gatewaykit as kit

KINDS = ("gateway-crashes", "gateway-quarantine")
RUN_S = 5.0
# 0.03 GB a day, less 0.009 on a quiet one, over 8 instances and 100 s.
BYTES_S_PER_INSTANCE = 26_000
SOUND_PARTS = 30
CRASHES_S = 2.5
REQUESTS_PER_CRASH = 12


async def start_nodes(dep, count):
    await dep.configure()
    for number in range(count):
        seeds = [node.cfg.mesh.address for node in dep.nodes[:1]]
        await dep.add_node(f"node-{number}", seeds=seeds)
    await kit.until(lambda: all(len(n.members()) == count for n in dep.nodes))


def sent_bytes(dep):
    kinds = [node.mesh.hub.traffic.kinds for node in dep.nodes]
    rows = [row[kind] for row in kinds for kind in KINDS if kind in row]
    return sum(row.sent_bytes for row in rows)


def crash(rng, trackers, number):
    """Record what all instances see of one crash, by a deadly part among sound ones."""
    for request in range(REQUESTS_PER_CRASH):
        sound = [f"part-{rng.randrange(SOUND_PARTS)}" for _ in range(2)]
        parts = ("part-deadly", *sound) if request == 0 else tuple(sound)
        row = causes.Crash(
            run=f"run-{number}",
            at=clock.now(),
            request=f"{number}-{request}",
            parts=parts,
        )
        rng.choice(trackers).record_local_crash(row)


# Guards against crash reports that flood the links between instances (issue 31): each
# answer on an accused part made all of them tell everything again.
@pytest.mark.parametrize("count", [3, 8, 24])
async def test_bytes_told_of_crashes_are_bounded_and_linear_in_instances(count):
    rng = random.Random(1)
    async with kit.Deployment() as dep:
        await start_nodes(dep, count)
        trackers = [node.shared.crashes for node in dep.nodes]
        began, before, number = clock.now(), sent_bytes(dep), 0
        while clock.now() < began + RUN_S:
            if number <= CRASHES_S * (clock.now() - began):
                crash(rng, trackers, number)
                number += 1
            for _ in range(8):
                key = f"part-{rng.randrange(SOUND_PARTS)}"
                rng.choice(trackers).record_local_answer(key, clock.now())
            await asyncio.sleep(0.04)
        await asyncio.sleep(1.0)
        told_s = (sent_bytes(dep) - before) / RUN_S
        assert told_s <= BYTES_S_PER_INSTANCE * count, told_s / count
        assert all(
            "part-deadly" in tracker.quarantined(clock.now()) for tracker in trackers
        )
