"""Instances that place prompts on simulated engines and share their loads.

The loads and the placement are the gateway's own; engines, callers and links are
simulated. Reports take up to `LINK_S` to arrive, so that views are 0.2 to 0.5 s old.
"""

import collections
import heapq
import itertools
import random
import types

import attrs
from masticpost_gateway.learning import speeds
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads, mesh
from masticpost_gateway.state import model
from masticpost_peers import probes

SERVICE = "s"
DOMAINS = 3
SLOTS = 64
LINK_S = 0.1
PREFILL_TOKEN_S = 3e-5
STEP_S = 0.006
EVENT_TOKENS = 4
EVENTS = 24
SHARED_TOKENS, OWN_TOKENS = 6_300, 2_890
CUSTOMERS = 24
JITTER_LOG = 0.25


@attrs.define(kw_only=True)
class Engine:
    """An engine that prefills prompts in turn and decodes all answers together.

    Attributes
    ----------
    factor : float
        Time that it takes as a multiple of the usual one.
    pause : tuple of float
        Begin and end of a time in which it stands still.
    """

    factor: float = 1.0
    pause: tuple[float, float] = (0.0, 0.0)
    free_at: float = 0.0
    streams: int = 0
    cached: set = attrs.field(factory=set)

    def end_of(self, start, took_s):
        """Return the end of some work, with the time in which nothing moves."""
        begin, end = self.pause
        done = start + took_s * self.factor
        if start < end and done > begin:
            done += end - max(begin, start)
        return done

    def prefilled_at(self, now, tokens):
        """Return the time at which a prompt that arrives now will be read."""
        start = max(now, self.free_at)
        self.free_at = self.end_of(start, tokens * PREFILL_TOKEN_S)
        return self.free_at


class Peers:
    """The mesh of one instance."""

    def __init__(self, fleet, member):
        self.fleet, self.me = fleet, member
        self.handlers = {}
        self.hub = self
        self.members = types.SimpleNamespace(alive=lambda: fleet.members)

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def others(self):
        return [row for row in self.fleet.members if row is not self.me]

    def chosen(self, purpose, count):
        return self.fleet.chosen(purpose, count)

    async def broadcast(self, addresses, body):
        self.fleet.sent[type(body).__name__] += len(addresses)
        for address in addresses:
            self.fleet.after(
                self.fleet.draw.uniform(0.0, LINK_S),
                self.fleet.deliver,
                self.me.name,
                address,
                body,
            )


def run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


