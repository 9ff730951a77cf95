"""The smallest model gets more requests than its upstreams hold: the others help.

Upstreams are set aside for it. When a third of all was lost, the nine left for it
turned a thousand tries away in two seconds; the others had a few each.
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
WRITE_S = 1.5
RUN_S = 20.0
SPARE = 2


class NoPeers:
    """A mesh of `count` instances without messages."""

    def __init__(self, count):
        self.hub = self
        self.members = self
        self.count = count

    def handle(self, kind, handler):
        return None

    def alive(self):
        return [None] * self.count


@attrs.define(kw_only=True)
class Day:
    """Instances that see each other's work, and upstreams that turn requests away."""

    work: loads.Loads
    places: placement.Placement
    ends: list = attrs.field(factory=list)
    at_work: dict = attrs.field(factory=dict)
    turned_away: int = 0

    def send(self, now, reading):
        """Send a request to the best upstream."""
        while self.ends and self.ends[0][0] <= now:
            _, _, work = heapq.heappop(self.ends)
            self.work.end(work)
            self.at_work[work.upstream] -= 1
        name = self.places.best(UPSTREAMS, reading).name
        here = self.at_work.get(name, 0)
        if here >= UPSTREAMS[0].slots + SPARE:
            self.turned_away += 1
            self.work.note_rejection(name)
            return
        self.at_work[name] = here + 1
        work = self.work.begin(name, 0.0)
        self.work.note_prefilled(work)
        heapq.heappush(self.ends, (now + WRITE_S, id(work), work))


def reading_of(number, *, is_smallest=True):
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


def make(count):
    work = loads.Loads(peers=NoPeers(count))
    places = placement.Placement(
        loads=work, speeds=speeds.Speeds(), rng=random.Random(3)
    )
    return Day(work=work, places=places)


def turned_away_share(count):
    draw, day = random.Random(1), make(count)
    now, number = 0.0, 0
    while now < RUN_S:
        now += draw.expovariate(ARRIVALS_PER_S)
        number += 1
        day.send(now, reading_of(number))
    return day.turned_away / number


def test_smallest_model_overflows_to_upstreams_that_have_room():
    assert turned_away_share(6) == 0.0
    assert turned_away_share(70) < 0.02


def test_smallest_model_overflows_where_it_would_wait():
    """Prompts queue for half a second at those set aside, nobody elsewhere."""
    day = make(6)
    for _ in range(100):
        name = day.places.best(UPSTREAMS, reading_of(0)).name
        day.work.begin(name, 0.05)
    waits = [day.work.total(u.name, clock.now()).reading_s for u in UPSTREAMS]
    assert sum(wait > 0 for wait in waits) > len(UPSTREAMS) / 2


def test_larger_model_waits_rather_than_hold_up_the_smallest():
    day = make(6)
    small = {day.places.best(UPSTREAMS, reading_of(n)).name for n in range(200)}
    for _ in range(100):
        wanted = reading_of(0, is_smallest=False)
        name = day.places.best(UPSTREAMS, wanted).name
        assert name not in small
        day.work.begin(name, 0.05)


def test_upstreams_set_aside_are_kept_to_while_they_have_room():
    day = make(6)
    small = {day.places.best(UPSTREAMS, reading_of(n)).name for n in range(200)}
    large = {
        day.places.best(UPSTREAMS, reading_of(n, is_smallest=False)).name
        for n in range(200)
    }
    assert not small & large


def test_upstream_that_has_turned_a_request_away_has_no_room_for_a_moment(monkeypatch):
    day, now = make(6), clock.now()
    first = day.places.best(UPSTREAMS, reading_of(0))
    day.work.note_rejection(first.name)
    assert day.places.best(UPSTREAMS, reading_of(0)) != first
    monkeypatch.setattr(clock, "now", lambda: now + 2 * loads.REJECTION_HOLD_OFF_S)
    assert day.work.has_room(first)


def test_full_upstreams_are_asked_all_the_same_when_none_has_room():
    day = make(6)
    for upstream in UPSTREAMS:
        day.work.note_rejection(upstream.name)
    assert day.places.best(UPSTREAMS, reading_of(0)) in UPSTREAMS


def test_prompts_that_wait_to_be_read_take_room_too():
    """Told by the streams alone, an upstream with a long queue seemed to have room."""
    day = make(70)
    first = UPSTREAMS[0]
    told = [loadreports.Load(upstream=first.name, streams=3, unread=first.slots - 3)]
    day.work._sums.put("hub", told, clock.now())
    assert not day.work.has_room(first)
    assert day.work.has_room(UPSTREAMS[1])
