"""A cold upstream gets no more than it bears, summed over all instances."""

import hypothesis
from hypothesis import strategies
from masticpost_gateway.routing import coldstart

NAMES = [f"instance-{number}" for number in range(100)]


def sent_times(count, rate, seen_by, tries_per_s=40, seconds=4):
    """Return when instances send that all try as often as they can."""
    limiters = [
        coldstart.ColdStartLimiter(me=name, members=lambda k=k: seen_by(k))
        for k, name in enumerate(NAMES[:count])
    ]
    times = []
    for step in range(tries_per_s * seconds):
        now = step / tries_per_s
        for limiter in limiters:
            if limiter.may_send("cold", rate, now):
                limiter.record_request("cold", now)
                times.append(now)
    return times


def most_in_a_second(times):
    return max(sum(at <= other < at + 1.0 for other in times) for at in times)


@hypothesis.given(count=strategies.integers(1, 100), rate=strategies.floats(1.0, 30.0))
@hypothesis.settings(max_examples=25, deadline=None)
def test_no_second_holds_more_than_the_upstream_bears(count, rate):
    times = sent_times(count, rate, lambda k: NAMES[:count])
    assert times
    assert most_in_a_second(times) <= rate


@hypothesis.given(cut=strategies.integers(1, 7))
@hypothesis.settings(max_examples=7, deadline=None)
def test_halves_that_do_not_see_each_other_stay_near_the_bound(cut):
    def seen_by(k):
        return NAMES[:cut] if k < cut else NAMES[cut:8]

    times = sent_times(8, 6.3, seen_by)
    assert most_in_a_second(times) <= 8


def test_upstream_without_bound_is_always_free():
    limiter = coldstart.ColdStartLimiter(me="one", members=lambda: ["one"])
    assert all(limiter.may_send("u", 0.0, 0.0) for _ in range(50))
