"""Replication of the store's records: a few instances watch it and update the others.

The watchers are chosen by rendezvous hashing, spread over the failure domains. Each
other instance gets updates from two of them. An instance that gets no fresh updates
watches the store itself for a while and sends the changes that it sees to the watchers.
Each watcher forwards changes to the other watchers, so that one watcher with a
connection to the store is enough.

Watchers tell whether they follow the store. When none of those that update an instance
does, the standbys, as many instances as there are watchers, watch at once and update
the others in their place. The others wait for them briefly, and then watch by
themselves; while standbys or watchers are heard whose calls fail, they spread their
calls, so that all of them together call no more often than the watchers do.
"""

import asyncio
import math

import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import messages, probes

from masticpost_gateway.learning import trial
from masticpost_gateway.sharing import (
    beats,
    mesh,
    replication,
    senders,
    statefetch,
    storecontact,
    trialbeats,
)
from masticpost_gateway.state import isolation, recordcache, source, timing, watching

WATCHERS = 3
WATCHERS_IF_LARGE = 5
# A deployment with more instances than this counts as large.
LARGE_DEPLOYMENT = 24
HEARTBEAT_PERIOD_S = beats.HEARTBEAT_PERIOD_S
# Minimum duration of a fallback watch.
FALLBACK_WATCH_S = 10.0
# Time that a starting instance gives others to send their records.
BOOT_WAIT_S = 0.6
# Time after which a chosen instance starts to watch.
SETTLE_S = 1.0
CHOOSE_PERIOD_S = 0.05
# Time between the first calls of instances that take turns.
FIRST_CALL_PERIOD_S = 0.2
# A round that comes so late finds messages that are not read yet; the next one judges.
LATE_ROUND_S = 0.2


