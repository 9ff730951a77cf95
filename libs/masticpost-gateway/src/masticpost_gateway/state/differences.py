"""Differences between two configurations, sent in place of the whole configuration.

A configuration with thousands of routes takes hundreds of kilobytes, and most versions
change only a few of them.
"""

import collections.abc
import typing

import attrs

from masticpost_gateway.state import model

Row = typing.TypeVar("Row", model.Route, model.Service, model.Customer)


@attrs.frozen(kw_only=True)
class Difference:
    """Rows that a new configuration adds, changes or removes.

    Attributes
    ----------
    routes, services, customers : list
        Rows that are new or changed.
    routes_gone, services_gone, customers_gone : list of str
        Names of the rows that are removed.
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
    """Return the difference that turns `old` into `new`.

    None if two rows of a configuration have the same name, since rows are identified
    by name.
    """
    for cfg in (old, new):
        for rows in (cfg.routes, cfg.services, cfg.customers):
            if len({row.name for row in rows}) != len(rows):
                return None
    return Difference(
        version=new.version,
        limits=new.limits,
        routes=_changed(old.routes, new.routes),
        routes_gone=_removed(old.routes, new.routes),
        services=_changed(old.services, new.services),
        services_gone=_removed(old.services, new.services),
        customers=_changed(old.customers, new.customers),
        customers_gone=_removed(old.customers, new.customers),
    )


def apply(old: model.Configuration, diff: Difference) -> model.Configuration:
    """Return the configuration that results from applying a difference to `old`.

    The order of its rows may differ from the original; the order has no meaning.
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
    old_rows = {row.name: row for row in old}
    return [row for row in new if old_rows.get(row.name) != row]


def _removed(
    old: collections.abc.Iterable[Row], new: collections.abc.Iterable[Row]
) -> list[str]:
    new_names = {row.name for row in new}
    return [row.name for row in old if row.name not in new_names]


def _merged(
    old: collections.abc.Iterable[Row],
    changed: collections.abc.Iterable[Row],
    removed: collections.abc.Iterable[str],
) -> tuple[Row, ...]:
    rows = {row.name: row for row in old}
    for name in removed:
        rows.pop(name, None)
    rows.update((row.name, row) for row in changed)
    return tuple(rows.values())
