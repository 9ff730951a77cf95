"""The clock of ages and deadlines.

The monotonic clock does not count the time for which a machine is suspended; the store,
callers and other instances do. What was learnt or allowed before a suspension must be
that much older after it.
"""

import time


def now() -> float:
    """Return seconds on a clock that never steps and counts suspensions too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
