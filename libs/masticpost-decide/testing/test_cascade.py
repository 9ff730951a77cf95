"""The expected-cost cascade meets its target at a cost near the known optimum."""

import random

import attrs
import pytest
from masticpost_decide import cascade, estimates

COSTS = (1.0, 20.0)


def key(model, version="1", request_class="c"):
    name = f"{model}-{version}"
    return estimates.Key(request_class=request_class, model=model, version=name)


LEVELS = (key("small"), key("large"))


def request_for(target):
    return cascade.CascadeRequest(
        service="s", target=target, levels=LEVELS, costs=COSTS
    )


def run(qualities, target, count=3000, seed=0, can_escalate=True):
    """Return mean quality and cost of requests whose levels have these qualities."""
    policy = cascade.ExpectedCost(seed=seed)
    draw = random.Random(seed)
    req = attrs.evolve(request_for(target), can_escalate=can_escalate)
    quality = cost = 0.0
    for _ in range(count):
        level = policy.start_level(req)
        use = policy.rating_use(req, level)
        score = min(1.0, max(0.0, draw.gauss(qualities[level], 0.05)))
        cost += COSTS[level]
        if use is not cascade.RatingUse.NONE:
            policy.record_rating(req, level, score)
        is_rejected = not policy.accepts(req, level, score)
        if can_escalate and use is cascade.RatingUse.DECIDE and is_rejected:
            level = req.top_level
            cost += COSTS[level]
            policy.record_rating(req, level, draw.gauss(qualities[level], 0.05))
        quality += qualities[level]
    return quality / count, cost / count


@pytest.mark.parametrize("seed", range(5))
def test_easy_class_stays_on_the_cheap_level(seed):
    quality, cost = run((0.85, 0.96), 0.75, seed=seed)
    assert quality >= 0.75
    assert cost < 1.5


@pytest.mark.parametrize("seed", range(5))
def test_hard_class_meets_its_target_near_the_optimum(seed):
    quality, cost = run((0.5, 0.95), 0.9, seed=seed)
    share = (0.9 - 0.5) / (0.95 - 0.5)
    optimum = share * COSTS[1] + (1 - share) * COSTS[0]
    assert quality >= 0.9
    assert cost <= 1.1 * optimum


@pytest.mark.parametrize("seed", range(5))
def test_stream_that_cannot_escalate_meets_its_target(seed):
    quality, cost = run((0.64, 0.93), 0.9, seed=seed, can_escalate=False)
    assert quality >= 0.9 - 0.01
    assert cost < COSTS[1]


def test_unreachable_target_takes_the_best_level():
    quality, _ = run((0.3, 0.6), 0.9)
    assert quality > 0.55


def test_baseline_cascades_start_rate_and_accept_as_documented():
    req = request_for(0.9)
    assert cascade.CASCADES.get("best")().start_level(req) == 1
    assert cascade.CASCADES.get("cheapest")().start_level(req) == 0
    fixed = cascade.CASCADES.get("threshold")()
    assert fixed.rating_use(req, 0) is cascade.RatingUse.DECIDE
    assert not fixed.accepts(req, 0, 0.1)
    assert fixed.accepts(req, 1, 0.1)


def test_new_version_starts_from_its_model_mean_and_is_then_estimated_on_its_own():
    """Ratings of a bad new version must not lower the estimate of the old one."""
    estimator = estimates.Estimator()
    for _ in range(50):
        estimator.add(key("small"), 0.8)
    new = key("small", "2")
    assert estimator.estimate(new).mean() == pytest.approx(0.8)
    for _ in range(50):
        estimator.add(new, 0.4)
    assert estimator.estimate(new).mean() < 0.45
    assert estimator.estimate(key("small")).mean() > 0.75


def test_instances_use_ratings_of_others_and_a_new_one_adopts_a_share():
    parts = [estimates.Estimator() for _ in range(4)]
    for part in parts:
        for _ in range(10):
            part.add(key("small"), 0.8)
    fresh = estimates.Estimator()
    fresh.replace_others(estimates.merge([part.rows() for part in parts]))
    assert fresh.estimate(key("small")).weight == 40
    assert fresh.has_few_own_ratings()
    assert not estimates.Estimator().has_few_own_ratings()
    parts[0].replace_others(estimates.merge([part.rows() for part in parts[1:]]))
    assert not parts[0].has_few_own_ratings()
    fresh.adopt(1 / 5)
    assert fresh.rows()[0].stats.weight == pytest.approx(estimates.SUFFICIENT_WEIGHT)
    busy = estimates.Estimator()
    stats = estimates.Stats(weight=1000.0, total=800.0, squares=645.0)
    busy.replace_others([estimates.Row(key=key("small"), stats=stats)])
    busy.adopt(1 / 5)
    assert busy.rows()[0].stats.weight == pytest.approx(200)


def test_number_of_request_classes_is_bounded():
    estimator = estimates.Estimator()
    for number in range(2 * estimates.MAX_KEYS):
        estimator.add(key("small", request_class=f"made-up-{number}"), 0.8)
    assert len(estimator.rows()) == estimates.MAX_KEYS


def test_old_ratings_decay():
    estimator = estimates.Estimator()
    for score in (0.4, 0.9):
        for _ in range(600):
            estimator.add(key("small"), score)
    assert estimator.estimate(key("small")).mean() > 0.75
    assert estimator.estimate(key("small")).weight <= estimates.MAX_WEIGHT
