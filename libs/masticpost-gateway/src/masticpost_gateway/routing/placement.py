"""Placement of prompts on the upstream with the lowest expected delay for all requests.

An upstream prefills prompts one after the other and decodes tokens in between. The
score of an upstream is the time until it would have prefilled this prompt, plus the
delay that this causes to the answers that it decodes meanwhile. Cached parts of the
prompt take no time.
"""

import math
import random

import attrs
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import speeds
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loads
from masticpost_gateway.state import model

# Fraction of the prefill time that is added for each answer that runs beside it.
STALL_WEIGHT = 0.12
# Cost for each running answer, for each rank, and for each group of overflow.
STREAM_COST_S = 0.004
RANK_COST_S = 0.002
OVERFLOW_COST_S = 0.1
# Fraction of the upstreams that is reserved for the smallest model.
SMALL_LEVEL_SHARE = 0.2
# Number of upstreams sampled by rank, and at random from the rest.
NEAR_SAMPLE = 3
FAR_SAMPLE = 2


@attrs.frozen(kw_only=True)
class Prefill:
    """A prompt to be prefilled by a model.

    Attributes
    ----------
    is_smallest : bool
        Whether the model is the smallest one of a cascade.
    has_levels : bool
        Whether the route is a cascade of several models.
    """

    service: str
    model: str
    prompt: headers.Prompt
    is_smallest: bool = False
    has_levels: bool = False

    def prefix_keys(self) -> list[str]:
        """Return a cache key for each prefix of the prompt that ends with a part."""
        chain, found = self.model, []
        for part in self.prompt.parts:
            chain = f"{chain}/{part.name}"
            found.append(chain)
        return found


@attrs.frozen(kw_only=True)
class Group:
    """Names of upstreams for a model; `extra_s` is added to their scores."""

    names: list[str]
    extra_s: float = 0.0


@attrs.frozen(kw_only=True)
class Scored:
    """An upstream with its score for a prompt in seconds; lower is better."""

    upstream: model.Upstream
    has_room: bool
    score: float

    def sort_key(self) -> tuple[bool, float]:
        """Return the key to sort by: upstreams with free slots come first."""
        return (not self.has_room, self.score)

    def is_at_least_as_good_as(self, group: Group) -> bool:
        """Return whether no upstream of a group can be better."""
        return self.has_room and self.score <= group.extra_s


class Placement:
    """Places prompts by the load of all instances on each upstream.

    Parameters
    ----------
    loads : loads.Loads
        Load of each upstream and the prompts that it has cached.
    speeds : speeds.Speeds
        Estimated speed of each model.
    rng : random.Random, optional
        Source of randomness for sampling upstreams.
    """

    def __init__(
        self,
        *,
        loads: loads.Loads,
        speeds: speeds.Speeds,
        rng: random.Random | None = None,
    ) -> None:
        self.loads = loads
        self.speeds = speeds
        self.rng = rng or random.Random()

    def uncached_tokens(self, upstream: str, prefill: Prefill) -> int:
        """Return the number of tokens of a prompt that are probably not cached."""
        now = clock.now()
        total = prefill.prompt.tokens_in
        for key, part in zip(prefill.prefix_keys(), prefill.prompt.parts, strict=True):
            if not self.loads.has_cached(upstream, key, now):
                break
            total -= part.tokens
        return max(total, 1)

    def prefill_s(self, upstream: str, prefill: Prefill) -> float:
        """Return the time to prefill the uncached part of a prompt, in seconds."""
        speed = self.speeds.of(prefill.service, prefill.model)
        return self.uncached_tokens(upstream, prefill) * speed.prefill_token_s

    def best(self, ready: list[model.Upstream], prefill: Prefill) -> model.Upstream:
        """Return the upstream with the lowest score, preferably one with free slots."""
        upstreams = {upstream.name: upstream for upstream in ready}
        best: Scored | None = None
        for group in _groups(list(upstreams), prefill):
            if best is not None and best.is_at_least_as_good_as(group):
                break
            found = self._best_of_group(group, upstreams, prefill)
            best = found if best is None else min(best, found, key=Scored.sort_key)
        return best.upstream

    def _best_of_group(
        self, group: Group, upstreams: dict[str, model.Upstream], prefill: Prefill
    ) -> Scored:
        """Return the best sampled upstream of a group."""
        rows = [
            Scored(
                upstream=upstreams[name],
                has_room=self.loads.has_room(upstreams[name]),
                score=self._score(name, prefill) + RANK_COST_S * rank + group.extra_s,
            )
            for rank, name in enumerate(self._sample(group.names, prefill))
        ]
        return min(rows, key=Scored.sort_key)

    def _sample(self, names: list[str], prefill: Prefill) -> list[str]:
        """Return a sample of the upstreams: the first by rank for a prompt, and others.

        In a large deployment the load reports are old: an upstream that looks idle
        would get the requests of all instances until the next report. A small
        deployment uses all upstreams.
        Source: Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on
        Parallel and Distributed Systems 11(1), 2000.
        """
        key = (
            prefill.prefix_keys()[-2]
            if len(prefill.prompt.parts) > 1
            else prefill.model
        )
        ranked = rendezvous.ranked(names, key)
        if self.loads.is_direct:
            return ranked
        near, far = ranked[:NEAR_SAMPLE], ranked[NEAR_SAMPLE:]
        return near + self.rng.sample(far, min(FAR_SAMPLE, len(far)))

    def first_token_s(self, ready: list[model.Upstream], prefill: Prefill) -> float:
        """Return the seconds until the best upstream would have prefilled a prompt."""
        name = self.best(ready, prefill).name
        load = self.loads.total(name, clock.now())
        return load.reading_s + self.prefill_s(name, prefill)

    def backlog_s(self, ready: list[model.Upstream]) -> float:
        """Return the mean queued prefill time of upstreams, in seconds."""
        now = clock.now()
        waiting = [self.loads.total(upstream.name, now).reading_s for upstream in ready]
        return sum(waiting) / max(1, len(waiting))

    def _score(self, name: str, prefill: Prefill) -> float:
        load = self.loads.total(name, clock.now())
        prefill_s = self.prefill_s(name, prefill)
        stall_s = prefill_s * STALL_WEIGHT * load.streams
        return load.reading_s + prefill_s + stall_s + STREAM_COST_S * load.streams


def _groups(names: list[str], prefill: Prefill) -> list[Group]:
    """Return the upstreams in groups, the preferred one first, the rest for overflow.

    Some upstreams are reserved for the smallest model, since a larger one prefills a
    prompt many times slower and delays the requests that run beside it: larger models
    use them only if no other upstream has free slots.
    """
    if not prefill.has_levels or len(names) < 2:
        return [Group(names=names)]
    ranked = rendezvous.ranked(names, prefill.service)
    count = max(1, round(SMALL_LEVEL_SHARE * len(ranked)))
    if not prefill.is_smallest:
        reserved = Group(names=ranked[:count], extra_s=math.inf)
        return [Group(names=ranked[count:]), reserved]
    return [
        Group(names=ranked[at : at + count], extra_s=OVERFLOW_COST_S * at / count)
        for at in range(0, len(ranked), count)
    ]
