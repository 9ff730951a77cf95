"""Differences between two texts, for people."""

import difflib

CONTEXT_LINES = 2


def unified(old: str, new: str, *, old_name: str, new_name: str) -> str:
    """Return a unified difference, empty when the texts are the same."""
    rows = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        fromfile=old_name,
        tofile=new_name,
        n=CONTEXT_LINES,
        lineterm="",
    )
    return "\n".join(rows)
