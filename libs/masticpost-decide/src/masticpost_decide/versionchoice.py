"""Choice of the model version that a new request or session runs on."""

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
    """Choose a version in proportion to the shares; equal keys get equal versions.

    Parameters
    ----------
    text : model.Text
        The text in force.
    cust : model.Customer
        Only versions that this customer may use are considered.
    model_name : str
        Model whose versions are considered.
    key : str
        Session or request id.
    stopped : container of str
        Versions that were stopped automatically.
    stage_of : callable
        Returns the present roll-out stage of a version.

    Returns
    -------
    model.Version or None
        None if the customer may use no version that is not stopped.
    """
    usable = [
        ver
        for ver in access.allowed_versions(text, cust, model_name)
        if ver.name not in stopped
    ]
    shares = rollout.shares(usable, stage_of)
    total = sum(shares.values())
    if total <= 0:
        return usable[0] if usable else None
    point = rendezvous.unit_hash(f"{model_name}\0{key}") * total
    for ver in usable:
        point -= shares[ver.name]
        if point < 0:
            return ver
    return usable[-1]


def may_start(text: model.Text, cust: model.Customer, name: str) -> bool:
    """Return whether new requests of a customer may start on version `name`."""
    ver = text.versions.get(name)
    return ver is not None and ver.state == "active" and access.is_allowed(cust, ver)


def may_continue(text: model.Text, cust: model.Customer, name: str) -> bool:
    """Return whether a customer's existing sessions may continue on version `name`.

    Unlike `may_start`, this accepts every state but ``withdrawn``.
    """
    ver = text.versions.get(name)
    if ver is None or ver.state == "withdrawn":
        return False
    return access.is_allowed(cust, ver)
