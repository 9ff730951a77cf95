"""Queue of membership updates to piggyback on probes."""

import math

import attrs

from masticpost_peers import probes

UPDATES_PER_MESSAGE = 8
# An update is sent this many times the logarithm of the number of members.
UPDATE_REPEAT_FACTOR = 3


@attrs.define(kw_only=True)
class Update:
    """A member's new state, and how many messages have carried it."""

    member: probes.Member
    sent_count: int = 0


class UpdateQueue:
    """The latest update of each member, until enough messages have carried it."""

    def __init__(self) -> None:
        self._updates: dict[str, Update] = {}

    def add(self, member: probes.Member) -> None:
        """Queue a member's new state in place of an earlier one."""
        self._updates[member.name] = Update(member=member)

    def discard(self, name: str) -> None:
        """Drop the update of a member."""
        self._updates.pop(name, None)

    def take(self, member_count: int) -> list[probes.Member]:
        """Return the updates sent least often so far, at most `UPDATES_PER_MESSAGE`.

        Each update is sent O(log n) times for n members and then dropped.
        """
        limit = UPDATE_REPEAT_FACTOR * math.ceil(math.log2(member_count + 1))
        chosen = sorted(self._updates.values(), key=lambda update: update.sent_count)
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for update in chosen:
            update.sent_count += 1
            if update.sent_count >= limit:
                del self._updates[update.member.name]
        return [update.member for update in chosen]
