"""Instances share what their cascades learnt from ratings.

Each tells its own statistics, now and then, to the owner of the service's shard, which
answers with those of all others. Nothing of it is stored: what a live instance knows is
told again to a new owner.
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

ROUND_S = 2.0
ROUND_S_PER_INSTANCE = 0.5
TELL_TIMEOUT_S = 0.5


@messages.message("learning-tell")
@attrs.frozen(kw_only=True)
class LearningTell:
    """What one instance learnt for a service; `cascade` names the policy.

    `seen` is the number of the last answer that the sender has.
    """

    shard: int
    service: str
    cascade: str
    rows: list[estimates.Row]
    seen: int = -1


@messages.message("learning-reply")
@attrs.frozen(kw_only=True)
class LearningReply:
    """What all others know; without rows when the sender has it already."""

    number: int
    rows: list[estimates.Row] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Board:
    """What the instances told of one service, kept by the owner of its shard."""

    told: dict[str, list[estimates.Row]] = attrs.field(factory=dict)
    number: int = 0


class Learning(mode.Service):
    """Tells and takes what cascades learnt.

    Parameters
    ----------
    rt : runtime.Runtime
        The instance at work.
    """

    def __init__(self, *, rt: runtime.Runtime) -> None:
        super().__init__()
        self.rt = rt
        self._boards: dict[tuple[str, str], Board] = collections.defaultdict(Board)
        self._seen: dict[tuple[str, str], tuple[str, int]] = {}
        self._last: dict[tuple[str, str], bytes] = {}
        self._adopted: set[tuple[str, str]] = set()
        rt.agreed.peers.handle(LearningTell, self._on_tell)

    @mode.Service.task
    async def rounds(self) -> None:
        """Tell what was learnt; more rarely where there are many instances."""
        while not self.should_stop:
            alive = len(self.rt.agreed.members.alive())
            await asyncio.sleep(max(ROUND_S, ROUND_S_PER_INSTANCE * alive))
            if self.rt.agreed.keeper.in_force is None:
                continue
            for svc in list(self.rt.text.services.values()):
                found = (
                    self.rt.cascade_of(svc).estimator if svc.kind == "model" else None
                )
                if found is not None:
                    found.retain_versions(self.rt.text.versions)
                    await self._tell((svc.name, svc.cascade), found)

    async def _tell(self, topic: tuple[str, str], notes: estimates.Estimator) -> None:
        shards = self.rt.agreed.shards
        shard = shards.shard_of(f"learning:{topic[0]}")
        member = shards.owner_of(shard)
        if member is None:
            return
        rows = notes.rows()
        told = codec.to_wire(rows)
        owner, seen = self._seen.get(topic, ("", -1))
        is_same_owner = owner == member.name
        is_known = is_same_owner and self._last.get(topic) == told
        tell = LearningTell(
            shard=shard,
            service=topic[0],
            cascade=topic[1],
            rows=[] if is_known else rows,
            seen=seen if is_same_owner else -1,
        )
        reply = await self._send(member.name, member.address, tell)
        if isinstance(reply, LearningReply):
            self._last[topic] = told
            self._take_reply(topic, notes, tell, reply)
            self._seen[topic] = (member.name, reply.number)

    def _take_reply(
        self,
        topic: tuple[str, str],
        notes: estimates.Estimator,
        tell: LearningTell,
        reply: LearningReply,
    ) -> None:
        """Take what others know; one that knows next to nothing adopts its share."""
        if reply.number != tell.seen:
            notes.replace_others(reply.rows)
        if topic not in self._adopted and notes.has_few_own_ratings():
            self._adopted.add(topic)
            notes.adopt(1 / max(1, len(self.rt.agreed.members.alive())))

    async def _send(self, name: str, address: str, tell: LearningTell) -> object:
        if name == self.rt.agreed.peers.name:
            return self._take(name, tell)
        try:
            return await self.rt.agreed.peers.call(address, tell, TELL_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return None

    async def _on_tell(self, envelope: messages.Envelope, tell: LearningTell) -> object:
        return self._take(envelope.sender, tell)

    def _take(self, sender: str, tell: LearningTell) -> object:
        """Keep what an instance told and answer with what the other live ones did."""
        own = self.rt.agreed.shards.owners.get(tell.shard)
        if own is None or not own.is_serving:
            return ops.NotOwner()
        board = self._boards[(tell.service, tell.cascade)]
        if tell.rows:
            board.told[sender] = tell.rows
            board.number += 1
        alive = {member.name for member in self.rt.agreed.members.alive()}
        for name in [name for name in board.told if name not in alive]:
            del board.told[name]
            board.number += 1
        if board.number == tell.seen:
            return LearningReply(number=board.number)
        others = [rows for name, rows in board.told.items() if name != sender]
        return LearningReply(number=board.number, rows=estimates.merge(others))
