"""Shared observations of unreachable upstreams, in simulated time without a network.

Guards against each instance finding out by itself that an upstream is gone, and against
reports that keep a healthy upstream from being used.
"""

import heapq
import itertools
import math
import random

import pytest
from masticpost_gateway.upstreams import health, reachability

MOVED = "moved"
REFUSED = "refused"
DOMAINS = 3
UPSTREAMS = 30
TICK_S = 0.05
REQUEST_S = 0.005
# Requests per second of all instances together, as in a deployment of 75 instances.
ARRIVALS_PER_S = 104.0
TOLD_AT_S = (0.0, 1.0, 2.5)


class Instance:
    """One instance: its health table, and what it concludes."""

    def __init__(self, sim, number):
        self.name = f"i{number}"
        self.healths = health.HealthTable()
        self.reach = reachability.Reachability(
            me=self.name,
            domain=f"d{number % DOMAINS}",
            domains=lambda: sim.domains,
            healths=self.healths,
            find=self.find,
            moved_reason=MOVED,
        )
        self.reach.listen(lambda found: sim.broadcast(self, found))
        self.sim = sim

    def row(self, name):
        return self.healths.get(name, self.sim.runs[name])

    def find(self, key):
        name = key.partition(" ")[0]
        return self.row(name) if health_key(self.sim, name) == key else None

    def is_ejected(self, name):
        return self.row(name).is_ejected(self.sim.now)


def health_key(sim, name):
    return " ".join(map(str, sim.runs[name]))


class Simulation:
    """Instances that send requests to upstreams of which some are gone."""

    def __init__(self, instances, *, reason=REFUSED, loss=0.0, delay_s=0.15, seed=1):
        self.rng = random.Random(seed)
        self.now, self.reason = 0.0, reason
        self.loss, self.delay_s = loss, delay_s
        self.names = [f"u{number}" for number in range(UPSTREAMS)]
        self.runs = {name: (name, 1, f"{name}:1") for name in self.names}
        self.gone, self.cut_off = set(), set()
        self.attempts, self.told, self.last_failure_at = [], 0, {}
        self.ejected_since, self.longest_s = {}, {}
        self.domains = {f"i{n}": f"d{n % DOMAINS}" for n in range(instances)}
        self.instances = [Instance(self, number) for number in range(instances)]
        self._events, self._order = [], itertools.count()
        self.after(TICK_S, self._tick)
        self._next_request()

    def after(self, delay_s, action):
        event = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def run_until(self, end):
        while self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def broadcast(self, sender, found):
        self.told += 1
        for target in self.instances:
            for told_s in TOLD_AT_S:
                for _ in range(2):
                    if target is not sender and self.rng.random() >= self.loss:
                        delay_s = told_s + self.rng.uniform(0.002, self.delay_s)
                        self.after(delay_s, self._report(target, found))

    def _report(self, target, found):
        return lambda: target.reach.note_report(found, self.now)

    def _next_request(self):
        self.request(self.rng.choice(self.instances))
        self.after(self.rng.expovariate(ARRIVALS_PER_S), self._next_request)

    def request(self, instance):
        ready = [u for u in self.names if not instance.is_ejected(u)]
        name = self.rng.choice(ready or self.names)
        row = instance.row(name)
        row.outstanding += 1
        self.after(REQUEST_S, lambda: self._end(instance, name, row))

    def _end(self, instance, name, row):
        row.outstanding -= 1
        if name not in self.gone and instance not in self.cut_off:
            row.last_response_at = self.now
            row.record_answered(self.now - REQUEST_S)
            return
        self._fail(instance, name)
        self.attempts.append((self.now, instance.name, name))
        row.record_unreachable(self.now, self.reason)
        self.request(instance)

    def _fail(self, instance, name):
        self.last_failure_at[name] = self.now

    def _tick(self):
        for instance in self.instances:
            instance.reach.remove_unregistered()
            instance.reach.note_recoveries(self.now)
            for row in instance.reach.due_tests(self.now):
                self._test(instance, row)
        for name in self.names:
            if not all(instance.is_ejected(name) for instance in self.instances):
                self.ejected_since.pop(name, None)
                continue
            since = self.ejected_since.setdefault(name, self.now)
            since = max(since, self.last_failure_at.get(name, -math.inf))
            longest_s = self.longest_s.get(name, 0.0)
            self.longest_s[name] = max(longest_s, self.now - since)
        self.after(TICK_S, self._tick)

    def _test(self, instance, row):
        if instance in self.cut_off:
            return
        if row.name not in self.gone or self.reason == MOVED:
            instance.reach.record_connected(row, self.now)
            return
        self._fail(instance, row.name)
        instance.reach.record_unreachable(row, self.now, "test", is_test=True)

    def attempts_after(self, since):
        return sum(at > since for at, _, _ in self.attempts)


