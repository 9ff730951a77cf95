"""Upstream subsets: which upstreams this instance sends requests to.

If a version or service has many upstreams, an instance uses a subset of them: the first
usable ones in an order that rendezvous hashing gives this instance. Each upstream is in
the subsets of about as many instances as any other. One that leaves is replaced by the
next in the order, and returns to its position when it comes back.
"""

import attrs
from masticpost_common import rendezvous
from masticpost_text import model

# Largest number of upstreams in a subset.
SIZE = 32


@attrs.frozen(kw_only=True)
class Pools:
    """Upstreams of each version or plain service, in this instance's order."""

    by_target: dict[str, tuple[model.Upstream, ...]] = attrs.field(factory=dict)

    def of(self, target: str) -> tuple[model.Upstream, ...]:
        """Return the upstreams of a version or plain service."""
        return self.by_target.get(target, ())


def build(text: model.Text, instance: str) -> Pools:
    """Return the pools of the instance with the given name."""
    order = rendezvous.ranked(text.upstreams, instance)
    found: dict[str, list[model.Upstream]] = {}
    for name in order:
        upstream = text.upstreams[name]
        for target in upstream.serves:
            found.setdefault(target, []).append(upstream)
    return Pools(by_target={target: tuple(ups) for target, ups in found.items()})
