"""Subsets are bounded, balanced over all instances, and stable under changes."""

import collections

import attrs
import hypothesis
from hypothesis import strategies
from masticpost_decide import tracker
from masticpost_entry import routing, subset
from masticpost_text import model

INSTANCES = 410
UPSTREAMS = 300
DOMAINS = 11
MAX_TO_MEAN_RATIO = 1.6


@attrs.define(kw_only=True)
class FakeRuntime:
    text: model.Text
    pools: subset.Pools
    upstream_states: tracker.Tracker = attrs.field(factory=tracker.Tracker)
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


def subset_of(text, instance, leaving=()):
    rt = FakeRuntime(
        text=text,
        pools=subset.build(text, instance),
        leaving_upstreams=set(leaving),
    )
    return [up.name for up in routing.usable_upstreams(rt, "v")]


def test_all_upstreams_are_used_if_they_fit_into_a_subset():
    assert len(subset_of(text_of(subset.SIZE), "entry-0")) == subset.SIZE


def test_upstreams_are_in_subsets_of_about_as_many_instances():
    text = text_of(UPSTREAMS)
    counts = collections.Counter()
    for number in range(INSTANCES):
        names = subset_of(text, f"entry-{number}")
        assert len(names) == subset.SIZE
        counts.update(names)
    mean = INSTANCES * subset.SIZE / UPSTREAMS
    assert len(counts) == UPSTREAMS
    assert max(counts.values()) <= MAX_TO_MEAN_RATIO * mean


@hypothesis.given(
    instance=strategies.integers(0, 400),
    out=strategies.sets(strategies.integers(0, DOMAINS - 1), max_size=DOMAINS - 1),
)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=50)
def test_upstreams_of_domains_that_are_out_are_replaced(instance, out):
    """Usable upstreams stay in the subset; those in a domain that is out do not."""
    name = f"entry-{instance}"
    before = subset_of(text_of(UPSTREAMS), name)
    text = text_of(UPSTREAMS, out)
    after = subset_of(text, name)
    usable = [up for up in text.upstreams.values() if not text.domains[up.domain].out]
    assert len(after) == min(subset.SIZE, len(usable))
    assert not any(text.domains[text.upstreams[up].domain].out for up in after)
    still_usable = [
        up for up in before if not text.domains[text.upstreams[up].domain].out
    ]
    assert after[: len(still_usable)] == still_usable


def test_leaving_upstream_is_replaced_by_exactly_one_other():
    text = text_of(UPSTREAMS)
    before = subset_of(text, "entry-0")
    leaving = text.upstreams[before[3]].url.removeprefix("http://")
    after = subset_of(text, "entry-0", leaving=[leaving])
    assert len(set(after) - set(before)) == 1
    assert before[3] not in after
