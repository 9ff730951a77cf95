"""JSON is split even where parts of it cannot be decoded."""

import json

import hypothesis
import pytest
from hypothesis import strategies
from masticpost_common import codec, jsonrows

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


@hypothesis.settings(max_examples=50)
@hypothesis.given(
    strategies.lists(VALUES, max_size=4), strategies.sampled_from([None, 2])
)
def test_elements_are_those_of_the_array(rows, indent):
    data = json.dumps(rows, indent=indent).encode()
    assert [json.loads(part) for part in jsonrows.elements(data)] == rows


@hypothesis.settings(max_examples=50)
@hypothesis.given(
    strategies.dictionaries(strategies.text(), VALUES, max_size=4),
    strategies.booleans(),
)
def test_members_are_those_of_the_object(table, is_ascii):
    data = json.dumps(table, ensure_ascii=is_ascii).encode()
    found = jsonrows.members(data)
    assert {key: json.loads(value) for key, value in found.items()} == table


@hypothesis.given(strategies.binary())
def test_other_bytes_raise_nothing_else(data):
    for split in (jsonrows.members, jsonrows.elements):
        try:
            split(data)
        except jsonrows.SplitError:
            continue


def test_nesting_costs_no_stack():
    deep = b"[" * 100_000 + b"]" * 100_000
    assert jsonrows.elements(b"[1," + deep + b",2]") == [b"1", deep, b"2"]


def test_deep_nesting_is_a_decode_error():
    deep = b"[" * 100_000
    with pytest.raises(codec.DecodeError):
        codec.from_json(deep, object)
    with pytest.raises(codec.DecodeError):
        codec.from_wire(b"\x91" * 100_000, object)
