"""Wall-clock time as records keep it."""

import time


def wall_ms() -> int:
    """Return wall-clock milliseconds."""
    return time.time_ns() // 1_000_000
