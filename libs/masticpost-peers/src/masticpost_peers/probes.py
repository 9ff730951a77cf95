"""Membership states and the messages that exchange them."""

import attrs

from masticpost_peers import messages

ALIVE = "alive"
SUSPECT = "suspect"
LEAVING = "leaving"
DEAD = "dead"
# Of two states with the same incarnation, the one of higher rank prevails.
RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}


@attrs.frozen(kw_only=True)
class Member:
    """State of an instance, as gossiped between instances.

    Attributes
    ----------
    name : str
        Name of the instance.
    address : str
        ``host:port`` at which peers reach it.
    domain : str
        Its failure domain.
    incarnation : int
        Starts at the time in milliseconds at which its process started; the instance
        increases it to refute a wrong state.
    started : int
        Start of its process in milliseconds; together with the name, it identifies one
        run of the program. 0 for an instance known only from the platform's list.
    state : str
        ``alive``, ``suspect``, ``leaving`` or ``dead``.
    generation : int
        Generation of the configuration in force there.
    http : str
        ``host:port`` at which it serves callers.
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
        """Return whether this state is newer than `other` of the same instance.

        The higher incarnation prevails, then the higher rank of the state, then the
        higher generation.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        if RANK[self.state] != RANK[other.state]:
            return RANK[self.state] > RANK[other.state]
        return self.generation > other.generation


@messages.message("probe")
@attrs.frozen(kw_only=True)
class Probe:
    """Asks whether the receiver is alive; carries membership updates."""

    news: list[Member] = attrs.field(factory=list)


@messages.message("probe-through")
@attrs.frozen(kw_only=True)
class IndirectProbe:
    """Asks the receiver to probe `target` on the sender's behalf."""

    target: Member
    news: list[Member] = attrs.field(factory=list)


@messages.message("probe-ack")
@attrs.frozen(kw_only=True)
class ProbeAck:
    """Reply to a probe; `reached` is False if an indirect probe failed."""

    reached: bool = True
    news: list[Member] = attrs.field(factory=list)


@messages.message("members-ask")
@attrs.frozen(kw_only=True)
class MembersRequest:
    """Requests all members that the receiver knows."""

    news: list[Member] = attrs.field(factory=list)


@messages.message("members")
@attrs.frozen(kw_only=True)
class MembersReply:
    """Reply to `MembersRequest`: all members that the sender knows."""

    news: list[Member]
