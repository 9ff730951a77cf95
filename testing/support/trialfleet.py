"""Instances that judge a version on trial together, in simulated time, without network.

Callers' requests arrive at random; each instance plans them by its own trial, tells its
evidence to the watchers, passes budget on to the holders and borrows from them. The
fleet counts by itself what each version got.
"""

import collections
import copy
import heapq
import itertools
import math
import random

import attrs
from masticpost_common import rendezvous
from masticpost_gateway.learning import (
    budgetneeds,
    exposure,
    progress,
    sessions,
    stages,
    trial,
)
from masticpost_gateway.sharing import budgetsharing, evidencereports
from masticpost_gateway.state import model, recordcache, source

SERVICE, OLD, NEW = "s", "v1", "v2"
BOUNDS = exposure.Bounds(share=0.15, slack=30.0)
OBJECTIVE_S = 2.0
HEAD_S = 0.3
GAP_S = 0.1
EVENTS = 8
SLOW = 8.0
WATCHERS = 3
ORDER_AT = 3.0
BAD_SHARE = 0.5
# Requests per second and upstream from which a version is bad under load.
LOADED_RATE = 2.0
LATE_AFTER_S = 3.0


@attrs.define(kw_only=True)
class Instance:
    """One incarnation of an instance."""

    name: str
    incarnation: int
    trials: trial.Trials
    driver: stages.Stages
    side: int = 0
    is_frozen: bool = False
    next_gift_at: float = 0.0
    next_ask_at: dict[budgetneeds.Purpose, float] = attrs.field(factory=dict)


