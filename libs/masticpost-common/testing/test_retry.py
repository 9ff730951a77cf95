"""Tests of the retry policy, rendezvous hashing and registries."""

import time

import pytest
from masticpost_common import registry, rendezvous, retry


def attempts(idempotent=True, deadline_s=10.0, budget=None, max_attempts=3):
    return retry.Attempts(
        policy=retry.RetryPolicy(attempts=max_attempts),
        budget=budget or retry.RetryBudget(),
        idempotent=idempotent,
        deadline=time.monotonic() + deadline_s,
    )


@pytest.mark.parametrize(
    ("verdict", "idempotent", "is_retried"),
    [
        (retry.Verdict.NOT_PROCESSED, True, True),
        (retry.Verdict.NOT_PROCESSED, False, True),
        (retry.Verdict.NOT_KNOWN, True, True),
        (retry.Verdict.NOT_KNOWN, False, False),
        (retry.Verdict.ANSWERED, True, False),
        (retry.Verdict.ANSWERED, False, False),
    ],
)
def test_verdict_and_idempotency_decide_on_retry(verdict, idempotent, is_retried):
    delay = attempts(idempotent).retry_delay_s(verdict)
    assert (delay is not None) is is_retried


def test_attempts_are_limited():
    call = attempts(max_attempts=3)
    delays = [call.retry_delay_s(retry.Verdict.NOT_PROCESSED) for _ in range(4)]
    assert [delay is not None for delay in delays] == [True, True, False, False]


def test_no_retry_past_the_deadline():
    call = attempts(deadline_s=0.0)
    assert call.retry_delay_s(retry.Verdict.NOT_PROCESSED) is None


def test_budget_limits_retries_to_a_share_of_calls():
    budget = retry.RetryBudget(ratio=0.2, reserve=2.0)
    granted = 0
    for _ in range(100):
        call = attempts(budget=budget)
        granted += call.retry_delay_s(retry.Verdict.NOT_KNOWN) is not None
    assert granted <= 2 + 0.2 * 100 + 1


def test_removed_member_moves_only_its_own_keys():
    members = [f"m{i}" for i in range(8)]
    before = {key: rendezvous.owner(members, key) for key in map(str, range(400))}
    remaining = members[1:]
    after = {key: rendezvous.owner(remaining, key) for key in before}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "m0"}
    assert 20 < len(moved) < 90


def test_registry_errors_name_the_entries():
    entries = registry.Registry(kind="thing")
    entries.register("a")(1)
    with pytest.raises(registry.UnknownEntryError, match="known: a"):
        entries.get("b")
    with pytest.raises(ValueError, match="twice"):
        entries.register("a")(2)
