"""Human-readable differences between two texts."""

import difflib

CONTEXT_LINES = 2


def unified(old: str, new: str, *, old_name: str, new_name: str) -> str:
    """Return a unified diff, empty if the texts are the same."""
    rows = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        fromfile=old_name,
        tofile=new_name,
        n=CONTEXT_LINES,
        lineterm="",
    )
    return "\n".join(rows)
