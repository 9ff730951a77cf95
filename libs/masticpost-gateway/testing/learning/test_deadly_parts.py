"""Finds the prompt parts that caused crashes among the parts that were running."""

import itertools

import pytest
from masticpost_gateway.learning import causes, crashes

AFTER_DELAY_S = crashes.VERDICT_DELAY_S + 0.01
NUMBERS = itertools.count()


class Prompts(crashes.CrashTracker):
    """A tracker with helpers; parts are given by their keys."""

    def crash(self, run, *parts, request=None, at=0.0, **fields):
        row = causes.Crash(
            run=run,
            at=at,
            request=request or f"request-{next(NUMBERS)}",
            parts=tuple(f"part-{name}" for name in parts),
            **fields,
        )
        return self.record_crash(row)

    def answer(self, name, at):
        return self.record_answer(f"part-{name}", at)

    def verdicts(self, now=AFTER_DELAY_S):
        return sorted(key.removeprefix("part-") for key in self.judge(now))


@pytest.fixture
def prompts():
    return Prompts()


@pytest.mark.parametrize("place", range(3))
def test_part_of_different_requests_is_quarantined_after_three_crashes(prompts, place):
    """Guards against counting crashes for identical requests only."""
    for run in "abc":
        parts = [f"{run}{number}" for number in range(2)]
        parts.insert(place, "deadly")
        prompts.crash(run, *parts)
    assert prompts.verdicts() == ["deadly"]


def test_key_of_a_part_does_not_depend_on_its_spelling_and_fits_into_a_path():
    assert causes.part_key("AB01") == causes.part_key("ab01")
    assert causes.part_key("../x").removeprefix("part-").isalnum()


def test_identical_request_is_blamed_rather_than_its_parts(prompts):
    for run in "abc":
        prompts.crash(run, "shared", request="deadly")
    assert prompts.verdicts() == ["deadly"]


def test_part_is_blamed_once_a_second_request_crashes_an_upstream(prompts):
    """A request that is sent three times crashes three upstreams by itself."""
    for run in "abc":
        prompts.crash(run, "deadly", request="first")
    assert prompts.verdicts() == ["first"]
    prompts.crash("d", "deadly", request="second")
    assert prompts.verdicts() == ["deadly"]


def test_part_before_the_deadly_one_is_not_blamed(prompts):
    """Guards against the quarantine of what always comes with the cause."""
    prompts.answer("common", -1.0)
    for run in "abcde":
        prompts.crash(run, "common", "deadly")
    assert prompts.verdicts() == ["deadly"]
    prompts.crash("f", "common", "other")
    assert not prompts.verdicts()


def test_unknown_part_before_the_deadly_one_is_not_blamed(prompts):
    for run in "abc":
        prompts.crash(run, "common", "deadly")
    assert prompts.verdicts() == ["deadly"]


def test_first_part_is_blamed_if_those_behind_it_differ(prompts):
    for run in "abcd":
        prompts.crash(run, "deadly", "ab" if run in "abc" else "cd")
    assert prompts.verdicts() == ["deadly"]


def test_request_moving_between_crashing_upstreams_is_not_blamed(prompts):
    """Guards against refusing a sound request that is resumed elsewhere."""
    for run in "abcd":
        prompts.crash(run, "deadly")
        prompts.crash(run, "sound", request="moving")
    assert prompts.verdicts() == ["deadly"]


def test_part_is_not_blamed_for_crashes_that_one_request_explains(prompts):
    """Guards against blaming a rare part beside a request that is sent again."""
    for run in "abcd":
        prompts.crash(run, "deadly", request="first")
    for run in "abd":
        prompts.crash(run, "rare", request="moving")
    prompts.crash("d", "rare", request="another")
    prompts.crash("a", "rare", request="a-third")
    assert prompts.verdicts() == ["first"]


def test_request_blamed_before_does_not_explain_what_it_was_not_at(prompts):
    """Guards against a sound request that hides the part for which it was blamed."""
    for run in "abc":
        prompts.crash(run, "sound", request="moving")
    assert prompts.verdicts() == ["moving"]
    prompts.crash("d", "sound", request="moving")
    for run in "abe":
        prompts.crash(run, "deadly")
    assert prompts.verdicts() == ["deadly"]


@pytest.mark.parametrize("late_s, crashes_seen", [(0.1, 1), (1.0, 0)])
@pytest.mark.parametrize("is_left_first", [True, False])
def test_attempt_given_up_just_before_a_crash_counts(
    prompts, late_s, crashes_seen, is_left_first
):
    """Guards against a deadly part whose answers are dropped for a larger model."""
    left = causes.Crash(run="a", at=5.0, request="dropped", parts=("part-deadly",))
    steps = [
        lambda: prompts.note_left(left),
        lambda: prompts.note_ended("a", 5 + late_s),
    ]
    for step in steps if is_left_first else reversed(steps):
        step()
    assert prompts.crash_count("part-deadly") == crashes_seen


def test_answer_that_goes_on_clears_a_part(prompts):
    for run in "ab":
        prompts.crash(run, "sound")
    assert prompts.answer("sound", 1.0)
    prompts.crash("c", "sound", at=2.0)
    assert not prompts.verdicts(3.0)


def test_part_whose_answer_had_survived_is_no_suspect(prompts):
    for run in "abc":
        prompts.crash(run, "sound", had_begun=True, had_survived=True)
    assert not prompts.verdicts()


def test_part_that_turns_deadly_is_blamed_after_five_crashes(prompts):
    """Guards against trusting an answer of before, as from an older version."""
    prompts.answer("deadly", -1.0)
    for run in "abcd":
        prompts.crash(run, "deadly")
    assert not prompts.verdicts()
    prompts.crash("e", "deadly")
    assert prompts.verdicts() == ["deadly"]


def test_instance_that_hears_few_reports_leaves_prompts_to_the_watchers(prompts):
    prompts.judges_prompts = False
    for run in "abc":
        prompts.crash(run, "sound", request="moving")
        prompts.crash(run, request="deadly")
    assert prompts.verdicts() == ["deadly"]
