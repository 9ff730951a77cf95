"""Edits of single fields of a text that preserve the rest, including comments."""

import yaml


class EditError(ValueError):
    """The text has no such entry, or the entry is not a mapping."""


def set_field(raw: str, section: str, name: str, field: str, value: str) -> str:
    """Return `raw` with ``section.name.field`` set to the YAML scalar `value`.

    Raises
    ------
    EditError
        If there is no such entry, or the entry is not a mapping.
    """
    entry = _find(_find(yaml.compose(raw), section), name)
    if not isinstance(entry, yaml.MappingNode):
        raise EditError(f"{section}.{name} is not a mapping")
    for key_node, value_node in entry.value:
        if key_node.value == field:
            return _replace(raw, value_node, value)
    return _insert(raw, entry, field, value)


def _find(node: yaml.Node | None, key: str) -> yaml.Node:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == key:
                return value_node
    raise EditError(f"the text has no {key!r}")


def _replace(raw: str, node: yaml.Node, value: str) -> str:
    return raw[: node.start_mark.index] + value + raw[node.end_mark.index :]


def _insert(raw: str, entry: yaml.MappingNode, field: str, value: str) -> str:
    start = entry.start_mark.index
    if entry.flow_style:
        comma = ", " if entry.value else ""
        return f"{raw[: start + 1]}{field}: {value}{comma}{raw[start + 1 :]}"
    indent = " " * entry.start_mark.column
    return f"{raw[:start]}{field}: {value}\n{indent}{raw[start:]}"
