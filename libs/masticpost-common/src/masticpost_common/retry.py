"""The retry policy of every call.

A failed call is classified by whether it may have run: the other side did not process
it (retried), the other side answered it (not retried), or that is not known (retried
only if the call is idempotent). The classes follow ADR 0062 (see
docs/design/retries.md). Tenacity computes the back-off and its jitter.
"""

import collections.abc
import enum
import time

import attrs
import tenacity


class Verdict(enum.Enum):
    """Whether a failed call may have run on the other side."""

    NOT_PROCESSED = "never judged"
    ANSWERED = "answered"
    NOT_KNOWN = "not known"


@attrs.frozen(kw_only=True)
class RetryPolicy:
    """Limits on the attempts of one call; times in seconds."""

    attempts: int = 3
    initial_backoff_s: float = 0.02
    max_backoff_s: float = 0.5

    def backoff(self) -> tenacity.wait.wait_base:
        """Return tenacity's exponential back-off with full jitter."""
        return tenacity.wait_random_exponential(
            multiplier=self.initial_backoff_s, max=self.max_backoff_s
        )

    def backoff_delays(self) -> collections.abc.Iterator[float]:
        """Yield the delays between the attempts of one call, in seconds."""
        state = new_call_state()
        while True:
            yield self.backoff()(state)
            state.attempt_number += 1


def new_call_state() -> tenacity.RetryCallState:
    """Return tenacity's state of a call after its first attempt."""
    return tenacity.RetryCallState(
        retry_object=tenacity.Retrying(), fn=None, args=(), kwargs={}
    )


class RetryBudget:
    """Limits retries to a share of the first attempts, to prevent retry storms.

    Parameters
    ----------
    ratio : float
        Retries added to the budget by each first attempt.
    reserve : float
        Retries in the budget at the start, and the most that it can hold.
    """

    def __init__(self, *, ratio: float = 0.2, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self._tokens = reserve

    def record_first_attempt(self) -> None:
        """Add the retries that a first attempt earns."""
        self._tokens = min(self.reserve, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; False if it holds less than one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Attempts:
    """Decides, after each failed attempt of one call, whether and when to retry it.

    Parameters
    ----------
    policy : RetryPolicy
        Number of attempts and back-off.
    budget : RetryBudget
        Shared by the calls of one customer.
    idempotent : bool
        Whether the call may be repeated if it may have run.
    deadline : float
        Time of `time.monotonic` from which no attempt is made, in seconds.
    """

    def __init__(
        self,
        *,
        policy: RetryPolicy,
        budget: RetryBudget,
        idempotent: bool,
        deadline: float,
    ) -> None:
        self.policy = policy
        self.budget = budget
        self.idempotent = idempotent
        self.deadline = deadline
        self.attempt_count = 0
        self._state = new_call_state()
        budget.record_first_attempt()

    def retry_delay_s(self, verdict: Verdict) -> float | None:
        """Return the seconds to wait before the next attempt, None for no retry."""
        self.attempt_count += 1
        if not self._may_repeat(verdict):
            return None
        if self.attempt_count >= self.policy.attempts:
            return None
        self._state.attempt_number = self.attempt_count
        delay = self.policy.backoff()(self._state)
        if time.monotonic() + delay >= self.deadline:
            return None
        if not self.budget.spend():
            return None
        return delay

    def _may_repeat(self, verdict: Verdict) -> bool:
        if verdict is Verdict.ANSWERED:
            return False
        if verdict is Verdict.NOT_PROCESSED:
            return True
        return self.idempotent
