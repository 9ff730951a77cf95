"""Exchanges among instances the statistics of ratings that cascades decide by.

Each instance periodically reports its own statistics to the owner of the service's
shard, which replies with the combined statistics of all others. Nothing is stored: live
instances report their statistics again to a new owner.
"""

import asyncio
import collections

import attrs
import mode
from masticpost_common import codec
from masticpost_decide import estimates
from masticpost_peers import hub, messages
from masticpost_shards import ops

from masticpost_entry import runtime

REPORT_INTERVAL_S = 2.0
REPORT_INTERVAL_PER_INSTANCE_S = 0.5
REPORT_TIMEOUT_S = 0.5


@messages.message("learning-tell")
@attrs.frozen(kw_only=True)
class EstimateReport:
    """Own statistics of one instance for a service and its cascade policy.

    Attributes
    ----------
    shard : int
        Shard that the service belongs to.
    service, cascade : str
        Names of the service and of its cascade policy.
    rows : list of estimates.Row
        The statistics; empty if they are unchanged since the last report.
    seen : int
        Number of the last reply that the sender received, -1 for none.
    """

    shard: int
    service: str
    cascade: str
    rows: list[estimates.Row]
    seen: int = -1


@messages.message("learning-reply")
@attrs.frozen(kw_only=True)
class EstimateReply:
    """Combined statistics of all other instances.

    Attributes
    ----------
    number : int
        Number of this state of the statistics.
    rows : list of estimates.Row
        The statistics; empty if the sender already has this state.
    """

    number: int
    rows: list[estimates.Row] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class ReceivedReports:
    """Statistics that the owner of a shard received for one service.

    Attributes
    ----------
    reports : dict of str to list of estimates.Row
        Last statistics of each live instance, by its name.
    change_count : int
        Number of changes so far; the number of the replies.
    """

    reports: dict[str, list[estimates.Row]] = attrs.field(factory=dict)
    change_count: int = 0


class EstimateSharing(mode.Service):
    """Reports statistics to their owners and combines those reported here.

    Parameters
    ----------
    rt : runtime.Runtime
        Runtime of the instance.
    """

    def __init__(self, *, rt: runtime.Runtime) -> None:
        super().__init__()
        self.rt = rt
        self._received: dict[tuple[str, str], ReceivedReports] = (
            collections.defaultdict(ReceivedReports)
        )
        self._last_seen: dict[tuple[str, str], tuple[str, int]] = {}
        self._last_sent: dict[tuple[str, str], bytes] = {}
        self._adopted: set[tuple[str, str]] = set()
        rt.cluster.peers.handle(EstimateReport, self._on_report)

    @mode.Service.task
    async def report_loop(self) -> None:
        """Report statistics periodically, less often if there are many instances."""
        while not self.should_stop:
            alive = len(self.rt.cluster.members.alive())
            await asyncio.sleep(
                max(REPORT_INTERVAL_S, REPORT_INTERVAL_PER_INSTANCE_S * alive)
            )
            if self.rt.cluster.texts.in_force is None:
                continue
            for svc in list(self.rt.text.services.values()):
                estimator = (
                    self.rt.cascade_of(svc).estimator if svc.kind == "model" else None
                )
                if estimator is not None:
                    estimator.retain_versions(self.rt.text.versions)
                    await self._report((svc.name, svc.cascade), estimator)

    async def _report(
        self, topic: tuple[str, str], estimator: estimates.Estimator
    ) -> None:
        shards = self.rt.cluster.shards
        shard = shards.shard_of(f"learning:{topic[0]}")
        member = shards.owner_of(shard)
        if member is None:
            return
        rows = estimator.rows()
        encoded = codec.to_wire(rows)
        owner, seen = self._last_seen.get(topic, ("", -1))
        is_same_owner = owner == member.name
        is_unchanged = is_same_owner and self._last_sent.get(topic) == encoded
        report = EstimateReport(
            shard=shard,
            service=topic[0],
            cascade=topic[1],
            rows=[] if is_unchanged else rows,
            seen=seen if is_same_owner else -1,
        )
        reply = await self._send(member.name, member.address, report)
        if isinstance(reply, EstimateReply):
            self._last_sent[topic] = encoded
            self._apply_reply(topic, estimator, report, reply)
            self._last_seen[topic] = (member.name, reply.number)

    def _apply_reply(
        self,
        topic: tuple[str, str],
        estimator: estimates.Estimator,
        report: EstimateReport,
        reply: EstimateReply,
    ) -> None:
        """Use the others' statistics; adopt a share if there are few own ratings."""
        if reply.number != report.seen:
            estimator.replace_others(reply.rows)
        if topic not in self._adopted and estimator.has_few_own_ratings():
            self._adopted.add(topic)
            estimator.adopt(1 / max(1, len(self.rt.cluster.members.alive())))

    async def _send(self, name: str, address: str, report: EstimateReport) -> object:
        if name == self.rt.cluster.peers.name:
            return self._record(name, report)
        try:
            return await self.rt.cluster.peers.call(address, report, REPORT_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return None

    async def _on_report(
        self, envelope: messages.Envelope, report: EstimateReport
    ) -> object:
        return self._record(envelope.sender, report)

    def _record(self, sender: str, report: EstimateReport) -> object:
        """Store an instance's statistics; return those of the other live instances."""
        owner = self.rt.cluster.shards.owners.get(report.shard)
        if owner is None or not owner.is_serving:
            return ops.NotOwner()
        received = self._received[(report.service, report.cascade)]
        if report.rows:
            received.reports[sender] = report.rows
            received.change_count += 1
        alive = {member.name for member in self.rt.cluster.members.alive()}
        for name in [name for name in received.reports if name not in alive]:
            del received.reports[name]
            received.change_count += 1
        if received.change_count == report.seen:
            return EstimateReply(number=received.change_count)
        others = [rows for name, rows in received.reports.items() if name != sender]
        return EstimateReply(number=received.change_count, rows=estimates.merge(others))
