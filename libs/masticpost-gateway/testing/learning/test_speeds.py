"""Speeds learnt from few answers: each of many instances sees little traffic."""

import random

import pytest
from masticpost_gateway.learning import speeds

TOKENS = 4_000
TRUE_READ_S = 6e-5
QUEUED_S = 1.2


def record_waits(speed, waits):
    for wait_s in waits:
        speed.record_prefill(TOKENS, wait_s + TOKENS * TRUE_READ_S)


def test_first_answer_that_waited_in_a_queue_says_little():
    """An instance that believes it sees a backlog and keeps small models' answers."""
    speed = speeds.Speed()
    record_waits(speed, [QUEUED_S])
    assert speed.prefill_token_s < 2 * TRUE_READ_S


@pytest.mark.parametrize("true_read_s", [1e-5, 6e-5, 3e-4])
def test_speed_is_found_from_some_answers_of_which_most_waited(true_read_s):
    draw = random.Random(5)
    speed = speeds.Speed()
    for _ in range(24):
        wait_s = draw.choice([0.0, 0.02, 0.4, 0.8])
        speed.record_prefill(TOKENS, wait_s + TOKENS * true_read_s)
    assert true_read_s * 0.9 < speed.prefill_token_s < true_read_s * 1.5


def test_short_prompts_do_not_count_the_way_there_as_reading():
    """A prompt of which all but a few tokens was kept takes the network's time."""
    speed = speeds.Speed()
    record_waits(speed, [0.0] * 8)
    for _ in range(8):
        speed.record_prefill(20, 0.02)
    assert speed.prefill_token_s < 1.5 * TRUE_READ_S


def test_slower_upstreams_are_noticed():
    speed = speeds.Speed()
    record_waits(speed, [0.0] * 16)
    for _ in range(speeds.MAX_SAMPLES):
        speed.record_prefill(TOKENS, 3 * TOKENS * TRUE_READ_S)
    assert speed.prefill_token_s > 2.5 * TRUE_READ_S
