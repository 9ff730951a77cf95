"""Look-up of the routes, services and customers of one configuration."""

from masticpost_common import rendezvous

from masticpost_gateway.state import model


class Table:
    """Look-up of routes, services and customers.

    Parameters
    ----------
    cfg : model.Configuration
        The configuration in force.
    """

    def __init__(self, *, cfg: model.Configuration) -> None:
        self.cfg = cfg
        self.services = {service.name: service for service in cfg.services}
        self._customers = {key: row for row in cfg.customers for key in row.keys}
        self._routes: dict[str, list[model.Route]] = {}
        for route in cfg.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    @property
    def has_customers(self) -> bool:
        """Whether requests need a customer's key."""
        return bool(self.cfg.customers)

    def route(self, host: str, path: str) -> model.Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service_of(self, route: model.Route, key: str) -> model.Service:
        """Return the target service of a route for `key`, chosen by weighted hashing.

        The same key always gets the same service while the route stays the same.
        """
        total = sum(target.weight for target in route.targets)
        position = rendezvous.unit_hash(f"{route.name}\0{key}") * total
        for target in route.targets:
            position -= target.weight
            if position < 0:
                break
        service = self.services.get(target.service)
        return service or model.Service(name=target.service)

    def customer(self, key: str | None) -> model.Customer | None:
        """Return the customer with the API key `key`, None for an unknown key."""
        return self._customers.get(key) if key else None
