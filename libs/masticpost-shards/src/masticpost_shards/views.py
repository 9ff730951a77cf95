"""The shared view: warm upstreams, suspected requests and trials of versions.

The logs of the shard owners are authoritative. A change is broadcast to every live
instance at once. Each instance also polls the owner of one shard per period, in turn:
this repairs lost broadcasts at a cost that does not depend on the number of shards.
"""

import asyncio
import collections.abc
import itertools
import uuid

import attrs
import mode
from loguru import logger
from masticpost_common import clock
from masticpost_peers import hub, messages

from masticpost_shards import directory, ops, records, state

UPDATE_TIMEOUT_S = 0.4
RESEND_PAUSE_S = 0.1
MAX_RESENDS = 5
POLL_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 1.0
QUARANTINE_CRASHES = 2
MAX_SUSPECTS = 50_000


@attrs.frozen(kw_only=True)
class Suspect:
    """A request or a part that may have caused `count` crashes, the last `at` (ms)."""

    fingerprint: str
    count: int
    at: int


@messages.message("view-news")
@attrs.frozen(kw_only=True)
class ViewUpdate:
    """Changes of warmth, suspected requests and trials."""

    warmth: list[records.Warmth] = attrs.field(factory=list)
    suspects: list[Suspect] = attrs.field(factory=list)
    trials: list[records.Trial] = attrs.field(factory=list)


@messages.message("view-ask")
@attrs.frozen(kw_only=True)
class ViewRequest:
    """Requests from an owner the part of the view that its shard holds."""

    shard: int


