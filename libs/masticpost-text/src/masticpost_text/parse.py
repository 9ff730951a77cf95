"""Parser of the operators' text, from YAML to `model.Text`; reports all findings."""

import attrs
import yaml
from masticpost_common import findings

from masticpost_text import (  # noqa: F401  (modules of rules register their rules on import)
    model,
    nodes,
    ranges,
    references,
    rules,
    versions,
)

SECTIONS = ("domains", "versions", "services", "upstreams", "customers")
RECORDS = {
    "domains": model.Domain,
    "versions": model.Version,
    "services": model.Service,
    "upstreams": model.Upstream,
    "customers": model.Customer,
}
SCALARS = {
    "deployment": str,
    "shards": int,
    "rating_url": str,
    "weights_url": str,
    "weight_loads_s": float,
}


@attrs.frozen(kw_only=True)
class Parsed:
    """A parsed text and the source position of each of its keys."""

    text: model.Text
    places: dict[str, findings.Place]


def parse(raw: str, *, source: str = "text") -> Parsed:
    """Parse and check `raw`.

    Raises
    ------
    findings.FindingsError
        With all findings, each with its line and column.
    """
    reader = nodes.Reader(source=source)
    root = _compose(raw, reader)
    text = _read_text(root, reader)
    if text is not None:
        reader.findings += rules.check(text, reader.places, source)
    if reader.findings:
        ordered = sorted(reader.findings, key=lambda f: (f.place.line, f.place.column))
        raise findings.FindingsError(findings=ordered)
    return Parsed(text=text, places=reader.places)


def _compose(raw: str, reader: nodes.Reader) -> yaml.Node:
    if len(raw.encode()) > nodes.MAX_TEXT_BYTES:
        _fail(reader, 1, 1, f"the text is larger than {nodes.MAX_TEXT_BYTES} bytes")
    try:
        root = yaml.compose(raw, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        _fail(reader, mark.line + 1, mark.column + 1, f"not YAML: {exc.problem}")
    except yaml.YAMLError as exc:
        _fail(reader, 1, 1, f"not YAML: {exc}")
    except RecursionError:
        _fail(reader, 1, 1, "the text is nested too deeply")
    if root is None:
        _fail(reader, 1, 1, "the text is empty")
    return root


def _fail(reader: nodes.Reader, line: int, column: int, message: str) -> None:
    place = findings.Place(source=reader.source, line=line, column=column)
    raise findings.FindingsError(
        findings=[findings.Finding(place=place, message=message)]
    )


def _read_text(root: yaml.Node, reader: nodes.Reader) -> model.Text | None:
    before = len(reader.findings)
    values: dict[str, object] = {}
    entries = reader.pairs(root, "text")
    for key, node in entries.items():
        if key in RECORDS:
            values[key] = _read_section(node, key, reader)
        elif key in SCALARS:
            values[key] = reader.value(node, SCALARS[key], f"text.{key}")
        else:
            valid = ", ".join((*SCALARS, *SECTIONS))
            reader.report(node, f"{key} is not a section", f"use one of: {valid}")
    for key in ("deployment", *SECTIONS):
        if key not in entries:
            reader.report(root, f"section {key} is missing", f"add `{key}:`")
    if len(reader.findings) > before:
        return None
    return model.Text(**values)


def _read_section(
    node: yaml.Node, section: str, reader: nodes.Reader
) -> dict[str, object]:
    records = {}
    for name, entry in reader.pairs(node, section).items():
        path = f"{section}.{name}"
        records[name] = reader.record(entry, RECORDS[section], path, name=name)
    return records
