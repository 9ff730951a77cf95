"""Answers of versions whose roll-out was completed, for the operator.

A completion cannot be undone by an instance: the other version's upstreams may be gone.
What it can do is tell that the version turned bad.
"""

import math

import attrs
from loguru import logger
from masticpost_common import clock

from masticpost_gateway.learning import comparison, tally

# For how long a completed version is judged.
JUDGED_S = 600.0
# Minimum time between two log lines on a version.
TOLD_EVERY_S = 10.0


@attrs.define(kw_only=True)
class Completion:
    """Answers that this instance got from a version after its completion.

    Attributes
    ----------
    until : float
        Monotonic time until which the answers are counted.
    usual : tally.Tally
        Answers of the other versions during the roll-out.
    row : tally.Tally
        The version's answers since.
    fault : str
        How it is worse than the others were, empty if it does not seem to be.
    told_at : float
        Monotonic time of the last log line.
    """

    service: str
    version: str
    until: float
    usual: tally.Tally
    row: tally.Tally = attrs.field(factory=tally.Tally)
    fault: str = ""
    told_at: float = -math.inf


class Completions:
    """The completed roll-outs, with what their versions did afterwards."""

    def __init__(self) -> None:
        self.rows: dict[str, Completion] = {}

    def begin(self, service: str, version: str, usual: tally.Tally) -> None:
        """Begin to count the answers of a version that was just completed."""
        until = clock.now() + JUDGED_S
        self.rows[service] = Completion(
            service=service, version=version, until=until, usual=usual
        )

    def record_answer(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer as good or failed."""
        found = self._row(service, version)
        if found is None:
            return
        found.row.calls += 1
        found.row.failures += not is_good
        if not is_good:
            self._judge(found)

    def record_start(self, service: str, version: str, *, is_late: bool) -> None:
        """Count an answer that has begun, as late or in time."""
        found = self._row(service, version)
        if found is None:
            return
        found.row.add_start(is_late=is_late)
        if is_late:
            self._judge(found)

    def _row(self, service: str, version: str) -> Completion | None:
        found = self.rows.get(service)
        if found is None or found.version != version or clock.now() > found.until:
            return None
        return found

    def _judge(self, found: Completion) -> None:
        found.fault = comparison.find_fault(found.row, found.usual)
        now = clock.now()
        if not found.fault or now - found.told_at < TOLD_EVERY_S:
            return
        found.told_at = now
        logger.bind(
            event="completed-version",
            service=found.service,
            version=found.version,
            calls=found.row.calls,
            failures=found.row.failures,
            starts=found.row.starts,
            late=found.row.late,
        ).warning(
            "version is bad after its completion, which only an operator can undo: {}",
            found.fault,
        )
