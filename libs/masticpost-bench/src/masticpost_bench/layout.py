"""Layouts of the deployments that benchmarks and tests run, and their texts."""

import hashlib

import attrs
import yaml

ADMIN_KEY = "admin-key-of-the-bench"
# Plain services never run a call that they receive later than this.
FINAL_AFTER_S = 1.0
PEER_KEY = "peer-key-of-the-bench-0001"


@attrs.frozen(kw_only=True)
class EngineSpec:
    """A model engine and the quality of its answers by version, from 0 to 1.

    `extra` is further configuration of its stand-in.
    """

    name: str
    domain: str
    qualities: dict[str, float]
    extra: dict[str, object] = attrs.field(factory=dict)
    max_concurrent: int = 32


@attrs.frozen(kw_only=True)
class PlainUpstreamSpec:
    """An upstream of a plain service; `extra` is configuration of its stand-in."""

    name: str
    domain: str
    service: str
    extra: dict[str, object] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class CustomerSpec:
    """A customer with its key in plain text."""

    name: str
    key: str
    services: tuple[str, ...]
    max_concurrent: int = 256
    weight: float = 1.0
    models: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    budget: float = 0.0
    budget_s: float = 86_400.0


@attrs.frozen(kw_only=True)
class Layout:
    """Layout of a deployment.

    `versions` and `services` are the sections of these names in the operators' text.
    """

    name: str
    domains: tuple[str, ...]
    instances: int
    engines: tuple[EngineSpec, ...]
    plain_upstreams: tuple[PlainUpstreamSpec, ...]
    customers: tuple[CustomerSpec, ...]
    versions: dict[str, dict[str, object]]
    services: dict[str, dict[str, object]]
    cold_successes: int = 3
    cold_max_concurrent: int = 2
    cold_seconds: float = 0.0
    shards: int = 8

    def instance_domain(self, index: int) -> str:
        """Return the failure domain of the instance with this index."""
        return self.domains[index % len(self.domains)]


def render_text(
    layout: Layout,
    urls: dict[str, str],
    rating_url: str,
    weights_url: str,
    changes: dict[str, dict[str, object]] | None = None,
) -> str:
    """Return the operators' text of a layout.

    Parameters
    ----------
    layout : Layout
        Layout of the deployment.
    urls : dict
        URL of each upstream.
    rating_url : str
        URL of the rating service.
    weights_url : str
        URL of the weight store.
    changes : dict, optional
        Fields to set, by path such as ``versions.small-1``.
    """
    cold = {
        "max_concurrent": layout.cold_max_concurrent,
        "successes": layout.cold_successes,
        "seconds": layout.cold_seconds,
    }
    data = {
        "deployment": layout.name,
        "shards": layout.shards,
        "rating_url": rating_url,
        "weights_url": weights_url,
        "weight_loads_s": 2.0,
        "domains": {name: {"out": False} for name in layout.domains},
        "versions": {name: dict(row) for name, row in layout.versions.items()},
        "services": {name: dict(row) for name, row in layout.services.items()},
        "upstreams": {
            **{e.name: _engine_row(e, urls, cold) for e in layout.engines},
            **{p.name: _plain_row(p, urls, cold) for p in layout.plain_upstreams},
        },
        "customers": {c.name: _customer_row(c) for c in layout.customers},
    }
    for path, fields in (changes or {}).items():
        section, _, name = path.partition(".")
        data[section].setdefault(name, {}).update(fields)
    return yaml.safe_dump(data, sort_keys=False)


def _engine_row(
    spec: EngineSpec, urls: dict[str, str], cold: dict[str, int]
) -> dict[str, object]:
    return {
        "url": urls[spec.name],
        "domain": spec.domain,
        "checks_fencing": bool(spec.extra.get("checks_fencing")),
        "serves": list(spec.qualities),
        "max_concurrent": spec.max_concurrent,
        "cold": dict(cold),
    }


def _plain_row(
    spec: PlainUpstreamSpec, urls: dict[str, str], cold: dict[str, int]
) -> dict[str, object]:
    return {
        "url": urls[spec.name],
        "domain": spec.domain,
        "serves": [spec.service],
        "max_concurrent": 64,
        "cold": {"max_concurrent": 8, "successes": 1, "seconds": 0.0},
    }


def _customer_row(spec: CustomerSpec) -> dict[str, object]:
    return {
        "keys": [hashlib.sha256(spec.key.encode()).hexdigest()],
        "services": list(spec.services),
        "models": list(spec.models),
        "versions": list(spec.versions),
        "max_concurrent": spec.max_concurrent,
        "weight": spec.weight,
        "budget": spec.budget,
        "budget_s": spec.budget_s,
    }


def _versions() -> dict[str, dict[str, object]]:
    return {
        "small-1": {
            "model": "small",
            "share": 100,
            "input_price": 0.2,
            "output_price": 0.6,
        },
        "large-1": {
            "model": "large",
            "share": 100,
            "input_price": 3.0,
            "output_price": 12.0,
        },
    }


