"""Ways to serve a burst of long prompts beside urgent requests, simulated.

Engines read one prompt after the other, the most urgent first. Instances see their
queues 0.3 s late. Prompts of priority 2 have 16,000 tokens and an objective of 6 s,
urgent ones 9,190 tokens and 2 s.
"""

import heapq
import itertools
import random

import attrs
import pytest
from masticpost_overload import classes, demand, urgency

ENGINES, INSTANCES, SAMPLE = 30, 75, 5
VIEW_AGE_S, VIEW_PERIOD_S = 0.3, 0.2
CALM_UNTIL_S, BURST_UNTIL_S, RUN_S = 10.0, 15.0, 40.0
CALM_SHARE, URGENT_PER_S = 0.35, 19.5
PRIORITIES = classes.Classes.of([0, 1, 2])
FIXED_RANKS = (1, 4, 7)
HEADROOM_SHARE = 0.5
LONG, URGENT = 2, 0
# Tokens, objective and deadline of each priority.
KINDS = {LONG: (16_000, 6.0, 20.0), URGENT: (9_190, 2.0, 10.0)}


@attrs.frozen(kw_only=True)
class Design:
    """How instances rank requests, and whether they hold back less urgent ones."""

    by_slack: bool = True
    counts_queue: bool = False
    holds_back: bool = False


@attrs.frozen(kw_only=True, eq=False)
class Req:
    priority: int
    at: float
    instance: int


class Burst:
    """A simulation; `waits` has the times to the first event by priority."""

    def __init__(self, design, *, token_s, factor, seed=1):
        self.design, self.token_s, self.rng = design, token_s, random.Random(seed)
        self.numbers, self.events = itertools.count(), []
        self.queues = [[] for _ in range(ENGINES)]
        self.busy, self.queued = [False] * ENGINES, [0.0] * ENGINES
        self.views = [(0.0, [0.0] * ENGINES)]
        self.sent = [[] for _ in range(INSTANCES)]
        self.held = [[] for _ in range(INSTANCES)]
        self.waits = {LONG: [], URGENT: []}
        capacity = ENGINES / (KINDS[LONG][0] * token_s)
        self._arrive(LONG, lambda t: capacity * self._load(t, factor))
        self._arrive(URGENT, lambda t: URGENT_PER_S)
        for number in range(int(2 * RUN_S / VIEW_PERIOD_S)):
            self._push(number * VIEW_PERIOD_S, self._on_view)
        while self.events:
            now, _, step, rest = heapq.heappop(self.events)
            step(now, *rest)

    def _load(self, now, factor):
        return factor if CALM_UNTIL_S <= now < BURST_UNTIL_S else CALM_SHARE

    def _arrive(self, priority, rate):
        now = 0.0
        while now < RUN_S:
            now += self.rng.expovariate(rate(now))
            instance = self.rng.randrange(INSTANCES)
            req = Req(priority=priority, at=now, instance=instance)
            self._push(now, self._on_arrival, req)

    def _push(self, now, step, *rest):
        heapq.heappush(self.events, (now, next(self.numbers), step, rest))

    def _on_arrival(self, now, req):
        if not self._offer(now, req):
            self.held[req.instance].append(req)

    def _on_view(self, now):
        self.views = [*self.views[-5:], (now, list(self.queued))]
        for instance, held in enumerate(self.held):
            held.sort(key=lambda req: (req.priority, req.at))
            self.held[instance] = [r for r in held if not self._offer(now, r)]

    def _offer(self, now, req):
        """Send a request to the best engine in view; return whether it was sent."""
        at, view = next(
            (v for v in reversed(self.views) if v[0] <= now - VIEW_AGE_S), self.views[0]
        )
        seen = list(view)
        for sent_at, engine, work_s in self.sent[req.instance]:
            seen[engine] += work_s if sent_at > at else 0.0
        engine = min(self.rng.sample(range(ENGINES), SAMPLE), key=seen.__getitem__)
        tokens, objective_s, deadline_s = KINDS[req.priority]
        work_s, left_s = tokens * self.token_s, req.at + objective_s - now
        if self.design.holds_back and req.priority and seen[engine] > 0:
            behind_s = seen[engine] + work_s
            has_headroom = behind_s <= HEADROOM_SHARE * KINDS[URGENT][1]
            if not has_headroom and left_s - behind_s > 0.1:
                return False
        first_s = work_s + (seen[engine] if self.design.counts_queue else 0.0)
        needed = demand.Demand(
            priority=req.priority,
            objective_s=objective_s,
            objective_left_s=left_s,
            deadline_left_s=req.at + deadline_s - now,
            first_s=first_s,
            total_s=first_s + 0.5,
        )
        rank = FIXED_RANKS[req.priority]
        if self.design.by_slack:
            rank = urgency.rank(needed, PRIORITIES)
        self.queued[engine] += work_s
        self.sent[req.instance] = [
            *self.sent[req.instance][-20:],
            (now, engine, work_s),
        ]
        row = (rank, next(self.numbers), work_s, req)
        heapq.heappush(self.queues[engine], row)
        self._start(now, engine)
        return True

    def _start(self, now, engine):
        if self.queues[engine] and not self.busy[engine]:
            _, _, work_s, req = heapq.heappop(self.queues[engine])
            self.busy[engine] = True
            self._push(now + work_s, self._on_read, engine, work_s, req)

    def _on_read(self, now, engine, work_s, req):
        self.busy[engine] = False
        self.queued[engine] -= work_s
        self.waits[req.priority].append(now - req.at)
        self._start(now, engine)

    def on_time(self, priority):
        waits, objective_s = self.waits[priority], KINDS[priority][1]
        return sum(wait <= objective_s for wait in waits) / len(waits)


# Time per token of the engines of Ragione, and of engines three times slower.
LOADS = list(itertools.product([1 / 54_600, 3 / 54_600], [2.0, 4.0]))


@pytest.mark.parametrize(("token_s", "factor"), LOADS)
def test_holding_back_does_not_help_urgent_requests(token_s, factor):
    """Why less urgent prompts do not wait at the instance: the engines order them.

    Views are old, so that held prompts are released together to the same engines.
    """
    load = {"token_s": token_s, "factor": factor}
    at_once, held = Burst(Design(), **load), Burst(Design(holds_back=True), **load)
    assert at_once.on_time(URGENT) >= held.on_time(URGENT)
    assert at_once.on_time(URGENT) > 0.9


@pytest.mark.parametrize(("token_s", "factor"), LOADS)
def test_nobody_starves(token_s, factor):
    """Guards against ranks that let later requests overtake for a whole burst."""
    load = {"token_s": token_s, "factor": factor}
    by_slack, fixed = Burst(Design(), **load), Burst(Design(by_slack=False), **load)
    for priority in (URGENT, LONG):
        longest_s = max(fixed.waits[priority])
        assert max(by_slack.waits[priority]) <= 1.1 * longest_s


def test_queue_in_the_slack_starves_requests():
    """Why the slack leaves out the queue of the engine."""
    load = {"token_s": LOADS[0][0], "factor": 4.0}
    by_queue, own = Burst(Design(counts_queue=True), **load), Burst(Design(), **load)
    deadline_s = KINDS[LONG][2]
    counts = [
        sum(wait > deadline_s for wait in row.waits[LONG]) for row in (by_queue, own)
    ]
    assert counts[0] > 10 * counts[1]
