"""The learnt cascade meets its target at a cost near the known optimum."""

import random

import attrs
import pytest
from masticpost_decide import cascade, estimates

COSTS = (1.0, 20.0)


def key(model, version="1", request_class="c"):
    name = f"{model}-{version}"
    return estimates.Key(request_class=request_class, model=model, version=name)


LEVELS = (key("small"), key("large"))


def ask_for(target):
    return cascade.CascadeRequest(service="s", target=target, levels=LEVELS, costs=COSTS)


def run(qualities, target, count=3000, seed=0, can_escalate=True):
    """Return mean quality and cost of a class whose levels have these qualities."""
    policy = cascade.ExpectedCost(seed=seed)
    draw = random.Random(seed)
    ask = attrs.evolve(ask_for(target), can_escalate=can_escalate)
    quality = cost = 0.0
    for _ in range(count):
        level = policy.start_level(ask)
        use = policy.rating_use(ask, level)
        score = min(1.0, max(0.0, draw.gauss(qualities[level], 0.05)))
        cost += COSTS[level]
        if use is not cascade.RatingUse.NONE:
            policy.record_rating(ask, level, score)
        is_refused = not policy.accepts(ask, level, score)
        if can_escalate and use is cascade.RatingUse.DECIDE and is_refused:
            level = ask.top_level
            cost += COSTS[level]
            policy.record_rating(ask, level, draw.gauss(qualities[level], 0.05))
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


def test_baselines_do_what_their_names_say():
    ask = ask_for(0.9)
    assert cascade.CASCADES.get("best")().start_level(ask) == 1
    assert cascade.CASCADES.get("cheapest")().start_level(ask) == 0
    fixed = cascade.CASCADES.get("threshold")()
    assert fixed.rating_use(ask, 0) is cascade.RatingUse.DECIDE
    assert not fixed.accepts(ask, 0, 0.1)
    assert fixed.accepts(ask, 1, 0.1)


def test_new_version_is_taken_for_as_good_as_its_model_and_learnt_on_its_own():
    """A bad new version must not spoil what is known of the old one."""
    notes = estimates.Estimator()
    for _ in range(50):
        notes.add(key("small"), 0.8)
    new = key("small", "2")
    assert notes.estimate(new).mean() == pytest.approx(0.8)
    for _ in range(50):
        notes.add(new, 0.4)
    assert notes.estimate(new).mean() < 0.45
    assert notes.estimate(key("small")).mean() > 0.75


def test_instances_know_what_others_learnt_and_a_new_one_starts_from_it():
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
    assert fresh.rows()[0].stats.weight == pytest.approx(estimates.ENOUGH_WEIGHT)
    busy = estimates.Estimator()
    stats = estimates.Stats(weight=1000.0, total=800.0, squares=645.0)
    busy.replace_others([estimates.Row(key=key("small"), stats=stats)])
    busy.adopt(1 / 5)
    assert busy.rows()[0].stats.weight == pytest.approx(200)


def test_classes_that_callers_make_up_are_bounded():
    notes = estimates.Estimator()
    for number in range(2 * estimates.MAX_KEYS):
        notes.add(key("small", request_class=f"made-up-{number}"), 0.8)
    assert len(notes.rows()) == estimates.MAX_KEYS


def test_ratings_fade():
    notes = estimates.Estimator()
    for score in (0.4, 0.9):
        for _ in range(600):
            notes.add(key("small"), score)
    assert notes.estimate(key("small")).mean() > 0.75
    assert notes.estimate(key("small")).weight <= estimates.MAX_WEIGHT
