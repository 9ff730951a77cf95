"""The one retry policy tries again only what may be tried again."""

import time

import pytest
from masticpost_common import registry, rendezvous, retry


def attempts(idempotent=True, deadline_s=10.0, budget=None, tries=3):
    return retry.Attempts(
        policy=retry.RetryPolicy(attempts=tries),
        budget=budget or retry.RetryBudget(),
        idempotent=idempotent,
        deadline=time.monotonic() + deadline_s,
    )


@pytest.mark.parametrize(
    ("verdict", "idempotent", "again"),
    [
        (retry.Verdict.NOT_PROCESSED, True, True),
        (retry.Verdict.NOT_PROCESSED, False, True),
        (retry.Verdict.NOT_KNOWN, True, True),
        (retry.Verdict.NOT_KNOWN, False, False),
        (retry.Verdict.ANSWERED, True, False),
        (retry.Verdict.ANSWERED, False, False),
    ],
)
def test_verdict_decides(verdict, idempotent, again):
    pause = attempts(idempotent).retry_delay_s(verdict)
    assert (pause is not None) is again


def test_tries_are_bounded():
    tries = attempts(tries=3)
    pauses = [tries.retry_delay_s(retry.Verdict.NOT_PROCESSED) for _ in range(4)]
    assert [pause is not None for pause in pauses] == [True, True, False, False]


def test_nothing_is_tried_past_the_deadline():
    tries = attempts(deadline_s=0.0)
    assert tries.retry_delay_s(retry.Verdict.NOT_PROCESSED) is None


def test_budget_keeps_retries_from_multiplying():
    budget = retry.RetryBudget(ratio=0.2, reserve=2.0)
    granted = 0
    for _ in range(100):
        tries = attempts(budget=budget)
        granted += tries.retry_delay_s(retry.Verdict.NOT_KNOWN) is not None
    assert granted <= 2 + 0.2 * 100 + 1


def test_rendezvous_moves_only_what_it_must():
    members = [f"m{i}" for i in range(8)]
    before = {key: rendezvous.owner(members, key) for key in map(str, range(400))}
    left = members[1:]
    after = {key: rendezvous.owner(left, key) for key in before}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "m0"}
    assert 20 < len(moved) < 90


def test_registry_names_what_it_knows():
    known = registry.Registry(kind="thing")
    known.register("a")(1)
    with pytest.raises(registry.UnknownEntryError, match="known: a"):
        known.get("b")
    with pytest.raises(ValueError, match="twice"):
        known.register("a")(2)
