"""Findings: problems with their source positions, reported together."""

import attrs


@attrs.frozen(kw_only=True)
class Place:
    """A position in a named source; line and column count from 1."""

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        if not self.line:
            return self.source
        return f"{self.source}:{self.line}:{self.column}"


@attrs.frozen(kw_only=True)
class Finding:
    """One problem: where it is, what is wrong and how to fix it."""

    place: Place
    message: str
    remedy: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        if self.remedy:
            text += f"\n    fix: {self.remedy}"
        return text


class FindingsError(ValueError):
    """Raised with one or more findings; the message lists all of them.

    Parameters
    ----------
    findings : list of Finding
        The findings, at least one.
    """

    def __init__(self, *, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("\n".join(str(f) for f in findings))
