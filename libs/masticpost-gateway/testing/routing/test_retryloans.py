"""Lent retries never add to the bound over all instances, whatever messages do."""

import heapq
import itertools
import random

import pytest
from masticpost_gateway.routing import retrybudget

WINDOW_S = 10.0
SLACK_EACH = 6.0
END_S = 30.0


class Mesh:
    """Instances that ask each other over a network that fails, in simulated time."""

    def __init__(self, count, *, seed, ratio=0.0, fault_rate=0.0):
        self.draw, self.fault_rate = random.Random(seed), fault_rate
        self.bounds = retrybudget.Bounds(
            ratio=ratio, slack=SLACK_EACH * count, window_s=WINDOW_S
        )
        self.budgets = [
            retrybudget.RetryBudget(bounds=self.bounds, members=lambda: count)
            for _ in range(count)
        ]
        self.frozen_until = [0.0] * count
        self.cut = set()
        self.open_asks = {}
        self.requests, self.retries, self.rejected, self.loans = [], [], [], 0
        self._events, self._order = [], itertools.count()

    def at(self, when, act, *args):
        heapq.heappush(self._events, (when, next(self._order), act, args))

    def run(self):
        while self._events:
            now, _, act, args = heapq.heappop(self._events)
            frozen = self.frozen_until[args[0]]
            if frozen > now:
                self.at(frozen, act, *args)
            else:
                act(now, *args)

    def request(self, now, me):
        self.budgets[me].record_request("s", now)
        self.requests.append(now)
        self.retry(now, me, asks_left=2)

    def retry(self, now, me, asks_left):
        budget = self.budgets[me]
        if budget.may_retry("s", now, may_borrow=True):
            charge = budget.record_retry("s", now, may_borrow=True)
            if self.draw.random() < 0.2:
                budget.undo_retry("s", charge, now)
            else:
                self.retries.append(now)
        elif asks_left:
            ask = (me, next(self._order))
            self.open_asks[ask] = now
            lender = self.draw.choice([n for n in range(len(self.budgets)) if n != me])
            self.send(now, lender, self.lend, ask)
            self.at(now + 0.05, self.retry, me, asks_left - 1)
        else:
            self.rejected.append(now)

    def send(self, now, to, act, ask, *args):
        """Deliver a message once, late, twice or never."""
        if self.draw.random() < self.fault_rate or {ask[0], to} & self.cut:
            return
        for _ in range(2 if self.draw.random() < self.fault_rate else 1):
            is_late = self.draw.random() < self.fault_rate
            self.at(
                now + self.draw.uniform(0.0, 3.0 if is_late else 0.01),
                act,
                to,
                ask,
                *args,
            )

    def lend(self, now, me, ask):
        granted = self.budgets[me].lend("s", self.draw.randint(1, 6), now)
        self.loans += granted
        self.send(now, ask[0], self.receive, ask, granted)

    def receive(self, now, me, ask, granted):
        asked_at = self.open_asks.pop(ask, None)
        if asked_at is not None:
            self.budgets[me].add_borrowed("s", granted, asked_at=asked_at, now=now)

    def fail(self, now, me):
        """Freeze an instance, or cut off a part of them."""
        self.frozen_until[me] = now + self.draw.choice([0.0, 0.4, 2.5])
        self.cut = {n for n in range(len(self.budgets)) if self.draw.random() < 0.2}


