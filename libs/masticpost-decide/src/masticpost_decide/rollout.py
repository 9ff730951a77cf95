"""Staged roll-outs: the present share of each version, and when to start a stage."""

import collections.abc

import attrs
from masticpost_text import model

from masticpost_decide import evidence

StageOf = collections.abc.Callable[[model.Version], int]


def first_stage(ver: model.Version) -> int:
    """Return stage 0, for a version whose trial has no recorded stage."""
    return 0


def shares(versions: list[model.Version], stage_of: StageOf) -> dict[str, float]:
    """Return the present share, in percent, of each of a model's usable versions.

    A version whose roll-out is in a stage gets that stage's share. The others divide
    the remainder in proportion to their own shares, or evenly if these are all 0.
    """
    staged = {
        ver.name: ver.stages[stage_of(ver)]
        for ver in versions
        if stage_of(ver) < len(ver.stages)
    }
    others = [ver for ver in versions if ver.name not in staged]
    if not staged or not others:
        return {ver.name: ver.share for ver in versions}
    remainder = max(0.0, model.SHARE_TOTAL - sum(staged.values()))
    total = sum(ver.share for ver in others)
    for ver in others:
        fraction = ver.share / total if total > 0 else 1 / len(others)
        staged[ver.name] = remainder * fraction
    return staged


@attrs.define(kw_only=True)
class Stage:
    """A stage of a roll-out, as observed by the instance that judges it.

    Attributes
    ----------
    trial : int
        Number of the version's trial.
    number : int
        Index of the stage, from 0.
    since : float
        Monotonic time at which the judging instance first saw the stage, in seconds.
    seen_before : int
        Samples of the version before this stage.
    """

    trial: int
    number: int
    since: float
    seen_before: int

    def samples(
        self, ver: model.Version, stats: evidence.TrialStats, is_rated: bool
    ) -> int:
        """Return the number of samples in this stage so far.

        Lowers `seen_before` if the count of samples has dropped below it.
        """
        series = stats.ratings if is_rated else stats.errors
        self.seen_before = min(self.seen_before, series.seen)
        return series.seen - self.seen_before


def may_advance(
    ver: model.Version,
    stage: Stage,
    stats: evidence.TrialStats,
    baseline: evidence.TrialStats,
    *,
    now: float,
    is_rated: bool,
) -> bool:
    """Return whether a version may go on to its next stage.

    This requires the stage's minimum time, its minimum number of samples, and evidence
    that the version is not worse than the baseline.

    Parameters
    ----------
    ver : model.Version
        Version in a roll-out.
    stage : Stage
        Its present stage.
    stats, baseline : evidence.TrialStats
        Evidence on the version and on the one that it is compared with.
    now : float
        Monotonic time in seconds.
    is_rated : bool
        Whether answers are rated; without ratings only failed calls are judged.
    """
    if now - stage.since < ver.stage_s:
        return False
    if stage.samples(ver, stats, is_rated) < ver.stage_samples:
        return False
    return evidence.is_not_worse(stats, baseline, is_rated=is_rated)
