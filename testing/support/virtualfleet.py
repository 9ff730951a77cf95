"""Instances that share evidence and verdicts over simulated links, in virtual time.

The services that report and tell are the gateway's own; callers, upstreams, links and
the list of members are simulated. An event loop without real waiting carries them.
"""

import asyncio
import copy
import random
import selectors
import types

import attrs
from masticpost_common import clock
from masticpost_gateway.learning import exposure, progress, sessions, trial
from masticpost_gateway.sharing import evidencereports, mesh, relay, verdicts
from masticpost_gateway.state import model, recordcache, source
from masticpost_peers import probes

SERVICE, OLD, NEW = "s", "v1", "v2"
DOMAINS = 3
HEAD_S = 0.3
OBJECTIVE_S = 2.0
LATE_S = 2.4
BAD_SHARE = 0.5


class _Selector(selectors.SelectSelector):
    """Advances the virtual time in place of waiting."""

    now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only when nothing is left to do."""

    def __init__(self):
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.now


class Hub:
    """Carries messages between instances with the fleet's delays."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.handlers = {}

    def handle(self, kind, handler, *, is_urgent=False):
        self.handlers[kind] = handler

    async def broadcast(self, addresses, body, *, queue_until_connected=False):
        sent = copy.deepcopy(body)
        self.fleet.sent[type(body).__name__] += len(addresses)
        for address in addresses:
            delay_s = self.fleet.delay_s(self.name, address)
            if delay_s is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_s, self.fleet.deliver, self.name, address, sent)


def make_members(size, domains):
    """Return the members of a fleet, spread over the failure domains."""
    return [
        types.SimpleNamespace(
            name=f"node-{k:03d}",
            address=f"node-{k:03d}",
            domain=f"zone-{k % domains}",
            serves_others=True,
            started=1,
        )
        for k in range(size)
    ]


@attrs.define(kw_only=True)
class Instance:
    """One instance with the services under test."""

    name: str
    domain: str
    trials: trial.Trials
    relay: relay.Relay
    services: list


