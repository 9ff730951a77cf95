"""Prompts go where they are read first and stall others least."""

import random

import pytest
from masticpost_gateway.learning import speeds
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model

NAMES = [f"engine-{number}" for number in range(5)]


class NoPeers:
    """A mesh without messages."""

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


def make():
    work = loads.Loads(peers=NoPeers())
    work.cache_tokens = 400_000
    pace = speeds.Speeds()
    pace.of("s", "large").prefill_token_s = 6e-5
    return work, placement.Placement(loads=work, speeds=pace)


def reading(shared="manual-1", own="own-1", is_smallest=False):
    parts = (
        headers.Part(name=shared, tokens=13_000),
        headers.Part(name=own, tokens=3_000),
    )
    prompt = headers.Prompt(parts=parts, tokens_in=16_000, tokens_out=100)
    return placement.Prefill(service="s", model="large", prompt=prompt)


def test_prompt_returns_to_where_its_beginning_was_read():
    work, places = make()
    wanted = reading()
    first = places.best(READY, wanted)
    for key, part in zip(wanted.prefix_keys(), wanted.prompt.parts, strict=True):
        work.note_cached(first.name, key, part.tokens)
    again = reading(own="own-2")
    assert places.best(READY, again) == first
    assert places.uncached_tokens(first.name, again) == 3_000


def test_hot_prompt_spreads_when_its_upstream_is_busy():
    """One manual gets much of the traffic: waiting must not outgrow reading it anew."""
    work, places = make()
    used = set()
    for number in range(20):
        wanted = reading(own=f"own-{number}")
        chosen = places.best(READY, wanted)
        used.add(chosen.name)
        work.begin(chosen.name, places.prefill_s(chosen.name, wanted))
        for key, part in zip(wanted.prefix_keys(), wanted.prompt.parts, strict=True):
            work.note_cached(chosen.name, key, part.tokens)
    waits = [work.total(name, 0.0).reading_s for name in NAMES]
    assert len(used) >= 3
    assert max(waits) < 0.5 * sum(waits)


def test_burst_of_unlike_prompts_is_spread_evenly():
    work, places = make()
    draw = random.Random(3)
    for number in range(50):
        wanted = reading(f"manual-{draw.randrange(70)}", f"own-{number}")
        chosen = places.best(READY, wanted)
        work.begin(chosen.name, places.prefill_s(chosen.name, wanted))
    waits = [work.total(name, 0.0).reading_s for name in NAMES]
    assert max(waits) <= 1.5 * min(waits)


def test_smallest_model_is_kept_apart_from_the_others():
    _, places = make()
    parts = (headers.Part(name="a", tokens=10), headers.Part(name="b", tokens=5))
    prompt = headers.Prompt(parts=parts, tokens_in=15, tokens_out=10)
    fields = {"service": "s", "prompt": prompt, "has_levels": True}
    small = placement.Prefill(model="small", is_smallest=True, **fields)
    large = placement.Prefill(model="large", **fields)
    assert places.best(READY, small) != places.best(READY, large)


def test_speed_learns_the_idle_pace_from_noisy_times():
    draw = random.Random(1)
    speed = speeds.Speed()
    for _ in range(200):
        wait_s = draw.expovariate(2.0) if draw.random() < 0.6 else 0.0
        speed.record_prefill(4000, 4000 * 6e-5 + wait_s)
    assert speed.prefill_token_s == pytest.approx(6e-5, rel=0.5)
