"""Instances that watch a store for each other, in virtual time.

Relay, watch, isolation and records are the gateway's own; the store, the links and the
members are simulated. The store serves, refuses or ignores each instance by itself.
"""

import asyncio
import collections
import contextlib
import functools
import random
import types

import result
from masticpost_common import clock
from masticpost_gateway.sharing import mesh, relay
from masticpost_gateway.state import isolation, recordcache, source, timing, watching
from masticpost_peers import hub as peerhub

from support import gatewaykit as kit
from support import virtualfleet

DOMAINS = 4
STORE_S, LINK_S = 0.005, 0.003
LIST_TIMEOUT_S, WATCH_MARGIN_S = 1.5, 2.0
WARM_UP_S = 8.0
# How the store, or a process, fails for an instance.
REFUSED, RESET, SILENT, GONE = "refused", "reset", "silent", "gone"
# The bound and the calls per second that deployments of a size name.
APPLY_S = {8: 2.0, 70: 3.0, 195: 4.0}
READS_PER_S = {8: 2_000, 70: 6_000, 195: 16_000}


class Store(kit.FakeStore):
    """A store that fails for the instances in `how`, and counts the calls."""

    def __init__(self):
        super().__init__()
        self.how, self.slow_s, self.times = {}, 0.0, []
        self._pending = collections.defaultdict(set)

    def fail_for(self, name, how):
        self.how[name] = how
        for call in self._pending.pop(name, ()) if how == RESET else ():
            call.cancel()

    async def answer(self, name, call, limit_s):
        """Return the outcome of an instance's call, or how the store fails for it."""
        self.times.append((clock.now(), name))
        if name not in self.how:
            fut = asyncio.ensure_future(call)
            self._pending[name].add(fut)
            try:
                await asyncio.wait((fut,))
            finally:
                fut.cancel()
                self._pending[name].discard(fut)
            if name not in self.how:
                await asyncio.sleep(STORE_S + self.slow_s)
                return fut.result()
        call.close()
        is_silent = self.how[name] in (SILENT, GONE)
        await asyncio.sleep(limit_s if is_silent else STORE_S)
        kind = source.FaultKind.NOT_KNOWN if is_silent else source.FaultKind.NOT_DONE
        return result.Err(source.Fault(kind=kind, message=self.how[name]))

    def link(self, name):
        """Return the store as an instance reaches it."""

        async def list_all(kind):
            return await self.answer(name, self.list_all(kind), LIST_TIMEOUT_S)

        async def watch(kind, at, wait_s):
            call = self.watch(kind, at, wait_s)
            return await self.answer(name, call, wait_s + WATCH_MARGIN_S)

        return types.SimpleNamespace(list_all=list_all, watch=watch)


class Hub(virtualfleet.Hub):
    """Carries messages and calls, unless sender or receiver is gone."""

    async def call(self, address, body, timeout_s):
        if self.fleet.delay_s(self.name, address) is None:
            await asyncio.sleep(timeout_s)
            raise peerhub.PeerUnreachableError(address)
        await asyncio.sleep(2 * LINK_S)
        handler = self.fleet.by_name[address].relay.peers.hub.handlers[type(body)]
        return await handler(types.SimpleNamespace(sender=self.name), body)


class Fleet(virtualfleet.Fleet):
    """Instances that start together, with the time limits of their deployment."""

    def __init__(self, *, size, seed=1):
        random.seed(seed)
        self.limits = timing.Timing(apply_s=APPLY_S[size])
        self.store, self.gone, self.received = Store(), set(), {}
        self.sent = collections.Counter()
        self.members = virtualfleet.make_members(size, DOMAINS)
        self.choose = functools.cache(self._choose)
        self.by_name = {row.name: self._make(row) for row in self.members}

    def delay_s(self, sender, address):
        return None if {sender, address} & self.gone else LINK_S

    def _choose(self, purpose, count):
        alive = types.SimpleNamespace(alive=lambda: self.members)
        chooser = types.SimpleNamespace(members=alive)
        return mesh.Mesh._choose(chooser, purpose, count)

    def _make(self, member):
        others = [row for row in self.members if row is not member]
        rows = {row.name: row for row in self.members}
        peers = types.SimpleNamespace(
            me=member,
            hub=Hub(self, member.name),
            is_seed=True,
            others=lambda: others,
            seeds=lambda: others[:3],
            chosen=self.choose,
            members=types.SimpleNamespace(alive=lambda: self.members, get=rows.get),
        )
        records = recordcache.RecordCache()
        watch = watching.StoreWatch(
            store=self.store.link(member.name), records=records, limits=self.limits
        )
        shared = relay.Relay(
            peers=peers,
            records=records,
            watch=watch,
            trials=types.SimpleNamespace(open={}),
            isolation=isolation.Isolation(
                has_others=lambda: True, watch=watch, limits=self.limits
            ),
            limits=self.limits,
        )
        used_at = {}
        records.listen(lambda _: used_at.setdefault(records.table, clock.now()))
        return types.SimpleNamespace(
            name=member.name, relay=shared, watch=watch, used_at=used_at
        )

    async def start(self):
        """Write a configuration, start all instances and let them settle."""
        await self.store.put(source.Kind.CONFIGURATION, "main", kit.configuration(1))
        for row in self.by_name.values():
            await row.watch.start()
            await row.relay.start()
        await asyncio.sleep(WARM_UP_S)

    def watchers(self, rank=0):
        """Return the names of the watchers, with `rank` 1 of the standbys."""
        is_large = len(self.members) > relay.LARGE_DEPLOYMENT
        count = relay.WATCHERS_IF_LARGE if is_large else relay.WATCHERS
        ranked = self.choose("watch", (rank + 1) * count)
        return [row.name for row in ranked[rank * count :]]

    def lose(self, names, how):
        """Fail the store for some instances, or end these without a word."""
        for name in names:
            self.store.fail_for(name, how)
        self.gone |= set(names) if how == GONE else set()

    async def change(self):
        """Write a configuration; return the longest time until it is used.

        Counted are the instances that nothing has happened to; infinity if one has not
        used it a second after the bound.
        """
        version = self.store.revision + 1
        acked_at = clock.now()
        record = kit.configuration(version)
        await self.store.put(source.Kind.CONFIGURATION, "main", record)
        await asyncio.sleep(self.limits.apply_s + 1.0)
        worst_s = 0.0
        for name in self.by_name.keys() - self.store.how.keys():
            rows = self.by_name[name].used_at.items()
            times = [at for row, at in rows if row and row.cfg.version == version]
            worst_s = max(worst_s, min(times, default=float("inf")) - acked_at)
        return worst_s

    def busiest(self, since, window_s=1.0):
        """Return the most calls to the store in `window_s`, by those that are alive."""
        rows = self.store.times
        times = [at for at, name in rows if at >= since and name not in self.gone]
        return max(
            (sum(at <= t < at + window_s for t in times) for at in times), default=0
        )

    async def stop(self):
        for row in self.by_name.values():
            with contextlib.suppress(asyncio.CancelledError):
                await row.relay.stop()
                await row.watch.stop()
        await asyncio.sleep(1.0)
