"""Tests of the parser: all findings at once, each with its source position."""

import pathlib

import hypothesis
import pytest
import yaml
from hypothesis import strategies
from masticpost_common import findings
from masticpost_text import edit, parse

VALID = """\
deployment: plant
domains:
  north: {out: false}
  south: {}
versions:
  small-1: {model: small, share: 90, input_price: 0.1, output_price: 0.2}
  small-2: {model: small, share: 10}
  large-1: {model: large}
services:
  setup: {levels: [small, large]}
  crews:
    kind: plain
    operations:
      - {path: /stock}
      - {path: /bookings, idempotent: false}
upstreams:
  engine-0:
    url: http://127.0.0.1:9000
    domain: north
    serves: [small-1, small-2, large-1]
  crews-0: {url: "http://127.0.0.1:9001", domain: south, serves: [crews]}
customers:
  plant:
    keys: [{key}]
    services: [setup, crews]
""".replace("{key}", "ab" * 32)


def findings_of(raw):
    with pytest.raises(findings.FindingsError) as caught:
        parse.parse(raw, source="t")
    return caught.value.findings


def find_one(raw, *words):
    found = findings_of(raw)
    matching = [f for f in found if all(word in str(f) for word in words)]
    assert matching, f"no finding with {words} in {[str(f) for f in found]}"
    return matching[0]


def test_valid_text_is_parsed():
    text = parse.parse(VALID).text
    assert text.versions["small-1"].share == 90.0
    assert text.upstreams["engine-0"].serves == ("small-1", "small-2", "large-1")
    assert not text.services["crews"].operations[1].idempotent


def test_all_findings_are_reported_with_their_positions():
    raw = VALID.replace("domain: north", "domain: norht").replace(
        "share: 10", "share: 20"
    )
    found = findings_of(raw)
    assert len(found) == 2
    assert [(f.place.line, f.place.column) for f in found] == [(6, 27), (19, 5)]


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ("domain: north", "domain: west", ("west", "north, south")),
        ("[small, large]", "[small, huge]", ("huge",)),
        ("serves: [crews]", "serves: [crew]", ("crew", "crews")),
        ("share: 90", "share: 80", ("add up to 90",)),
        ("share: 90", "share: many", ("must be a number",)),
        ("share: 90", "share: 90, sahre: 1", ("sahre", "use one of")),
        ("path: /stock", "path: stock", ("must begin with /",)),
        ("http://127.0.0.1:9000", "127.0.0.1", ("not an HTTP URL",)),
        ("kind: plain", "kind: plane", ("plane", "model, plain")),
        ("ab" * 32, "secret", ("SHA-256", "hash-key")),
        ("deployment: plant", "", ("section deployment is missing",)),
        ("model: large}", "model: large, state: gone}", ("gone",)),
        ("  plant:\n", "  plant:\n    max_concurrent: 0\n", ("1 or more",)),
        ("levels: [small, large]", "levels: []", ("no levels",)),
        ("share: 10}", "share: 10, stages: [5, 2]}", ("must rise",)),
        ("share: 10}", "share: 10, stages: [20]}", ("must rise",)),
        ("model: large}", "model: large, stages: [5]}", ("takes the rest",)),
        ("/bookings,", "/bookings, status_path: /by-key,", ("{key} once",)),
        ("/bookings,", "/bookings, final_after_s: 5,", ("goes with status_path",)),
        ("path: /stock", "path: /stock, status_path: '/{key}'", ("not be repeated",)),
    ],
)
def test_invalid_value_is_reported(old, new, words):
    assert old in VALID
    find_one(VALID.replace(old, new), *words)


def test_dependency_cycle_is_reported():
    raw = VALID.replace(
        "setup: {levels: [small, large]}",
        "setup: {levels: [small, large], depends_on: [crews]}",
    ).replace("kind: plain\n", "kind: plain\n    depends_on: [setup]\n")
    find_one(raw, "depend on each other", "setup")


def test_customer_without_a_usable_version_is_reported():
    raw = VALID.replace(
        "services: [setup, crews]", "services: [setup]\n    versions: [large-9]"
    )
    find_one(raw, "no usable version")


def test_key_of_two_customers_is_reported():
    extra = "  other:\n    keys: [" + "ab" * 32 + "]\n    services: [crews]\n"
    find_one(VALID + extra, "also a key of customer 'plant'")


def test_duplicate_entry_is_reported():
    find_one(VALID.replace("  south: {}", "  north: {}"), "given twice")


@hypothesis.given(strategies.text(max_size=300))
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_random_characters_give_findings(raw):
    findings_of(raw)


scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-5, 5),
    strategies.floats(allow_nan=False),
    strategies.text(max_size=6),
)
trees = strategies.recursive(
    scalars,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=12,
)


@hypothesis.given(
    strategies.sampled_from(
        ["domains", "versions", "services", "upstreams", "customers", "shards"]
    ),
    trees,
)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_random_section_parses_or_gives_findings(section, tree):
    data = yaml.safe_load(VALID)
    data[section] = tree
    try:
        parse.parse(yaml.safe_dump(data))
    except findings.FindingsError as exc:
        assert exc.findings


@pytest.mark.parametrize(
    ("section", "name", "field", "value"),
    [
        ("domains", "north", "out", "true"),
        ("domains", "south", "out", "true"),
        ("upstreams", "engine-0", "draining", "true"),
        ("versions", "small-2", "state", "draining"),
    ],
)
def test_edit_changes_one_field_and_preserves_the_rest(section, name, field, value):
    raw = "# a comment\n" + VALID
    edited = edit.set_field(raw, section, name, field, value)
    before, after = yaml.safe_load(raw), yaml.safe_load(edited)
    assert after[section][name].pop(field) == yaml.safe_load(value)
    before[section][name].pop(field, None)
    assert before == after
    assert edited.startswith("# a comment")


def test_edit_of_an_unknown_entry_raises():
    with pytest.raises(edit.EditError, match="no 'west'"):
        edit.set_field(VALID, "domains", "west", "out", "true")


def test_example_is_valid():
    example = pathlib.Path(__file__).parents[3] / "examples" / "lineswitch.yaml"
    assert parse.parse(example.read_text()).text.deployment == "lineswitch"
