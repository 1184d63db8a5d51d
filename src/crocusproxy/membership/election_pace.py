"""How fast, and with how many queries, members elect a home.

Answers the loss of a home, or of all instances, on a site of hundreds: if every
member queried all large ones at once and soon gave up on them, the queries
would overload the very members that should lead, and many would lead at once.
"""

from collections.abc import Sequence
from datetime import timedelta

from ..protocol.home_feed import Member

MAX_QUERIED_MEMBERS = 24
#: Of these, members that change with each round. All of the best ones may be
#: lost, and only one of the others may know the home.
ROTATED_MEMBERS = 8
#: Members with the best ranks; one of them should lead.
CANDIDATES = 16
#: Members of its own failure domain that any other member queries, besides one
#: of the candidates. The last one changes with each round.
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
    own: Member,
    others: Sequence[Member],
    elapsed: timedelta,
    round_number: int = 0,
) -> tuple[Member, ...]:
    """Return the members to query, of ``others`` in the order of their rank.

    They are the best ones, and in each round others of the rest.
    """
    better_count = _count_better(own, others)
    if better_count < CANDIDATES or elapsed > MAX_DEFERENCE:
        best_count = MAX_QUERIED_MEMBERS - ROTATED_MEMBERS
        rest = others[best_count:]
        rotated = _rotated(rest, ROTATED_MEMBERS, round_number)
        return (*others[:best_count], *rotated)
    in_domain = [
        member
        for member in others
        if member.failure_domain == own.failure_domain
    ]
    best_count = QUERIED_IN_DOMAIN - 1
    rotated = _rotated(in_domain[best_count:], 1, round_number)
    # The candidate differs, so that none gets the queries of all.
    candidate = others[(better_count + round_number) % CANDIDATES]
    return tuple(dict.fromkeys((*in_domain[:best_count], *rotated, candidate)))


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


def _rotated(
    members: Sequence[Member], count: int, round_number: int
) -> tuple[Member, ...]:
    """Return up to ``count`` members, the next ones in each round."""
    if len(members) <= count:
        return tuple(members)
    start = round_number * count
    return tuple(
        members[number % len(members)] for number in range(start, start + count)
    )


def _count_better(own: Member, others: Sequence[Member]) -> int:
    return sum(member.rank < own.rank for member in others)
