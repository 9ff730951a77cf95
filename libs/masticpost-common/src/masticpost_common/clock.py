"""Clocks for stored timestamps, ages and deadlines."""

import time


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds, the unit of stored timestamps."""
    return time.time_ns() // 1_000_000


def now() -> float:
    """Return the seconds since boot, for ages and deadlines; never stepped.

    CLOCK_MONOTONIC stops while the machine is suspended, but time goes on for the
    store, callers and other instances. Data observed or permits granted before a
    suspension must be older by its length afterwards, so CLOCK_BOOTTIME is used.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
