"""Sequential test of whether a version on trial is as good as the others.

It weighs two claims by the ratio of their likelihoods: a version as good as the others,
and one of which a further `BAD_SHARE` of the answers is bad. Each good answer speaks
for the first by the same factor, whatever share of bad answers is usual, so that the
evidence is counted in good answers. A bad one takes off as many as it outweighs, few
where bad answers are usual and many where they are rare.

The test may be looked at after each answer. It accepts a version of which a quarter of
the answers is bad with a probability below 0.75 ** `NEEDED`, and one that fails half of
them below 0.5 ** `NEEDED`.
"""

import math

import attrs

from masticpost_gateway.learning import comparison, tally

# Share of answers, good with the others, that a bad version spoils.
BAD_SHARE = 0.25
# Good answers that prove a version.
NEEDED = 11.0
# The same where the service gets hardly any requests: what shows a version that fails
# half of them, which then does little harm until it is found.
FEWEST = 5.0
# Share of the service's requests that need not be more than the answers for a proof.
SHARE_OF_ALL = 0.25
_WEIGHT_OF_GOOD = -math.log1p(-BAD_SHARE)


@attrs.frozen(kw_only=True)
class Proof:
    """Evidence for a version, by kind, and what is needed, in good answers.

    Attributes
    ----------
    needed : float
        Evidence that proves a version.
    answered, begun, paced : float
        Evidence that no more of its answers fail, begin late, or are written very
        slowly; the last is infinite where the others' pace is not measured.
    """

    needed: float
    answered: float
    begun: float
    paced: float

    @property
    def missing(self) -> float:
        """Good answers that are missing for a proof, 0 with one."""
        return max(0.0, self.needed - min(self.answered, self.begun, self.paced))

    @property
    def is_complete(self) -> bool:
        """Whether the version is as good as the others, by all kinds of evidence."""
        return self.missing <= 0.0

    def __str__(self) -> str:
        found = self.needed - self.missing
        kinds = zip(
            ("answered", "begun", "paced"),
            (self.answered, self.begun, self.paced),
            strict=True,
        )
        parts = ", ".join(f"{name} {value:.1f}" for name, value in kinds)
        if not self.missing:
            return f"enough evidence: {self.needed:.1f} good answers needed ({parts})"
        counts = f"{found:.1f} good answers of {self.needed:.1f} needed"
        return f"not enough evidence: {counts} ({parts})"


def prove(
    sums: comparison.Sums, row: tally.Tally, base: tally.Tally, total: float
) -> Proof:
    """Return the proof of a version.

    Parameters
    ----------
    sums : comparison.Sums
        Its bad answers beside those of the others.
    row, base : tally.Tally
        Answers of the version and of all others.
    total : float
        Requests of the service since the order.
    """
    needed = max(FEWEST, min(NEEDED, SHARE_OF_ALL * total))
    late = sums.late
    # An answer that has ended has begun.
    begun = attrs.evolve(late, count=max(late.count, row.calls))
    if begun.count and not late.count:
        begun.expected = begun.count * late.floor
    return Proof(
        needed=needed,
        answered=evidence(sums.failed),
        begun=evidence(begun),
        paced=_paced(sums, base),
    )


def evidence(answers: comparison.BadAnswers) -> float:
    """Return the evidence for a version, in good answers, below 0 against it."""
    if not answers.count:
        return 0.0
    usual = min(max(answers.floor, answers.expected / answers.count), 1.0)
    spoilt = usual + BAD_SHARE * (1.0 - usual)
    weight_of_bad = math.log(spoilt / usual)
    good = answers.count - answers.bad
    return good - answers.bad * weight_of_bad / _WEIGHT_OF_GOOD


def _paced(sums: comparison.Sums, base: tally.Tally) -> float:
    """Return the evidence that answers are not written very slowly.

    Where only some answers are long enough to measure, fewer can be asked for. Very
    slow ones speak against a version only if it is slower in the mean, as for a doubt:
    the others have them too where gaps vary widely.
    """
    if sums.gaps.base_log is None:
        return math.inf
    measured = min(1.0, base.gaps / base.calls) if base.calls else 1.0
    if not measured:
        return math.inf
    slow = sums.slow
    if sums.gaps.excess <= sums.gaps.count * tally.DOUBT.mean_log_ratio:
        slow = attrs.evolve(slow, bad=0.0)
    return evidence(slow) / measured
