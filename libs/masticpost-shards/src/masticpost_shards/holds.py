"""Open records that this instance holds for others, in case they end.

An instance that owns the shard of a bill itself has another instance, in another
failure domain where there is one, hold the open record too. When the run that it is
held for ends, the holder tells the record to the shard's next owner. Records whose
bill is closed meanwhile are known there and change nothing.
"""

import collections
import time

import attrs
import mode
from masticpost_common import rendezvous
from masticpost_peers import hub, messages, probes

from masticpost_shards import directory, ops, records

KEPT_S = 900.0
MAX_HELD = 100_000
HOLD_TIMEOUT_S = 0.3
TELL_TIMEOUT_S = 10.0


@messages.message("bills-hold")
@attrs.frozen(kw_only=True)
class BillsHold:
    """Asks the receiver to hold open records of the sender."""

    run: records.Run
    opens: list[records.BillOpen]


@attrs.frozen(kw_only=True)
class Held:
    """A record, the run it is held for, and since when (monotonic seconds)."""

    run: records.Run
    opened: records.BillOpen
    at: float


class Holds(mode.Service):
    """Holds open records for other instances.

    Parameters
    ----------
    shards : directory.Directory
        Members, and the owners that are told.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._held: collections.deque[Held] = collections.deque(maxlen=MAX_HELD)
        shards.peers.handle(BillsHold, self._on_hold)
        shards.members.listen(self._on_member)

    async def keep_elsewhere(self, opens: list[records.BillOpen]) -> bool:
        """Have another instance hold own records; False when none can."""
        ask = BillsHold(run=self.shards.run, opens=opens)
        for member in self._candidates()[:2]:
            try:
                await self.shards.peers.call(member.address, ask, HOLD_TIMEOUT_S)
            except hub.PeerUnreachableError:
                continue
            return True
        return False

    def _candidates(self) -> list[probes.Member]:
        """Return the other members, those of other failure domains first."""
        me = self.shards.members.me
        others = {m.name: m for m in self.shards.members.alive() if m.name != me.name}
        order = [others[name] for name in rendezvous.ranked(others, f"hold-{me.name}")]
        return sorted(order, key=lambda member: member.domain == me.domain)

    async def _on_hold(self, envelope: messages.Envelope, ask: BillsHold) -> ops.Done:
        now = time.monotonic()
        while self._held and now - self._held[0].at > KEPT_S:
            self._held.popleft()
        for opened in ask.opens:
            self._held.append(Held(run=ask.run, opened=opened, at=now))
        return ops.Done()

    def _on_member(self, member: probes.Member) -> None:
        """Tell what is held for a run once it has ended, or another has begun."""
        gone, kept = [], []
        for item in self._held:
            is_of_member = item.run.instance == member.name
            is_gone = is_of_member and not self.shards.is_running(item.run)
            (gone if is_gone else kept).append(item)
        if not gone:
            return
        self._held = collections.deque(kept, maxlen=MAX_HELD)
        by_shard: dict[int, list[records.BillOpen]] = collections.defaultdict(list)
        for item in gone:
            by_shard[self.shards.shard_of(item.opened.key)].append(item.opened)
        for shard, opens in by_shard.items():
            self.add_future(self._tell(ops.BillsTell(shard=shard, opens=opens)))

    async def _tell(self, tell: ops.BillsTell) -> None:
        while not self.should_stop:
            try:
                await self.shards.call(tell, timeout_s=TELL_TIMEOUT_S)
            except (directory.ShardUnavailableError, directory.StoreUnavailableError):
                continue
            return
