"""What changed between two configurations, so that not all of it need be sent.

A configuration of thousands of routes is hundreds of kilobytes; most versions change a
few of them.
"""

import collections.abc
import typing

import attrs

from masticpost_gateway.state import model

Row = typing.TypeVar("Row", model.Route, model.Service, model.Customer)


@attrs.frozen(kw_only=True)
class Difference:
    """Rows of a configuration that another one adds, changes or leaves out.

    Attributes
    ----------
    routes_gone, services_gone, customers_gone : list of str
        Names of the rows that are left out.
    """

    version: int
    limits: model.Limits
    routes: list[model.Route]
    routes_gone: list[str]
    services: list[model.Service]
    services_gone: list[str]
    customers: list[model.Customer]
    customers_gone: list[str]


def between(old: model.Configuration, new: model.Configuration) -> Difference | None:
    """Return what leads from one configuration to another.

    None when rows cannot be told apart by their names.
    """
    for cfg in (old, new):
        for rows in (cfg.routes, cfg.services, cfg.customers):
            if len({row.name for row in rows}) != len(rows):
                return None
    return Difference(
        version=new.version,
        limits=new.limits,
        routes=_changed(old.routes, new.routes),
        routes_gone=_gone(old.routes, new.routes),
        services=_changed(old.services, new.services),
        services_gone=_gone(old.services, new.services),
        customers=_changed(old.customers, new.customers),
        customers_gone=_gone(old.customers, new.customers),
    )


def applied(old: model.Configuration, diff: Difference) -> model.Configuration:
    """Return the configuration to which a difference leads.

    Rows may come in another order than in the original, which has no meaning.
    """
    return model.Configuration(
        version=diff.version,
        limits=diff.limits,
        routes=_merged(old.routes, diff.routes, diff.routes_gone),
        services=_merged(old.services, diff.services, diff.services_gone),
        customers=_merged(old.customers, diff.customers, diff.customers_gone),
    )


def _changed(
    old: collections.abc.Iterable[Row], new: collections.abc.Iterable[Row]
) -> list[Row]:
    known = {row.name: row for row in old}
    return [row for row in new if known.get(row.name) != row]


def _gone(
    old: collections.abc.Iterable[Row], new: collections.abc.Iterable[Row]
) -> list[str]:
    kept = {row.name for row in new}
    return [row.name for row in old if row.name not in kept]


def _merged(
    old: collections.abc.Iterable[Row],
    changed: collections.abc.Iterable[Row],
    gone: collections.abc.Iterable[str],
) -> tuple[Row, ...]:
    rows = {row.name: row for row in old}
    for name in gone:
        rows.pop(name, None)
    rows.update((row.name, row) for row in changed)
    return tuple(rows.values())