class Fleet:
    """Instances, their callers, and a store with one roll-out.

    Parameters
    ----------
    size : int
        Number of instances.
    rate : callable
        Requests per second of all callers at a time after the order.
    how : str
        How the version is bad: "good", "errors", "slow", "late", "one_class" or
        "under_load".
    """

    def __init__(self, *, size, rate, how="good", duration_s=24.0, upstreams=5, seed=1):
        self.draw = random.Random(seed)
        self.rate, self.how, self.upstreams = rate, how, upstreams
        self.now = 0.0
        self.order = model.RollOut(service=SERVICE, target=NEW, duration_s=duration_s)
        self.revision = 1
        self.is_ordered = False
        self.era = 0
        self.exposed = self.total = self.bad = 0
        self.messages = self.waiting = self.changed = 0
        self.session_s, self.session_count, self.is_sticky = 2.0, 200, False
        # What becomes of messages does not change when requests arrive.
        self.fate, self.lost_share = random.Random(seed), 0.0
        self.recent = collections.deque()
        self.worst = float("-inf")
        self.states = []
        self._events, self._numbers = [], itertools.count()
        self.weights = [self.draw.uniform(0.3, 1.0) for _ in range(size)]
        self.instances = [self._start(f"node-{k:03d}", 1) for k in range(size)]
        self.sees_order = lambda instance: True
        self.old_is_ready = lambda: True
        self._every(0.1, self._tick)
        self._every(evidencereports.PERIOD_S, self._report)
        self._arrive()

    @property
    def age_s(self):
        """Seconds since the order."""
        return self.now - ORDER_AT

    def at(self, when, action):
        """Run an action at a time after the start."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def run(self, until):
        """Play until a time after the start."""
        self.at(ORDER_AT, self.write_order)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def write_order(self, order=None):
        """Write the order, or its next state, and tell those that see it."""
        self.is_ordered = True
        if order is not None:
            self.states.append((round(self.age_s, 2), order.state, order.share))
            self.order = order
        self.revision += 1
        for instance in self.instances:
            self.deliver(instance)

    def deliver(self, instance):
        """Tell an instance what the store has, if it sees it."""
        if instance.is_frozen or not self.sees_order(instance):
            return
        at = source.position(self.era, self.revision)
        entry = source.Entry(name=SERVICE, revision=at, record=self.order)
        entries = (entry,) if self.is_ordered else ()
        listing = source.Listing(entries=entries, at=at)
        records = instance.trials.records
        records.replace(source.Kind.ROLL_OUTS, listing, self.now)

    def restart(self, number):
        """Kill an instance and start its next incarnation."""
        old = self.instances[number]
        new = self._start(old.name, old.incarnation + 1)
        new.side = old.side
        self.instances[number] = new

    def join(self):
        """Start one more instance, which gets as many callers as an average one."""
        self.weights.append(sum(self.weights) / len(self.weights))
        self.instances.append(self._start(f"node-new-{next(self._numbers)}", 1))

    def leave(self, number):
        """Stop an instance, which leaves its budget to a holder."""
        instance = self.instances.pop(number)
        del self.weights[number]
        others = self._reached_by(instance)
        for row in instance.trials.limited() if others else ():
            holder = self.holders_of(others[0])[0]
            granted = row.budget.give(math.inf, kept=0.0)
            self._deliver_gift(instance, holder, granted)

    def _start(self, name, incarnation):
        records = recordcache.RecordCache()
        trials = trial.Trials(
            records=records,
            sessions=sessions.Sessions(idle_timeout_s=5.0),
            bounds=BOUNDS,
            instance_count=lambda: len(self.weights),
        )
        driver = stages.Stages(
            me=name,
            store=None,
            records=records,
            trials=trials,
            members=list,
            is_running=lambda name, incarnation: any(
                (row.name, row.incarnation) == (name, incarnation)
                for row in self.instances
            ),
            has_majority=lambda: self._has_majority(name),
        )
        instance = Instance(
            name=name, incarnation=incarnation, trials=trials, driver=driver
        )
        self.at(self.now, lambda: self.deliver(instance))
        return instance

    def _has_majority(self, name):
        (me,) = [row for row in self.instances if row.name == name]
        return 2 * len(self._reached_by(me)) + 2 > len(self.instances)

    def _reached_by(self, one):
        return [
            row
            for row in self.instances
            if row is not one and row.side == one.side and not row.is_frozen
        ]

    def _every(self, period_s, action):
        def again():
            action()
            self.at(self.now + period_s, again)

        self.at(period_s, again)

    def _arrive(self):
        rate = self.rate(self.age_s)
        if rate > 0:
            self._dispatch()
        self.at(self.now + self.draw.expovariate(rate or 10.0), self._arrive)

    def _dispatch(self):
        instance = self.draw.choices(self.instances, self.weights)[0]
        number = self.draw.randrange(self.session_count)
        session = f"session-{int(self.now / self.session_s)}-{number}"
        if self.is_sticky:
            place = rendezvous.unit_hash(session) * len(self.instances)
            instance = self.instances[int(place)]
        if instance.is_frozen:
            return
        self._ask(instance, session)
        version = self._pick(instance.trials, session)
        last = instance.trials.sessions.last_version(SERVICE, session, self.now)
        self.changed += last == NEW and version == OLD and self.counts_changes()
        if version is None:
            self.waiting += 1
            return
        answer = progress.AnswerProgress(
            service=SERVICE,
            version=version,
            sent_at=self.now,
            objective_s=OBJECTIVE_S,
            max_gap_s=1.0,
        )
        instance.trials.answers.begin_answer(answer)
        instance.trials.sessions.record_run(SERVICE, session, version, self.now)
        counts = self.is_ordered and self.age_s <= self.order.duration_s
        self.exposed += counts and version == NEW
        if version == NEW:
            self.recent.append(self.now)
        is_bad = version == NEW and self._is_bad()
        self.bad += is_bad
        if is_bad and self.how == "errors":
            self.at(
                self.now + HEAD_S, lambda: self._fail(instance.trials, answer, counts)
            )
            return
        pace = SLOW if is_bad else self.draw.uniform(0.7, 1.4)
        self.at(
            self.now + HEAD_S * pace,
            lambda: self._begin(instance.trials, answer, pace, counts),
        )

    def _pick(self, trials, session):
        plan = trials.plan(SERVICE, session, "r")
        may_use_new = plan.excluded != NEW and trials.allows(SERVICE, NEW)
        may_use_new = may_use_new and self.is_ordered
        may_use_old = self.old_is_ready() and (
            self.order.state is not model.RollOutState.COMPLETED
        )
        if plan.preferred == NEW and may_use_new:
            return NEW
        if may_use_old:
            return OLD
        return NEW if may_use_new else None

    def _is_bad(self):
        while self.recent and self.now - self.recent[0] > 1.0:
            self.recent.popleft()
        wide = self.order.share >= trial.WIDE_SHARE
        few = trial.focus_count(self.order.share, self.upstreams)
        used = self.upstreams if wide else few
        if self.how == "under_load" and len(self.recent) / used < LOADED_RATE:
            return False
        if self.how == "late" and self.age_s < LATE_AFTER_S:
            return False
        is_drawn = self.draw.random() < BAD_SHARE
        return is_drawn and self.how not in ("good",)

    def _fail(self, trials, answer, counts):
        self._count_begun(counts)
        trials.answers.record_start(answer, self.now)
        trials.answers.record_answer(SERVICE, answer.version, is_good=False)
        trials.answers.end_answer(answer, self.now)

    def _begin(self, trials, answer, pace, counts):
        self._count_begun(counts)
        trials.answers.record_start(answer, self.now)
        for number in range(EVENTS):
            self.at(
                self.now + number * GAP_S * pace,
                lambda number=number: self._progress(trials, answer, number),
            )

    def _progress(self, trials, answer, number):
        answer.add_events(1, self.now)
        if answer.is_measured:
            trials.answers.record_progress(answer)
        if number == EVENTS - 1:
            trials.answers.record_answer(SERVICE, answer.version, is_good=True)
            trials.answers.end_answer(answer, self.now)

    def _count_begun(self, counts):
        self.total += counts
        self.worst = max(self.worst, self.excess())

    def excess(self):
        """Return by how many requests the version has more than the operator allows."""
        return self.exposed - BOUNDS.share * self.total - BOUNDS.slack

    def _tick(self):
        self._pass_on()
        for instance in self._watchers():
            for row in list(instance.trials.open.values()):
                desired = instance.driver.next_order(row, self.now)
                if desired != row.order and row.order == self.order:
                    self.write_order(desired)

    def _pass_on(self):
        """Let those with budget to spare pass it on to a holder."""
        for instance in self.instances:
            if instance.is_frozen:
                continue
            for row in instance.trials.limited():
                holders = self.holders_of(instance)
                row.budget.is_holder = instance in holders
                if row.budget.is_holder or self.now < instance.next_gift_at:
                    continue
                granted = budgetsharing.deposit(row, self.now)
                if not granted:
                    continue
                instance.next_gift_at = self.now + budgetsharing.GIFT_PERIOD_S
                row.budget.give(granted, kept=0.0)
                self._deliver_gift(instance, holders[0], granted)

    def counts_changes(self):
        """Return whether sessions should stay on the version."""
        return self.order.state is not model.RollOutState.ROLLED_BACK

    def _deliver_gift(self, giver, holder, granted):
        self.messages += 1
        if self.fate.random() < self.lost_share:
            return
        for row in holder.trials.limited():
            row.budget.received += granted
            return
        for row in giver.trials.limited():
            row.budget.received += granted

    def holders_of(self, one):
        """Return the holders in the view of an instance, its own one first."""
        by_name = {row.name: row for row in (one, *self._reached_by(one))}
        names = rendezvous.ranked(by_name, f"budget\0{SERVICE}\0{NEW}")
        names = rendezvous.ranked(names[: budgetneeds.holder_count(BOUNDS)], one.name)
        return [by_name[name] for name in names]

    def _ask(self, instance, session):
        lack = instance.trials.lack(SERVICE, session, "r")
        if lack is None or self.now < instance.next_ask_at.get(lack.purpose, 0.0):
            return
        for holder in self.holders_of(instance):
            if holder is instance:
                continue
            self.messages += 1
            for row in holder.trials.limited():
                granted = budgetneeds.lend(row, lack.wanted, lack.purpose, self.now)
                if granted and self.fate.random() >= self.lost_share:
                    lack.trial.budget.borrow(granted, self.now)
                    return
        instance.next_ask_at[lack.purpose] = self.now + budgetsharing.REFUSED_S

    def _watchers(self):
        sides = {row.side for row in self.instances}
        chosen = []
        for side in sides:
            rows = [r for r in self.instances if r.side == side and self.sees_order(r)]
            chosen += [row for row in rows if not row.is_frozen][:WATCHERS]
        return chosen

    def _report(self):
        watchers = self._watchers()
        for instance in self.instances:
            if instance.is_frozen:
                continue
            instance.trials.answers.count_slow_answers(self.now)
            sender = (instance.name, instance.incarnation)
            rows = copy.deepcopy(instance.trials.evidence())
            ages_s = instance.trials.ages_s(self.now)
            for watcher in watchers:
                if watcher is instance or watcher.side != instance.side:
                    continue
                for row in rows:
                    watcher.trials.note_age(SERVICE, NEW, ages_s[SERVICE])
                    watcher.trials.update_evidence(sender, row)
            self._hear(instance, watchers)

    def _hear(self, instance, watchers):
        for watcher in watchers:
            row = watcher.trials.open.get(SERVICE)
            if row is None or watcher is instance or watcher.side != instance.side:
                continue
            instance.trials.note_age(SERVICE, NEW, self.now - row.since)
            if row.verdict:
                instance.trials.mark_bad(SERVICE, NEW, row.verdict)
            if row.doubt(self.now):
                instance.trials.mark_doubtful(SERVICE, NEW)
