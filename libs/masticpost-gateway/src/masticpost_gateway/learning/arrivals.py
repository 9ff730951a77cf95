"""Rate of a service's requests, from a count that grows."""

import collections

import attrs

WINDOW_S = 3.0


@attrs.define(kw_only=True)
class Arrivals:
    """Recent values of a count of requests."""

    _rows: collections.deque[tuple[float, int]] = attrs.field(factory=collections.deque)

    def note(self, count: int, now: float) -> None:
        """Note the count at a monotonic time in seconds.

        A count that has fallen belongs to something new.
        """
        if self._rows and count < self._rows[-1][1]:
            self._rows.clear()
        self._rows.append((now, count))
        while now - self._rows[0][0] > WINDOW_S and len(self._rows) > 1:
            self._rows.popleft()

    def rate(self, now: float) -> float | None:
        """Return the requests per second, None while too little is known."""
        since, first = self._rows[0] if self._rows else (now, 0)
        if now - since < WINDOW_S / 2:
            return None
        return (self._rows[-1][1] - first) / (now - since)
