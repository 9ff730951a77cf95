"""Choice of upstreams and versions, admission and tracking of upstreams."""

import random

import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import errors
from masticpost_decide import admission, choice, tracker, versionchoice
from masticpost_text import model

candidates = strategies.lists(
    strategies.builds(
        choice.Candidate,
        name=strategies.uuids().map(str),
        load=strategies.floats(0, 100),
        outstanding=strategies.integers(0, 100),
        capacity=strategies.integers(1, 64),
        ramp_factor=strategies.floats(0.1, 1.0),
        has_prefix=strategies.booleans(),
        is_same_domain=strategies.booleans(),
    ),
    min_size=1,
    max_size=8,
)


@hypothesis.given(candidates, strategies.sampled_from(choice.POLICIES.names()))
@hypothesis.settings(deadline=None, derandomize=True)
def test_every_policy_returns_a_candidate(rows, name):
    ctx = choice.Context(random=random.Random(1))
    assert choice.POLICIES.get(name)(rows, ctx) in rows


def test_least_loaded_prefers_low_load_cached_prefix_and_same_domain():
    ctx = choice.Context(random=random.Random(1))
    busy = choice.Candidate(name="busy", load=20, capacity=32)
    idle = choice.Candidate(name="idle", load=2, capacity=32)
    cached = choice.Candidate(name="cached", load=2, capacity=32, has_prefix=True)
    near = choice.Candidate(name="near", load=2, capacity=32, is_same_domain=True)
    ramping = choice.Candidate(name="ramping", load=0, capacity=32, ramp_factor=0.1)
    assert choice.least_loaded([busy, idle], ctx) is idle
    assert choice.least_loaded([idle, cached], ctx) is cached
    assert choice.least_loaded([idle, near], ctx) is near
    assert choice.least_loaded([idle, ramping], ctx) is idle


def make_text(versions=(), customers=()):
    return model.Text(
        deployment="d",
        domains={},
        versions={ver.name: ver for ver in versions},
        services={},
        upstreams={},
        customers={cust.name: cust for cust in customers},
    )


CUSTOMER = model.Customer(name="c", keys=(), services=(), max_concurrent=4)


def test_versions_are_picked_by_share_and_equal_keys_get_equal_versions():
    a = model.Version(name="a", model="m", share=90.0)
    b = model.Version(name="b", model="m", share=10.0)
    text = make_text([a, b])
    picked = [versionchoice.pick(text, CUSTOMER, "m", str(i)).name for i in range(4000)]
    assert 0.08 < picked.count("b") / len(picked) < 0.12
    assert picked == [
        versionchoice.pick(text, CUSTOMER, "m", str(i)).name for i in range(4000)
    ]


def test_withdrawn_version_may_neither_start_nor_continue():
    text = make_text([model.Version(name="a", model="m", state="withdrawn")])
    assert not versionchoice.may_start(text, CUSTOMER, "a")
    assert not versionchoice.may_continue(text, CUSTOMER, "a")


def test_small_customer_is_admitted_while_a_large_one_fills_the_limit():
    control = admission.Admission()
    control.limit = 8.0
    large = model.Customer(name="large", keys=(), services=(), max_concurrent=1000)
    small = model.Customer(name="small", keys=(), services=(), max_concurrent=1000)
    text = make_text(customers=[large, small])
    admissions = [control.admit(text, large, 1) for _ in range(8)]
    for admitted in admissions:
        admitted.__enter__()
    with pytest.raises(errors.RefusalError) as caught:
        control.admit(text, large, 1).__enter__()
    assert caught.value.refusal.code == "overloaded"
    with control.admit(text, small, 1):
        assert control.total == 9


def test_block_of_a_failing_upstream_grows_with_each_failure():
    state = tracker.UpstreamState(name="u")
    for _ in range(tracker.FAILURES_TO_BLOCK):
        state.record_failure(100.0)
    first = state.blocked_until
    state.record_failure(100.0)
    assert 100.0 < first < state.blocked_until
    state.record_success(0.1)
    assert state.consecutive_failures == 0
