"""A bad version is stopped soon; a good one hardly ever."""

import random

import pytest
from masticpost_decide import evidence

SEEDS = 200
LOOKS = 600
MAX_FALSE_STOPS = SEEDS // 100
NOISE = 0.08


def replay(seed, quality, error_rate=0.0, looks=LOOKS):
    """Return after how many answers of the new version it was stopped, or None.

    The old version gets nine answers for each of the new one; the evidence is judged
    after every one, as instances do.
    """
    draw = random.Random(seed)
    new, old = evidence.TrialStats(version="new"), evidence.TrialStats(version="old")
    for number in range(1, looks + 1):
        for _ in range(9):
            old.errors.add(0.0)
        old.ratings.add(draw.gauss(0.8, NOISE))
        new.errors.add(1.0 if draw.random() < error_rate else 0.0)
        if draw.random() < 0.5:
            new.ratings.add(draw.gauss(quality, NOISE))
        if evidence.judge([new, old]) is not None:
            return number
    return None


def test_good_versions_are_hardly_ever_stopped():
    stops = [seed for seed in range(SEEDS) if replay(seed, 0.8) is not None]
    assert len(stops) <= MAX_FALSE_STOPS


@pytest.mark.parametrize(("quality", "most"), [(0.7, 200), (0.6, 60), (0.4, 30)])
def test_bad_versions_are_stopped_soon(quality, most):
    found = [replay(seed, quality) for seed in range(50)]
    assert all(found)
    assert sorted(found)[len(found) // 2] <= most


def test_failing_version_is_stopped():
    found = [replay(seed, 0.8, error_rate=0.3) for seed in range(50)]
    assert all(found)
    assert sorted(found)[len(found) // 2] <= 100


def test_evidence_of_instances_adds_up():
    parts = []
    for number in range(3):
        row = evidence.TrialStats(version="v")
        row.ratings.add(0.1 * number)
        parts.append(row)
    merged = evidence.merge(parts)["v"]
    assert merged.ratings.count == 3
    assert merged.ratings.mean() == pytest.approx(0.1)