def with_gone(instances, *, gone=5, for_s=15.0, **changes):
    sim = Simulation(instances, **changes)
    sim.run_until(10.0)
    sim.gone.update(sim.names[:gone])
    sim.run_until(10.0 + for_s)
    return sim


@pytest.mark.parametrize("instances", [8, 70, 195])
@pytest.mark.parametrize("reason", [REFUSED, MOVED])
def test_attempts_at_gone_upstreams_do_not_grow_with_the_instances(instances, reason):
    """Each instance would otherwise try each gone upstream itself."""
    sim = with_gone(instances, reason=reason)
    assert len(sim.attempts) - sim.attempts_after(11.0) <= 5 * 4
    # A tried connection does not show that another upstream has the address, so that
    # one request in each round does.
    rounds = 14.0 / reachability.FIRST_PAUSE_S
    assert sim.attempts_after(11.0) <= (5 if reason == REFUSED else 5 * rounds)


@pytest.mark.parametrize("instances", [8, 70])
def test_lost_and_late_reports_cost_few_attempts(instances):
    """Guards against a design that needs each message."""
    sim = with_gone(instances, loss=0.4, delay_s=1.0)
    assert sim.attempts_after(11.0) <= 5 * 5


@pytest.mark.parametrize("instances", [8, 70, 195])
def test_recovered_upstream_is_used_again_by_all(instances):
    """Guards against an ejection that outlives its cause, whoever has requests."""
    sim = with_gone(instances, loss=0.2, for_s=8.0)
    sim.gone.clear()
    sim.run_until(21.0)
    for name in sim.names:
        assert not any(instance.is_ejected(name) for instance in sim.instances)
    assert max(sim.longest_s.values()) <= 3.0


@pytest.mark.parametrize("reason", [REFUSED, MOVED])
@pytest.mark.parametrize("delay_s", [0.01, 2.0, 9.0])
def test_late_lost_and_repeated_reports_never_eject_for_long(reason, delay_s):
    """No upstream is ejected everywhere for 3 s after its last real failure."""
    sim = Simulation(24, reason=reason, loss=0.3, delay_s=delay_s)
    for number in range(40):
        sim.run_until(5.0 + number)
        sim.gone ^= {sim.rng.choice(sim.names)}
    assert sim.told > 100
    assert max(sim.longest_s.values()) <= 3.0


@pytest.mark.parametrize("is_moved", [False, True])
@pytest.mark.parametrize("liars", [("d0",), ("d0", "d1", "d2")])
def test_false_reports_leave_an_upstream_in_use(liars, is_moved):
    """Guards against instances that report a healthy upstream without an end."""
    sim = Simulation(12, reason=MOVED if is_moved else REFUSED)
    key = health_key(sim, "u3")

    def lie(number):
        for domain in liars:
            found = reachability.Observation(
                run=key,
                round=number,
                observer=f"liar-{domain}",
                domain=domain,
                at=sim.now,
                is_moved=is_moved,
            )
            for instance in sim.instances:
                instance.reach.note_report(found, sim.now)
        sim.after(0.2, lambda: lie(number + 1))

    sim.run_until(5.0)
    lie(1)
    sim.run_until(60.0)
    assert sim.longest_s["u3"] <= 3.0
    assert sum(not instance.is_ejected("u3") for instance in sim.instances) >= 1


def test_partitioned_instance_empties_no_other_candidate_list():
    sim = Simulation(24)
    sim.run_until(10.0)
    sim.cut_off.add(sim.instances[0])
    fewest = UPSTREAMS
    for number in range(100):
        sim.run_until(10.0 + number / 10)
        for instance in sim.instances[1:]:
            ready = sum(not instance.is_ejected(name) for name in sim.names)
            fewest = min(fewest, ready)
    assert sim.instances[0].reach.is_partitioned(sim.now)
    assert sim.told <= 6
    assert fewest >= UPSTREAMS - 4


