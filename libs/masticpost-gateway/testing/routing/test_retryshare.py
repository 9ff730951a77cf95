"""All instances together stay within the bounds on repeats."""

import random

import hypothesis
from hypothesis import strategies
from masticpost_gateway.routing import retryshare

BOUNDS = retryshare.Bounds(ratio=0.9, slack=56.0, window_s=10.0)


@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    members=strategies.integers(1, 12),
    rate=strategies.floats(1.0, 60.0),
)
@hypothesis.settings(max_examples=40, deadline=None)
def test_every_window_keeps_the_bound_when_all_calls_fail(seed, members, rate):
    draw = random.Random(seed)
    shares = [
        retryshare.RetryShare(bounds=BOUNDS, members=lambda: members)
        for _ in range(members)
    ]
    requests, repeats = [], []
    now = 0.0
    while now < 25.0:
        now += draw.expovariate(rate)
        share = draw.choice(shares)
        share.first("s", now)
        requests.append(now)
        for _ in range(2):
            if share.may_repeat("s", now):
                share.repeated("s", now)
                repeats.append(now)
    for end in repeats:
        start = end - BOUNDS.window_s
        made = sum(start < at <= end for at in repeats)
        asked = sum(start < at <= end for at in requests)
        assert made <= BOUNDS.ratio * asked + BOUNDS.slack


def test_escalations_leave_room_for_retries_after_failures():
    share = retryshare.RetryShare(bounds=BOUNDS, members=lambda: 1)
    for _ in range(100):
        share.first("s", 1.0)
    while share.may_repeat("s", 1.0, is_planned=True):
        share.repeated("s", 1.0)
    assert share.may_repeat("s", 1.0)
