"""Load of all instances at each upstream, and the prompts that it has cached.

Each instance reports its active requests and the prompts that it sent to each upstream
to the others, several times per second. Together with its own requests this gives an
instance a nearly complete view without queries to the upstreams. In a large deployment
a few instances, the hubs, sum up the reports of the others, exchange the sums and send
them back, so that the number of messages grows linearly with the number of instances
and not quadratically.
"""

import asyncio
import collections
import math

import attrs
import mode
from masticpost_common import clock, rendezvous
from masticpost_peers import messages, probes

from masticpost_gateway.learning import upstreamspeeds
from masticpost_gateway.sharing import loadreports, mesh, speedsharing
from masticpost_gateway.state import model

# Up to this many instances report to each other directly; a larger deployment has one
# hub for each group of this size, and at least `MIN_HUBS`.
DIRECT_MEMBERS = 12
MIN_HUBS = 4
DIRECT_PERIOD_S = 0.1
HUB_PERIOD_S = 0.2
# Unchanged loads are sent again before receivers drop them, see
# `loadreports.REPORT_TTL_S`.
RESEND_PERIOD_S = 1.0
CACHED_PART_TTL_S = 90.0
# A cached part is reported to the others again after this time at the earliest.
PART_REPORT_PERIOD_S = 15.0
# Time until the load reports of a large deployment show a request to the others.
VIEW_AGE_S = 0.4
# Share of the other instances that have probably chosen an upstream at the same time as
# this one.
CONCURRENT_SHARE = 0.25
# Size of an upstream's cache if the configuration gives none.
DEFAULT_CACHE_TOKENS = 200_000
# An upstream that has rejected a request counts as full for this time.
REJECTION_HOLD_OFF_S = 0.3


@attrs.define(kw_only=True)
class Part:
    """A part of a prompt that an upstream has read and probably caches.

    Attributes
    ----------
    tokens : int
        Length of the part.
    read_at : float
        Monotonic time in seconds at which it was last sent to the upstream.
    told_at : float
        Monotonic time in seconds at which it was last reported, by any instance.
    """

    tokens: int
    read_at: float
    told_at: float = -math.inf


@attrs.define(kw_only=True)
class PromptCache:
    """Model of one upstream's prompt cache: the cached parts, least recent first."""

    parts: collections.OrderedDict[str, Part] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def put(self, key: str, tokens: int, at: float, capacity: int) -> Part:
        """Add a part, and evict the least recent ones beyond `capacity` tokens."""
        part = self.parts.pop(key, None) or Part(tokens=0, read_at=at)
        self.tokens += tokens - part.tokens
        part.tokens, part.read_at = tokens, at
        self.parts[key] = part
        while self.parts and self.tokens > capacity:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted.tokens
        return part


@attrs.define(kw_only=True, eq=False)
class ActiveRequest:
    """A request that an upstream is running.

    Attributes
    ----------
    prefill_s : float
        Expected time to read its prompt, in seconds at the usual speed.
    timing : upstreamspeeds.RequestTiming
        Times from which the speed of the upstream is estimated.
    tokens : int
        Tokens of its prompt and its expected answer.
    begun_at : float
        Monotonic time in seconds at which it was sent.
    forecast_s : float
        Time to its first event as forecast when it was sent, in seconds.
    is_prefilled : bool
        Whether the prompt was read, since the response has begun.
    """

    upstream: str
    prefill_s: float
    timing: upstreamspeeds.RequestTiming
    tokens: int = 0
    begun_at: float = -math.inf
    forecast_s: float = 0.0
    is_prefilled: bool = False


