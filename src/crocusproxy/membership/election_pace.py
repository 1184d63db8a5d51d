"""How fast, and with how many queries, members elect a home.

Answers the loss of a home, or of all instances, on a site of hundreds: if every
member queried all large ones at once and soon gave up on them, the queries
would overload the very members that should lead, and many would lead at once.
"""

from collections.abc import Collection, Sequence
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
#: Queried members of a failure domain that must all be silent for it to count
#: as lost. With the candidates lost, the election took up to 10 s before.
MIN_SILENT_MEMBERS = 3


class DomainResponses:
    """Which members have responded in an election, by failure domain.

    A member can't query all others in time, so it concludes from some members
    of a failure domain that it has been lost as a whole. It never concludes
    this of its own failure domain, and only while others respond: after a
    loss of all, members also are silent because they are overloaded.
    """

    def __init__(self, own_domain: str) -> None:
        self.own_domain = own_domain
        self.responding_domains: set[str] = set()
        self.silent: dict[str, set[str]] = {}

    def record(self, member: Member, *, has_responded: bool) -> None:
        """Record the result of a query."""
        if has_responded:
            self.responding_domains.add(member.failure_domain)
            return
        silent = self.silent.setdefault(member.failure_domain, set())
        silent.add(member.name)

    def silent_domains(self) -> frozenset[str]:
        """Return the failure domains from which only silence is known."""
        return frozenset(self.silent.keys() - self.responding_domains)

    def lost_domains(self) -> frozenset[str]:
        """Return the failure domains of which several members are silent."""
        if not self.responding_domains:
            return frozenset()
        return frozenset(
            domain
            for domain, names in self.silent.items()
            if domain not in self.responding_domains
            and domain != self.own_domain
            and len(names) >= MIN_SILENT_MEMBERS
        )


def queried_members(
    own: Member,
    others: Sequence[Member],
    elapsed: timedelta,
    round_number: int = 0,
    doubtful_domains: Collection[str] = frozenset(),
) -> tuple[Member, ...]:
    """Return the members to query, of ``others`` in the order of their rank.

    They are the best ones, and in each round others of the rest. A member that
    queries one candidate only asks none in ``doubtful_domains`` if it can: a
    silent candidate costs it a round.
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
    candidates = [
        member
        for member in others[:CANDIDATES]
        if member.failure_domain not in doubtful_domains
    ] or others[:CANDIDATES]
    # The candidate differs, so that none gets the queries of all.
    candidate = candidates[(better_count + round_number) % len(candidates)]
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
