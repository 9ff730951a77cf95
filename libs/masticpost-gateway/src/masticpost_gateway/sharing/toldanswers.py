"""Answers on accused causes of which the other instances have been told."""

import collections
import collections.abc

import attrs


@attrs.frozen(kw_only=True)
class ToldAnswer:
    """An answer, and when the others were told of it; monotonic seconds."""

    at: float
    when: float


class ToldAnswers:
    """Decides which answers are news.

    Parameters
    ----------
    interval_s : callable
        Returns how much later than the last one an answer on a cause is news.
    repeated_s : float
        Time after which an answer is told again in any case, in seconds.
    most : int
        Causes that are remembered.
    """

    def __init__(
        self,
        *,
        interval_s: collections.abc.Callable[[str], float],
        repeated_s: float,
        most: int,
    ) -> None:
        self.interval_s = interval_s
        self.repeated_s = repeated_s
        self.most = most
        self._told: collections.OrderedDict[str, ToldAnswer] = collections.OrderedDict()

    def is_news(self, key: str, at: float, now: float) -> bool:
        """Return whether the others are to be told of an answer, and note that."""
        told = self._told.get(key)
        is_recent = told is not None and now < told.when + self.repeated_s
        if is_recent and at <= told.at + self.interval_s(key):
            return False
        self._told[key] = ToldAnswer(at=at, when=now)
        self._told.move_to_end(key)
        if len(self._told) > self.most:
            self._told.popitem(last=False)
        return True
