"""Stages of roll-outs, advanced by the instance that owns the model's evidence shard.

A stage is committed before any instance uses it, and never goes back within a trial. A
new owner counts time and samples from when it first sees a stage, so a change of owner
makes a stage longer, never shorter.
"""

import time

import attrs
from loguru import logger
from masticpost_confsync import synchronizer
from masticpost_decide import evidence, rollout
from masticpost_shards import views
from masticpost_text import model


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """A staged roll-out; times in seconds, shares in percent."""

    version: str
    trial: int
    stage: int
    stages: int
    share: float
    target: float
    seconds: float
    needed_s: float
    samples: int
    needed_samples: int


class StageController:
    """Decides when a version's roll-out advances to its next stage.

    Parameters
    ----------
    texts : synchronizer.TextSynchronizer
        Source of the text in force.
    view : views.SharedView
        Shared view through which stages are read and reported.
    """

    def __init__(
        self, *, texts: synchronizer.TextSynchronizer, view: views.SharedView
    ) -> None:
        self.texts = texts
        self.view = view
        self._stages: dict[str, rollout.Stage] = {}
        self._latest: dict[str, evidence.TrialStats] = {}

    def judge(self, names: list[str], merged: dict[str, evidence.TrialStats]) -> None:
        """Start the next stage of each version whose evidence allows it.

        Parameters
        ----------
        names : list of str
            Versions of one model that are active and not stopped.
        merged : dict of str to evidence.TrialStats
            Evidence of all live instances by version.
        """
        versions = self.texts.in_force.text.versions
        for name in names:
            ver = versions[name]
            baseline = self._baseline(ver, names, merged)
            stats = merged.get(name)
            if stats is None or baseline is None or not self._is_staged(ver):
                continue
            self._judge_one(ver, stats, baseline)

    def _judge_one(
        self,
        ver: model.Version,
        stats: evidence.TrialStats,
        baseline: evidence.TrialStats,
    ) -> None:
        stage = self._stage(ver, stats)
        self._latest[ver.name] = stats
        is_allowed = rollout.may_advance(
            ver, stage, stats, baseline, now=time.monotonic(), is_rated=self._is_rated
        )
        if not is_allowed:
            return
        next_stage = stage.number + 1
        logger.bind(version=ver.name, trial=ver.trial, stage=next_stage).info(
            "roll-out advances to its next stage"
        )
        report = self.view.report_stage(ver.name, ver.trial, next_stage)
        self.view.add_future(report)

    @property
    def _is_rated(self) -> bool:
        return bool(self.texts.in_force.text.rating_url)

    def _is_staged(self, ver: model.Version) -> bool:
        return self.view.trial_of(ver.name, ver.trial).stage < len(ver.stages)

    def _baseline(
        self,
        ver: model.Version,
        names: list[str],
        merged: dict[str, evidence.TrialStats],
    ) -> evidence.TrialStats | None:
        """Return the evidence on the version that takes the remaining requests.

        Of the other versions, the one with the most ratings is assumed to be that one.
        """
        others = [n for n in names if n != ver.name and n in merged]
        if not others:
            return None
        return max((merged[n] for n in others), key=lambda stats: stats.ratings.seen)

    def _stage(self, ver: model.Version, stats: evidence.TrialStats) -> rollout.Stage:
        """Return the current stage, counted from when this instance first saw it."""
        stage = self._stages.get(ver.name)
        if stage is not None and self._is_current(stage, ver):
            return stage
        series = stats.ratings if self._is_rated else stats.errors
        stage = rollout.Stage(
            trial=ver.trial,
            number=self.view.trial_of(ver.name, ver.trial).stage,
            since=time.monotonic(),
            seen_before=series.seen,
        )
        self._stages[ver.name] = stage
        return stage

    def statuses(self) -> list[RolloutStatus]:
        """Return the unfinished roll-outs that this instance judges."""
        if self.texts.in_force is None:
            return []
        versions = self.texts.in_force.text.versions
        now = time.monotonic()
        found = []
        for name, stage in sorted(self._stages.items()):
            ver = versions.get(name)
            if (
                ver is not None
                and self._is_staged(ver)
                and self._is_current(stage, ver)
            ):
                stats = self._latest[name]
                found.append(_status(ver, stage, stats, now, self._is_rated))
        return found

    def _is_current(self, stage: rollout.Stage, ver: model.Version) -> bool:
        """Return whether a recorded stage is still the version's current one."""
        number = self.view.trial_of(ver.name, ver.trial).stage
        return (stage.trial, stage.number) == (ver.trial, number)


def _status(
    ver: model.Version,
    stage: rollout.Stage,
    stats: evidence.TrialStats,
    now: float,
    is_rated: bool,
) -> RolloutStatus:
    return RolloutStatus(
        version=ver.name,
        trial=ver.trial,
        stage=stage.number,
        stages=len(ver.stages),
        share=ver.stages[min(stage.number, len(ver.stages) - 1)],
        target=ver.share,
        seconds=now - stage.since,
        needed_s=ver.stage_s,
        samples=stage.samples(ver, stats, is_rated),
        needed_samples=ver.stage_samples,
    )
