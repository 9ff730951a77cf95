"""Which of the instances that watch the store updates which other instance."""

from masticpost_common import rendezvous
from masticpost_peers import probes

SENDERS_PER_INSTANCE = 2


def is_in(rows: list[probes.Member], name: str) -> bool:
    """Return whether an instance is one of `rows`."""
    return any(row.name == name for row in rows)


def recipients(
    me: str, rows: list[probes.Member], others: list[probes.Member]
) -> list[str]:
    """Return the addresses of the instances that the sender `me` updates.

    These are the other senders, and the instances that have this one as a sender.

    Parameters
    ----------
    rows : list of probes.Member
        All senders.
    others : list of probes.Member
        The instances that are alive, without `me`.
    """
    return [
        member.address
        for member in others
        if is_in(rows, member.name) or me in _senders_of(member, rows)
    ]


def _senders_of(member: probes.Member, rows: list[probes.Member]) -> list[str]:
    """Return the senders that update an instance, one of its own domain first.

    That one still reaches the instance when their failure domain is cut off from the
    others, and does so without a long-distance link.
    """
    domains = {row.name: row.domain for row in rows}
    ranked = rendezvous.ranked(domains, member.name)
    local = [name for name in ranked if domains[name] == member.domain][:1]
    return (local + [name for name in ranked if name not in local])[
        :SENDERS_PER_INSTANCE
    ]
