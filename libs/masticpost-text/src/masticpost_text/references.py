"""Rules for references between parts of a text: names, keys, dependencies."""

import collections.abc

from masticpost_text import access, model, rules


@rules.RULES.register("names")
def check_names(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Every name that is used must be defined."""
    for up in text.upstreams.values():
        base = f"upstreams.{up.name}"
        yield from _check_defined(
            f"{base}.domain", (up.domain,), text.domains, "failure domain"
        )
        targets = set(text.versions) | {
            s.name for s in text.services.values() if s.kind == "plain"
        }
        yield from _check_defined(
            f"{base}.serves", up.serves, targets, "version or plain service"
        )
    for svc in text.services.values():
        base = f"services.{svc.name}"
        yield from _check_defined(f"{base}.levels", svc.levels, text.models(), "model")
        yield from _check_defined(
            f"{base}.depends_on", svc.depends_on, text.services, "service"
        )
    for cust in text.customers.values():
        base = f"customers.{cust.name}"
        yield from _check_defined(
            f"{base}.services", cust.services, text.services, "service"
        )
        yield from _check_defined(f"{base}.models", cust.models, text.models(), "model")
        yield from _check_defined(
            f"{base}.versions", cust.versions, text.versions, "version"
        )


def _check_defined(
    path: str,
    names: tuple[str, ...],
    defined: collections.abc.Collection[str],
    what: str,
) -> collections.abc.Iterator[rules.Problem]:
    for i, name in enumerate(names):
        if name in defined:
            continue
        yield rules.Problem(
            path=f"{path}[{i}]",
            message=f"{what} {name!r} is not known",
            remedy=f"use one of: {', '.join(sorted(defined)) or 'none defined yet'}",
        )


@rules.RULES.register("unique")
def check_unique(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """No two customers may share a key."""
    seen: dict[str, str] = {}
    for cust in text.customers.values():
        for i, key in enumerate(cust.keys):
            if key in seen:
                yield rules.Problem(
                    path=f"customers.{cust.name}.keys[{i}]",
                    message=f"this key is also a key of customer {seen[key]!r}",
                    remedy="give each customer keys of its own",
                )
            seen[key] = cust.name


@rules.RULES.register("cycles")
def check_cycles(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """No service may depend on itself, directly or through others."""
    done: set[str] = set()
    for name in text.services:
        cycle = _find_cycle(text, name, [], done)
        if not cycle:
            continue
        yield rules.Problem(
            path=f"services.{cycle[0]}.depends_on",
            message=f"services depend on each other: {' -> '.join(cycle)}",
            remedy="remove one of these dependencies",
        )


def _find_cycle(
    text: model.Text, name: str, path: list[str], done: set[str]
) -> list[str]:
    if name in path:
        return [*path[path.index(name) :], name]
    if name in done or name not in text.services:
        return []
    for dep in text.services[name].depends_on:
        cycle = _find_cycle(text, dep, [*path, name], done)
        if cycle:
            done.update(cycle)
            return cycle
    done.add(name)
    return []


@rules.RULES.register("served")
def check_served(text: model.Text) -> collections.abc.Iterator[rules.Problem]:
    """Every customer must have a usable version for each of its services."""
    for cust in text.customers.values():
        for i, name in enumerate(cust.services):
            svc = text.services.get(name)
            if svc is None or svc.kind != "model":
                continue
            if any(
                access.allowed_versions(text, cust, model_) for model_ in svc.levels
            ):
                continue
            yield rules.Problem(
                path=f"customers.{cust.name}.services[{i}]",
                message=f"customer {cust.name!r} has no usable version for {name!r}",
                remedy="allow a version that is active, or remove the service",
            )
