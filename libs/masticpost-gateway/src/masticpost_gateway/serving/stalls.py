"""Waiting for an upstream that may have died, without giving up a slow one."""

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
        Wait from which on it counts, in seconds.
    holds : callable
        Tells, given the seconds waited, whether the wait is to end.
    """

    after_s: float
    holds: collections.abc.Callable[[float], bool]

    def applies(self, waited_s: float) -> bool:
        """Tell whether the wait is to end now."""
        return waited_s >= self.after_s and self.holds(waited_s)


async def wait(
    work: collections.abc.Coroutine[typing.Any, typing.Any, T],
    *,
    limit_s: float,
    leaves: collections.abc.Sequence[StallRule] = (),
    waited_s: float = 0.0,
) -> T:
    """Return the result of `work`.

    Parameters
    ----------
    limit_s : float
        Longest wait, in seconds.
    leaves : sequence of StallRule
        Reasons to end the wait before, looked at each `POLL_S`.
    waited_s : float
        Time for which the same thing was waited for before, which counts for the
        reasons to leave.

    Raises
    ------
    TimeoutError
        The wait ended before the work; it was cancelled.
    """
    began = time.monotonic()
    task = asyncio.ensure_future(work)
    passed_s = 0.0
    try:
        while True:
            pause_s = _pause_s(waited_s + passed_s, waited_s + limit_s, leaves)
            done, _ = await asyncio.wait((task,), timeout=pause_s)
            if done:
                return task.result()
            passed_s = time.monotonic() - began
            if passed_s >= limit_s or is_stalled(leaves, waited_s + passed_s):
                raise TimeoutError
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def is_stalled(leaves: collections.abc.Sequence[StallRule], waited_s: float) -> bool:
    """Tell whether there is a reason to end a wait."""
    return any(leave.applies(waited_s) for leave in leaves)


def _pause_s(
    waited_s: float, limit_s: float, leaves: collections.abc.Sequence[StallRule]
) -> float:
    """Return the time until something is to be looked at."""
    ahead = [leave.after_s for leave in leaves if leave.after_s > waited_s]
    return max(0.0, min([limit_s, waited_s + POLL_S, *ahead]) - waited_s)
