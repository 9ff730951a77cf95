"""A request as the decisions on overload see it."""

import attrs


@attrs.frozen(kw_only=True)
class Demand:
    """A request that is about to be sent, and the work that it needs.

    Attributes
    ----------
    priority : int
        Priority of the request; the lowest number is the most urgent.
    objective_s : float
        The latency objective from the arrival of the request on, in seconds.
    objective_left_s, deadline_left_s : float
        Time until the first event is late, and until the answer is of no use, in
        seconds.
    first_s, total_s : float
        Expected time to the first event and to the last one at the upstream, in
        seconds. For the urgency, the queue there is left out: with it, requests that
        arrive later overtake those that the queue makes late, which then starve.
    has_begun : bool
        Whether the caller has received events, so that it waits for the next one.
    """

    priority: int
    objective_s: float
    objective_left_s: float
    deadline_left_s: float
    first_s: float = 0.0
    total_s: float = 0.0
    has_begun: bool = False

    @property
    def slack_s(self) -> float:
        """Seconds that the request can wait before its first event is late."""
        return self.objective_left_s - self.first_s

    @property
    def deadline_slack_s(self) -> float:
        """Seconds that the request can wait before it misses its deadline."""
        return self.deadline_left_s - self.total_s
