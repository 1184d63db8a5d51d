"""The order in which members are asked to relay reads of the store."""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain, zip_longest

from ..protocol.home_feed import Member


def order_relays(
    members: Iterable[Member], own_failure_domain: str
) -> tuple[Member, ...]:
    """Return the members so that the first ones share few faults.

    A failure domain can lose the store as a whole, so each round has one member
    of each, that of this instance last. Within a failure domain, the order of
    ``members`` is kept.
    """
    by_domain: dict[str, list[Member]] = defaultdict(list)
    for member in members:
        by_domain[member.failure_domain].append(member)
    own = by_domain.pop(own_failure_domain, [])
    rounds = zip_longest(*by_domain.values(), own)
    return tuple(
        member for member in chain.from_iterable(rounds) if member is not None
    )
