"""How fast each model reads prompts and writes tokens, learnt from its answers."""

import attrs

FIRST_READ_S = 5e-5
FIRST_WRITE_S = 0.01
DOWN_WEIGHT = 0.4
UP_WEIGHT = 0.02
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
    first_s : float
        Mean time to the first event.
    """

    read_s: float = FIRST_READ_S
    write_s: float = FIRST_WRITE_S
    first_s: float = 0.0
    reads: int = 0
    writes: int = 0

    def saw_read(self, tokens: int, took_s: float) -> None:
        """Note the time from sending a prompt with `tokens` unread ones to its head.

        Queues only make it longer, so that low values count for more.
        """
        self.first_s += MEAN_WEIGHT * (took_s - self.first_s)
        sample = took_s / max(tokens, 1)
        weight = DOWN_WEIGHT if sample < self.read_s else UP_WEIGHT
        self.read_s = sample if not self.reads else self.read_s
        self.read_s += weight * (sample - self.read_s)
        self.reads += 1

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
