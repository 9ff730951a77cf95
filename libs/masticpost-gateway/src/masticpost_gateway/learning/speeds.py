"""How fast each model reads prompts and writes tokens, learnt from its answers."""

import collections

import attrs

FIRST_READ_S = 5e-5
FIRST_WRITE_S = 0.01
KEPT_SAMPLES = 16
LOW_PART = 10
MIN_TOKENS = 400
MEAN_WEIGHT = 0.1


@attrs.define(kw_only=True)
class Speed:
    """Speed of one model at one service, in seconds a token.

    Attributes
    ----------
    read_s : float
        Time to read a token of a prompt at an idle upstream.
    write_s : float
        Mean time to write a token beside other requests.
    """

    read_s: float = FIRST_READ_S
    write_s: float = FIRST_WRITE_S
    writes: int = 0
    _reads: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque([FIRST_READ_S], maxlen=KEPT_SAMPLES)
    )

    def saw_read(self, tokens: int, took_s: float) -> None:
        """Note the time from sending a prompt with `tokens` unread ones to its head.

        Queues only make it longer: of the last samples a low one is taken. The way
        there counts for too much in that of a short prompt.
        """
        if tokens < MIN_TOKENS:
            return
        self._reads.append(took_s / tokens)
        self.read_s = sorted(self._reads)[len(self._reads) // LOW_PART]

    def saw_write(self, tokens: int, took_s: float) -> None:
        """Note the time in which `tokens` were written."""
        sample = took_s / max(tokens, 1)
        self.write_s = sample if not self.writes else self.write_s
        self.write_s += MEAN_WEIGHT * (sample - self.write_s)
        self.writes += 1


class Speeds:
    """The speeds of all models."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Speed] = {}

    def of(self, service: str, model: str) -> Speed:
        """Return the speed of a model at a service."""
        return self._rows.setdefault((service, model), Speed())
