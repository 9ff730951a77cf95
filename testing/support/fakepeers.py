"""Fakes of the peers and the shards of an instance that do nothing."""

import attrs


@attrs.define(kw_only=True)
class FakePeers:
    """Peers that ignore the registration of message handlers."""

    name: str = "entry-0"

    def handle(self, kind, handler):
        return


@attrs.define(kw_only=True)
class FakeShards:
    """Shards without owners, for tests that send no shard messages."""

    peers: FakePeers = attrs.field(factory=FakePeers)
    shard_count: int = 1
    members: object = None
    held_permits: object = None
