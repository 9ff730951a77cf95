"""Which version of a model a new request or session runs on."""

import collections.abc

from masticpost_common import rendezvous
from masticpost_text import access, model

from masticpost_decide import rollout


def pick(
    text: model.Text,
    cust: model.Customer,
    model_name: str,
    key: str,
    stopped: collections.abc.Container[str] = (),
    stage_of: rollout.StageOf = rollout.first_stage,
) -> model.Version | None:
    """Return a version by share; the same key gets the same one.

    Parameters
    ----------
    text : model.Text
        The text in force.
    cust : model.Customer
        Only versions that the customer allows are taken.
    model_name : str
        Whose versions.
    key : str
        Session or request id.
    stopped : container of str
        Versions that were stopped automatically.
    stage_of : callable
        Returns the stage of a version's roll-out.
    """
    usable = [
        ver
        for ver in access.allowed_versions(text, cust, model_name)
        if ver.name not in stopped
    ]
    parts = rollout.shares(usable, stage_of)
    total = sum(parts.values())
    if total <= 0:
        return usable[0] if usable else None
    point = rendezvous.unit(f"{model_name}\0{key}") * total
    for ver in usable:
        point -= parts[ver.name]
        if point < 0:
            return ver
    return usable[-1]


def may_start(text: model.Text, cust: model.Customer, name: str) -> bool:
    """Tell whether a new request may start on a version by share."""
    ver = text.versions.get(name)
    return ver is not None and ver.state == "active" and access.is_allowed(cust, ver)


def may_continue(text: model.Text, cust: model.Customer, name: str) -> bool:
    """Tell whether a session of a version may go on there."""
    ver = text.versions.get(name)
    if ver is None or ver.state == "withdrawn":
        return False
    return access.is_allowed(cust, ver)
