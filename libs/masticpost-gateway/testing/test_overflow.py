"""Overflow of the smallest model to other upstreams when its own are full.

Some upstreams are reserved for the smallest model. Guards against a fault seen after a
third of all upstreams was lost: the nine that were left for the smallest model rejected
a thousand attempts in two seconds, while the others had a few requests each.
"""

import heapq
import random

import attrs
from masticpost_common import clock
from masticpost_gateway.learning import speeds
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loadreports, loads
from masticpost_gateway.state import model

UPSTREAMS = [
    model.Upstream(
        name=f"engine-{i}", service="s", address="x:1", domain="a", version="v", slots=6
    )
    for i in range(30)
]
ARRIVALS_PER_S = 60.0
DECODE_S = 1.5
RUN_S = 20.0
SPARE_SLOTS = 2


class NoPeers:
    """A mesh of `count` instances that exchange no messages."""

    def __init__(self, count):
        self.hub = self
        self.members = self
        self.count = count

    def handle(self, kind, handler):
        return None

    def alive(self):
        return [None] * self.count


@attrs.define(kw_only=True)
class Simulation:
    """Instances that share their loads, and upstreams that reject excess requests."""

    loads: loads.Loads
    placer: placement.Placement
    ends: list = attrs.field(factory=list)
    in_flight: dict = attrs.field(factory=dict)
    rejected: int = 0

    def send(self, now, prefill):
        """Send a request to the best upstream, which may reject it."""
        while self.ends and self.ends[0][0] <= now:
            _, _, work = heapq.heappop(self.ends)
            self.loads.end(work)
            self.in_flight[work.upstream] -= 1
        name = self.placer.best(UPSTREAMS, prefill).name
        active = self.in_flight.get(name, 0)
        if active >= UPSTREAMS[0].slots + SPARE_SLOTS:
            self.rejected += 1
            self.loads.note_rejection(name)
            return
        self.in_flight[name] = active + 1
        work = self.loads.begin(name, 0.0)
        self.loads.note_prefilled(work)
        heapq.heappush(self.ends, (now + DECODE_S, id(work), work))


def prefill_of(number, *, is_smallest=True):
    parts = (
        headers.Part(name="instructions", tokens=500),
        headers.Part(name=f"own-{number}", tokens=800),
    )
    prompt = headers.Prompt(parts=parts, tokens_in=1300, tokens_out=200)
    name = "small" if is_smallest else "large"
    return placement.Prefill(
        service="s",
        model=name,
        prompt=prompt,
        is_smallest=is_smallest,
        has_levels=True,
    )


def simulation(count):
    tracker = loads.Loads(peers=NoPeers(count))
    placer = placement.Placement(
        loads=tracker, speeds=speeds.Speeds(), rng=random.Random(3)
    )
    return Simulation(loads=tracker, placer=placer)


def rejected_share(count):
    rng, sim = random.Random(1), simulation(count)
    now, number = 0.0, 0
    while now < RUN_S:
        now += rng.expovariate(ARRIVALS_PER_S)
        number += 1
        sim.send(now, prefill_of(number))
    return sim.rejected / number


def test_smallest_model_overflows_to_upstreams_that_have_room():
    assert rejected_share(6) == 0.0
    assert rejected_share(70) < 0.02


def test_smallest_model_overflows_rather_than_wait():
    """Prompts wait for half a second at the reserved upstreams, and nowhere else."""
    sim = simulation(6)
    for _ in range(100):
        name = sim.placer.best(UPSTREAMS, prefill_of(0)).name
        sim.loads.begin(name, 0.05)
    waits = [sim.loads.total(u.name, clock.now()).reading_s for u in UPSTREAMS]
    assert sum(wait > 0 for wait in waits) > len(UPSTREAMS) / 2


def test_larger_model_waits_rather_than_use_reserved_upstreams():
    sim = simulation(6)
    small = {sim.placer.best(UPSTREAMS, prefill_of(n)).name for n in range(200)}
    for _ in range(100):
        wanted = prefill_of(0, is_smallest=False)
        name = sim.placer.best(UPSTREAMS, wanted).name
        assert name not in small
        sim.loads.begin(name, 0.05)


def test_models_use_separate_upstreams_while_there_is_room():
    sim = simulation(6)
    small = {sim.placer.best(UPSTREAMS, prefill_of(n)).name for n in range(200)}
    large = {
        sim.placer.best(UPSTREAMS, prefill_of(n, is_smallest=False)).name
        for n in range(200)
    }
    assert not small & large


def test_upstream_that_rejected_a_request_is_considered_full_for_a_moment(monkeypatch):
    sim, now = simulation(6), clock.now()
    first = sim.placer.best(UPSTREAMS, prefill_of(0))
    sim.loads.note_rejection(first.name)
    assert sim.placer.best(UPSTREAMS, prefill_of(0)) != first
    monkeypatch.setattr(clock, "now", lambda: now + 2 * loads.REJECTION_HOLD_OFF_S)
    assert sim.loads.has_room(first)


def test_full_upstream_is_chosen_when_none_has_room():
    sim = simulation(6)
    for upstream in UPSTREAMS:
        sim.loads.note_rejection(upstream.name)
    assert sim.placer.best(UPSTREAMS, prefill_of(0)) in UPSTREAMS


def test_queued_prompts_count_as_occupied_slots():
    """Guards against counting streams alone, which made a long queue look like room."""
    sim = simulation(70)
    first = UPSTREAMS[0]
    reports = [loadreports.Load(upstream=first.name, streams=3, unread=first.slots - 3)]
    sim.loads._sums.put("hub", reports, clock.now())
    assert not sim.loads.has_room(first)
    assert sim.loads.has_room(UPSTREAMS[1])
