"""Text rule: every policy that the text names must be registered.

Importing any module of this package registers the rule.
"""

import collections.abc

from masticpost_common import registry
from masticpost_text import model, rules

from masticpost_decide import cascade, choice, evidence


@rules.RULES.register("policies")
def check_policies(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Report cascades, choice policies and judges that are not registered."""
    for svc in text.services.values():
        base = f"services.{svc.name}"
        yield from _check_name(f"{base}.cascade", svc.cascade, cascade.CASCADES)
        yield from _check_name(f"{base}.choice", svc.choice, choice.POLICIES)
    for ver in text.versions.values():
        yield from _check_name(f"versions.{ver.name}.judge", ver.judge, evidence.JUDGES)


def _check_name(
    path: str, name: str, entries: registry.Registry
) -> collections.abc.Iterator[rules.Problem]:
    if name in entries.names():
        return
    yield rules.Problem(
        path=path,
        message=f"{entries.kind} {name!r} is not known",
        remedy=f"use one of: {', '.join(entries.names())}",
    )