def load(mesh, rate):
    """Let most requests arrive at one in eight instances."""
    count, now = len(mesh.budgets), 0.0
    busy = max(1, count // 8)
    while now < END_S:
        now += mesh.draw.expovariate(rate * count)
        is_busy = mesh.draw.random() < 0.8
        mesh.at(now, mesh.request, mesh.draw.randrange(busy if is_busy else count))
    mesh.run()


def most_in_a_window(times):
    times = sorted(times)
    return max(
        sum(end - WINDOW_S < at <= end for at in times[: number + 1])
        for number, end in enumerate(times)
    )


@pytest.mark.parametrize("count", [2, 8, 75])
@pytest.mark.parametrize("seed", range(4))
def test_lending_never_exceeds_the_bound_over_all_instances(count, seed):
    """Guards against budget that a lost, late or repeated message doubles."""
    mesh = Mesh(count, seed=seed, fault_rate=0.3)
    for number in range(1, 30):
        mesh.at(number, mesh.fail, mesh.draw.randrange(count))
    load(mesh, rate=2.0)
    assert mesh.loans
    bound = mesh.bounds.slack * retrybudget.SAFETY_FACTOR
    assert most_in_a_window(mesh.retries) <= bound


@pytest.mark.parametrize("count", [2, 8, 75])
def test_lending_stays_within_the_bound_that_grows_with_the_requests(count):
    """Guards against loans from requests that have left the window."""
    mesh = Mesh(count, seed=count, ratio=0.3, fault_rate=0.3)
    load(mesh, rate=2.0)
    assert mesh.loans
    for end in mesh.retries:
        requests = sum(end - WINDOW_S < at <= end for at in mesh.requests)
        retries = sum(end - WINDOW_S < at <= end for at in mesh.retries)
        assert retries <= mesh.bounds.ratio * requests + mesh.bounds.slack


@pytest.mark.parametrize("count", [2, 8, 75])
def test_request_that_has_not_run_is_kept_while_others_have_budget(count):
    """Guards against rejections by one instance while the others have budget left."""
    mesh = Mesh(count, seed=1, ratio=0.9)
    busy_at = [0.001 * number for number in range(4)]
    for now in busy_at:
        mesh.at(now, mesh.request, 0)
    counts = mesh.budgets[0]._counts_of("s", 0.0)
    counts.retries.extend([0.0] * 20)
    mesh.run()
    assert mesh.loans >= 4
    assert not mesh.rejected


def test_late_reply_and_unused_loan_are_void():
    """Guards against a borrowed retry used after the lender stopped counting it."""
    budget = Mesh(2, seed=0).budgets[0]
    budget._counts_of("s", 0.0).retries.extend([0.0] * 20)
    budget.add_borrowed("s", 1, asked_at=0.0, now=1.1)
    assert not budget.may_retry("s", 1.1, may_borrow=True)
    budget.add_borrowed("s", 1, asked_at=2.0, now=2.1)
    assert budget.may_retry("s", 2.9, may_borrow=True)
    assert not budget.may_retry("s", 2.9)
    assert not budget.may_retry("s", 3.1, may_borrow=True)


def test_lender_counts_a_loan_for_the_window_and_the_time_of_use():
    """Guards against a loan that stops to count before its retry does."""
    budget = Mesh(2, seed=0).budgets[0]
    first = budget.lend("s", 9, 0.0)
    assert first == retrybudget.MAX_LOAN
    for now in (0.0, WINDOW_S, WINDOW_S + 0.9):
        assert budget.lend("s", 9, now) == 0
        assert budget.may_retry("s", now)
    assert budget.lend("s", 9, WINDOW_S + 1.1) == first


def test_process_that_has_just_started_lends_nothing():
    """Guards against the share of one instance lent twice over a restart."""
    bounds = retrybudget.Bounds(ratio=0.0, slack=50.0)
    budget = retrybudget.RetryBudget(bounds=bounds, members=lambda: 2, lends_from=10.0)
    assert budget.lend("s", 1, 9.9) == 0
    assert budget.lend("s", 1, 10.0) == 1


def test_retry_that_did_not_connect_is_uncounted_at_its_own_time():
    """Guards against a later retry that counts too short, as another one is undone."""
    budget = Mesh(2, seed=0).budgets[0]
    charge = budget.record_retry("s", 0.0)
    budget.record_retry("s", 5.0)
    budget.undo_retry("s", charge, 5.0)
    assert list(budget._counts_of("s", 5.0).retries) == [5.0]
