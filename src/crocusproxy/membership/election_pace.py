"""How fast, and with how many queries, members elect a home.

Answers the loss of a home, or of all instances, on a site of hundreds: if every
member queried all large ones at once and soon gave up on them, the queries
would overload the very members that should lead, and many would lead at once.
"""

from collections.abc import Sequence
from datetime import timedelta

from ..protocol.home_feed import Member

MAX_QUERIED_MEMBERS = 24
#: Members with the best ranks; one of them should lead.
CANDIDATES = 16
#: Members of its own failure domain that any other member queries, besides one
#: of the candidates.
QUERIED_IN_DOMAIN = 3
#: How long the others leave the election to the candidates.
MAX_DEFERENCE = timedelta(seconds=3)
#: Pauses between the queries of candidates and of the others.
CANDIDATE_INTERVAL = timedelta(milliseconds=100)
OTHER_INTERVAL = timedelta(milliseconds=400)
#: Delay before leading, for each member with more capacity.
DELAY_PER_LARGER_MEMBER = timedelta(milliseconds=100)
#: Delay before leading, for each other member with a better rank.
DELAY_PER_MEMBER = timedelta(milliseconds=2)


def queried_members(
    own: Member, others: Sequence[Member], elapsed: timedelta
) -> tuple[Member, ...]:
    """Return the members to query, of ``others`` in the order of their rank."""
    better_count = _count_better(own, others)
    if better_count < CANDIDATES or elapsed > MAX_DEFERENCE:
        return tuple(others[:MAX_QUERIED_MEMBERS])
    in_domain = [
        member
        for member in others
        if member.failure_domain == own.failure_domain
    ]
    # The candidate differs, so that none gets the queries of all.
    candidate = others[better_count % CANDIDATES]
    return tuple(dict.fromkeys((*in_domain[:QUERIED_IN_DOMAIN], candidate)))


def lead_delay(own: Member, others: Sequence[Member]) -> timedelta:
    """Return how long a member that finds no home waits before it leads."""
    better_count = _count_better(own, others)
    larger_count = sum(member.capacity > own.capacity for member in others)
    delay = (
        larger_count * DELAY_PER_LARGER_MEMBER
        + (better_count - larger_count) * DELAY_PER_MEMBER
    )
    return delay if better_count < CANDIDATES else MAX_DEFERENCE + delay


def query_interval(own: Member, others: Sequence[Member]) -> timedelta:
    """Return the pause before the members are queried again."""
    if _count_better(own, others) < CANDIDATES:
        return CANDIDATE_INTERVAL
    return OTHER_INTERVAL


def _count_better(own: Member, others: Sequence[Member]) -> int:
    return sum(member.rank < own.rank for member in others)
