"""Combines the evidence on versions from all instances and stops bad versions.

Each instance reports its sums to the owner of the model's evidence shard. The sums are
cumulative, so a new owner soon has the evidence of all live instances. The owner judges
the versions. A stop is committed in the shard's log and sent to every instance. It
applies to the version's current `trial` number; operators raise that number in the text
to try the version again.
"""

import asyncio
import collections
import math

import attrs
import mode
from loguru import logger
from masticpost_confsync import synchronizer
from masticpost_decide import evidence, rollout
from masticpost_peers import hub, messages
from masticpost_shards import directory, ops, views
from masticpost_text import model

from masticpost_entry import stages

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
# Share of answers that are rated, for versions with a smaller share of the requests and
# for the version with the largest one.
MINOR_VERSION_RATING_SHARE = 0.5
MAJOR_VERSION_RATING_SHARE = 0.1
MIN_DELAY_S = 0.0001


@messages.message("evidence-tell")
@attrs.frozen(kw_only=True)
class VersionEvidenceReport:
    """Cumulative evidence of one instance on the versions of a model."""

    shard: int
    model: str
    rows: list[evidence.TrialStats]


class RolloutMonitor(mode.Service):
    """Collects, reports and judges evidence on versions.

    Parameters
    ----------
    shards : directory.Directory
        Finds the owner of a model's evidence shard.
    texts : synchronizer.TextSynchronizer
        Source of the text in force.
    view : views.SharedView
        Shared view through which stops are read and reported.
    """

    def __init__(
        self,
        *,
        shards: directory.Directory,
        texts: synchronizer.TextSynchronizer,
        view: views.SharedView,
    ) -> None:
        super().__init__()
        self.shards = shards
        self.texts = texts
        self.view = view
        self.stages = stages.StageController(texts=texts, view=view)
        self.stats: dict[str, evidence.TrialStats] = {}
        self._reports: dict[str, dict[str, list[evidence.TrialStats]]] = (
            collections.defaultdict(dict)
        )
        shards.peers.handle(VersionEvidenceReport, self._on_report)

    def add_rating(self, version: str, score: float) -> None:
        """Record the rating of an answer."""
        self._stats_of(version).ratings.add(score)

    def add_call(
        self, version: str, *, failed: bool, first_token_s: float | None = None
    ) -> None:
        """Record whether a call failed and its time to the first token, in seconds."""
        stats = self._stats_of(version)
        stats.errors.add(1.0 if failed else 0.0)
        if first_token_s is not None:
            stats.delays.add(math.log(max(MIN_DELAY_S, first_token_s)))

    def _stats_of(self, version: str) -> evidence.TrialStats:
        ver = self.texts.in_force.text.versions.get(version)
        trial = ver.trial if ver else 0
        stats = self.stats.get(version)
        if stats is None or stats.trial != trial:
            stats = evidence.TrialStats(version=version, trial=trial)
            self.stats[version] = stats
        return stats

    def stopped_versions(self) -> set[str]:
        """Return the versions whose current trial is stopped."""
        if self.texts.in_force is None:
            return set()
        rows = self.texts.in_force.text.versions.values()
        return {v.name for v in rows if self.view.trial_of(v.name, v.trial).is_stopped}

    def stage_of(self, ver: model.Version) -> int:
        """Return the stage of a version's roll-out, as far as this instance knows."""
        return self.view.trial_of(ver.name, ver.trial).stage

    def rating_share(self, version: str) -> float:
        """Return the share of a version's answers that must be rated for evidence."""
        text = self.texts.in_force.text
        ver = text.versions[version]
        active = [v for v in text.versions_of(ver.model) if v.state == "active"]
        if len(active) < 2:
            return 0.0
        shares = rollout.shares(active, self.stage_of)
        is_major = shares.get(version, 0.0) >= max(shares.values())
        return MAJOR_VERSION_RATING_SHARE if is_major else MINOR_VERSION_RATING_SHARE

    @mode.Service.task
    async def report_loop(self) -> None:
        """Periodically report the evidence on models with several active versions."""
        while not self.should_stop:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self.texts.in_force is None:
                continue
            self._remove_unknown_versions()
            for model_name in self.texts.in_force.text.models():
                await self._report(model_name)

    def _remove_unknown_versions(self) -> None:
        known = self.texts.in_force.text.versions
        for name in [name for name in self.stats if name not in known]:
            del self.stats[name]

    async def _report(self, model_name: str) -> None:
        names = self._active_versions(model_name)
        rows = [self.stats[name] for name in names if name in self.stats]
        if len(names) < 2 or not rows:
            return
        shard = self.shards.shard_of(f"evidence:{model_name}")
        member = self.shards.owner_of(shard)
        if member is None:
            return
        report = VersionEvidenceReport(shard=shard, model=model_name, rows=rows)
        if member.name == self.shards.peers.name:
            await self._record_and_judge(member.name, report)
            return
        try:
            await self.shards.peers.call(member.address, report, REPORT_TIMEOUT_S)
        except hub.PeerUnreachableError:
            return

    def _active_versions(self, model_name: str) -> list[str]:
        text = self.texts.in_force.text
        stopped_versions = self.stopped_versions()
        return [
            v.name
            for v in text.versions_of(model_name)
            if v.state == "active" and v.name not in stopped_versions
        ]

    def _is_of_current_trial(self, row: evidence.TrialStats) -> bool:
        ver = self.texts.in_force.text.versions.get(row.version)
        return ver is not None and ver.trial == row.trial

    async def _on_report(
        self, envelope: messages.Envelope, report: VersionEvidenceReport
    ) -> ops.Done:
        await self._record_and_judge(envelope.sender, report)
        return ops.Done()

    async def _record_and_judge(
        self, sender: str, report: VersionEvidenceReport
    ) -> None:
        """Store an instance's sums and judge the sums of all live instances."""
        if self.texts.in_force is None:
            return
        self._reports[report.model][sender] = report.rows
        alive = {member.name for member in self.shards.members.alive()}
        reports = self._reports[report.model]
        rows = [row for name, part in reports.items() if name in alive for row in part]
        merged = evidence.merge([row for row in rows if self._is_of_current_trial(row)])
        names = self._active_versions(report.model)
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
        bound_logger = logger.bind(
            version=verdict.version, trial=trial, reason=verdict.reason
        )
        bound_logger.warning("version stopped")
        self.add_future(self.view.report_stop(verdict.version, trial, verdict.reason))
