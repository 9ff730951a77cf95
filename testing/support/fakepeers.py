"""Fakes of the peers and the shards of an instance that do nothing."""

import attrs
from masticpost_peers import probes


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


class FakeMembers:
    """A membership of this instance alone, or of `count` instances that are alive."""

    def __init__(self, *, name="entry-0", count=1, expected=None):
        self.me = self._member(name)
        self.expected = expected or count
        self.rows = [self.me, *(self._member(f"other-{n}") for n in range(1, count))]

    def _member(self, name):
        return probes.Member(
            name=name, address=name, domain="a", incarnation=1, started=1
        )

    def alive(self):
        return self.rows

    def expected_count(self):
        return self.expected

    def listen(self, listener):
        return
