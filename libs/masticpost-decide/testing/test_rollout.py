"""Staged roll-outs: shares add up, good versions advance, bad ones stay small."""

import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies
from masticpost_decide import evidence, rollout
from masticpost_text import model

STAGES = (1.0, 5.0, 20.0)
SEEDS = 200
MAX_FALSE_STOPS = SEEDS // 100
NOISE = 0.08
REQUESTS = 40_000
RATED_NEW, RATED_OLD = 0.5, 0.1
MAX_EXPOSED_SHARE = 0.01


def version(name, share, stages=(), samples=60):
    return model.Version(
        name=name,
        model="m",
        share=share,
        stages=stages,
        stage_s=0.0,
        stage_samples=samples,
    )


NEW = version("new", 100.0, STAGES)
OLD = version("old", 0.0)


@hypothesis.given(
    stage=strategies.integers(0, 4),
    others=strategies.lists(strategies.floats(0, 100), min_size=1, max_size=4),
)
@hypothesis.settings(deadline=None, derandomize=True)
def test_shares_add_up_and_a_staged_version_has_its_stage_share(stage, others):
    rest = [version(f"old-{i}", share) for i, share in enumerate(others)]
    found = rollout.shares([NEW, *rest], lambda ver: stage)
    if stage >= len(STAGES):
        assert found["new"] == NEW.share
        return
    assert found["new"] == STAGES[stage]
    assert sum(found.values()) == pytest.approx(100.0)
    assert min(found.values()) >= 0


def test_only_version_gets_all_requests():
    assert rollout.shares([NEW], rollout.first_stage) == {"new": 100.0}


@attrs.define(kw_only=True)
class Outcome:
    """End of a replayed roll-out; `exposed` counts requests on the new version."""

    exposed: int = 0
    is_stopped: bool = False
    stage: int = 0


def replay(seed, quality, requests=REQUESTS, error_rate=0.0):
    """Run one roll-out through the decision functions that the instances use."""
    draw = random.Random(seed)
    new, old = evidence.TrialStats(version="new"), evidence.TrialStats(version="old")
    out = Outcome()
    stage = rollout.Stage(trial=1, number=0, since=0.0, seen_before=0)
    for number in range(requests):
        parts = rollout.shares([NEW, OLD], lambda ver: out.stage)
        is_new = draw.random() * 100 < parts["new"]
        row = new if is_new else old
        mean = quality if is_new else 0.8
        out.exposed += is_new
        row.errors.add(1.0 if is_new and draw.random() < error_rate else 0.0)
        if draw.random() < (RATED_NEW if is_new else RATED_OLD):
            row.ratings.add(min(1.0, max(0.0, draw.gauss(mean, NOISE))))
        if number % 30:
            continue
        if evidence.judge([new, old]) is not None:
            out.is_stopped = True
            return out
        if rollout.may_advance(NEW, stage, new, old, now=1.0, is_rated=True):
            out.stage += 1
            seen = new.ratings.seen
            stage = rollout.Stage(
                trial=1, number=out.stage, since=0.0, seen_before=seen
            )
        if out.stage == len(STAGES):
            return out
    return out


def test_good_versions_reach_their_share_and_are_rarely_stopped():
    found = [replay(seed, 0.8) for seed in range(SEEDS)]
    assert sum(out.is_stopped for out in found) <= MAX_FALSE_STOPS
    assert all(out.stage == len(STAGES) or out.is_stopped for out in found)


@pytest.mark.parametrize("quality", [0.7, 0.6, 0.4])
def test_bad_versions_get_at_most_one_percent_of_requests(quality):
    found = [replay(seed, quality) for seed in range(50)]
    assert all(out.is_stopped for out in found)
    assert max(out.exposed for out in found) <= MAX_EXPOSED_SHARE * REQUESTS


def test_slightly_worse_version_stays_in_the_first_stage():
    """The difference is too small for an early stop and too large to advance."""
    found = [replay(seed, 0.75, requests=REQUESTS // 2) for seed in range(50)]
    assert max(out.stage for out in found) == 0
    assert max(out.exposed for out in found) <= 2 * MAX_EXPOSED_SHARE * REQUESTS // 2


def test_failing_versions_do_not_complete():
    found = [replay(seed, 0.8, error_rate=0.3) for seed in range(20)]
    assert all(out.is_stopped and out.stage < len(STAGES) for out in found)


def test_stage_lasts_its_minimum_time_and_samples():
    ver = attrs.evolve(NEW, stage_s=10.0, stage_samples=5)
    new, old = evidence.TrialStats(version="new"), evidence.TrialStats(version="old")
    for _ in range(600):
        old.ratings.add(0.8)
        old.errors.add(0.0)
        new.errors.add(0.0)
        new.ratings.add(0.8)
    begun = rollout.Stage(trial=1, number=0, since=0.0, seen_before=0)
    fresh = rollout.Stage(trial=1, number=0, since=0.0, seen_before=598)
    args = {"stats": new, "baseline": old, "is_rated": True}
    assert not rollout.may_advance(ver, begun, now=9.0, **args)
    assert rollout.may_advance(ver, begun, now=11.0, **args)
    assert not rollout.may_advance(ver, fresh, now=11.0, **args)
    restarted = evidence.TrialStats(version="new")
    assert fresh.samples(ver, restarted, is_rated=True) == 0
