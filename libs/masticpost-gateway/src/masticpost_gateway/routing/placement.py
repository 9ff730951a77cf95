"""Choice of the upstream that answers a prompt first, for all requests together.

An upstream reads prompts one after the other and writes tokens in between. The score
of an upstream is the time until it would have read this prompt, plus what reading it
costs the answers that it writes meanwhile. What it has read already costs nothing.
"""

import math
import random

import attrs
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import speeds
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model

STALL_WEIGHT = 0.12
STREAM_COST_S = 0.004
RANK_COST_S = 0.002
OVERFLOW_COST_S = 0.1
SMALL_LEVEL_SHARE = 0.2
NEAR_SAMPLE = 3
FAR_SAMPLE = 2


@attrs.frozen(kw_only=True)
class Reading:
    """A prompt that is to be read for a model."""

    service: str
    model: str
    prompt: headers.Prompt
    is_smallest: bool = False
    has_levels: bool = False

    def keys(self) -> list[str]:
        """Return the keys of the prompt's parts, each with all parts before it."""
        chain, found = self.model, []
        for part in self.prompt.parts:
            chain = f"{chain}/{part.name}"
            found.append(chain)
        return found


@attrs.frozen(kw_only=True)
class Group:
    """Upstreams for a model; `extra_s` is added to their scores."""

    names: list[str]
    extra_s: float = 0.0


@attrs.frozen(kw_only=True)
class Rated:
    """An upstream for a prompt; a lower score, in seconds, is better."""

    upstream: model.Upstream
    has_room: bool
    score: float

    def rank(self) -> tuple[bool, float]:
        """Return the key to sort by: those that have room come first."""
        return (not self.has_room, self.score)

    def beats(self, group: Group) -> bool:
        """Tell whether no upstream of a group can be better."""
        return self.has_room and self.score <= group.extra_s


class Placement:
    """Places prompts by the work that all instances have at each upstream.

    Parameters
    ----------
    work : loads.Loads
        Work at each upstream and the prompts it has read.
    pace : speeds.Speeds
        Speed of each model.
    draw : random.Random, optional
        Draws samples of upstreams.
    """

    def __init__(
        self,
        *,
        work: loads.Loads,
        pace: speeds.Speeds,
        draw: random.Random | None = None,
    ) -> None:
        self.work = work
        self.pace = pace
        self.draw = draw or random.Random()

    def unread_tokens(self, upstream: str, reading: Reading) -> int:
        """Return how many tokens of a prompt an upstream has probably not kept."""
        now = clock.now()
        total = reading.prompt.tokens_in
        for key, part in zip(reading.keys(), reading.prompt.parts, strict=True):
            if not self.work.has_cached(upstream, key, now):
                break
            total -= part.tokens
        return max(total, 1)

    def read_s(self, upstream: str, reading: Reading) -> float:
        """Return the time to read what is unread of a prompt, in seconds."""
        speed = self.pace.of(reading.service, reading.model)
        return self.unread_tokens(upstream, reading) * speed.read_s

    def best(self, ready: list[model.Upstream], reading: Reading) -> model.Upstream:
        """Return the upstream with the lowest score, one that has room if any has."""
        upstreams = {upstream.name: upstream for upstream in ready}
        best: Rated | None = None
        for group in _groups(list(upstreams), reading):
            if best is not None and best.beats(group):
                break
            found = self._rated(group, upstreams, reading)
            best = found if best is None else min(best, found, key=Rated.rank)
        return best.upstream

    def _rated(
        self, group: Group, upstreams: dict[str, model.Upstream], reading: Reading
    ) -> Rated:
        """Return the best of a group."""
        rows = [
            Rated(
                upstream=upstreams[name],
                has_room=self.work.has_room(upstreams[name]),
                score=self._score(name, reading) + RANK_COST_S * rank + group.extra_s,
            )
            for rank, name in enumerate(self._sample(group.names, reading))
        ]
        return min(rows, key=Rated.rank)

    def _sample(self, names: list[str], reading: Reading) -> list[str]:
        """Return a few of the upstreams by rank for a prompt, the first among them.

        The view of the work is old in a large deployment: the upstream that it shows
        idle would get what all instances send until they see the next one. A small
        deployment takes all.
        Source: Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on
        Parallel and Distributed Systems 11(1), 2000.
        """
        key = reading.keys()[-2] if len(reading.prompt.parts) > 1 else reading.model
        ranked = rendezvous.ranked(names, key)
        if self.work.is_direct:
            return ranked
        near, far = ranked[:NEAR_SAMPLE], ranked[NEAR_SAMPLE:]
        return near + self.draw.sample(far, min(FAR_SAMPLE, len(far)))

    def first_s(self, ready: list[model.Upstream], reading: Reading) -> float:
        """Return the time until the best of some upstreams would have read a prompt."""
        name = self.best(ready, reading).name
        load = self.work.total(name, clock.now())
        return load.reading_s + self.read_s(name, reading)

    def backlog_s(self, ready: list[model.Upstream]) -> float:
        """Return the mean time of reading that waits at some upstreams."""
        now = clock.now()
        waiting = [self.work.total(upstream.name, now).reading_s for upstream in ready]
        return sum(waiting) / max(1, len(waiting))

    def _score(self, name: str, reading: Reading) -> float:
        load = self.work.total(name, clock.now())
        read_s = self.read_s(name, reading)
        stall_s = read_s * STALL_WEIGHT * load.streams
        return load.reading_s + read_s + stall_s + STREAM_COST_S * load.streams


def _groups(names: list[str], reading: Reading) -> list[Group]:
    """Return the upstreams in groups, the preferred one first, the rest for overflow.

    Some are set aside for the smallest model, as a larger one reads a prompt many times
    slower and holds up what runs beside it: it goes there only for want of room.
    """
    if not reading.has_levels or len(names) < 2:
        return [Group(names=names)]
    ranked = rendezvous.ranked(names, reading.service)
    count = max(1, round(SMALL_LEVEL_SHARE * len(ranked)))
    if not reading.is_smallest:
        apart = Group(names=ranked[:count], extra_s=math.inf)
        return [Group(names=ranked[count:]), apart]
    return [
        Group(names=ranked[at : at + count], extra_s=OVERFLOW_COST_S * at / count)
        for at in range(0, len(ranked), count)
    ]