def _bookings(name: str, price: float) -> dict[str, object]:
    return {
        "kind": "plain",
        "deadline_s": 10,
        "operations": [
            {"path": "/stock"},
            {
                "path": f"/{name}",
                "idempotent": False,
                "price": price,
                "status_path": f"/{name}/by-key/{{key}}",
                "final_after_s": FINAL_AFTER_S,
            },
        ],
    }


def _customers(services: tuple[str, ...], count: int = 10) -> tuple[CustomerSpec, ...]:
    return tuple(
        CustomerSpec(
            name=f"plant-{i}",
            key=f"key-of-plant-{i}-0123456789",
            services=services,
            weight=4.0 if i < 2 else 1.0,
            max_concurrent=512 if i < 2 else 128,
        )
        for i in range(count)
    )


QUALITIES = {"small-1": 0.80, "large-1": 0.96}


def lineswitch(instances: int = 8) -> Layout:
    """Return the layout of Lineswitch: three failure domains in northern Taiwan."""
    domains = ("taoyuan", "hsinchu", "linkou")
    link = {"link_delay_s": 0.0005}
    return Layout(
        name="lineswitch",
        domains=domains,
        instances=instances,
        engines=tuple(
            EngineSpec(
                name=f"engine-{i}",
                domain=domains[i % 3],
                qualities=dict(QUALITIES),
                extra=link,
            )
            for i in range(5)
        ),
        plain_upstreams=tuple(
            PlainUpstreamSpec(
                name=f"booking-{i}", domain=domains[i], service="crews", extra=link
            )
            for i in range(3)
        ),
        customers=_customers(("planner", "setup", "crews")),
        versions=_versions(),
        services={
            "planner": {
                "levels": ["small", "large"],
                "cascade": "expected-cost",
                "quality_target": 0.9,
                "deadline_s": 60,
            },
            "setup": {
                "levels": ["small", "large"],
                "cascade": "expected-cost",
                "quality_target": 0.75,
                "deadline_s": 20,
                "depends_on": [],
            },
            "crews": _bookings("bookings", 0.01),
        },
    )


def al_harthy(instances: int = 8) -> Layout:
    """Return the layout of Al Harthy: four failure domains in Muscat."""
    domains = ("ruwi", "seeb", "qurum", "barka")
    link = {"link_delay_s": 0.0015}
    return Layout(
        name="alharthy",
        domains=domains,
        instances=instances,
        engines=tuple(
            EngineSpec(
                name=f"engine-{i}",
                domain=domains[i % 4],
                qualities=dict(QUALITIES),
                extra=link,
            )
            for i in range(6)
        ),
        plain_upstreams=tuple(
            PlainUpstreamSpec(
                name=f"orders-{i}", domain=domains[i], service="orders", extra=link
            )
            for i in range(4)
        ),
        customers=_customers(("checks", "explain", "orders")),
        versions=_versions(),
        services={
            "checks": {
                "levels": ["small", "large"],
                "cascade": "expected-cost",
                "quality_target": 0.85,
                "deadline_s": 10,
            },
            "explain": {
                "levels": ["small", "large"],
                "cascade": "expected-cost",
                "quality_target": 0.75,
                "deadline_s": 20,
            },
            "orders": _bookings("payments", 0.02),
        },
    )


NEW_VERSION = "small-2"


def with_rollout(plan: Layout, quality: float) -> Layout:
    """Return the layout with a staged roll-out of a new version of the cheap model."""
    engines = tuple(
        attrs.evolve(e, qualities={**e.qualities, NEW_VERSION: quality})
        for e in plan.engines
    )
    versions = {
        **plan.versions,
        "small-1": {**plan.versions["small-1"], "share": 0},
        NEW_VERSION: {
            **plan.versions["small-1"],
            "share": 100,
            "stages": [5.0, 20.0, 50.0],
            "stage_s": 3.0,
            "stage_samples": 20,
        },
    }
    return attrs.evolve(plan, engines=engines, versions=versions)


def small(instances: int = 3, engines: int = 2, plain_upstreams: int = 2) -> Layout:
    """Return the layout of a small deployment for tests."""
    domains = ("north", "south")
    return Layout(
        name="small",
        domains=domains,
        instances=instances,
        engines=tuple(
            EngineSpec(
                name=f"engine-{i}", domain=domains[i % 2], qualities=dict(QUALITIES)
            )
            for i in range(engines)
        ),
        plain_upstreams=tuple(
            PlainUpstreamSpec(
                name=f"booking-{i}", domain=domains[i % 2], service="crews"
            )
            for i in range(plain_upstreams)
        ),
        customers=_customers(("setup", "crews"), count=2),
        versions=_versions(),
        services={
            "setup": {
                "levels": ["small", "large"],
                "cascade": "cheapest",
                "deadline_s": 20,
            },
            "crews": _bookings("bookings", 0.01),
        },
    )
