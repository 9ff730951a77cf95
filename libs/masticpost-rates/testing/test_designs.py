"""Ways to keep a rate over all instances, compared under an uneven load.

Instances are picked at random with weights from 0.2 to 2, and the demand is three times
the rate. `docs/design/rates.md` has the figures.
"""

import heapq
import itertools
import random

import attrs
import pytest
from masticpost_common import rendezvous
from masticpost_rates import granting
from support import rateload

RUN_S = 120.0
DEMAND = 3.0
WAIT_S = 0.5
RATES = (0.5, 1.0, 2.3, 30.0, 100.0)
COUNTS = (8, 70, 200)


@attrs.define(kw_only=True)
class OwnBuckets:
    """Some instances send, each an equal part of the rate with a burst of one."""

    senders: frozenset[int]
    rate: float
    last_sent: dict[int, float] = attrs.field(factory=dict)

    def may_send(self, instance, now):
        if instance not in self.senders:
            return False
        last = self.last_sent.get(instance, float("-inf"))
        if now - last < len(self.senders) / self.rate:
            return False
        self.last_sent[instance] = now
        return True


def all_send(rate, count):
    return OwnBuckets(senders=frozenset(range(count)), rate=rate)


def few_send(rate, count):
    """Return the design with as many senders as the bound allows in any view."""
    most = min(count, int(rate) + 2)
    names = rendezvous.ranked(map(str, range(count)), "upstream")[:most]
    return OwnBuckets(senders=frozenset(map(int, names)), rate=rate)


def arrivals_of(rate, count, seed=1):
    """Yield the times of requests and the instances that receive them."""
    rng = random.Random(seed)
    weights = [rng.uniform(0.2, 2.0) for _ in range(count)]
    now = 0.0
    while now < RUN_S:
        now += rng.expovariate(DEMAND * rate)
        yield now, rng.choices(range(count), weights)[0]


def simulate_buckets(design, rate, count):
    row = rateload.Arrivals(rate=rate)
    for now, instance in arrivals_of(rate, count):
        if design.may_send(instance, now):
            row.times.append(now)
    return row


def simulate_permits(rate, count, delay_s=0.003):
    """Return the arrivals with one granter, whose answers take `delay_s`."""
    granter = granting.Granter(starts_at=0.0)
    row, numbers = rateload.Arrivals(rate=rate), itertools.count()
    events = [
        (now, next(numbers), granting.Demand(priority=1, place=str(n)), now + WAIT_S)
        for n, (now, _) in enumerate(arrivals_of(rate, count))
    ]
    heapq.heapify(events)
    while events:
        now, _, demand, until = heapq.heappop(events)
        waiting = attrs.evolve(demand, wait_s=max(0.0, until - now))
        decision = granter.decide(waiting, rate, now)
        if decision.is_granted:
            row.times.append(now + delay_s)
        elif now + decision.turn_in_s <= until:
            turn_at = now + max(decision.turn_in_s, 0.005)
            heapq.heappush(events, (turn_at, next(numbers), demand, until))
    return row


@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("rate", RATES)
def test_permits_keep_to_the_rate_and_use_it(rate, count):
    row = simulate_permits(rate, count)
    assert row.most() <= row.allowed
    assert row.used(0.0, RUN_S) >= rateload.USED_SHARE


@pytest.mark.parametrize("rate", RATES)
def test_few_senders_keep_to_the_rate(rate):
    row = simulate_buckets(few_send(rate, 200), rate, 200)
    assert row.most() <= row.allowed


def test_a_bucket_for_each_instance_exceeds_a_small_rate():
    row = simulate_buckets(all_send(1.0, 200), 1.0, 200)
    assert row.most() > row.allowed or row.used(0.0, RUN_S) < rateload.USED_SHARE
