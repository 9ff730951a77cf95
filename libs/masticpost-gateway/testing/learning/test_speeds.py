"""Speeds estimated from few answers, as each of many instances has little traffic."""

import random

import pytest
from masticpost_gateway.learning import speeds

TOKENS = 4_000
TRUE_READ_S = 6e-5
QUEUED_S = 1.2


def record_prefills(speed, waits):
    for wait_s in waits:
        speed.record_prefill(TOKENS, wait_s + TOKENS * TRUE_READ_S)


def test_first_answer_after_a_queue_hardly_changes_the_estimate():
    """Guards against mistaking a wait in a queue for a slow model.

    The instance would overestimate the backlog and keep the answers of small models.
    """
    speed = speeds.Speed()
    record_prefills(speed, [QUEUED_S])
    assert speed.prefill_token_s < 2 * TRUE_READ_S


@pytest.mark.parametrize("true_read_s", [1e-5, 6e-5, 3e-4])
def test_speed_is_estimated_although_most_answers_queued(true_read_s):
    draw = random.Random(5)
    speed = speeds.Speed()
    for _ in range(24):
        wait_s = draw.choice([0.0, 0.02, 0.4, 0.8])
        speed.record_prefill(TOKENS, wait_s + TOKENS * true_read_s)
    assert true_read_s * 0.9 < speed.prefill_token_s < true_read_s * 1.5


def test_short_prompts_do_not_count_network_delay_as_prefill():
    """Guards against an estimate that is too slow.

    The time to the head of an answer is mostly network delay if all but a few tokens of
    the prompt are cached.
    """
    speed = speeds.Speed()
    record_prefills(speed, [0.0] * 8)
    for _ in range(8):
        speed.record_prefill(20, 0.02)
    assert speed.prefill_token_s < 1.5 * TRUE_READ_S


def test_estimate_follows_slower_upstreams():
    speed = speeds.Speed()
    record_prefills(speed, [0.0] * 16)
    for _ in range(speeds.MAX_SAMPLES):
        speed.record_prefill(TOKENS, 3 * TOKENS * TRUE_READ_S)
    assert speed.prefill_token_s > 2.5 * TRUE_READ_S
