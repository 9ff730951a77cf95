"""Waiting for an upstream that may have died, without giving up a slow one."""

import asyncio
import collections.abc
import time
import typing

POLL_S = 0.25

T = typing.TypeVar("T")


async def wait(
    work: collections.abc.Coroutine[typing.Any, typing.Any, T],
    *,
    limit_s: float,
    doubt_after_s: float,
    is_doubtful: collections.abc.Callable[[], bool],
) -> T:
    """Return the result of `work`.

    Parameters
    ----------
    limit_s : float
        Longest wait, in seconds.
    doubt_after_s : float
        Wait after which `is_doubtful` may end it, in seconds.
    is_doubtful : callable
        Whether other signs speak against the upstream.

    Raises
    ------
    TimeoutError
        The wait ended before the work; it was cancelled.
    """
    began = time.monotonic()
    task = asyncio.ensure_future(work)
    try:
        while True:
            left_s = began + limit_s - time.monotonic()
            done, _ = await asyncio.wait((task,), timeout=max(0.0, min(left_s, POLL_S)))
            if done:
                return task.result()
            waited_s = time.monotonic() - began
            if waited_s >= limit_s or (waited_s >= doubt_after_s and is_doubtful()):
                raise TimeoutError
    finally:
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
