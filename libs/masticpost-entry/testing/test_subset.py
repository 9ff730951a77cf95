"""Subsets: bounded, even over the fleet, and stable when upstreams come and go."""

import collections

import attrs
import hypothesis
from hypothesis import strategies
from masticpost_decide import tracker
from masticpost_entry import routing, subset
from masticpost_text import model

INSTANCES = 410
WORKERS = 300
DOMAINS = 11
MAX_UNEVEN = 1.6


@attrs.define(kw_only=True)
class FakeRuntime:
    text: model.Text
    pools: subset.Pools
    tracks: tracker.Tracker = attrs.field(factory=tracker.Tracker)
    leaving_upstreams: set[str] = attrs.field(factory=set)


def text_of(count, out=()):
    return model.Text(
        deployment="d",
        domains={
            f"d{i}": model.Domain(name=f"d{i}", out=i in out) for i in range(DOMAINS)
        },
        versions={"v": model.Version(name="v", model="m")},
        services={},
        upstreams={
            f"u{i}": model.Upstream(
                name=f"u{i}",
                url=f"http://10.0.{i // 256}.{i % 256}:8000",
                domain=f"d{i % DOMAINS}",
                serves=("v",),
            )
            for i in range(count)
        },
        customers={},
    )


def used(text, instance, leaving=()):
    rt = FakeRuntime(
        text=text,
        pools=subset.build(text, instance),
        leaving_upstreams=set(leaving),
    )
    return [up.name for up in routing.usable_upstreams(rt, "v")]


def test_few_upstreams_are_all_used():
    assert len(used(text_of(subset.SIZE), "entry-0")) == subset.SIZE


def test_fleet_uses_every_upstream_about_as_often():
    text = text_of(WORKERS)
    counts = collections.Counter()
    for number in range(INSTANCES):
        names = used(text, f"entry-{number}")
        assert len(names) == subset.SIZE
        counts.update(names)
    mean = INSTANCES * subset.SIZE / WORKERS
    assert len(counts) == WORKERS
    assert max(counts.values()) <= MAX_UNEVEN * mean


@hypothesis.given(
    instance=strategies.integers(0, 400),
    out=strategies.sets(strategies.integers(0, DOMAINS - 1), max_size=DOMAINS - 1),
)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=50)
def test_domains_out_are_replaced_and_come_back(instance, out):
    """What stays usable stays in the subset; nothing that is out is in it."""
    name = f"entry-{instance}"
    before = used(text_of(WORKERS), name)
    text = text_of(WORKERS, out)
    after = used(text, name)
    usable = [up for up in text.upstreams.values() if not text.domains[up.domain].out]
    assert len(after) == min(subset.SIZE, len(usable))
    assert not any(text.domains[text.upstreams[up].domain].out for up in after)
    kept = [up for up in before if not text.domains[text.upstreams[up].domain].out]
    assert after[: len(kept)] == kept


def test_leaving_upstream_is_replaced_by_one_other():
    text = text_of(WORKERS)
    before = used(text, "entry-0")
    gone = text.upstreams[before[3]].url.removeprefix("http://")
    after = used(text, "entry-0", leaving=[gone])
    assert len(set(after) - set(before)) == 1
    assert before[3] not in after
