"""Registry of the rules that check a whole text, and the check that runs them."""

import collections.abc

import attrs
from masticpost_common import findings, registry

from masticpost_text import model


@attrs.frozen(kw_only=True)
class Problem:
    """A violation of a rule: path of the key, what is wrong and how to fix it."""

    path: str
    message: str
    remedy: str


Rule = collections.abc.Callable[[model.Text], collections.abc.Iterator[Problem]]
RULES: registry.Registry[Rule] = registry.Registry(kind="text rule")


def check(
    text: model.Text, places: dict[str, findings.Place], source: str
) -> list[findings.Finding]:
    """Run all rules and return their findings with source positions."""
    found = []
    for rule in RULES.entries():
        for problem in rule(text):
            place = _place_of(problem.path, places, source)
            found.append(
                findings.Finding(
                    place=place, message=problem.message, remedy=problem.remedy
                )
            )
    return found


def _place_of(
    path: str, places: dict[str, findings.Place], source: str
) -> findings.Place:
    while path:
        if path in places:
            return places[path]
        if f"text.{path}" in places:
            return places[f"text.{path}"]
        parent, bracket, _ = path.rpartition("[")
        path = parent if bracket else path.rpartition(".")[0]
    return findings.Place(source=source, line=1, column=1)
