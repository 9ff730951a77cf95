"""The clocks of records, ages and deadlines."""

import time


def wall_ms() -> int:
    """Return wall-clock milliseconds, as records keep them."""
    return time.time_ns() // 1_000_000


def now() -> float:
    """Return seconds for ages and deadlines; they never step.

    The monotonic clock does not count the time for which a machine is suspended; the
    store, callers and other instances do. What was learnt or allowed before a
    suspension must be that much older after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
