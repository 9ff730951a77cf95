"""A peer and its shards that neither send nor own anything."""

import attrs


@attrs.define(kw_only=True)
class FakePeers:
    """Takes no messages."""

    name: str = "entry-0"

    def handle(self, kind, handler):
        return


@attrs.define(kw_only=True)
class FakeShards:
    """Routes to nobody."""

    peers: FakePeers = attrs.field(factory=FakePeers)
    shard_count: int = 1
    members: object = None
    held_permits: object = None
