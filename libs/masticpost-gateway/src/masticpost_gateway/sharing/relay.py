"""A few instances watch the store and tell the others what changed.

The watchers are chosen by rendezvous hashing, spread over the failure domains. Each
other instance is told by two of them; an instance that hears nothing fresh watches by
itself for a while and tells the watchers what it learns. What one watcher learns it
passes on to the other watchers, so that one with a way to the store is enough.

When no watcher reaches the store, all others come to help at the same time: those that
hear the watchers spread their calls, so that all together call no more often than the
watchers do.
"""

import asyncio
import math
import random

import mode
from loguru import logger
from masticpost_common import clock, rendezvous
from masticpost_peers import hub, messages, probes

from masticpost_gateway.learning import trial
from masticpost_gateway.sharing import mesh, replication
from masticpost_gateway.state import isolation, recordcache, source, watching

WATCHERS = 3
WATCHERS_OF_MANY = 5
MANY_MEMBERS = 24
TOLD_BY = 2
BEAT_S = 1.0
STALE_S = 5.0
HELP_S = 10.0
BOOT_WAIT_S = 0.6
SETTLE_S = 1.0
ASK_TIMEOUT_S = 1.0
CHOOSE_PERIOD_S = 0.1
FIRST_ASK_PERIOD_S = 0.05
MAX_AGE_S = 1e6


