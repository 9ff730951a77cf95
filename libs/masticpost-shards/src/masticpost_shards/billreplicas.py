"""Copies of open bill records of other instances, kept in case those instances end.

An instance that owns the shard of a bill copies the open record to another instance,
in another failure domain if there is one. When the run that sent the record ends, the
instance with the copy sends the record to the shard's next owner. The next owner
ignores records whose bill has been closed in the meantime.
"""

import collections
import time

import attrs
import mode
from masticpost_common import rendezvous
from masticpost_peers import hub, messages, probes

from masticpost_shards import directory, ops, records

RETENTION_S = 900.0
MAX_RECORDS = 100_000
REPLICATE_TIMEOUT_S = 0.3
REPORT_TIMEOUT_S = 10.0


@messages.message("bills-hold")
@attrs.frozen(kw_only=True)
class BillReplicationRequest:
    """Requests the receiver to keep copies of the sender's open records."""

    run: records.Run
    opens: list[records.BillOpen]


@attrs.frozen(kw_only=True)
class ReplicatedBill:
    """A copied record, the run that sent it, and the monotonic time of receipt."""

    run: records.Run
    opened: records.BillOpen
    at: float


class BillReplicas(mode.Service):
    """Keeps copies of open bill records for other instances.

    Parameters
    ----------
    shards : directory.Directory
        Provides the members, and routes records to shard owners.
    """

    def __init__(self, *, shards: directory.Directory) -> None:
        super().__init__()
        self.shards = shards
        self._replicas: collections.deque[ReplicatedBill] = collections.deque(
            maxlen=MAX_RECORDS
        )
        shards.peers.handle(BillReplicationRequest, self._on_request)
        shards.members.listen(self._on_member)

    async def replicate(self, opens: list[records.BillOpen]) -> bool:
        """Copy open records of this instance to another one.

        Returns False when none of the first two candidates can be reached.
        """
        request = BillReplicationRequest(run=self.shards.run, opens=opens)
        for member in self._candidates()[:2]:
            try:
                await self.shards.peers.call(
                    member.address, request, REPLICATE_TIMEOUT_S
                )
            except hub.PeerUnreachableError:
                continue
            return True
        return False

    def _candidates(self) -> list[probes.Member]:
        """Return the other members, those in other failure domains first."""
        me = self.shards.members.me
        others = {m.name: m for m in self.shards.members.alive() if m.name != me.name}
        order = [others[name] for name in rendezvous.ranked(others, f"hold-{me.name}")]
        return sorted(order, key=lambda member: member.domain == me.domain)

    async def _on_request(
        self, envelope: messages.Envelope, request: BillReplicationRequest
    ) -> ops.Done:
        now = time.monotonic()
        while self._replicas and now - self._replicas[0].at > RETENTION_S:
            self._replicas.popleft()
        for opened in request.opens:
            self._replicas.append(
                ReplicatedBill(run=request.run, opened=opened, at=now)
            )
        return ops.Done()

    def _on_member(self, member: probes.Member) -> None:
        """Send the copied records of a run to their owners once the run has ended.

        A run has also ended when the instance has started a newer run.
        """
        ended, remaining = [], []
        for replica in self._replicas:
            is_of_member = replica.run.instance == member.name
            has_ended = is_of_member and not self.shards.is_running(replica.run)
            (ended if has_ended else remaining).append(replica)
        if not ended:
            return
        self._replicas = collections.deque(remaining, maxlen=MAX_RECORDS)
        by_shard: dict[int, list[records.BillOpen]] = collections.defaultdict(list)
        for replica in ended:
            by_shard[self.shards.shard_of(replica.opened.key)].append(replica.opened)
        for shard, opens in by_shard.items():
            self.add_future(self._send(ops.BillsReport(shard=shard, opens=opens)))

    async def _send(self, report: ops.BillsReport) -> None:
        while not self.should_stop:
            try:
                await self.shards.call(report, timeout_s=REPORT_TIMEOUT_S)
            except (directory.ShardUnavailableError, directory.StoreUnavailableError):
                continue
            return
