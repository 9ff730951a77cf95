"""Pools evidence on versions over all instances and stops a bad one.

Each instance tells its sums to the owner of the model's evidence shard, cumulative, so
that a new owner knows all that the live instances saw. The owner judges; a stop is
committed in the shard's log and told to every instance. It holds for the version's
`trial` number: operators raise that in the text to try the version again.
"""

import asyncio
import collections
import math

import attrs
import mode
from loguru import logger
from masticpost_confsync import keeper
from masticpost_decide import evidence, rollout
from masticpost_peers import hub, messages
from masticpost_shards import directory, ops, views
from masticpost_text import model

from masticpost_entry import stages

ROUND_S = 1.0
TELL_TIMEOUT_S = 0.5
RATED_SHARE_MINOR = 0.5
RATED_SHARE_MAJOR = 0.1
MIN_DELAY_S = 0.0001


@messages.message("evidence-tell")
@attrs.frozen(kw_only=True)
class EvidenceTell:
    """Cumulative sums of one instance on the versions of a model."""

    shard: int
    model: str
    rows: list[evidence.TrialStats]


class Guard(mode.Service):
    """Collects, tells and judges evidence.

    Parameters
    ----------
    shards : directory.Directory
        Routes to the owner of a model's evidence.
    texts : keeper.Keeper
        The text in force.
    view : views.SharedView
        Knows and tells what is stopped.
    """

    def __init__(
        self,
        *,
        shards: directory.Directory,
        texts: keeper.Keeper,
        view: views.SharedView,
    ) -> None:
        super().__init__()
        self.shards = shards
        self.texts = texts
        self.view = view
        self.stages = stages.Stages(texts=texts, view=view)
        self.sums: dict[str, evidence.TrialStats] = {}
        self._told: dict[str, dict[str, list[evidence.TrialStats]]] = (
            collections.defaultdict(dict)
        )
        shards.peers.handle(EvidenceTell, self._on_tell)

    def add_rating(self, version: str, score: float) -> None:
        """Note a rating of an answer."""
        self._of(version).ratings.add(score)

    def add_call(
        self, version: str, *, failed: bool, first_token_s: float | None = None
    ) -> None:
        """Note how a call on a version ended, and how long its first token took."""
        row = self._of(version)
        row.errors.add(1.0 if failed else 0.0)
        if first_token_s is not None:
            row.delays.add(math.log(max(MIN_DELAY_S, first_token_s)))

    def _of(self, version: str) -> evidence.TrialStats:
        row = self.texts.in_force.text.versions.get(version)
        trial = row.trial if row else 0
        found = self.sums.get(version)
        if found is None or found.trial != trial:
            found = evidence.TrialStats(version=version, trial=trial)
            self.sums[version] = found
        return found

    def stopped(self) -> set[str]:
        """Return the versions that are stopped for their present trial."""
        if self.texts.in_force is None:
            return set()
        rows = self.texts.in_force.text.versions.values()
        return {v.name for v in rows if self.view.trial_of(v.name, v.trial).is_stopped}

    def stage_of(self, ver: model.Version) -> int:
        """Return the stage of a version's roll-out, as far as is known here."""
        return self.view.trial_of(ver.name, ver.trial).stage

    def wanted_share(self, version: str) -> float:
        """Return the share of a version's answers that should be rated for evidence."""
        text = self.texts.in_force.text
        row = text.versions[version]
        rivals = [v for v in text.versions_of(row.model) if v.state == "active"]
        if len(rivals) < 2:
            return 0.0
        parts = rollout.shares(rivals, self.stage_of)
        is_major = parts.get(version, 0.0) >= max(parts.values())
        return RATED_SHARE_MAJOR if is_major else RATED_SHARE_MINOR

    @mode.Service.task
    async def rounds(self) -> None:
        """Tell the evidence on every model that has several active versions."""
        while not self.should_stop:
            await asyncio.sleep(ROUND_S)
            if self.texts.in_force is None:
                continue
            self._forget_old()
            for model_name in self.texts.in_force.text.models():
                await self._tell(model_name)

    def _forget_old(self) -> None:
        known = self.texts.in_force.text.versions
        for name in [name for name in self.sums if name not in known]:
            del self.sums[name]

    async def _tell(self, model_name: str) -> None:
        names = self._active(model_name)
        rows = [self.sums[name] for name in names if name in self.sums]
        if len(names) < 2 or not rows:
            return
        shard = self.shards.shard_of(f"evidence:{model_name}")
        member = self.shards.owner_of(shard)
        if member is None:
            return
        tell = EvidenceTell(shard=shard, model=model_name, rows=rows)
        if member.name == self.shards.peers.name:
            await self._take(member.name, tell)
            return
        try:
            await self.shards.peers.call(member.address, tell, TELL_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return

    def _active(self, model_name: str) -> list[str]:
        text = self.texts.in_force.text
        stopped = self.stopped()
        return [
            v.name
            for v in text.versions_of(model_name)
            if v.state == "active" and v.name not in stopped
        ]

    def _is_of_trial(self, row: evidence.TrialStats) -> bool:
        known = self.texts.in_force.text.versions.get(row.version)
        return known is not None and known.trial == row.trial

    async def _on_tell(
        self, envelope: messages.Envelope, tell: EvidenceTell
    ) -> ops.Done:
        await self._take(envelope.sender, tell)
        return ops.Done()

    async def _take(self, sender: str, tell: EvidenceTell) -> None:
        """Keep an instance's sums and judge all there are."""
        if self.texts.in_force is None:
            return
        self._told[tell.model][sender] = tell.rows
        alive = {member.name for member in self.shards.members.alive()}
        told = self._told[tell.model]
        rows = [row for name, part in told.items() if name in alive for row in part]
        merged = evidence.merge([row for row in rows if self._is_of_trial(row)])
        names = self._active(tell.model)
        if len(names) < 2:
            return
        versions = self.texts.in_force.text.versions
        judges = {name: versions[name].judge for name in names}
        rows = [merged[name] for name in names if name in merged]
        verdict = evidence.judge(rows, judges)
        if verdict is None:
            self.stages.judge(names, merged)
            return
        trial = versions[verdict.version].trial
        found = logger.bind(version=verdict.version, trial=trial, reason=verdict.reason)
        found.warning("version stopped")
        self.add_future(self.view.report_stop(verdict.version, trial, verdict.reason))
