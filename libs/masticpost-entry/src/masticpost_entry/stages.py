"""The stages of roll-outs, judged by the owner of a model's evidence.

A stage is committed before any instance knows of it and never goes back within a trial.
A judge that is new counts time and samples from when it first sees a stage, so that a
change of the judge makes a stage longer, never shorter.
"""

import time

import attrs
from loguru import logger
from masticpost_confsync import keeper
from masticpost_decide import evidence, rollout
from masticpost_shards import views
from masticpost_text import model


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """A roll-out as its judge sees it; times in seconds, shares in percent."""

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


class Stages:
    """Judges when roll-outs go on.

    Parameters
    ----------
    texts : keeper.Keeper
        The text in force.
    view : views.SharedView
        Knows and tells the stages.
    """

    def __init__(self, *, texts: keeper.Keeper, view: views.SharedView) -> None:
        self.texts = texts
        self.view = view
        self._judged: dict[str, rollout.Stage] = {}
        self._latest: dict[str, evidence.TrialStats] = {}

    def judge(self, names: list[str], merged: dict[str, evidence.TrialStats]) -> None:
        """Begin the next stage of a version whose evidence allows it."""
        versions = self.texts.in_force.text.versions
        for name in names:
            ver = versions[name]
            base = self._base(ver, names, merged)
            row = merged.get(name)
            if row is None or base is None or not self._is_staged(ver):
                continue
            self._judge_one(ver, row, base)

    def _judge_one(
        self, ver: model.Version, row: evidence.TrialStats, base: evidence.TrialStats
    ) -> None:
        stage = self._stage(ver, row)
        self._latest[ver.name] = row
        may = rollout.may_advance(
            ver, stage, row, base, now=time.monotonic(), is_rated=self._is_rated
        )
        if not may:
            return
        following = stage.number + 1
        logger.bind(version=ver.name, trial=ver.trial, stage=following).info(
            "next stage of a roll-out"
        )
        tell = self.view.report_stage(ver.name, ver.trial, following)
        self.view.add_future(tell)

    @property
    def _is_rated(self) -> bool:
        return bool(self.texts.in_force.text.rating_url)

    def _is_staged(self, ver: model.Version) -> bool:
        return self.view.trial_of(ver.name, ver.trial).stage < len(ver.stages)

    def _base(
        self,
        ver: model.Version,
        names: list[str],
        merged: dict[str, evidence.TrialStats],
    ) -> evidence.TrialStats | None:
        """Return the evidence on the version that takes the rest."""
        others = [n for n in names if n != ver.name and n in merged]
        if not others:
            return None
        return max((merged[n] for n in others), key=lambda row: row.ratings.seen)

    def _stage(self, ver: model.Version, row: evidence.TrialStats) -> rollout.Stage:
        """Return the present stage, from when this judge first saw it."""
        known = self._judged.get(ver.name)
        if known is not None and self._is_present(known, ver):
            return known
        series = row.ratings if self._is_rated else row.errors
        known = rollout.Stage(
            trial=ver.trial,
            number=self.view.trial_of(ver.name, ver.trial).stage,
            since=time.monotonic(),
            seen_before=series.seen,
        )
        self._judged[ver.name] = known
        return known

    def statuses(self) -> list[RolloutStatus]:
        """Return the roll-outs that are judged here and not at their end."""
        if self.texts.in_force is None:
            return []
        versions = self.texts.in_force.text.versions
        now = time.monotonic()
        found = []
        for name, stage in sorted(self._judged.items()):
            ver = versions.get(name)
            if (
                ver is not None
                and self._is_staged(ver)
                and self._is_present(stage, ver)
            ):
                row = self._latest[name]
                found.append(_status(ver, stage, row, now, self._is_rated))
        return found

    def _is_present(self, stage: rollout.Stage, ver: model.Version) -> bool:
        """Tell whether a stage that was judged here is the version's present one."""
        number = self.view.trial_of(ver.name, ver.trial).stage
        return (stage.trial, stage.number) == (ver.trial, number)


def _status(
    ver: model.Version,
    stage: rollout.Stage,
    row: evidence.TrialStats,
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
        samples=stage.samples(ver, row, is_rated),
        needed_samples=ver.stage_samples,
    )
