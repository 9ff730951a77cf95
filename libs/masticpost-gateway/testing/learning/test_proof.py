"""A version is accepted after few answers if it is good, and rarely if it is bad."""

import random

import pytest
from masticpost_gateway.learning import comparison, proof, tally

DRAWS = 2000
# Answers that a bound of 0.15 and 30 allows of 18 requests a second for 16 s.
MOST = 73


def proof_of(bad, count, usual_bad=0, usual_count=200, total=1000):
    """Return the proof of a version by its failed answers, the others being known."""
    row = tally.Tally(calls=count, starts=count, sent=count, failures=bad)
    base = tally.Tally(calls=usual_count, starts=usual_count, failures=usual_bad)
    sums = comparison.Sums()
    sums.fold(row, base)
    return proof.prove(sums, row, base, total)


def share_accepted(bad_share, usual_share, *, needed_calls=None, at=range(1, MOST + 1)):
    """Return the share of versions that are accepted, looked at after answers `at`.

    Accepted is one that at a look is proven and not found faulty before. With
    `needed_calls` the look is the former one: so many answers and no doubt.
    """
    draw = random.Random(7)
    usual_count = 200
    usual_bad = round(usual_share * usual_count)
    accepted = 0
    for _ in range(DRAWS):
        answers = [draw.random() < bad_share for _ in range(MOST)]
        for count in at:
            bad = sum(answers[:count])
            row = tally.Tally(calls=count, failures=bad)
            base = tally.Tally(calls=usual_count, failures=usual_bad)
            if comparison.find_fault(row, base):
                break
            if comparison.find_fault(row, base, tally.DOUBT):
                continue
            if needed_calls is not None:
                is_proven = count >= needed_calls
            else:
                is_proven = proof_of(bad, count, usual_bad, usual_count).is_complete
            if is_proven:
                accepted += 1
                break
    return accepted / DRAWS


@pytest.mark.parametrize(
    ("bad_share", "usual_share", "most"),
    [(0.5, 0.0, 0.005), (0.36, 0.0, 0.02), (0.25, 0.0, 0.08), (0.36, 0.14, 0.1)],
)
def test_bad_version_is_rarely_accepted(bad_share, usual_share, most):
    """Guards against a bad version accepted, looked at after every answer."""
    assert share_accepted(bad_share, usual_share) <= most


@pytest.mark.parametrize("share", [0.0, 0.03, 0.14])
def test_version_as_good_as_the_others_is_accepted(share):
    """Guards against a good version kept waiting, also where some answers fail."""
    assert share_accepted(share, share) >= 0.95


def test_eleven_clean_answers_are_enough_and_ten_are_not():
    """Guards against a proof that few instances can reach within the bound."""
    assert proof_of(0, 11).is_complete
    assert not proof_of(0, 10).is_complete
    assert "10.0 good answers of 11.0 needed" in str(proof_of(0, 10))


@pytest.mark.parametrize("total", [0, 1, 20])
def test_nothing_is_proven_without_answers(total):
    """Guards against a version completed for lack of evidence (EXPOSURE)."""
    found = proof_of(0, 0, total=total)
    assert not found.is_complete
    assert found.missing == proof.FEWEST


def test_slow_and_late_answers_are_evidence_of_their_own():
    """Guards against a slow version proven by answers that did not fail."""
    row = tally.Tally(calls=20, starts=20, sent=20, late=8)
    base = tally.Tally(calls=200, starts=200)
    for _ in range(20):
        row.add_gap(0.05)
    for _ in range(200):
        base.add_gap(0.05)
    sums = comparison.Sums()
    sums.fold(row, base)
    late = proof.prove(sums, row, base, 1000)
    assert not late.is_complete
    assert late.answered >= proof.NEEDED
    row.late = 0
    for _ in range(8):
        row.add_gap(0.5)
    sums = comparison.Sums()
    sums.fold(row, base)
    slow = proof.prove(sums, row, base, 1000)
    assert not slow.is_complete
    assert slow.begun >= proof.NEEDED


def test_very_slow_answers_of_a_version_that_is_faster_in_the_mean_do_not_count():
    """Guards against a good version kept waiting for the tail that all have.

    Its gaps were 0.72 of the usual one against 1.34, and 3 of 22 answers very slow.
    """
    row = tally.Tally(calls=22, starts=22, sent=22)
    base = tally.Tally(calls=100, starts=100, sent=100)
    for number in range(22):
        row.add_gap(8.0 if number % 7 == 0 else 0.5)
    for number in range(100):
        base.add_gap(8.0 if number % 20 == 0 else 1.0)
    sums = comparison.Sums()
    sums.fold(row, base)
    assert proof.prove(sums, row, base, 1000).is_complete
    for _ in range(10):
        row.add_gap(8.0)
    sums = comparison.Sums()
    sums.fold(row, base)
    assert not proof.prove(sums, row, base, 1000).is_complete