def test_partitioned_domain_empties_no_other_candidate_list():
    """Guards against confirmation by instances that share one fault."""
    sim = Simulation(24)
    sim.run_until(10.0)
    sim.cut_off.update(sim.instances[0::DOMAINS])
    fewest = UPSTREAMS
    for number in range(100):
        sim.run_until(10.0 + number / 10)
        for instance in sim.instances[1::DOMAINS]:
            ready = sum(not instance.is_ejected(name) for name in sim.names)
            fewest = min(fewest, ready)
    assert fewest >= UPSTREAMS * (1 - reachability.MAX_UNCONFIRMED_SHARE) - 1


def test_new_run_at_the_same_address_has_no_history():
    sim = with_gone(8, for_s=2.0)
    assert any(instance.is_ejected("u0") for instance in sim.instances)
    stale = health_key(sim, "u0")
    name, born, address = sim.runs["u0"]
    sim.runs["u0"] = (name, born + 1, address)
    sim.gone.remove("u0")
    assert not any(instance.is_ejected("u0") for instance in sim.instances)
    found = reachability.Observation(
        run=stale, round=99, observer="i1", domain="d1", at=sim.now
    )
    assert not sim.instances[0].reach.note_report(found, sim.now)
    assert not sim.instances[0].is_ejected("u0")


def test_nothing_is_told_or_ejected_while_nothing_fails():
    sim = Simulation(8)
    sim.run_until(30.0)
    assert not sim.told
    assert not any(instance.reach.due_tests(sim.now) for instance in sim.instances)
    assert all(instance.reach.is_idle for instance in sim.instances)


def report_of(sim, name, *, number=1, domain="d1"):
    return reachability.Observation(
        run=health_key(sim, name),
        round=number,
        observer=f"i-{domain}",
        domain=domain,
        at=sim.now,
    )


def test_late_report_of_a_known_round_does_not_extend_an_own_ejection():
    """Guards against instances that extend each other's ejections by late reports."""
    sim = Simulation(8)
    row = sim.instances[0].row("u0")
    row.record_unreachable(0.0, REFUSED)
    until = row.unreachable_until
    sim.now = until - 0.1
    for domain in ("d1", "d2"):
        sim.instances[0].reach.note_report(report_of(sim, "u0", domain=domain), sim.now)
    assert row.unreachable_until == until
    later = report_of(sim, "u0", number=2)
    assert sim.instances[0].reach.note_report(later, sim.now)
    assert row.unreachable_until > until
    assert not sim.instances[0].reach.note_report(report_of(sim, "u0"), sim.now)


def test_reports_of_one_domain_eject_few_upstreams_for_a_short_time():
    """Guards against a cut-off domain that takes upstreams from all others."""
    sim = Simulation(12)
    instance = sim.instances[0]
    rows = [instance.row(name) for name in sim.names]
    for name in sim.names:
        instance.reach.note_report(report_of(sim, name), sim.now)
    ejected = [row for row in rows if row.is_ejected(sim.now)]
    assert 0 < len(ejected) <= UPSTREAMS // 4 + 1
    first_until = ejected[0].unreachable_until
    longest_s = reachability.AVOIDANCE_S + reachability.MAX_TURN_S
    assert first_until <= sim.now + longest_s
    confirmed = report_of(sim, ejected[0].name, domain="d2")
    instance.reach.note_report(confirmed, sim.now)
    assert ejected[0].unreachable_until > first_until


def test_answers_of_earlier_requests_show_no_recovery():
    """Guards against upstreams that finish their streams but take no new requests."""
    sim = Simulation(8)
    instance = sim.instances[0]
    row = instance.row("u0")
    row.record_unreachable(1.0, REFUSED)
    row.last_response_at = 2.0
    row.record_answered(0.9)
    instance.reach.note_recoveries(2.0)
    assert not instance.reach.is_idle
    row.record_answered(1.9)
    instance.reach.note_recoveries(2.0)
    assert instance.reach.is_idle


def test_single_request_tries_an_upstream_when_its_ejection_ends():
    """Guards against a burst at an upstream that is still gone."""
    sim = Simulation(8)
    row = sim.instances[0].row("u0")
    row.record_unreachable(0.0, REFUSED)
    assert not row.is_ejected(row.unreachable_until)
    row.outstanding = 1
    assert row.is_ejected(row.unreachable_until)
    assert not row.is_ejected(row.unreachable_until + reachability.HOLD_S)
