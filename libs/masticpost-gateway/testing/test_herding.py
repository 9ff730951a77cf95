"""Load spreading by instances whose view of the load is half a second old.

If every instance sent its requests to the upstream that its view shows as idle, all
requests would go to the same upstream until the next view (herding).
"""

import collections
import random
import types

import attrs
import pytest
from masticpost_gateway.learning import speeds
from masticpost_gateway.routing import placement
from masticpost_gateway.serving import headers
from masticpost_gateway.sharing import loadreports, loads
from masticpost_gateway.state import model

UPSTREAMS = [
    model.Upstream(
        name=f"engine-{i}",
        service="s",
        address="x:1",
        domain="abc"[i % 3],
        version="v",
        slots=9,
    )
    for i in range(36)
]
VIEW_AGE_S = 0.5
VIEW_PERIOD_S = 0.2
ARRIVALS_PER_S = 62.0
PREFILL_TOKEN_S = 5.3e-5
RUN_S = 40.0
CUSTOMER_WEIGHTS = (8, 6, 4) + 21 * (1,)


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request; prompt lengths in tokens, target time in seconds."""

    weight: int
    shared: int
    own: int
    target_s: float


KINDS = (
    Kind(weight=45, shared=13_300, own=3_720, target_s=3.0),
    Kind(weight=19, shared=6_300, own=2_890, target_s=2.3),
    Kind(weight=48, shared=350, own=1_110, target_s=1.5),
)


@attrs.define(kw_only=True)
class Engines:
    """Upstreams that prefill one prompt after the other, and an old view of them."""

    is_direct: bool
    free_at: dict[str, float] = attrs.field(factory=dict)
    cached: set[tuple[str, str]] = attrs.field(factory=set)
    history: list[tuple[float, dict[str, float]]] = attrs.field(factory=list)
    now: float = 0.0

    def total(self, name, now):
        """Return the load last seen, less the work done since then."""
        since = self.now - VIEW_AGE_S
        at, view = next(
            (row for row in reversed(self.history) if row[0] <= since), (0.0, {})
        )
        left_s = max(0.0, view.get(name, 0.0) - (self.now - at))
        return loadreports.Load(upstream=name, reading_s=left_s)

    def has_room(self, upstream, tokens=0, load=None):
        return True

    def speed_factor(self, name, now):
        return 1.0

    def concurrent_s(self, name, now):
        return 0.0

    def has_cached(self, upstream, key, now):
        return (upstream, key) in self.cached

    def advance_to(self, now):
        """Advance the time and record the load at each view period."""
        while not self.history or self.history[-1][0] + VIEW_PERIOD_S <= now:
            at = self.history[-1][0] + VIEW_PERIOD_S if self.history else 0.0
            row = {name: max(0.0, free - at) for name, free in self.free_at.items()}
            self.history.append((at, row))
        self.now = now

    def add_prompt(self, name, tokens):
        """Return the seconds until the prefill of a prompt that arrives now ends."""
        start = max(self.now, self.free_at.get(name, 0.0))
        self.free_at[name] = start + tokens * PREFILL_TOKEN_S
        return self.free_at[name] - self.now


def prompt_of(kind, customer, number):
    parts = (
        headers.Part(name=f"kind-{kind.shared}", tokens=kind.shared // 3),
        headers.Part(name=f"of-{customer}", tokens=kind.shared - kind.shared // 3),
        headers.Part(name=f"own-{number}", tokens=kind.own),
    )
    return headers.Prompt(parts=parts, tokens_in=kind.shared + kind.own, tokens_out=9)


def played(is_direct, domain_weights=None):
    """Return the shares of requests that are late, and that leave their domain.

    Without `domain_weights` the instances prefer no domain.
    """
    rng = random.Random(1)
    engines = Engines(is_direct=is_direct)
    estimates = speeds.Speeds()
    estimates.of("s", "large").prefill_token_s = PREFILL_TOKEN_S
    weights = domain_weights or {"": 1}
    placers = {
        domain: placement.Placement(
            loads=engines, speeds=estimates, domain=domain, rng=random.Random(3)
        )
        for domain in weights
    }
    late, remote, number, now = 0, 0, 0, 0.0
    while now < RUN_S:
        now += rng.expovariate(ARRIVALS_PER_S)
        number += 1
        engines.advance_to(now)
        kind = rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
        customer = rng.choices(range(len(CUSTOMER_WEIGHTS)), CUSTOMER_WEIGHTS)[0]
        prompt = prompt_of(kind, customer, number)
        prefill = placement.Prefill(service="s", model="large", prompt=prompt)
        placer = placers[rng.choices(list(weights), weights.values())[0]]
        upstream = placer.best(UPSTREAMS, prefill)
        tokens = placer.uncached_tokens(upstream.name, prefill)
        took_s = engines.add_prompt(upstream.name, tokens)
        engines.cached.update((upstream.name, key) for key in prefill.prefix_keys())
        late += took_s > kind.target_s
        remote += upstream.domain != placer.domain
    return late / number, remote / number


def late_share(is_direct):
    return played(is_direct)[0]


def test_requests_are_spread_although_all_instances_see_the_same_old_view():
    spread, herded = late_share(is_direct=False), late_share(is_direct=True)
    assert herded > 0.03
    assert spread < 0.01


def test_requests_stay_in_their_domain_while_it_has_capacity():
    late, remote = played(False, {"a": 1, "b": 1, "c": 1})
    assert late < 0.01
    assert remote < 0.1


def test_requests_leave_a_domain_that_gets_most_of_the_demand():
    """Guards against a queue in one domain while the upstreams of others are idle."""
    late, remote = played(False, {"a": 1})
    assert late < 0.05
    assert remote > 0.01


def test_only_small_deployments_exchange_loads_directly():
    """With direct exchange, each instance chooses the best of all upstreams."""
    assert loads.Loads(peers=mesh_of(3)).is_direct
    assert not loads.Loads(peers=mesh_of(80)).is_direct


def mesh_of(count):
    members = types.SimpleNamespace(alive=lambda: [None] * count)
    hub = types.SimpleNamespace(handle=lambda kind, handler: None)
    return types.SimpleNamespace(members=members, hub=hub)


class FleetView(loads.Loads):
    """The loads as one instance sees them: its own requests, and an old view of all."""

    def __init__(self, count, backlogs):
        super().__init__(peers=mesh_of(count))
        self.backlogs = backlogs

    def total(self, upstream, now):
        own = super().total(upstream, now)
        reading_s = own.reading_s + self.backlogs[upstream]
        return attrs.evolve(own, reading_s=reading_s)


@pytest.mark.parametrize(("count", "requests"), [(70, 5), (195, 3)])
def test_requests_cut_by_a_crash_do_not_all_go_to_the_one_idle_upstream(
    count, requests
):
    """Guards against a herd: 64 prompts in 0.25 s after 13 of 60 upstreams crashed."""
    backlogs = {upstream.name: 1.0 for upstream in UPSTREAMS} | {"engine-0": 0.0}
    estimates = speeds.Speeds()
    estimates.of("s", "small").prefill_token_s = PREFILL_TOKEN_S / 10
    got = collections.Counter()
    for number in range(count):
        view = FleetView(count, backlogs)
        placer = placement.Placement(
            loads=view,
            speeds=estimates,
            domain="abc"[number % 3],
            rng=random.Random(number),
        )
        for again in range(requests):
            prompt = prompt_of(KINDS[0], number % 24, number * requests + again)
            prefill = placement.Prefill(
                service="s",
                model="small",
                prompt=prompt,
                is_smallest=True,
                has_levels=True,
            )
            name = placer.best(UPSTREAMS, prefill).name
            view.begin(name, placer.prefill_s(name, prefill), tokens=prefill.tokens)
            got[name] += 1
    assert got["engine-0"] > 0
    assert got["engine-0"] < 0.15 * got.total()