class SharedView(mode.Service):
    """This instance's copy of the shared view.

    `is_complete` is set once every shard has been polled.

    Parameters
    ----------
    shards : directory.Directory
        Provides the shard owners and the members.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self.is_complete = False
        self._warmth: dict[str, records.Warmth] = {}
        self._suspects: dict[str, Suspect] = {}
        self._trials: dict[str, records.Trial] = {}
        self._reporting_warm: set[str] = set()
        self._failed_while_reporting: set[str] = set()
        self._on_cold: collections.abc.Callable[[str], None] | None = None
        shards.peers.handle(ViewUpdate, self._on_update)
        shards.peers.handle(ViewRequest, self._on_request)

    def is_warm(self, upstream: str) -> bool:
        """Return whether the upstream is known to be past its cold start."""
        cached = self._warmth.get(upstream)
        return cached is not None and cached.warm

    def set_cold_listener(
        self, listener: collections.abc.Callable[[str], None]
    ) -> None:
        """Set the listener; it gets the warmth key of each upstream that is cold."""
        self._on_cold = listener

    def crash_count(self, fingerprint: str) -> int:
        """Return how many crashes the request may have caused recently."""
        suspect = self.suspect_of(fingerprint)
        return 0 if suspect is None else suspect.count

    def suspect_of(self, key: str) -> Suspect | None:
        """Return the recent crashes of a request or of a part of prompts."""
        cached = self._suspects.get(key)
        if cached is None:
            return None
        if clock.wall_ms() - cached.at < state.CRASH_RETENTION_MS:
            return cached
        del self._suspects[key]
        return None

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run again."""
        return self.crash_count(fingerprint) >= QUARANTINE_CRASHES

    def trial_of(self, version: str, trial: int) -> records.Trial:
        """Return the progress of a version's trial, as far as it is known here."""
        cached = self._trials.get(version)
        if cached is not None and cached.trial >= trial:
            return cached
        return records.Trial(version=version, trial=trial)

    def trials(self) -> list[records.Trial]:
        """Return the known trials, sorted by version."""
        return [self._trials[name] for name in sorted(self._trials)]

    async def report_stop(self, version: str, trial: int, reason: str) -> None:
        """Broadcast at once that a version is stopped, then commit it."""
        stop = attrs.evolve(
            self.trial_of(version, trial),
            is_stopped=True,
            reason=reason,
            at=clock.wall_ms(),
        )
        update = ViewUpdate(trials=[stop])
        self._merge(update)
        await self._broadcast(update)
        await self._commit_trial(stop)

    async def report_stage(self, version: str, trial: int, stage: int) -> None:
        """Commit that a version advances to a stage, then broadcast it."""
        row = records.Trial(
            version=version, trial=trial, stage=stage, at=clock.wall_ms()
        )
        if isinstance(await self._commit_trial(row), ops.Done):
            update = ViewUpdate(trials=[row])
            self._merge(update)
            await self._broadcast(update)

    async def _commit_trial(self, row: records.Trial) -> object:
        shard = self.shards.shard_of(f"trial:{row.version}")
        return await self._commit(ops.TrialReport(shard=shard, trial=row))

    async def report_warm(self, upstream: str) -> None:
        """Commit that the upstream is warm, then broadcast it.

        If the upstream fails before the commit is done, it is reported as cold instead.
        """
        self._reporting_warm.add(upstream)
        reply = await self._commit_warmth(upstream, warm=True)
        self._reporting_warm.discard(upstream)
        if upstream in self._failed_while_reporting:
            self._failed_while_reporting.discard(upstream)
            await self.report_cold(upstream)
            return
        if isinstance(reply, ops.WarmthReply):
            update = ViewUpdate(warmth=[reply.warmth])
            self._merge(update)
            await self._broadcast(update)

    def record_failure(self, upstream: str) -> None:
        """Record that an upstream failed in its cold start.

        This only has an effect while the upstream is being reported as warm.
        """
        if upstream in self._reporting_warm:
            self._failed_while_reporting.add(upstream)

    async def report_cold(self, upstream: str) -> None:
        """Broadcast at once that the upstream is cold, then commit it."""
        cached = self._warmth.get(upstream)
        at = max(clock.wall_ms(), cached.at + 1 if cached else 0)
        update = ViewUpdate(
            warmth=[records.Warmth(upstream=upstream, warm=False, at=at)]
        )
        self._merge(update)
        await self._broadcast(update)
        await self._commit_warmth(upstream, warm=False)

    async def _commit_warmth(self, upstream: str, *, warm: bool) -> object:
        warmth = records.Warmth(upstream=upstream, warm=warm, at=clock.wall_ms())
        shard = self.shards.shard_of(warmth_key(upstream))
        return await self._commit(ops.WarmthReport(shard=shard, warmth=warmth))

    async def report_crash(self, fingerprint: str, upstream: str) -> int:
        """Commit and broadcast a possible crash; return the number of crashes.

        Returns after one attempt to reach every live instance. If the commit fails,
        the number is one more than the count known here.
        """
        crash = records.Crash(
            fingerprint=fingerprint,
            upstream=upstream,
            nonce=uuid.uuid4().hex,
            at=clock.wall_ms(),
        )
        shard = self.shards.shard_of(fingerprint)
        reply = await self._commit(ops.PossibleCrashReport(shard=shard, crash=crash))
        cached_count = self.crash_count(fingerprint)
        count = reply.count if isinstance(reply, ops.CrashReply) else cached_count + 1
        suspect = Suspect(fingerprint=fingerprint, count=count, at=crash.at)
        update = ViewUpdate(suspects=[suspect])
        self._merge(update)
        await self._broadcast(update)
        return count

    async def _commit(self, op: object) -> object:
        try:
            return await self.shards.call(op, timeout_s=REQUEST_TIMEOUT_S)
        except (
            directory.ShardUnavailableError,
            directory.StoreUnavailableError,
        ):
            return None

    async def _broadcast(self, update: ViewUpdate) -> None:
        """Send an update to every live instance.

        It is sent again in the background to those that do not acknowledge it.
        """
        peers = self.shards.peers
        addresses = [
            member.address
            for member in self.shards.members.alive()
            if member.name != peers.name
        ]
        done = await asyncio.gather(*(self._send_update(a, update) for a in addresses))
        for address, is_acknowledged in zip(addresses, done, strict=True):
            if not is_acknowledged:
                self.add_future(self._resend(address, update))

    async def _resend(self, address: str, update: ViewUpdate) -> None:
        for _ in range(MAX_RESENDS):
            await asyncio.sleep(RESEND_PAUSE_S)
            if await self._send_update(address, update):
                return
        logger.warning("view update not acknowledged by {}", address)

    async def _send_update(self, address: str, update: ViewUpdate) -> bool:
        """Send an update once; return whether it was acknowledged."""
        try:
            await self.shards.peers.call(address, update, UPDATE_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return False
        return True

    async def _on_update(
        self, envelope: messages.Envelope, update: ViewUpdate
    ) -> ops.Done:
        self._merge(update)
        return ops.Done()

    async def _on_request(
        self, envelope: messages.Envelope, request: ViewRequest
    ) -> object:
        return self._shard_view(request.shard)

    def _shard_view(self, shard: int) -> object:
        own = self.shards.owners.get(shard)
        if own is None or not own.is_serving:
            return ops.NotOwner()
        recent = [
            own.working_state.recent_crashes(fingerprint, clock.wall_ms())
            for fingerprint in own.working_state.crashes
        ]
        suspects = [
            Suspect(fingerprint=rows[-1].fingerprint, count=len(rows), at=rows[-1].at)
            for rows in recent
            if rows
        ]
        return ViewUpdate(
            warmth=list(own.working_state.warmth.values()),
            suspects=suspects,
            trials=list(own.working_state.trials.values()),
        )

    def _merge(self, update: ViewUpdate) -> None:
        for warmth in update.warmth:
            cached = self._warmth.get(warmth.upstream)
            if cached is None or warmth.at > cached.at:
                self._set_warmth(warmth, cached)
        for trial in update.trials:
            if trial.is_after(self._trials.get(trial.version)):
                self._trials[trial.version] = trial
        for suspect in update.suspects:
            self._set_suspect(suspect)

    def _set_warmth(
        self, warmth: records.Warmth, cached: records.Warmth | None
    ) -> None:
        self._warmth[warmth.upstream] = warmth
        if not warmth.warm and self._on_cold is not None:
            self._on_cold(warmth_key(warmth.upstream))
        if cached is None or cached.warm != warmth.warm:
            state_now = "warm" if warmth.warm else "cold"
            logger.info("upstream {} is {}", warmth.upstream, state_now)

    def _set_suspect(self, suspect: Suspect) -> None:
        """Record a suspected request unless a higher count is recorded.

        With more than `MAX_SUSPECTS` the one updated longest ago is removed.
        """
        if self.crash_count(suspect.fingerprint) > suspect.count:
            return
        self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    @mode.Service.task
    async def poll_loop(self) -> None:
        """Poll every shard once at the start, then one per period."""
        shards = range(self.shards.shard_count)
        await asyncio.gather(*(self._poll_until_answered(shard) for shard in shards))
        self.is_complete = True
        for shard in itertools.cycle(shards):
            if self.should_stop:
                return
            await asyncio.sleep(POLL_PERIOD_S)
            await self._poll_shard(shard)

    async def _poll_until_answered(self, shard: int) -> None:
        while not self.should_stop and not await self._poll_shard(shard):
            await asyncio.sleep(POLL_PERIOD_S / 10)

    async def _poll_shard(self, shard: int) -> bool:
        member = self.shards.owner_of(shard)
        if member is None:
            return False
        if member.name == self.shards.peers.name:
            reply = self._shard_view(shard)
        else:
            reply = await self._request_view(member.address, shard)
        if not isinstance(reply, ViewUpdate):
            return False
        self._merge(reply)
        return True

    async def _request_view(self, address: str, shard: int) -> object:
        try:
            return await self.shards.peers.call(
                address, ViewRequest(shard=shard), REQUEST_TIMEOUT_S
            )
        except hub.PeerUnreachableError:
            return None


def warmth_key(upstream: str) -> str:
    """Return the key whose shard holds an upstream's warmth and permits."""
    return f"upstream:{upstream}"
