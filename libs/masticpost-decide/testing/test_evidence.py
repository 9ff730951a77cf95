"""The sequential test stops bad versions early and good ones rarely."""

import random

import pytest
from masticpost_decide import evidence

SEEDS = 200
MAX_ANSWERS = 600
MAX_FALSE_STOPS = SEEDS // 100
NOISE = 0.08


def replay(seed, quality, error_rate=0.0, max_answers=MAX_ANSWERS):
    """Return the answer of the new version at which it was stopped, counted from 1.

    Returns None if it was not stopped. The old version gets nine answers for each of
    the new one. The evidence is judged after every answer of the new version, because
    instances judge it repeatedly too.
    """
    draw = random.Random(seed)
    new, old = evidence.TrialStats(version="new"), evidence.TrialStats(version="old")
    for number in range(1, max_answers + 1):
        for _ in range(9):
            old.errors.add(0.0)
        old.ratings.add(draw.gauss(0.8, NOISE))
        new.errors.add(1.0 if draw.random() < error_rate else 0.0)
        if draw.random() < 0.5:
            new.ratings.add(draw.gauss(quality, NOISE))
        if evidence.judge([new, old]) is not None:
            return number
    return None


def test_good_versions_are_rarely_stopped():
    stops = [seed for seed in range(SEEDS) if replay(seed, 0.8) is not None]
    assert len(stops) <= MAX_FALSE_STOPS


@pytest.mark.parametrize(("quality", "max_median"), [(0.7, 200), (0.6, 60), (0.4, 30)])
def test_bad_versions_are_stopped_early(quality, max_median):
    found = [replay(seed, quality) for seed in range(50)]
    assert all(found)
    assert sorted(found)[len(found) // 2] <= max_median


def test_failing_version_is_stopped():
    found = [replay(seed, 0.8, error_rate=0.3) for seed in range(50)]
    assert all(found)
    assert sorted(found)[len(found) // 2] <= 100


def test_merge_adds_up_evidence_of_instances():
    parts = []
    for number in range(3):
        row = evidence.TrialStats(version="v")
        row.ratings.add(0.1 * number)
        parts.append(row)
    merged = evidence.merge(parts)["v"]
    assert merged.ratings.count == 3
    assert merged.ratings.mean() == pytest.approx(0.1)
