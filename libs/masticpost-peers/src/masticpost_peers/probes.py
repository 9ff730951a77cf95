"""What instances tell each other about the members."""

import attrs

from masticpost_peers import messages

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}


@attrs.frozen(kw_only=True)
class Member:
    """What is known of an instance.

    Attributes
    ----------
    incarnation : int
        Start of its process in milliseconds, raised by one to refute a suspicion.
    started : int
        Start of its process in milliseconds; with the name, the identity of one
        run of the program.
    generation : int
        Configuration that it has in force.
    http : str
        ``host:port`` of its callers' side.
    serves_others : bool
        Whether it can take on work for the other instances.
    """

    name: str
    address: str
    domain: str
    incarnation: int
    started: int
    state: str = ALIVE
    generation: int = 0
    http: str = ""
    serves_others: bool = True

    def supersedes(self, other: "Member") -> bool:
        """Tell whether this news replaces `other` about the same instance."""
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        if RANK[self.state] != RANK[other.state]:
            return RANK[self.state] > RANK[other.state]
        return self.generation > other.generation


@messages.message("probe")
@attrs.frozen(kw_only=True)
class Probe:
    """Asks whether the receiver is alive; carries news."""

    news: list[Member] = attrs.field(factory=list)


@messages.message("probe-through")
@attrs.frozen(kw_only=True)
class IndirectProbe:
    """Asks the receiver to probe `target`."""

    target: Member
    news: list[Member] = attrs.field(factory=list)


@messages.message("probe-ack")
@attrs.frozen(kw_only=True)
class ProbeAck:
    """Reply to a probe; `reached` is False when a probe through a peer failed."""

    reached: bool = True
    news: list[Member] = attrs.field(factory=list)


@messages.message("members-ask")
@attrs.frozen(kw_only=True)
class MembersRequest:
    """Asks a peer for all members it knows."""

    news: list[Member] = attrs.field(factory=list)


@messages.message("members")
@attrs.frozen(kw_only=True)
class MembersReply:
    """All members that a peer knows."""

    news: list[Member]
