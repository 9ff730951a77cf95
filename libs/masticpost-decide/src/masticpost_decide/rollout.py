"""Staged roll-outs: the share of a version now, and when its next stage begins."""

import collections.abc

import attrs
from masticpost_text import model

from masticpost_decide import evidence

StageOf = collections.abc.Callable[[model.Version], int]


def first_stage(ver: model.Version) -> int:
    """Return the stage of a version of whose trial nothing is known."""
    return 0


def shares(versions: list[model.Version], stage_of: StageOf) -> dict[str, float]:
    """Return the share of each of a model's usable versions now.

    A version in a stage has that stage's share; the others have the rest, by their own
    shares, or evenly where these are 0.
    """
    staged = {
        ver.name: ver.stages[stage_of(ver)]
        for ver in versions
        if stage_of(ver) < len(ver.stages)
    }
    others = [ver for ver in versions if ver.name not in staged]
    if not staged or not others:
        return {ver.name: ver.share for ver in versions}
    rest = max(0.0, model.SHARE_TOTAL - sum(staged.values()))
    total = sum(ver.share for ver in others)
    for ver in others:
        part = ver.share / total if total > 0 else 1 / len(others)
        staged[ver.name] = rest * part
    return staged


@attrs.define(kw_only=True)
class Stage:
    """A stage of a roll-out, as the judge of its evidence sees it.

    Attributes
    ----------
    since : float
        Monotonic time from which on the judge knows the stage, in seconds.
    seen_before : int
        Samples of the version before this stage.
    """

    trial: int
    number: int
    since: float
    seen_before: int

    def samples(
        self, ver: model.Version, row: evidence.TrialStats, is_rated: bool
    ) -> int:
        """Return the samples of this stage so far."""
        series = row.ratings if is_rated else row.errors
        self.seen_before = min(self.seen_before, series.seen)
        return series.seen - self.seen_before


def may_advance(
    ver: model.Version,
    stage: Stage,
    row: evidence.TrialStats,
    base: evidence.TrialStats,
    *,
    now: float,
    is_rated: bool,
) -> bool:
    """Tell whether a version may go on to its next stage.

    Parameters
    ----------
    row, base : evidence.TrialStats
        Evidence on the version and on the one that it is compared with.
    now : float
        Monotonic seconds.
    is_rated : bool
        Whether answers are rated; without ratings failed calls alone are judged.
    """
    if now - stage.since < ver.stage_s:
        return False
    if stage.samples(ver, row, is_rated) < ver.stage_samples:
        return False
    return evidence.is_not_worse(row, base, is_rated=is_rated)
