"""Findings: problems collected with their place and reported together."""

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
    """One problem: where it is, what is wrong and how to mend it."""

    place: Place
    message: str
    remedy: str = ""

    def __str__(self) -> str:
        text = f"{self.place}: {self.message}"
        if self.remedy:
            text += f"\n    fix: {self.remedy}"
        return text


class FindingsError(ValueError):
    """One or more findings, all of them in the message.

    Parameters
    ----------
    findings : list of Finding
        At least one.
    """

    def __init__(self, *, findings: list[Finding]) -> None:
        self.findings = findings
        super().__init__("\n".join(str(f) for f in findings))
