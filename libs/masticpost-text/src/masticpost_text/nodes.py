"""Conversion of YAML nodes to attrs classes, with the source position of each value."""

import types
import typing

import attrs
import yaml
from masticpost_common import findings

MAX_TEXT_BYTES = 900_000
BOOL_TAG = "tag:yaml.org,2002:bool"
SCALAR_TAGS = {
    str: {"tag:yaml.org,2002:str"},
    int: {"tag:yaml.org,2002:int"},
    float: {"tag:yaml.org,2002:int", "tag:yaml.org,2002:float"},
    bool: {BOOL_TAG},
}
KIND_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true/false"}


class Reader:
    """Converts nodes; collects findings and source positions.

    Parameters
    ----------
    source : str
        Name of the text, used in findings.
    """

    def __init__(self, *, source: str) -> None:
        self.source = source
        self.findings: list[findings.Finding] = []
        self.places: dict[str, findings.Place] = {}
        self._scalars = yaml.constructor.SafeConstructor()

    def place(self, node: yaml.Node) -> findings.Place:
        """Return the position at which `node` starts."""
        mark = node.start_mark
        return findings.Place(
            source=self.source, line=mark.line + 1, column=mark.column + 1
        )

    def report(self, node: yaml.Node, message: str, remedy: str = "") -> None:
        """Add a finding at `node`."""
        self.findings.append(
            findings.Finding(place=self.place(node), message=message, remedy=remedy)
        )

    def pairs(self, node: yaml.Node, path: str) -> dict[str, yaml.Node]:
        """Return the entries of a mapping node; report duplicates."""
        if not isinstance(node, yaml.MappingNode):
            self.report(node, f"{path} must be a mapping", "write `name: value` lines")
            return {}
        found: dict[str, yaml.Node] = {}
        for key_node, value in node.value:
            key = key_node.value if isinstance(key_node, yaml.ScalarNode) else "?"
            if key in found:
                self.report(key_node, f"{path}.{key} is given twice", "keep one")
            found[key] = value
            self.places[f"{path}.{key}"] = self.place(key_node)
        return found

    def record(
        self, node: yaml.Node, kind: type, path: str, **preset: object
    ) -> object:
        """Convert a mapping to the attrs class `kind`; None if that is impossible.

        Fields in `preset` have their value from the caller, not from the mapping.
        """
        entries = self.pairs(node, path)
        fields = attrs.fields_dict(kind)
        hints = typing.get_type_hints(kind)
        values: dict[str, object] = dict(preset)
        for key, value in entries.items():
            if key not in fields or key in preset:
                valid = ", ".join(name for name in fields if name not in preset)
                self.report(
                    value, f"{path}.{key} is not a field", f"use one of: {valid}"
                )
                continue
            values[key] = self.value(value, hints[key], f"{path}.{key}")
        missing = [
            name
            for name, field in fields.items()
            if field.default is attrs.NOTHING and name not in values
        ]
        for name in missing:
            self.report(node, f"{path}.{name} is missing", f"add `{name}:`")
        if missing or any(value is None for value in values.values()):
            return None
        return kind(**values)

    def value(self, node: yaml.Node, hint: object, path: str) -> object:
        """Convert `node` to the type `hint`; None if a finding was added."""
        if isinstance(hint, types.GenericAlias):
            return self._sequence(node, typing.get_args(hint)[0], path)
        if attrs.has(hint):
            return self.record(node, hint, path)
        return self._scalar(node, hint, path)

    def _sequence(self, node: yaml.Node, item: object, path: str) -> object:
        if not isinstance(node, yaml.SequenceNode):
            self.report(node, f"{path} must be a list", "write `[a, b]`")
            return None
        items = [self.value(n, item, f"{path}[{i}]") for i, n in enumerate(node.value)]
        for i, child in enumerate(node.value):
            self.places[f"{path}[{i}]"] = self.place(child)
        if any(value is None for value in items):
            return None
        return tuple(items)

    def _scalar(self, node: yaml.Node, hint: object, path: str) -> object:
        if not isinstance(node, yaml.ScalarNode) or node.tag not in SCALAR_TAGS[hint]:
            self.report(node, f"{path} must be {KIND_NAMES[hint]}")
            return None
        try:
            return hint(self._scalars.construct_object(node))
        except (ValueError, yaml.YAMLError):
            self.report(node, f"{path} must be {KIND_NAMES[hint]}")
            return None
