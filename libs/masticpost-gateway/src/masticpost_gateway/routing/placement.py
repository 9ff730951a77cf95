"""Placement of prompts on the upstream with the lowest expected delay for all requests.

An upstream prefills prompts one after the other and decodes tokens in between. The
score of an upstream is the time until it would have prefilled this prompt, plus the
delay that this causes to the answers that it decodes meanwhile. Cached parts of the
prompt take no time.
"""

import collections
import math
import random

import attrs
from masticpost_common import clock, rendezvous

from masticpost_gateway.learning import speeds
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loadreports, loads
from masticpost_gateway.state import model

# Fraction of the prefill time that is added for each answer that runs beside it.
STALL_WEIGHT = 0.12
# Cost for each running answer, for each rank, and for each group of overflow.
STREAM_COST_S = 0.004
RANK_COST_S = 0.002
OVERFLOW_COST_S = 0.1
# Weight of a later end of the answer, relative to a later first event.
DECODE_WEIGHT = 0.1
# Fraction of the upstreams that is reserved for the smallest model.
SMALL_LEVEL_SHARE = 0.2
# Number of upstreams sampled by rank, and at random from the rest. Of a small group
# only one in `SAMPLE_DIVISOR` is sampled by rank, or all instances would see the same
# idle one.
NEAR_SAMPLE = 3
FAR_SAMPLE = 2
SAMPLE_DIVISOR = 4
# Cost of a request that crosses failure domains, beyond its delay.
CROSS_DOMAIN_COST_S = 0.15


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

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and the expected answer."""
        return self.prompt.tokens_in + self.prompt.tokens_expected

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
    domain : str, optional
        Failure domain of this instance. In a large deployment its upstreams are
        preferred; empty for no preference.
    rng : random.Random, optional
        Source of randomness for sampling upstreams.
    """

    def __init__(
        self,
        *,
        loads: loads.Loads,
        speeds: speeds.Speeds,
        domain: str = "",
        rng: random.Random | None = None,
    ) -> None:
        self.loads = loads
        self.speeds = speeds
        self.domain = domain
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
        """Return the time to prefill the uncached part of a prompt, in seconds.

        It is that at the usual speed of the service, as in the load reports.
        """
        speed = self.speeds.of(prefill.service, prefill.model)
        return self.uncached_tokens(upstream, prefill) * speed.prefill_token_s

    def best(self, ready: list[model.Upstream], prefill: Prefill) -> model.Upstream:
        """Return the upstream with the lowest score, preferably one with free slots."""
        upstreams = {upstream.name: upstream for upstream in ready}
        remote = self._remote(ready)
        best: Scored | None = None
        for group in self._visited(_groups(self._ranked(ready, prefill), prefill)):
            if best is not None and best.is_at_least_as_good_as(group):
                break
            found = self._best_of_group(group, upstreams, remote, prefill)
            best = found if best is None else min(best, found, key=Scored.sort_key)
        return best.upstream

    def _visited(self, groups: list[Group]) -> list[Group]:
        """Return the groups to look at: in a large deployment the first and one other.

        Overflow into one group after the other would sample most upstreams, and all
        instances would find the same idle one.
        """
        if self.loads.is_direct or len(groups) < 2:
            return groups
        return [groups[0], self.rng.choice(groups[1:])]

    def scored(self, ready: list[model.Upstream], prefill: Prefill) -> list[Scored]:
        """Return all upstreams with their scores, without the cost of their ranks."""
        now, rows = clock.now(), []
        upstreams = {upstream.name: upstream for upstream in ready}
        remote = self._remote(ready)
        for group in _groups(self._ranked(ready, prefill), prefill):
            for name in group.names:
                extra_s = group.extra_s
                if name in remote:
                    extra_s += CROSS_DOMAIN_COST_S
                rows.append(self._scored(upstreams[name], prefill, extra_s, now))
        return rows

    def copy(self) -> "Placement":
        """Return a placement that draws its own samples and adds no models here."""
        return Placement(
            loads=self.loads, speeds=self.speeds.copy(), domain=self.domain
        )

    def _remote(self, ready: list[model.Upstream]) -> frozenset[str]:
        """Return the names of the upstreams outside the preferred failure domain.

        There is none in a small deployment, which uses all upstreams alike, nor if
        this instance's domain has no upstream.
        """
        if self.loads.is_direct:
            return frozenset()
        remote = frozenset([u.name for u in ready if u.domain != self.domain])
        return remote if len(remote) < len(ready) else frozenset()

    def _ranked(self, ready: list[model.Upstream], prefill: Prefill) -> list[str]:
        """Return the names of upstreams by rank, so that instances reserve the same.

        In a large deployment the domains take turns, so that each domain has a share
        of the reserved upstreams.
        """
        if not prefill.has_levels:
            return [upstream.name for upstream in ready]
        domains = {upstream.name: upstream.domain for upstream in ready}
        ranked = rendezvous.ranked(domains, prefill.service)
        if self.loads.is_direct:
            return ranked
        counts: collections.Counter[str] = collections.Counter()
        turns = []
        for place, name in enumerate(ranked):
            counts[domains[name]] += 1
            turns.append((counts[domains[name]], place, name))
        return [name for _, _, name in sorted(turns)]

    def _best_of_group(
        self,
        group: Group,
        upstreams: dict[str, model.Upstream],
        remote: frozenset[str],
        prefill: Prefill,
    ) -> Scored:
        """Return the best sampled upstream of a group."""
        now, rows = clock.now(), []
        for rank, name in enumerate(self._sample(group.names, remote, prefill)):
            extra_s = group.extra_s + RANK_COST_S * rank
            if name in remote:
                extra_s += CROSS_DOMAIN_COST_S
            rows.append(self._scored(upstreams[name], prefill, extra_s, now))
        return min(rows, key=Scored.sort_key)

    def _scored(
        self, upstream: model.Upstream, prefill: Prefill, extra_s: float, now: float
    ) -> Scored:
        load = self.loads.total(upstream.name, now)
        return Scored(
            upstream=upstream,
            has_room=self.loads.has_room(upstream, prefill.tokens, load),
            score=self._score(load, prefill, now) + extra_s,
        )

    def _sample(
        self, names: list[str], remote: frozenset[str], prefill: Prefill
    ) -> list[str]:
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
        if self.loads.is_direct:
            return rendezvous.ranked(names, key)
        local = [name for name in names if name not in remote] if remote else names
        ranked = rendezvous.ranked(local, key)
        count = min(NEAR_SAMPLE, math.ceil(len(ranked) / SAMPLE_DIVISOR))
        near, far = ranked[:count], ranked[count:]
        others = [name for name in names if name in remote]
        if not others:
            return near + self._draw(far, FAR_SAMPLE)
        first = rendezvous.ranked(others, key)[:NEAR_SAMPLE]
        # It has probably cached the prompt for its own domain.
        cached = self.rng.choice(first)
        others.remove(cached)
        return near + self._draw(far, 1) + [cached] + self._draw(others, 1)

    def _draw(self, names: list[str], count: int) -> list[str]:
        if len(names) <= count:
            return names
        return self.rng.sample(names, count)

    def first_token_s(self, ready: list[model.Upstream], prefill: Prefill) -> float:
        """Return the seconds until the best upstream would have prefilled a prompt."""
        return self.first_event_s(self.best(ready, prefill), prefill)

    def first_event_s(self, upstream: model.Upstream, prefill: Prefill) -> float:
        """Return the seconds to the first event of an answer of an upstream.

        They are at its own speed, as if it did nothing but prefill what is queued.
        """
        now = clock.now()
        factor = self.loads.speed_factor(upstream.name, now)
        reading_s = self.loads.total(upstream.name, now).reading_s
        return factor * (reading_s + self.prefill_s(upstream.name, prefill))

    def _decode_s(self, prefill: Prefill) -> float:
        """Return the time to decode the expected answer at the usual speed."""
        speed = self.speeds.of(prefill.service, prefill.model)
        return prefill.prompt.tokens_expected * speed.decode_token_s

    def backlog_s(self, ready: list[model.Upstream]) -> float:
        """Return the mean queued prefill time of upstreams, in seconds."""
        now = clock.now()
        waiting = [self.loads.total(upstream.name, now).reading_s for upstream in ready]
        return sum(waiting) / max(1, len(waiting))

    def _score(self, load: loadreports.Load, prefill: Prefill, now: float) -> float:
        prefill_s = self.prefill_s(load.upstream, prefill)
        stall_s = prefill_s * STALL_WEIGHT * load.streams
        reading_s = load.reading_s + self.loads.concurrent_s(load.upstream, now)
        score = reading_s + prefill_s + stall_s + STREAM_COST_S * load.streams
        factor = self.loads.speed_factor(load.upstream, now)
        if factor == 1.0:
            return score
        return factor * score + DECODE_WEIGHT * (factor - 1.0) * self._decode_s(prefill)


def _groups(ranked: list[str], prefill: Prefill) -> list[Group]:
    """Return ranked upstreams in groups, preferred ones first, others for overflow.

    Some upstreams are reserved for the smallest model, since a larger one prefills a
    prompt many times slower and delays the requests that run beside it: larger models
    use them only if no other upstream has free slots.
    """
    if not prefill.has_levels or len(ranked) < 2:
        return [Group(names=ranked)]
    count = max(1, round(SMALL_LEVEL_SHARE * len(ranked)))
    if not prefill.is_smallest:
        reserved = Group(names=ranked[:count], extra_s=math.inf)
        return [Group(names=ranked[count:]), reserved]
    return [
        Group(names=ranked[at : at + count], extra_s=OVERFLOW_COST_S * at / count)
        for at in range(0, len(ranked), count)
    ]
