"""All instances together stay within the request rate of an upstream in cold start."""

import hypothesis
from hypothesis import strategies
from masticpost_gateway.routing import coldstart

NAMES = [f"instance-{number}" for number in range(100)]


def sent_times(count, rate, members_of, attempts_per_s=40, seconds=4):
    """Return when instances send that attempt it `attempts_per_s` times a second."""
    limiters = [
        coldstart.ColdStartLimiter(me=name, members=lambda k=k: members_of(k))
        for k, name in enumerate(NAMES[:count])
    ]
    times = []
    for step in range(attempts_per_s * seconds):
        now = step / attempts_per_s
        for limiter in limiters:
            if limiter.may_send("cold", rate, now):
                limiter.record_request("cold", now)
                times.append(now)
    return times


def max_per_second(times):
    return max(sum(at <= other < at + 1.0 for other in times) for at in times)


@hypothesis.given(count=strategies.integers(1, 100), rate=strategies.floats(1.0, 30.0))
@hypothesis.settings(max_examples=25, deadline=None)
def test_no_second_exceeds_the_rate(count, rate):
    times = sent_times(count, rate, lambda k: NAMES[:count])
    assert times
    assert max_per_second(times) <= rate


@hypothesis.given(cut=strategies.integers(1, 7))
@hypothesis.settings(max_examples=7, deadline=None)
def test_partitioned_instances_stay_near_the_rate(cut):
    def members_of(k):
        return NAMES[:cut] if k < cut else NAMES[cut:8]

    times = sent_times(8, 6.3, members_of)
    assert max_per_second(times) <= 8


def test_upstream_without_a_rate_is_not_limited():
    limiter = coldstart.ColdStartLimiter(me="one", members=lambda: ["one"])
    assert all(limiter.may_send("u", 0.0, 0.0) for _ in range(50))
