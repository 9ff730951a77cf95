"""Bounded waits that end early when an upstream has stalled."""

import asyncio
import collections.abc
import time
import typing

import attrs

POLL_S = 0.25

T = typing.TypeVar("T")


@attrs.frozen(kw_only=True)
class StallRule:
    """A reason to end a wait early.

    Attributes
    ----------
    after_s : float
        Length of the wait, in seconds, from which on the rule is evaluated.
    condition : callable
        Given the seconds waited so far, returns whether to end the wait.
    """

    after_s: float
    condition: collections.abc.Callable[[float], bool]

    def is_met(self, waited_s: float) -> bool:
        """Return whether the wait should end now."""
        return waited_s >= self.after_s and self.condition(waited_s)


async def wait(
    work: collections.abc.Coroutine[typing.Any, typing.Any, T],
    *,
    limit_s: float,
    rules: collections.abc.Sequence[StallRule] = (),
    waited_s: float = 0.0,
) -> T:
    """Return the result of `work`.

    Parameters
    ----------
    limit_s : float
        Longest wait, in seconds.
    rules : sequence of StallRule
        Reasons to end the wait before the limit, evaluated every `POLL_S` seconds.
    waited_s : float
        Seconds already spent waiting for the same thing before this call. They count
        for the rules, but not for the limit.

    Raises
    ------
    TimeoutError
        The wait ended before the work, which was cancelled.
    """
    started_at = time.monotonic()
    task = asyncio.ensure_future(work)
    elapsed_s = 0.0
    try:
        while True:
            pause_s = _next_check_s(waited_s + elapsed_s, waited_s + limit_s, rules)
            done, _ = await asyncio.wait((task,), timeout=pause_s)
            if done:
                return task.result()
            elapsed_s = time.monotonic() - started_at
            if elapsed_s >= limit_s or is_stalled(rules, waited_s + elapsed_s):
                raise TimeoutError
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def is_stalled(rules: collections.abc.Sequence[StallRule], waited_s: float) -> bool:
    """Return whether any rule ends a wait of this length."""
    return any(rule.is_met(waited_s) for rule in rules)


def _next_check_s(
    waited_s: float, limit_s: float, rules: collections.abc.Sequence[StallRule]
) -> float:
    """Return the seconds until the limit and the rules are to be checked again."""
    upcoming = [rule.after_s for rule in rules if rule.after_s > waited_s]
    return max(0.0, min([limit_s, waited_s + POLL_S, *upcoming]) - waited_s)