class Fleet:
    """Instances, their callers, and links that are slow or cut.

    Parameters
    ----------
    delay_s : callable
        Returns the delay between two domains in seconds, None for a cut link.
    how : str
        "errors" or "late": how the version's bad answers are bad.
    bad_from_s : float
        Time at which it begins to be bad.
    """

    def __init__(self, *, size, rate, delay_s, how, bad_from_s=3.0, told=True, seed=1):
        self.draw = random.Random(seed)
        self.rate, self.how, self.bad_from_s = rate, how, bad_from_s
        self.link_s, self.told = delay_s, told
        self.sent = dict.fromkeys(
            ("EvidenceReport", "Heartbeat", "VerdictNotice", "ReplicatedChanges"), 0
        )
        self.received = {}
        self.bad_at, self.sent_at, self.verdict_at = [], [], {}
        self.members = make_members(size, DOMAINS)
        self.domains = {row.name: row.domain for row in self.members}
        self.instances = [self._make(member) for member in self.members]
        self.by_name = {row.name: row for row in self.instances}

    def delay_s(self, sender, address):
        """Return the delay from one instance to another, None for a cut link."""
        return self.link_s(self.domains[sender], self.domains[address])

    def deliver(self, sender, address, body):
        """Hand a message to its handler."""
        self.received[address, type(body).__name__] = (
            self.received.get((address, type(body).__name__), 0) + 1
        )
        handler = self.by_name[address].relay.peers.hub.handlers[type(body)]
        envelope = types.SimpleNamespace(sender=sender, incarnation=1)
        asyncio.ensure_future(handler(envelope, body))

    def _make(self, member):
        records = recordcache.RecordCache()
        trials = trial.Trials(
            records=records,
            sessions=sessions.Sessions(idle_timeout_s=5.0),
            bounds=exposure.Bounds(share=1.0, slack=1e6),
            instance_count=lambda: len(self.members),
        )
        others = [row for row in self.members if row is not member]
        peers = types.SimpleNamespace(
            me=member,
            hub=Hub(self, member.name),
            is_seed=True,
            others=lambda: others,
            members=types.SimpleNamespace(alive=lambda: self.members),
        )
        shared = relay.Relay(
            peers=peers,
            records=records,
            watch=types.SimpleNamespace(
                first_call_at=0.0, is_active=True, follows=lambda now: True
            ),
            trials=trials,
            isolation=types.SimpleNamespace(note_contact=lambda now: None),
        )
        shared.watchers = self._watchers()
        services = [
            evidencereports.EvidenceSharing(peers=peers, relay=shared, trials=trials)
        ]
        if self.told:
            services.append(
                verdicts.VerdictSharing(peers=peers, relay=shared, trials=trials)
            )
        order = model.RollOut(
            service=SERVICE,
            target=NEW,
            duration_s=600.0,
            state=model.RollOutState.RUNNING,
            share=1.0,
        )
        records.replace(
            source.Kind.ROLL_OUTS, source.Listing(entries=(), at=1), clock.now()
        )
        entry = source.Entry(name=SERVICE, revision=2, record=order)
        records.replace(
            source.Kind.ROLL_OUTS, source.Listing(entries=(entry,), at=2), clock.now()
        )
        trials.on_verdict(
            lambda row: self.verdict_at.setdefault(member.name, clock.now())
        )
        return Instance(
            name=member.name,
            domain=member.domain,
            trials=trials,
            relay=shared,
            services=services,
        )

    def _watchers(self) -> list[probes.Member]:
        is_large = len(self.members) > relay.LARGE_DEPLOYMENT
        count = relay.WATCHERS_IF_LARGE if is_large else relay.WATCHERS
        alive = types.SimpleNamespace(alive=lambda: self.members)
        chooser = types.SimpleNamespace(members=alive)
        return mesh.Mesh._choose(chooser, "watch", count)

    async def play(self, until_s):
        """Play callers, reports and heartbeats until a time."""
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            for service in instance.services:
                loop.call_later(
                    self.draw.random(),
                    lambda service=service: asyncio.ensure_future(service.start()),
                )
        tasks = [asyncio.ensure_future(self._beat(row)) for row in self.instances]
        while loop.time() < until_s:
            await asyncio.sleep(self.draw.expovariate(self.rate))
            self._dispatch(loop)
        for task in tasks:
            task.cancel()
        for instance in self.instances:
            for service in instance.services:
                await service.stop()

    async def _beat(self, instance):
        await asyncio.sleep(self.draw.random())
        while True:
            addresses = instance.relay.recipients() if instance.relay.is_watcher else []
            if addresses:
                hub = instance.relay.peers.hub
                await hub.broadcast(addresses, instance.relay._heartbeat())
            await asyncio.sleep(relay.HEARTBEAT_PERIOD_S)

    def _dispatch(self, loop):
        instance = self.draw.choice(self.instances)
        session = f"session-{self.draw.randrange(10**6)}"
        plan = instance.trials.plan(SERVICE, session, "r")
        # Until the version turns bad the others get a part, to compare with.
        is_new = plan.preferred == NEW and plan.excluded != NEW
        if loop.time() < self.bad_from_s and self.draw.random() < 0.7:
            is_new = False
        is_bad = is_new and loop.time() >= self.bad_from_s
        is_bad = is_bad and self.draw.random() < BAD_SHARE
        if is_new:
            self.sent_at.append((loop.time(), instance.domain))
        answer = progress.AnswerProgress(
            service=SERVICE,
            version=NEW if is_new else OLD,
            sent_at=loop.time(),
            objective_s=OBJECTIVE_S,
        )
        instance.trials.answers.begin_answer(answer)
        head_s = LATE_S if is_bad and self.how == "late" else HEAD_S
        loop.call_later(head_s, self._end, loop, instance, answer, is_bad)

    def _end(self, loop, instance, answer, is_bad):
        if is_bad:
            self.bad_at.append(loop.time())
        instance.trials.answers.record_start(answer, loop.time())
        is_good = not (is_bad and self.how == "errors")
        instance.trials.answers.record_answer(SERVICE, answer.version, is_good=is_good)
        instance.trials.answers.end_answer(answer, loop.time())
