"""Priority classes of each service, where a deployment's settings ask for them."""

import collections
import copy

from masticpost_overload import classes, draining, shares

from masticpost_gateway.state import recordcache, table


class Contention:
    """Tells which services have requests of different priorities.

    Parameters
    ----------
    records : recordcache.RecordCache
        Holds the configuration in force.
    is_enabled : bool
        Whether the settings ask for decisions by priority, `NodeSettings.is_contended`.
    """

    def __init__(self, *, records: recordcache.RecordCache, is_enabled: bool) -> None:
        self.records = records
        self.is_enabled = is_enabled
        self._table: table.Table | None = None
        self._classes: dict[str, classes.Classes | None] = {}
        self._shares: dict[tuple[str, int], shares.Shares] = {}
        self._drains: dict[str, draining.Drain] = {}

    def classes_of(self, service: str) -> classes.Classes | None:
        """Return the classes of a service, None if it is served without them."""
        if not self.is_enabled:
            return None
        if self._table is not self.records.table:
            self._table = self.records.table
            self._classes = _classes_by_service(self._table)
        return self._classes.get(service)

    def shares_of(self, service: str, priority: int) -> shares.Shares:
        """Return the customers' shares in the work of a service at a priority."""
        return self._shares.setdefault((service, priority), shares.Shares())

    def copy(self) -> "Contention":
        """Return a copy that records work and backlogs alone."""
        copied = copy.copy(self)
        copied._shares = copy.deepcopy(self._shares)
        copied._drains = copy.deepcopy(self._drains)
        return copied

    def drain_of(self, service: str) -> draining.Drain:
        """Return the estimate of how fast the backlog of a service shrinks."""
        return self._drains.setdefault(service, draining.Drain())


def _classes_by_service(current: table.Table) -> dict[str, classes.Classes | None]:
    rows = collections.defaultdict(list)
    for route in current.cfg.routes:
        for target in route.targets:
            rows[target.service].append(route.priority)
    return {service: classes.Classes.of(found) for service, found in rows.items()}
