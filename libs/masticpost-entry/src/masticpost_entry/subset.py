"""Which upstreams this instance sends a version's or service's requests to.

With many upstreams an instance uses a subset: the first usable ones in an order of its
own, drawn by rendezvous hashing. Every upstream is in the subsets of about as many
instances as any other; one that leaves is replaced by the next in the order, and comes
back to its place.
"""

import attrs
from masticpost_common import rendezvous
from masticpost_text import model

SIZE = 32


@attrs.frozen(kw_only=True)
class Pools:
    """Upstreams by what they serve, in this instance's order."""

    by_target: dict[str, tuple[model.Upstream, ...]] = attrs.field(factory=dict)

    def of(self, target: str) -> tuple[model.Upstream, ...]:
        """Return the upstreams that serve a version or plain service."""
        return self.by_target.get(target, ())


def build(text: model.Text, instance: str) -> Pools:
    """Return the pools of a text for an instance."""
    order = rendezvous.ranked(text.upstreams, instance)
    found: dict[str, list[model.Upstream]] = {}
    for name in order:
        upstream = text.upstreams[name]
        for target in upstream.serves:
            found.setdefault(target, []).append(upstream)
    return Pools(by_target={target: tuple(ups) for target, ups in found.items()})
