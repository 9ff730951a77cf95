"""Text rule: every policy that the text names must be registered.

It is registered as soon as anything of this package is imported.
"""

import collections.abc

from masticpost_common import registry
from masticpost_text import model, rules

from masticpost_decide import cascade, choice, evidence


@rules.RULES.register("policies")
def check_policies(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Find names of cascades, choice policies and judges that do not exist."""
    for svc in text.services.values():
        base = f"services.{svc.name}"
        yield from _known(f"{base}.cascade", svc.cascade, cascade.CASCADES)
        yield from _known(f"{base}.choice", svc.choice, choice.POLICIES)
    for ver in text.versions.values():
        yield from _known(f"versions.{ver.name}.judge", ver.judge, evidence.JUDGES)


def _known(
    path: str, name: str, known: registry.Registry
) -> collections.abc.Iterator[rules.Problem]:
    if name in known.names():
        return
    yield rules.Problem(
        path=path,
        message=f"{known.kind} {name!r} is not known",
        remedy=f"use one of: {', '.join(known.names())}",
    )
