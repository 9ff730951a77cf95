"""What every instance knows of warm upstreams and suspect requests.

Owners' logs hold the truth. A change is pushed to every live instance at once; each
instance also asks the owner of one shard per period, in turn, so that a lost push
is made up for at a cost that does not depend on the number of shards.
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

PUSH_TIMEOUT_S = 0.4
PUSH_PAUSE_S = 0.1
PUSH_REPEATS = 5
ASK_PERIOD_S = 1.0
ASK_TIMEOUT_S = 1.0
QUARANTINE_AFTER = 2
MAX_SUSPECTS = 50_000


@attrs.frozen(kw_only=True)
class Suspect:
    """A request that may have crashed `count` upstreams, the last one `at` (ms)."""

    fingerprint: str
    count: int
    at: int


@messages.message("view-news")
@attrs.frozen(kw_only=True)
class ViewNews:
    """Changes of warmth, suspicion and trials."""

    warmth: list[records.Warmth] = attrs.field(factory=list)
    suspects: list[Suspect] = attrs.field(factory=list)
    trials: list[records.Trial] = attrs.field(factory=list)


@messages.message("view-ask")
@attrs.frozen(kw_only=True)
class ViewAsk:
    """Asks an owner for the view of its shard."""

    shard: int


class Views(mode.Service):
    """This instance's copy of the shared view.

    Parameters
    ----------
    shards : directory.Directory
        Owners and members.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self.is_complete = False
        self._warmth: dict[str, records.Warmth] = {}
        self._suspects: dict[str, Suspect] = {}
        self._trials: dict[str, records.Trial] = {}
        self._warming: set[str] = set()
        self._failed_warming: set[str] = set()
        self._on_cold: collections.abc.Callable[[str], None] | None = None
        shards.peers.handle(ViewNews, self._on_news)
        shards.peers.handle(ViewAsk, self._on_ask)

    def is_warm(self, upstream: str) -> bool:
        """Tell whether the upstream is known to be past its cold start."""
        known = self._warmth.get(upstream)
        return known is not None and known.warm

    def on_cold(self, listener: collections.abc.Callable[[str], None]) -> None:
        """Call `listener` with the warmth key of each upstream told to be cold."""
        self._on_cold = listener

    def crash_count(self, fingerprint: str) -> int:
        """Return how many upstreams the request may have crashed of late."""
        known = self._suspects.get(fingerprint)
        if known is None:
            return 0
        if clock.wall_ms() - known.at < state.CRASH_KEPT_MS:
            return known.count
        del self._suspects[fingerprint]
        return 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether the request must not run any more."""
        return self.crash_count(fingerprint) >= QUARANTINE_AFTER

    def trial_of(self, version: str, trial: int) -> records.Trial:
        """Return how far a version's trial has come, as far as is known here."""
        known = self._trials.get(version)
        if known is not None and known.trial >= trial:
            return known
        return records.Trial(version=version, trial=trial)

    def trials(self) -> list[records.Trial]:
        """Return every trial that is known, sorted by version."""
        return [self._trials[name] for name in sorted(self._trials)]

    async def tell_stop(self, version: str, trial: int, reason: str) -> None:
        """Tell every instance at once that a version is stopped, then commit it."""
        stop = attrs.evolve(
            self.trial_of(version, trial),
            is_stopped=True,
            reason=reason,
            at=clock.wall_ms(),
        )
        news = ViewNews(trials=[stop])
        self._learn(news)
        await self._push(news)
        await self._commit_trial(stop)

    async def tell_stage(self, version: str, trial: int, stage: int) -> None:
        """Commit that a version goes on to a stage, then tell every instance."""
        row = records.Trial(
            version=version, trial=trial, stage=stage, at=clock.wall_ms()
        )
        if isinstance(await self._commit_trial(row), ops.Done):
            news = ViewNews(trials=[row])
            self._learn(news)
            await self._push(news)

    async def _commit_trial(self, row: records.Trial) -> object:
        shard = self.shards.shard_of(f"trial:{row.version}")
        return await self._commit(ops.TrialTell(shard=shard, trial=row))

    async def tell_warm(self, upstream: str) -> None:
        """Commit that the upstream is warm, then tell every instance.

        It is told to be cold instead if it failed before all that was done.
        """
        self._warming.add(upstream)
        reply = await self._commit_warmth(upstream, warm=True)
        self._warming.discard(upstream)
        if upstream in self._failed_warming:
            self._failed_warming.discard(upstream)
            await self.tell_cold(upstream)
            return
        if isinstance(reply, ops.WarmthReply):
            news = ViewNews(warmth=[reply.warmth])
            self._learn(news)
            await self._push(news)

    def note_failure(self, upstream: str) -> None:
        """Note that an upstream failed in its cold start."""
        if upstream in self._warming:
            self._failed_warming.add(upstream)

    async def tell_cold(self, upstream: str) -> None:
        """Tell every instance at once that the upstream is cold, then commit it."""
        known = self._warmth.get(upstream)
        at = max(clock.wall_ms(), known.at + 1 if known else 0)
        news = ViewNews(warmth=[records.Warmth(upstream=upstream, warm=False, at=at)])
        self._learn(news)
        await self._push(news)
        await self._commit_warmth(upstream, warm=False)

    async def _commit_warmth(self, upstream: str, *, warm: bool) -> object:
        warmth = records.Warmth(upstream=upstream, warm=warm, at=clock.wall_ms())
        shard = self.shards.shard_of(warmth_key(upstream))
        return await self._commit(ops.WarmthTell(shard=shard, warmth=warmth))

    async def tell_crash(self, fingerprint: str, upstream: str) -> int:
        """Count a crash; returns once every reachable instance knows."""
        crash = records.Crash(
            fingerprint=fingerprint,
            upstream=upstream,
            nonce=uuid.uuid4().hex,
            at=clock.wall_ms(),
        )
        shard = self.shards.shard_of(fingerprint)
        reply = await self._commit(ops.CrashTell(shard=shard, crash=crash))
        known = self.crash_count(fingerprint)
        count = reply.count if isinstance(reply, ops.CrashReply) else known + 1
        suspect = Suspect(fingerprint=fingerprint, count=count, at=crash.at)
        news = ViewNews(suspects=[suspect])
        self._learn(news)
        await self._push(news)
        return count

    async def _commit(self, op: object) -> object:
        try:
            return await self.shards.call(op, timeout_s=ASK_TIMEOUT_S)
        except (
            directory.ShardUnavailableError,
            directory.StoreUnavailableError,
        ):
            return None

    async def _push(self, news: ViewNews) -> None:
        """Tell every live instance; those that did not confirm again, behind."""
        peers = self.shards.peers
        addresses = [
            member.address
            for member in self.shards.members.alive()
            if member.name != peers.name
        ]
        done = await asyncio.gather(*(self._push_one(a, news) for a in addresses))
        for address, is_confirmed in zip(addresses, done, strict=True):
            if not is_confirmed:
                self.add_future(self._push_again(address, news))

    async def _push_again(self, address: str, news: ViewNews) -> None:
        for _ in range(PUSH_REPEATS):
            await asyncio.sleep(PUSH_PAUSE_S)
            if await self._push_one(address, news):
                return
        logger.warning("view news not confirmed by {}", address)

    async def _push_one(self, address: str, news: ViewNews) -> bool:
        """Return whether the instance confirmed the news."""
        try:
            await self.shards.peers.call(address, news, PUSH_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return False
        return True

    async def _on_news(self, envelope: messages.Envelope, news: ViewNews) -> ops.Done:
        self._learn(news)
        return ops.Done()

    async def _on_ask(self, envelope: messages.Envelope, ask: ViewAsk) -> object:
        return self._view_of(ask.shard)

    def _view_of(self, shard: int) -> object:
        own = self.shards.owners.get(shard)
        if own is None or not own.is_serving:
            return ops.NotOwner()
        recent = [
            own.working.recent_crashes(fingerprint, clock.wall_ms())
            for fingerprint in own.working.crashes
        ]
        suspects = [
            Suspect(fingerprint=rows[-1].fingerprint, count=len(rows), at=rows[-1].at)
            for rows in recent
            if rows
        ]
        return ViewNews(
            warmth=list(own.working.warmth.values()),
            suspects=suspects,
            trials=list(own.working.trials.values()),
        )

    def _learn(self, news: ViewNews) -> None:
        for warmth in news.warmth:
            known = self._warmth.get(warmth.upstream)
            if known is None or warmth.at > known.at:
                self._take_warmth(warmth, known)
        for trial in news.trials:
            if trial.is_after(self._trials.get(trial.version)):
                self._trials[trial.version] = trial
        for suspect in news.suspects:
            self._suspect(suspect)

    def _take_warmth(
        self, warmth: records.Warmth, known: records.Warmth | None
    ) -> None:
        self._warmth[warmth.upstream] = warmth
        if not warmth.warm and self._on_cold is not None:
            self._on_cold(warmth_key(warmth.upstream))
        if known is None or known.warm != warmth.warm:
            state_now = "warm" if warmth.warm else "cold"
            logger.info("upstream {} is {}", warmth.upstream, state_now)

    def _suspect(self, suspect: Suspect) -> None:
        """Keep the higher count; of too many suspects the oldest is forgotten."""
        if self.crash_count(suspect.fingerprint) > suspect.count:
            return
        self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    @mode.Service.task
    async def ask_loop(self) -> None:
        """Ask every shard once at the start, then one per period."""
        shards = range(self.shards.shard_count)
        await asyncio.gather(*(self._ask_until_known(shard) for shard in shards))
        self.is_complete = True
        for shard in itertools.cycle(shards):
            if self.should_stop:
                return
            await asyncio.sleep(ASK_PERIOD_S)
            await self._ask(shard)

    async def _ask_until_known(self, shard: int) -> None:
        while not self.should_stop and not await self._ask(shard):
            await asyncio.sleep(ASK_PERIOD_S / 10)

    async def _ask(self, shard: int) -> bool:
        member = self.shards.owner_of(shard)
        if member is None:
            return False
        if member.name == self.shards.peers.name:
            reply = self._view_of(shard)
        else:
            reply = await self._ask_peer(member.address, shard)
        if not isinstance(reply, ViewNews):
            return False
        self._learn(reply)
        return True

    async def _ask_peer(self, address: str, shard: int) -> object:
        try:
            return await self.shards.peers.call(
                address, ViewAsk(shard=shard), ASK_TIMEOUT_S
            )
        except hub.PeerUnreachableError:
            return None


def warmth_key(upstream: str) -> str:
    """Return the key whose shard holds an upstream's warmth and permits."""
    return f"upstream:{upstream}"