class Relay(mode.Service):
    """Keeps the cached records of this instance and of the others in sync.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the messages.
    records : recordcache.RecordCache
        Records to send to others and to update from their messages.
    watch : watching.StoreWatch
        Switched on while this instance watches the store.
    trials : trial.Trials
        Verdicts on versions on trial, sent and received with the heartbeats.
    isolation : isolation.Isolation
        Notified of contact with watchers.
    limits : timing.Timing, optional
        Time limits.

    Attributes
    ----------
    watchers : list of probes.Member
        The instances that watch the store for all.
    standbys : list of probes.Member
        The instances that replace the watchers when these lose the store.
    """

    def __init__(
        self,
        *,
        peers: mesh.Mesh,
        records: recordcache.RecordCache,
        watch: watching.StoreWatch,
        trials: trial.Trials,
        isolation: isolation.Isolation,
        limits: timing.Timing = watching.DEFAULT_LIMITS,
    ) -> None:
        super().__init__()
        self.limits = limits
        self.peers = peers
        self.records = records
        self.watch = watch
        self.trials = trials
        self.isolation = isolation
        self.watchers: list[probes.Member] = []
        self.standbys: list[probes.Member] = []
        self._started_at = clock.now()
        self.contact = storecontact.StoreContact(
            limits=limits, started_at=self._started_at
        )
        self._beats = beats.BeatSchedule(beat_s=limits.beat_s)
        self._round_at = self._started_at
        self._chosen_at: float | None = None
        self._fallback_until = -math.inf
        self._previous_configurations: dict[str, source.Entry] = {}
        self.fetcher = statefetch.StateFetch(
            peers=peers,
            records=records,
            watch=watch,
            isolation=isolation,
            limits=limits,
        )
        if not peers.is_seed:
            watch.first_call_at = self._started_at + BOOT_WAIT_S
        records.on_advance(self._on_advance)
        peers.hub.handle(replication.ReplicatedChanges, self._on_changes)
        peers.hub.handle(replication.Heartbeat, self._on_heartbeat)
        peers.hub.handle(replication.Pulse, self._on_pulse)

    async def on_start(self) -> None:
        """Start to fetch the records."""
        await self.fetcher.start()

    async def on_stop(self) -> None:
        """Stop fetching."""
        await self.fetcher.stop()

    @property
    def is_watcher(self) -> bool:
        """Whether this instance is one of those that watch the store for all."""
        return senders.is_in(self.watchers, self.peers.me.name)

    @property
    def is_standby(self) -> bool:
        """Whether this instance is one of those that replace the watchers."""
        return senders.is_in(self.standbys, self.peers.me.name)

    def recipients(self) -> list[str]:
        """Return the addresses of the instances to which this one sends updates."""
        me, others = self.peers.me.name, self.peers.others()
        if self.is_watcher:
            return senders.recipients(me, self.watchers, others)
        if not self.watch.is_active:
            return []
        addresses = [row.address for row in self.watchers]
        if self.is_standby:
            addresses += senders.recipients(me, self.standbys, others)
        return list(dict.fromkeys(addresses))

    @mode.Service.task
    async def choose_watchers(self) -> None:
        """Choose the watchers periodically, and switch the own watch on or off."""
        was_late = False
        while not self.should_stop:
            self._choose_watchers()
            now = clock.now()
            is_late = now - self._round_at > LATE_ROUND_S
            self._round_at = now
            if was_late or not is_late:
                self._update_watch(now)
            was_late = is_late and not was_late
            await asyncio.sleep(CHOOSE_PERIOD_S)

    def _choose_watchers(self) -> None:
        """Choose the watchers, and the next ones of the same order as standbys."""
        is_large = len(self.peers.members.alive()) > LARGE_DEPLOYMENT
        count = WATCHERS_IF_LARGE if is_large else WATCHERS
        self.watchers = self.peers.chosen("watch", count)
        names = {row.name for row in self.watchers}
        ranked = self.peers.chosen("watch", 2 * count)
        self.standbys = [row for row in ranked if row.name not in names][:count]

    def _update_watch(self, now: float) -> None:
        """Switch the own watch on or off.

        It is on while this instance is a watcher, and for at least `FALLBACK_WATCH_S`
        when the records are stale or the watchers have lost the store.
        """
        is_booting = now - self._started_at < BOOT_WAIT_S
        if is_booting and not self.peers.others():
            return
        oldest_s = max(view.age_s(now) for view in self.records.views.values())
        needs_fallback = self._needs_fallback(now, oldest_s)
        if needs_fallback and not self.watch.is_active:
            self._fallback_until = now + FALLBACK_WATCH_S
        if not needs_fallback and not self.is_standby and not self.watch.is_following:
            # Others were faster; the calls of this instance would add nothing.
            self._fallback_until = -math.inf
        is_active = (
            self._is_settled_watcher(now)
            or needs_fallback
            or now < self._fallback_until
        )
        self.watch.competing_instances = self._competing_instances(now)
        self.watch.start_spread_s = self._start_spread_s(now)
        self._note_informed(now)
        self.watch.is_urgent = self.isolation.is_isolated(now)
        if is_active != self.watch.is_active:
            logger.bind(
                event="watch",
                active=is_active,
                watcher=self.is_watcher,
                standby=self.is_standby,
                oldest_s=round(min(oldest_s, statefetch.MAX_REPORTED_AGE_S), 3),
            ).info("watch of the store switched on or off")
        self.watch.is_active = is_active

    def _note_informed(self, now: float) -> None:
        """Note since when changes reach this instance, by any way."""
        if not self.watch.follows(now) and not self.contact.is_informed(now):
            self.watch.informed_since = math.inf
        elif self.watch.informed_since == math.inf:
            self.watch.informed_since = now

    def _needs_fallback(self, now: float, oldest_s: float) -> bool:
        """Tell whether this instance has to watch the store without being a watcher."""
        if now - self._started_at <= 2 * BOOT_WAIT_S:
            return False
        lost_since = self.contact.lost_since(now)
        if lost_since is None:
            return oldest_s > statefetch.STALE_AFTER_S
        if self.is_watcher or self.is_standby:
            return True
        return now - lost_since >= self.limits.standby_s

    def _competing_instances(self, now: float) -> float:
        """Return the number of instances that call the store for each watcher.

        It is 1 for a watcher, 2 for a standby, which shares the calls with a watcher,
        and 1 for an instance without contact to one of them.
        """
        if self.is_watcher or not self.isolation.has_recent_contact(now):
            return 1.0
        if self.is_standby:
            return 2.0
        return max(1.0, len(self.peers.members.alive()) / max(1, len(self.watchers)))

    def _start_spread_s(self, now: float) -> float:
        """Return the time over which the first calls after a loss are spread.

        An instance that hears others call the store in vain, or whose records are only
        old, takes its turn among all; the store itself may be slow or away.
        """
        if self.is_watcher or self.is_standby:
            return 0.0
        is_lost = self.contact.lost_since(now) is not None
        if is_lost and not self.contact.others_try(now):
            return self.limits.spread_s
        calling = len(self.watchers) + len(self.standbys)
        waiting = max(0, len(self.peers.members.alive()) - calling)
        return waiting * FIRST_CALL_PERIOD_S

    def _is_settled_watcher(self, now: float) -> bool:
        """Tell whether this instance has been a watcher for `SETTLE_S`.

        Instances that start together choose by member lists that are not complete yet.
        """
        if not self.is_watcher:
            self._chosen_at = None
            return False
        if self._chosen_at is None:
            self._chosen_at = now
        return now - self._chosen_at >= SETTLE_S

    @mode.Service.task
    async def send_beats(self) -> None:
        """Tell the recipients periodically how fresh the views are, and of changes."""
        while not self.should_stop:
            await asyncio.sleep(CHOOSE_PERIOD_S)
            now = clock.now()
            standing = self._standing(now)
            due = self._beats.due(standing, now)
            addresses = self.recipients() if due is not None else []
            if not addresses:
                continue
            is_pulse = due is beats.Beat.PULSE
            body = replication.Pulse(standing=standing) if is_pulse else None
            await self.peers.hub.broadcast(addresses, body or self._heartbeat())

    def _standing(self, now: float) -> replication.Standing:
        return replication.Standing(
            watches=self.watch.is_active,
            follows=self.watch.follows(now),
            hears=self.contact.hears(now),
        )

    def _heartbeat(self) -> replication.Heartbeat:
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
        return replication.Heartbeat(
            views=views,
            standing=self._standing(now),
            **trialbeats.told(self.trials, now, has_doubts=self.is_watcher),
        )

    def _on_advance(self, advance: recordcache.Advance) -> None:
        bases, self._previous_configurations = (
            self._previous_configurations,
            self._configurations(),
        )
        addresses = self.recipients()
        if not addresses or not (advance.changed or advance.removed):
            return
        age_s = self.records.views[advance.kind].age_s(clock.now())
        body = replication.ReplicatedChanges(
            kind=advance.kind,
            since=advance.since,
            at=advance.at,
            age_s=age_s,
            regained_s=min(
                clock.now() - self.records.recovered_at, statefetch.MAX_REPORTED_AGE_S
            ),
            changed=[
                replication.encode_entry(row, bases.get(row.name))
                for row in advance.changed
            ],
            removed=list(advance.removed),
        )
        self.add_future(self.peers.hub.broadcast(addresses, body))

    async def _on_changes(
        self, envelope: messages.Envelope, body: replication.ReplicatedChanges
    ) -> None:
        view = self.records.views[body.kind]
        if body.at <= view.at:
            return
        recovered_at = clock.now() - body.regained_s
        is_recent = body.regained_s < recordcache.LAPSE_GRACE_S
        if is_recent and not self.watch.was_informed(recovered_at):
            self.records.note_store_recovery(recovered_at)
        if view.at < 0 or body.since > view.at:
            await self.fetcher.fetch(envelope.sender, body.kind)
            return
        try:
            rows = [
                replication.decode_entry(body.kind, row, view.entries.get(row.name))
                for row in body.changed
            ]
        except replication.OtherBaseError:
            await self.fetcher.fetch(envelope.sender, body.kind)
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

    def _configurations(self) -> dict[str, source.Entry]:
        return dict(self.records.views[source.Kind.CONFIGURATION].entries)

    async def _on_heartbeat(
        self, envelope: messages.Envelope, body: replication.Heartbeat
    ) -> None:
        now = clock.now()
        self._note_standing(envelope.sender, body.standing, now)
        for row in body.views:
            view = self.records.views[row.kind]
            if view.at < row.changed_at:
                await self.fetcher.fetch(envelope.sender, row.kind)
                continue
            view.at = max(view.at, row.at)
            self.records.confirm(row.kind, now - row.age_s)
        trialbeats.note(self.trials, body, envelope.sender)

    async def _on_pulse(
        self, envelope: messages.Envelope, body: replication.Pulse
    ) -> None:
        self._note_standing(envelope.sender, body.standing, clock.now())

    def _note_standing(
        self, sender: str, standing: replication.Standing, now: float
    ) -> None:
        if standing.watches and senders.is_in(self.watchers + self.standbys, sender):
            self.isolation.note_contact(now)
        self.contact.note(sender, standing, now)