class Fleet:
    """Instances, engines and the requests of callers, in simulated time."""

    def __init__(self, *, size, engines, rate, factors=None, is_shared=True, seed=1):
        self.draw = random.Random(seed)
        self.now, self.rate, self.is_shared = 0.0, rate, is_shared
        self._queue, self._order = [], itertools.count()
        self._chosen = {}
        self.sent = collections.Counter()
        self.upstreams = [
            model.Upstream(
                name=f"engine-{k:03d}",
                service=SERVICE,
                address="x:1",
                domain=f"zone-{k % DOMAINS}",
                version="v",
                slots=SLOTS,
            )
            for k in range(engines)
        ]
        factors = factors or {}
        self.engines = {
            row.name: Engine(factor=factors.get(k, 1.0))
            for k, row in enumerate(self.upstreams)
        }
        self.members = [
            probes.Member(
                name=f"node-{k:03d}",
                address=f"node-{k:03d}",
                domain=f"zone-{k % DOMAINS}",
                incarnation=1,
                started=1,
            )
            for k in range(size)
        ]
        self.loads, self.placers = {}, {}
        for member in self.members:
            tracker = loads.Loads(peers=Peers(self, member))
            self.loads[member.name] = tracker
            self.placers[member.name] = placement.Placement(
                loads=tracker,
                speeds=speeds.Speeds(),
                domain=member.domain,
                rng=random.Random(self.draw.random()),
            )
        # Time, upstream and seconds to the first event of each request.
        self.chosen_at, self.first_s = [], []

    def chosen(self, purpose, count):
        """Return the hubs."""
        if count not in self._chosen:
            alive = types.SimpleNamespace(alive=lambda: self.members)
            chooser = types.SimpleNamespace(members=alive)
            self._chosen[count] = mesh.Mesh._choose(chooser, purpose, count)
        return self._chosen[count]

    def after(self, delay_s, action, *args):
        """Call a function after a time."""
        at = (self.now + delay_s, next(self._order))
        heapq.heappush(self._queue, (*at, action, args))

    def play(self, until_s):
        """Play until a time; may be called again to go on."""
        if not self.now:
            self._begin()
        while self._queue and self._queue[0][0] <= until_s:
            self.now, _, action, args = heapq.heappop(self._queue)
            action(*args)

    def shares(self, since_s, until_s=1e9):
        """Return the number of requests that each engine got within a time."""
        return collections.Counter(
            name for at, name in self.chosen_at if since_s <= at < until_s
        )

    def deliver(self, sender, address, body):
        """Hand a message to its handler."""
        handler = self.loads[address].peers.handlers[type(body)]
        run(handler(types.SimpleNamespace(sender=sender), body))

    def _begin(self):
        for member in self.members:
            self.after(self.draw.random(), self._report, member.name)
        self.after(0.0, self._arrive)

    def _report(self, name):
        tracker = self.loads[name]
        hubs, period_s = self.members, loads.DIRECT_PERIOD_S
        if not tracker.is_direct:
            count = max(loads.MIN_HUBS, len(self.members) // loads.DIRECT_MEMBERS)
            hubs, period_s = self.chosen("load", count), loads.HUB_PERIOD_S
        if self.is_shared:
            run(tracker._report(hubs, self.now))
        else:
            tracker.refresh_speeds(self.now)
        self.after(period_s, self._report, name)

    def _arrive(self):
        self.after(self.draw.expovariate(self.rate), self._arrive)
        name = self.draw.choice(self.members).name
        tracker, placer = self.loads[name], self.placers[name]
        customer = self.draw.randrange(CUSTOMERS)
        parts = (
            headers.Part(name=f"of-{customer}", tokens=SHARED_TOKENS),
            headers.Part(name=f"own-{len(self.chosen_at)}", tokens=OWN_TOKENS),
        )
        prompt = headers.Prompt(
            parts=parts,
            tokens_in=SHARED_TOKENS + OWN_TOKENS,
            tokens_out=EVENTS * EVENT_TOKENS,
        )
        prefill = placement.Prefill(service=SERVICE, model="m", prompt=prompt)
        upstream = placer.best(self.upstreams, prefill).name
        self.chosen_at.append((self.now, upstream))
        engine = self.engines[upstream]
        uncached = placer.uncached_tokens(upstream, prefill)
        request = tracker.begin(
            upstream,
            placer.prefill_s(upstream, prefill),
            service=SERVICE,
            model="m",
            tokens=prefill.tokens,
        )
        for key, part in zip(prefill.prefix_keys(), parts, strict=True):
            tracker.note_cached(upstream, key, part.tokens)
        key = prefill.prefix_keys()[0]
        read = OWN_TOKENS + (0 if key in engine.cached else SHARED_TOKENS)
        engine.cached.add(key)
        done_in_s = engine.prefilled_at(self.now, read) - self.now
        self.after(done_in_s, self._begin_answer, name, request, uncached, self.now)

    def _begin_answer(self, name, request, uncached, sent_at):
        tracker, took_s = self.loads[name], self.now - sent_at
        self.first_s.append((sent_at, took_s))
        factor = tracker.speed_factor(request.upstream, self.now)
        speed = self.placers[name].speeds.of(SERVICE, "m")
        speed.record_prefill(uncached, took_s / factor)
        tracker.note_prefilled(request, uncached_tokens=uncached, took_s=took_s)
        self.engines[request.upstream].streams += 1
        self._await_event(name, request, EVENTS)

    def _await_event(self, name, request, left):
        engine = self.engines[request.upstream]
        took_s = EVENT_TOKENS * STEP_S * (1.0 + 0.02 * engine.streams)
        took_s *= self.draw.lognormvariate(0.0, JITTER_LOG)
        # Prompts are read in pieces between the steps.
        took_s += min(0.1, 0.5 * max(0.0, engine.free_at - self.now))
        done_in_s = engine.end_of(self.now, took_s) - self.now
        self.after(done_in_s, self._end_event, name, request, left - 1)

    def _end_event(self, name, request, left):
        tracker = self.loads[name]
        tracker.note_events(request, 1, EVENT_TOKENS)
        request.timing.note_waiting(self.now)
        if left:
            self._await_event(name, request, left)
            return
        self.engines[request.upstream].streams -= 1
        tracker.end(request)
