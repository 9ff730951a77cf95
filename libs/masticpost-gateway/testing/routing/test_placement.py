"""Prompts go to the upstream with the lowest delay for them and for other answers."""

import random

import pytest
from masticpost_gateway.learning import speeds
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model

NAMES = [f"engine-{number}" for number in range(5)]


class FakeMesh:
    """A mesh without other members."""

    class Hub:
        def handle(self, kind, handler):
            return None

    class Members:
        def alive(self):
            return []

    hub = Hub()
    members = Members()


def upstream(name):
    return model.Upstream(
        name=name, service="s", address="x:1", domain="a", version="v1", slots=64
    )


READY = [upstream(name) for name in NAMES]


def make_placement():
    tracker = loads.Loads(peers=FakeMesh())
    tracker.cache_tokens = 400_000
    model_speeds = speeds.Speeds()
    model_speeds.of("s", "large").prefill_token_s = 6e-5
    return tracker, placement.Placement(loads=tracker, speeds=model_speeds)


def prefill(shared="manual-1", own="own-1", is_smallest=False):
    parts = (
        headers.Part(name=shared, tokens=13_000),
        headers.Part(name=own, tokens=3_000),
    )
    prompt = headers.Prompt(parts=parts, tokens_in=16_000, tokens_out=100)
    return placement.Prefill(service="s", model="large", prompt=prompt)


def test_prompt_goes_to_where_its_prefix_is_cached():
    tracker, placer = make_placement()
    prompt_prefill = prefill()
    first = placer.best(READY, prompt_prefill)
    for key, part in zip(
        prompt_prefill.prefix_keys(), prompt_prefill.prompt.parts, strict=True
    ):
        tracker.note_cached(first.name, key, part.tokens)
    again = prefill(own="own-2")
    assert placer.best(READY, again) == first
    assert placer.uncached_tokens(first.name, again) == 3_000


def test_popular_prefix_spreads_when_its_upstream_is_busy():
    """Guards against a long queue at the only upstream that has cached a prefix.

    When one manual gets much of the traffic, waiting for the cached copy must not take
    longer than another prefill.
    """
    tracker, placer = make_placement()
    used = set()
    for number in range(20):
        prompt_prefill = prefill(own=f"own-{number}")
        chosen = placer.best(READY, prompt_prefill)
        used.add(chosen.name)
        tracker.begin(chosen.name, placer.prefill_s(chosen.name, prompt_prefill))
        for key, part in zip(
            prompt_prefill.prefix_keys(), prompt_prefill.prompt.parts, strict=True
        ):
            tracker.note_cached(chosen.name, key, part.tokens)
    waits = [tracker.total(name, 0.0).reading_s for name in NAMES]
    assert len(used) >= 3
    assert max(waits) < 0.5 * sum(waits)


def test_burst_of_different_prompts_is_spread_evenly():
    tracker, placer = make_placement()
    draw = random.Random(3)
    for number in range(50):
        prompt_prefill = prefill(f"manual-{draw.randrange(70)}", f"own-{number}")
        chosen = placer.best(READY, prompt_prefill)
        tracker.begin(chosen.name, placer.prefill_s(chosen.name, prompt_prefill))
    waits = [tracker.total(name, 0.0).reading_s for name in NAMES]
    assert max(waits) <= 1.5 * min(waits)


def test_smallest_model_has_upstreams_of_its_own():
    _, placer = make_placement()
    parts = (headers.Part(name="a", tokens=10), headers.Part(name="b", tokens=5))
    prompt = headers.Prompt(parts=parts, tokens_in=15, tokens_out=10)
    fields = {"service": "s", "prompt": prompt, "has_levels": True}
    small = placement.Prefill(model="small", is_smallest=True, **fields)
    large = placement.Prefill(model="large", **fields)
    assert placer.best(READY, small) != placer.best(READY, large)


def test_prefill_speed_is_estimated_from_noisy_times():
    draw = random.Random(1)
    speed = speeds.Speed()
    for _ in range(200):
        wait_s = draw.expovariate(2.0) if draw.random() < 0.6 else 0.0
        speed.record_prefill(4000, 4000 * 6e-5 + wait_s)
    assert speed.prefill_token_s == pytest.approx(6e-5, rel=0.5)