class Loads(mode.Service):
    """Tracks the load and the prompt cache of each upstream, over all instances.

    Parameters
    ----------
    peers : mesh.Mesh
        Carries the reports.

    Attributes
    ----------
    cache_tokens : int
        Size of one upstream's prompt cache.
    memory_tokens : dict of str to int
        Tokens in flight for which one upstream has memory, by service.
    speeds : speedsharing.SpeedSharing
        Speeds of the upstreams.
    """

    def __init__(self, *, peers: mesh.Mesh) -> None:
        super().__init__()
        self.peers = peers
        # This instance's requests by upstream, and their sums.
        self._active: dict[str, set[ActiveRequest]] = {}
        self._cached_loads: dict[str, loadreports.Load] = {}
        self.cache_tokens = DEFAULT_CACHE_TOKENS
        self.memory_tokens: dict[str, int] = {}
        self.speeds = speedsharing.SpeedSharing()
        self._prompt_caches: dict[str, PromptCache] = {}
        self._full_until: dict[str, float] = {}
        # Reports of the other hubs, of a hub's members, and of the own hub.
        self._hub_reports = loadreports.ReportedLoads()
        self._member_reports = loadreports.ReportedLoads()
        self._sums = loadreports.ReportedLoads()
        # Parts to report to the hubs, and parts that a hub forwards to its members.
        self._pending_updates: list[loadreports.PartUpdate] = []
        self._member_updates: list[loadreports.PartUpdate] = []
        self._last_sent: dict[str, loadreports.Load] = {}
        self._last_sent_at = -math.inf
        self._is_dirty = False
        peers.hub.handle(loadreports.LoadReport, self._on_report)
        peers.hub.handle(loadreports.MemberLoad, self._on_member)
        peers.hub.handle(loadreports.LoadSums, self._on_sums)

    def begin(
        self,
        upstream: str,
        prefill_s: float,
        *,
        service: str = "",
        model: str = "",
        tokens: int = 0,
    ) -> ActiveRequest:
        """Note a request that an upstream starts; its prefill takes `prefill_s`.

        Parameters
        ----------
        service, model : str
            Names by which the usual time is learnt.
        tokens : int
            Tokens of its prompt and its expected answer.
        """
        now = clock.now()
        load = self.total(upstream, now)
        timing = upstreamspeeds.RequestTiming(
            upstream=upstream,
            service=service,
            model=model,
            wait_s=load.reading_s + prefill_s,
            waits_since=now,
            is_alone=not load.unread,
        )
        request = ActiveRequest(
            upstream=upstream,
            prefill_s=prefill_s,
            timing=timing,
            tokens=tokens,
            begun_at=now,
        )
        self._active.setdefault(upstream, set()).add(request)
        self._note_change(upstream)
        return request

    def note_prefilled(
        self, request: ActiveRequest, *, uncached_tokens: int = 0, took_s: float = 0.0
    ) -> None:
        """Note that the prompt of a request was read and its response has begun.

        Parameters
        ----------
        uncached_tokens : int
            Tokens that were read in `took_s` seconds, to measure the speed; 0 if that
            says nothing about it.
        """
        now = clock.now()
        if self.total(request.upstream, now).unread > 1:
            request.timing.is_alone = False
        self.speeds.samples.record_prefill(
            request.timing,
            tokens=uncached_tokens,
            took_s=took_s,
            factor=self.speed_factor(request.upstream, now),
            now=now,
        )
        request.is_prefilled = request.timing.is_prefilled = True
        request.timing.note_progress(now)
        request.timing.note_waiting(now)
        self._note_change(request.upstream)

    def note_events(self, request: ActiveRequest, events: int, tokens: int) -> None:
        """Note that events of a stream have arrived and are passed on."""
        now = clock.now()
        load = self.total(request.upstream, now)
        self.speeds.samples.record_events(
            request.timing,
            events=events,
            tokens=tokens,
            reading_s=load.reading_s,
            streams=load.streams,
            factor=self.speed_factor(request.upstream, now),
            now=now,
        )
        request.timing.note_progress(now)

    def speed_factor(self, upstream: str, now: float) -> float:
        """Return the time that an upstream takes as a multiple of the usual one."""
        factor = self.speeds.factors.get(upstream)
        if factor is None:
            requests = self.total(upstream, now).requests
            factor = self.speeds.compute(upstream, requests, now)
        return factor

    def end(self, request: ActiveRequest) -> None:
        """Note that a request has ended."""
        active = self._active.get(request.upstream, set())
        active.discard(request)
        if not active:
            self._active.pop(request.upstream, None)
        self._note_change(request.upstream)

    def _note_change(self, upstream: str) -> None:
        self._cached_loads.pop(upstream, None)
        self._is_dirty = True

    def note_cached(self, upstream: str, key: str, tokens: int) -> None:
        """Note that an upstream reads a part of a prompt and will cache it.

        It is reported to the others, unless it was within `PART_REPORT_PERIOD_S`.
        """
        now = clock.now()
        update = loadreports.PartUpdate(upstream=upstream, key=key, tokens=tokens)
        part = self._cache_part(update, now)
        if now - part.told_at > PART_REPORT_PERIOD_S:
            part.told_at = now
            self._pending_updates.append(update)

    def has_cached(self, upstream: str, key: str, now: float) -> bool:
        """Tell whether an upstream probably caches a part of a prompt."""
        cache = self._prompt_caches.get(upstream)
        if cache is None or key not in cache.parts:
            return False
        return now - cache.parts[key].read_at < CACHED_PART_TTL_S

    def total(self, upstream: str, now: float) -> loadreports.Load:
        """Return the load of all instances at an upstream."""
        own = self._own_load(upstream)
        reading_s, streams, unread = own.reading_s, own.streams, own.unread
        tokens = own.tokens
        for reports in (self._hub_reports, self._member_reports):
            reported = reports.sum(upstream, now)
            reading_s += reported.reading_s
            streams += reported.streams
            unread += reported.unread
            tokens += reported.tokens
        sums = self._sums.sum(upstream, now)
        if sums.senders:
            # The sums include the load that this instance itself has reported.
            sent = self._last_sent.get(upstream, loadreports.Load(upstream=upstream))
            reading_s += max(0.0, sums.reading_s - sent.reading_s)
            streams += max(0, sums.streams - sent.streams)
            unread += max(0, sums.unread - sent.unread)
            tokens += max(0, sums.tokens - sent.tokens)
        return loadreports.Load(
            upstream=upstream,
            reading_s=round(reading_s, 3),
            streams=streams,
            unread=unread,
            tokens=tokens,
        )

    def concurrent_s(self, upstream: str, now: float) -> float:
        """Return the prefill time that others have probably sent to an upstream.

        Load reports in a large deployment are old. When many requests come at once, as
        after a crash, all instances see the same idle upstream, and learn too late that
        others have chosen it too. The others are taken to send a share of what this
        instance has just sent there.
        """
        if self.is_direct:
            return 0.0
        recent_s = sum(
            row.prefill_s
            for row in self._active.get(upstream, ())
            if row.begun_at > now - VIEW_AGE_S
        )
        others = len(self.peers.members.alive()) - 1
        return CONCURRENT_SHARE * others * recent_s

    def note_rejection(self, upstream: str) -> None:
        """Note that an upstream has rejected a request because it is full."""
        self._full_until[upstream] = clock.now() + REJECTION_HOLD_OFF_S

    def has_room(
        self,
        upstream: model.Upstream,
        tokens: int = 0,
        load: loadreports.Load | None = None,
    ) -> bool:
        """Tell whether an upstream would probably start one more request at once.

        Parameters
        ----------
        tokens : int
            Tokens of its prompt and its expected answer.
        load : loadreports.Load, optional
            Its load if it is known already.
        """
        now = clock.now()
        if now < self._full_until.get(upstream.name, -math.inf):
            return False
        load = load or self.total(upstream.name, now)
        memory = self.memory_tokens.get(upstream.service, 0)
        if memory and load.tokens + tokens > memory:
            return False
        return load.requests < upstream.slots

    def set_memory(self, tokens: dict[str, int]) -> None:
        """Set the size of one upstream's memory by service; 0 if unknown."""
        self.memory_tokens = tokens
        self.cache_tokens = max(tokens.values(), default=0) or self.cache_tokens

    def keep_only(self, names: set[str]) -> None:
        """Drop the state of upstreams that are not in `names`."""
        for name in self._full_until.keys() - names:
            del self._full_until[name]
        for name in self._prompt_caches.keys() - names:
            del self._prompt_caches[name]
        for name in self._cached_loads.keys() - names - self._active.keys():
            del self._cached_loads[name]
        self.speeds.samples.keep_only(names)

    def forget(self, upstream: str) -> None:
        """Drop the model of an upstream's prompt cache, after its restart."""
        self._prompt_caches.pop(upstream, None)

    @property
    def is_direct(self) -> bool:
        """Whether instances report to each other directly, so that views are fresh."""
        return len(self.peers.members.alive()) <= DIRECT_MEMBERS

    @mode.Service.task
    async def report(self) -> None:
        """Report changes until the service stops."""
        while not self.should_stop:
            members = self.peers.members.alive()
            if self.is_direct:
                hubs = members
                await asyncio.sleep(DIRECT_PERIOD_S)
            else:
                count = max(MIN_HUBS, len(members) // DIRECT_MEMBERS)
                hubs = self.peers.chosen("load", count)
                await asyncio.sleep(HUB_PERIOD_S)
            await self._report(hubs, clock.now())

    async def _report(self, hubs: list[probes.Member], now: float) -> None:
        self.refresh_speeds(now)
        me = self.peers.me
        if all(hub.name != me.name for hub in hubs):
            hub = hub_of(me.name, me.domain, hubs)
            await self._report_to_hub(hub.address)
            return
        own, loads = self._own_loads(), []
        for name in sorted(own.keys() | self._member_reports.upstreams(now)):
            load = own.get(name, loadreports.Load(upstream=name))
            loads.append(load.plus(self._member_reports.total(name, now)))
        updates, self._pending_updates = self._pending_updates, []
        others = [hub.address for hub in hubs if hub.name != me.name]
        rows = self.speeds.reports.take(self.speeds.own_and_members(now), now)
        if updates or rows or self._should_send(loads):
            work = loadreports.to_columns(loads, updates, speedsharing.to_wire(rows))
            await self.peers.hub.broadcast(others, loadreports.LoadReport(work=work))
        self._member_updates += updates
        await self._send_sums(hubs, now)

    async def _report_to_hub(self, address: str) -> None:
        loads, now = list(self._own_loads().values()), clock.now()
        rows = self.speeds.reports.take(self.speeds.own_and_members(now), now)
        if not (self._pending_updates or rows) and not self._should_send(loads):
            return
        updates, self._pending_updates = self._pending_updates, []
        work = loadreports.to_columns(loads, updates, speedsharing.to_wire(rows))
        await self.peers.hub.broadcast([address], loadreports.MemberLoad(work=work))

    async def _send_sums(self, hubs: list[probes.Member], now: float) -> None:
        hub_names = {hub.name for hub in hubs}
        members = [
            member.address
            for member in self.peers.others()
            if member.name not in hub_names
            and hub_of(member.name, member.domain, hubs).name == self.peers.me.name
        ]
        updates, self._member_updates = self._member_updates, []
        if not members:
            return
        upstreams = set(self._last_sent) | self._hub_reports.upstreams(now)
        sums = [self.total(name, now) for name in sorted(upstreams)]
        rows = self.speeds.sums.take(self.speeds.all_rows(now), now)
        work = loadreports.to_columns(sums, updates, speedsharing.to_wire(rows))
        await self.peers.hub.broadcast(members, loadreports.LoadSums(work=work))

    def _should_send(self, loads: list[loadreports.Load]) -> bool:
        """Tell whether loads have changed, or must be repeated before they expire.

        If so, they count as sent.
        """
        now = clock.now()
        is_due = bool(loads) and now - self._last_sent_at > RESEND_PERIOD_S
        if not self._is_dirty and not is_due:
            return False
        self._is_dirty = False
        self._last_sent = {load.upstream: load for load in loads}
        self._last_sent_at = now
        return True

    def _own_loads(self) -> dict[str, loadreports.Load]:
        return {name: self._own_load(name) for name in self._active}

    def _own_load(self, upstream: str) -> loadreports.Load:
        """Return this instance's load at an upstream.

        A prompt counts in full until it is read: how much of it is read already is not
        known, as it may wait behind the prompts of other instances.
        """
        cached = self._cached_loads.get(upstream)
        if cached is not None:
            return cached
        active = self._active.get(upstream, ())
        cached = loadreports.Load(
            upstream=upstream,
            reading_s=round(
                sum(row.prefill_s for row in active if not row.is_prefilled), 3
            ),
            streams=sum(row.is_prefilled for row in active),
            unread=sum(not row.is_prefilled for row in active),
            tokens=sum(row.tokens for row in active),
        )
        self._cached_loads[upstream] = cached
        return cached

    def refresh_speeds(self, now: float) -> None:
        """Update the speeds with this instance's samples and overdue requests."""
        rows = {}
        for name in self.speeds.samples.upstreams() | self._active.keys():
            found = self.speeds.samples.evidence(name, now)
            found = found.plus(self._overdue(name, now))
            if found != upstreamspeeds.NO_EVIDENCE:
                rows[name] = found
        self.speeds.refresh(rows)

    def _overdue(self, upstream: str, now: float) -> upstreamspeeds.Evidence:
        """Return the evidence of this instance's overdue requests at an upstream."""
        found = upstreamspeeds.NO_EVIDENCE
        active = self._active.get(upstream)
        if not active:
            return found
        load = self.total(upstream, now)
        factor = self.speed_factor(upstream, now)
        for request in active:
            found = found.plus(
                self.speeds.samples.overdue(
                    request.timing,
                    reading_s=load.reading_s,
                    streams=load.streams,
                    factor=factor,
                    now=now,
                )
            )
        return found

    async def _on_report(
        self, envelope: messages.Envelope, body: loadreports.LoadReport
    ) -> None:
        self._store_speeds(self.speeds.from_hubs, envelope.sender, body.work)
        self._member_updates += self._store_report(
            self._hub_reports, envelope.sender, body.work
        )

    async def _on_member(
        self, envelope: messages.Envelope, body: loadreports.MemberLoad
    ) -> None:
        self._store_speeds(self.speeds.from_members, envelope.sender, body.work)
        self._pending_updates += self._store_report(
            self._member_reports, envelope.sender, body.work
        )
        self._is_dirty = True

    async def _on_sums(
        self, envelope: messages.Envelope, body: loadreports.LoadSums
    ) -> None:
        self._store_speeds(self.speeds.from_own_hub, "hub", body.work)
        self._store_report(self._sums, "hub", body.work)

    def _store_speeds(
        self,
        reports: speedsharing.ReportedSpeeds,
        sender: str,
        work: loadreports.Columns,
    ) -> None:
        self.speeds.store(reports, sender, work.speeds, clock.now())

    def _store_report(
        self, reports: loadreports.ReportedLoads, sender: str, work: loadreports.Columns
    ) -> list[loadreports.PartUpdate]:
        now = clock.now()
        reports.put(sender, work.loads(), now)
        updates = work.parts()
        for update in updates:
            self._cache_part(update, now).told_at = now
        return updates

    def _cache_part(self, update: loadreports.PartUpdate, now: float) -> Part:
        cache = self._prompt_caches.setdefault(update.upstream, PromptCache())
        return cache.put(update.key, update.tokens, now, self.cache_tokens)


def hub_of(name: str, domain: str, hubs: list[probes.Member]) -> probes.Member:
    """Return the hub of an instance: one of its own failure domain if there is one."""
    candidates = [hub for hub in hubs if hub.domain == domain] or hubs
    by_name = {hub.name: hub for hub in candidates}
    return by_name[rendezvous.owner(by_name, name)]