class Relay(mode.Service):
    """Keeps the beliefs of this instance and of the others together.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    records : recordcache.RecordCache
        Views to pass on and to fill.
    watch : watching.StoreWatch
        Switched on while this instance watches the store.
    trials : trial.Trials
        Versions found bad are told and heard.
    isolation : isolation.Isolation
        Told when another instance is heard.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        records: recordcache.RecordCache,
        watch: watching.StoreWatch,
        trials: trial.Trials,
        isolation: isolation.Isolation,
    ) -> None:
        super().__init__()
        self.peers = peers
        self.records = records
        self.watch = watch
        self.trials = trials
        self.isolation = isolation
        self.watchers: list[probes.Member] = []
        self._started_at = clock.now()
        self._chosen_at: float | None = None
        self._helps_until = -math.inf
        self._asking: set[source.Kind] = set()
        self._passed: dict[str, source.Entry] = {}
        self._whole: dict[
            source.Kind, tuple[int, list[replication.ReplicatedEntry]]
        ] = {}
        if not peers.is_seed:
            watch.first_call_at = self._started_at + BOOT_WAIT_S
        records.on_advance(self._advanced)
        peers.hub.handle(replication.ReplicatedChanges, self._on_changes)
        peers.hub.handle(replication.StateRequest, self._on_ask)
        peers.hub.handle(replication.Heartbeat, self._on_beat)

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is one of those that watch for all."""
        return any(row.name == self.peers.me.name for row in self.watchers)

    def recipients(self) -> list[str]:
        """Return the addresses that this instance passes changes on to."""
        if not self.is_watcher:
            helps = self.watch.is_active
            return [row.address for row in self.watchers] if helps else []
        names = [row.name for row in self.watchers]
        found = []
        for member in self.peers.others():
            if member.name in names or self.peers.me.name in self._tellers(member):
                found.append(member.address)
        return found

    def _tellers(self, member: probes.Member) -> list[str]:
        """Return the watchers that tell an instance, one of its own domain first.

        That one is heard while the domain is cut off, and over no long link.
        """
        domains = {row.name: row.domain for row in self.watchers}
        ranked = rendezvous.ranked(domains, member.name)
        near = [name for name in ranked if domains[name] == member.domain][:1]
        return (near + [name for name in ranked if name not in near])[:TOLD_BY]

    @mode.Service.task
    async def choose(self) -> None:
        """Keep the watchers chosen and the own watch on or off."""
        while not self.should_stop:
            members = len(self.peers.members.alive())
            many = members > MANY_MEMBERS
            count = WATCHERS_OF_MANY if many else WATCHERS
            self.watchers = self.peers.chosen("watch", count)
            self._switch(clock.now())
            await asyncio.sleep(CHOOSE_PERIOD_S)

    def _switch(self, now: float) -> None:
        booting = now - self._started_at < BOOT_WAIT_S
        if booting and not self.peers.others():
            return
        oldest_s = max(view.age_s(now) for view in self.records.views.values())
        is_cut_off = oldest_s > STALE_S or self.isolation.has_lost_contact(now)
        lost = is_cut_off and now - self._started_at > 2 * BOOT_WAIT_S
        if lost and not self.watch.is_active:
            self._helps_until = now + HELP_S
        wanted = self._is_chosen_for_good(now) or lost or now < self._helps_until
        self.watch.competing_instances = self._competing_instances(now)
        self.watch.is_urgent = self.isolation.is_isolated(now)
        if wanted != self.watch.is_active:
            logger.bind(
                event="watch",
                active=wanted,
                watcher=self.is_watcher,
                oldest_s=round(min(oldest_s, MAX_AGE_S), 3),
            ).info("own watch switched")
        self.watch.is_active = wanted

    def _competing_instances(self, now: float) -> float:
        """Return how many instances call the store for each watcher that would."""
        if self.is_watcher or not self.isolation.has_recent_contact(now):
            return 1.0
        return max(1.0, len(self.peers.members.alive()) / max(1, len(self.watchers)))

    def _is_chosen_for_good(self, now: float) -> bool:
        """Tell whether this instance has been a watcher for a while.

        Instances that start together choose by lists of members that are not full yet.
        """
        if not self.is_watcher:
            self._chosen_at = None
            return False
        if self._chosen_at is None:
            self._chosen_at = now
        return now - self._chosen_at >= SETTLE_S

    @mode.Service.task
    async def beat(self) -> None:
        """Tell how fresh this watcher's views are."""
        while not self.should_stop:
            await asyncio.sleep(BEAT_S)
            addresses = self.recipients()
            if addresses:
                await self.peers.hub.broadcast(addresses, self._beat())

    def _beat(self) -> replication.Heartbeat:
        now = clock.now()
        views = [
            replication.Freshness(
                kind=view.kind,
                at=view.at,
                changed_at=view.changed_at,
                age_s=view.age_s(now),
            )
            for view in self.records.views.values()
            if view.at >= 0
        ]
        bad = [
            replication.BadVersion(
                service=service, target=row.order.target, reason=row.verdict
            )
            for service, row in self.trials.open.items()
            if row.verdict
        ]
        doubted = [
            replication.BadVersion(service=service, target=row.order.target, reason="")
            for service, row in self.trials.open.items()
            if self.is_watcher and row.is_doubtful(now)
        ]
        return replication.Heartbeat(
            views=views, bad=bad, watches=self.watch.is_active, doubted=doubted
        )

    def _advanced(self, step: recordcache.Advance) -> None:
        bases, self._passed = self._passed, self._configurations()
        addresses = self.recipients()
        if not addresses or not (step.changed or step.removed):
            return
        age_s = self.records.views[step.kind].age_s(clock.now())
        body = replication.ReplicatedChanges(
            kind=step.kind,
            since=step.since,
            at=step.at,
            age_s=age_s,
            regained_s=min(clock.now() - self.records.recovered_at, MAX_AGE_S),
            changed=[
                replication.encode_entry(row, bases.get(row.name))
                for row in step.changed
            ],
            removed=list(step.removed),
        )
        self.add_future(self.peers.hub.broadcast(addresses, body))

    async def _on_changes(
        self, envelope: messages.Envelope, body: replication.ReplicatedChanges
    ) -> None:
        view = self.records.views[body.kind]
        if body.at <= view.at:
            return
        if body.regained_s < recordcache.LAPSE_GRACE_S:
            self.records.note_store_recovery(clock.now() - body.regained_s)
        if view.at < 0 or body.since > view.at:
            await self._ask(envelope.sender, body.kind)
            return
        try:
            rows = [
                replication.decode_entry(body.kind, row, view.entries.get(row.name))
                for row in body.changed
            ]
        except replication.OtherBaseError:
            await self._ask(envelope.sender, body.kind)
            return
        events = [source.Event(entry=row, is_removed=False) for row in rows]
        events += [
            source.Event(
                entry=source.Entry(name=name, revision=body.at, record=None),
                is_removed=True,
            )
            for name in body.removed
        ]
        changes = source.Changes(events=tuple(events), at=body.at)
        self.records.apply(body.kind, changes, clock.now() - body.age_s)

    async def _on_ask(
        self, envelope: messages.Envelope, body: replication.StateRequest
    ) -> replication.ReplicatedState:
        view = self.records.views[body.kind]
        return replication.ReplicatedState(
            kind=body.kind,
            at=view.at,
            age_s=min(view.age_s(clock.now()), MAX_AGE_S),
            entries=self._whole_state(view),
        )

    def _whole_state(self, view: recordcache.View) -> list[replication.ReplicatedEntry]:
        """Return a view encoded; many ask for the same one when they start together."""
        at, rows = self._whole.get(view.kind, (-1, []))
        if at != view.changed_at:
            rows = [replication.encode_entry(entry) for entry in view.entries.values()]
            self._whole[view.kind] = (view.changed_at, rows)
        return rows

    def _configurations(self) -> dict[str, source.Entry]:
        return dict(self.records.views[source.Kind.CONFIGURATION].entries)

    async def _on_beat(
        self, envelope: messages.Envelope, body: replication.Heartbeat
    ) -> None:
        now = clock.now()
        is_watcher = any(row.name == envelope.sender for row in self.watchers)
        if is_watcher and body.watches:
            self.isolation.note_contact(now)
        for row in body.views:
            view = self.records.views[row.kind]
            if view.at < row.changed_at:
                await self._ask(envelope.sender, row.kind)
                continue
            view.at = max(view.at, row.at)
            self.records.confirm(row.kind, now - row.age_s)
        for row in body.bad:
            self.trials.mark_bad(row.service, row.target, row.reason)
        for row in body.doubted:
            self.trials.mark_doubtful(row.service, row.target)

    async def _ask(self, sender: str, kind: source.Kind) -> None:
        member = self.peers.members.get(sender)
        if member is None or kind in self._asking:
            return
        self._asking.add(kind)
        try:
            state = await self.peers.hub.call(
                member.address, replication.StateRequest(kind=kind), ASK_TIMEOUT_S
            )
        except hub.PeerUnreachableError as exc:
            logger.bind(event="relay", kind=kind.value).warning("not told: {}", exc)
            return
        finally:
            self._asking.discard(kind)
        is_first = self.records.views[kind].at < 0
        may_wait = is_first and self.watch.may_answer_soon(kind, clock.now())
        if state.at < 0 or (may_wait and state.age_s > STALE_S):
            # The store or another instance may know better.
            return
        entries = tuple(replication.decode_entry(kind, row) for row in state.entries)
        listing = source.Listing(entries=entries, at=state.at)
        self.records.replace(kind, listing, clock.now() - state.age_s)
        if state.age_s <= STALE_S:
            self.isolation.note_contact(clock.now())

    @mode.Service.task
    async def fetch_first(self) -> None:
        """Ask others for everything that is not records yet.

        Seeds ask the store at once; any other instance may have been told meanwhile.
        """
        while not self.should_stop:
            missing = [k for k, view in self.records.views.items() if view.at < 0]
            if not missing:
                return
            tellers = random.choice((self.peers.seeds(), self.peers.others()))
            tellers = tellers or self.peers.others()
            if tellers:
                teller = random.choice(tellers).name
                await asyncio.gather(*(self._ask(teller, kind) for kind in missing))
            await asyncio.sleep(FIRST_ASK_PERIOD_S)
