"""Choice of the member whose feed a follower reads.

The home serves a few members of each failure domain; the others follow their
domain home. So the work of the home and the bytes between failure domains do
not grow with the number of instances.
"""

from collections.abc import Iterable

from ..protocol.home_feed import Member

#: Members of a failure domain that follow the home itself. The next domain home
#: is chosen among them.
DIRECT_FOLLOWERS = 4


def feed_source(
    own: Member,
    home: Member,
    domain_home: Member | None,
    members: Iterable[Member],
) -> Member:
    """Return the member whose feed ``own`` should follow."""
    if domain_home is None or domain_home.name == own.name:
        return home
    return home if is_direct(own, members) else domain_home


def first_source(
    own: Member, home: Member, domain_home: Member | None
) -> Member:
    """Return the member to follow first, before the members are known.

    The home sends its whole state to each new follower, so after a loss of all
    instances the small ones must not all begin with it.
    """
    if domain_home is None or own.capacity >= domain_home.capacity:
        return home
    return domain_home


def is_direct(own: Member, members: Iterable[Member]) -> bool:
    """Return whether a member is a possible successor of its domain home."""
    better_members = [
        member
        for member in members
        if member.failure_domain == own.failure_domain
        and member.rank < own.rank
    ]
    return len(better_members) < DIRECT_FOLLOWERS
