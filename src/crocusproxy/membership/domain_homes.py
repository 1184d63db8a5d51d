"""Assignment of failure domains to the members that dispatch their requests.

One home chooses best, as it sees all requests, but its processor and link bound
the load of the site. A failure domain with many slots loses little by choosing
among its own upstreams only.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from ..logs import log
from ..protocol.home_feed import DomainHome, DomainHomes, Member
from ..routes.model import RegisteredUpstream
from .domain_split import MIN_DOMAINS, SlotsByDomain, Split, choose_split

#: A domain home is replaced by a member with this many times its capacity.
MIN_CAPACITY_GAIN = 1.2


def count_slots(
    upstreams: Iterable[RegisteredUpstream],
    evacuated: Collection[str] = (),
) -> SlotsByDomain:
    """Count the slots of the upstreams that are neither leaving nor evacuated.

    ``evacuated`` holds failure domains.
    """
    slots: dict[str, Counter[str]] = {}
    for upstream in upstreams:
        if not upstream.leaving and upstream.failure_domain not in evacuated:
            domain_slots = slots.setdefault(upstream.failure_domain, Counter())
            domain_slots[upstream.service] += upstream.slots
    return slots


def assign_domain_homes(
    current: DomainHomes,
    members: Iterable[Member],
    home_name: str,
    slots: SlotsByDomain,
    cut_off: Collection[str] = (),
    evacuated: Collection[str] = (),
    proven: Collection[str] = (),
) -> DomainHomes:
    """Return the domain homes, empty if the home should dispatch alone.

    ``members`` are those that can be reached and do not leave. A domain home is
    kept while it is one of them, so that its callers need not move, unless it
    is ``home_name``. That member is chosen last, as it also reads
    the store and serves the feed.
    A failure domain with too few slots gets the home of the largest one, which
    also dispatches the services that are not split.
    Members in ``cut_off`` reach no upstreams; they dispatch only if all are.
    If the home should dispatch alone but is cut off, another member does.
    A failure domain in ``evacuated`` has no slots. While one is evacuated that
    has a domain home, one other with enough slots is enough for a split, so
    that the callers there keep their home.
    Members in ``proven`` have just reached upstreams; they are preferred to
    others, which would have to be tried first.
    """
    everyone = tuple(members)
    able = tuple(one for one in everyone if one.name not in cut_off) or everyone
    split = _split(current, able, home_name, slots, evacuated, proven)
    if split.homes:
        return split
    domains = {member.failure_domain for member in everyone} | slots.keys()
    return _single(current, able, home_name, domains, proven)


def replace_lost(current: DomainHomes, lost: Collection[str]) -> DomainHomes:
    """Return the domain homes with the first one left in place of lost ones.

    Without the slots of the upstreams there is nothing else to choose by. The
    result is empty, so that the home dispatches alone, if no domain home is
    left. ``lost`` are names of members.
    """
    remaining = [
        home.member for home in current.homes if home.member.name not in lost
    ]
    if len(remaining) == len(current.homes):
        return current
    if not remaining:
        return DomainHomes()
    return DomainHomes(
        tuple(
            DomainHome(home.failure_domain, remaining[0])
            if home.member.name in lost
            else home
            for home in current.homes
        ),
        current.shared,
    )


def _single(
    current: DomainHomes,
    members: tuple[Member, ...],
    home_name: str,
    domains: Iterable[str],
    proven: Collection[str],
) -> DomainHomes:
    """Return one member for all failure domains, empty if it is the home.

    A member that has replaced the home stays, so that callers need not move
    again, unless the home has more capacity.
    """
    by_name = {member.name: member for member in members}
    home = by_name.get(home_name)
    present = by_name.get(_single_name(current), home)
    if present is None:
        present = min(
            members, key=lambda member: (member.name not in proven, member.rank)
        )
    if home is not None and home.capacity >= (
        MIN_CAPACITY_GAIN * present.capacity
    ):
        present = home
    if present.name == home_name:
        return DomainHomes()
    return DomainHomes(
        tuple(DomainHome(domain, present) for domain in sorted(domains))
    )


def _single_name(assignment: DomainHomes) -> str:
    """Return the member that dispatches for all, empty if there are several."""
    names = {home.member.name for home in assignment.homes}
    return names.pop() if len(names) == 1 else ''


def _split(
    current: DomainHomes,
    members: tuple[Member, ...],
    home_name: str,
    slots: SlotsByDomain,
    evacuated: Collection[str],
    proven: Collection[str],
) -> DomainHomes:
    """Return a home for each large failure domain, empty if these are few."""
    candidates = _by_domain(members)
    is_evacuating = any(
        home.failure_domain in evacuated for home in current.homes
    )
    if _single_name(current) and not is_evacuating:
        current = DomainHomes()
    min_domains = 1 if is_evacuating else MIN_DOMAINS
    split = choose_split(candidates, slots, current, min_domains)
    if split is None:
        return DomainHomes()
    current_homes = {home.failure_domain: home.member for home in current.homes}
    homes = {
        domain: _choose(
            candidates[domain], current_homes.get(domain), home_name, proven
        )
        for domain in split.domains
    }
    for domain in candidates.keys() | slots.keys():
        homes.setdefault(domain, homes[split.largest])
    return _in_order(homes, split)


def _in_order(homes: Mapping[str, Member], split: Split) -> DomainHomes:
    """Return the domain homes, first the one with the shared services."""
    domains = sorted(homes)
    if split.shared:
        domains.sort(key=lambda domain: domain != split.largest)
    return DomainHomes(
        tuple(DomainHome(domain, homes[domain]) for domain in domains),
        split.shared,
    )


def _by_domain(members: Iterable[Member]) -> dict[str, list[Member]]:
    by_domain: dict[str, list[Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    return by_domain


def _choose(
    members: list[Member],
    current: Member | None,
    home_name: str,
    proven: Collection[str],
) -> Member:
    """Return the home for the failure domain of ``members``."""
    best = min(
        members,
        key=lambda member: (
            member.name not in proven,
            member.name == home_name,
            member.rank,
        ),
    )
    for member in members:
        if current is not None and member.name == current.name:
            is_better = best.capacity >= MIN_CAPACITY_GAIN * member.capacity
            if member.name == home_name:
                is_better = best.capacity >= member.capacity
            return best if is_better else member
    return best


class DomainHomeTable:
    """The domain homes that an instance knows.

    ``is_known`` is set once any assignment has arrived. ``shared`` has the
    services that are not split. ``on_change`` listeners are called with each
    new assignment.
    """

    def __init__(self) -> None:
        self.assignment = DomainHomes()
        self.shared: frozenset[str] = frozenset()
        self.is_known = False
        self.on_change: list[Callable[[DomainHomes], None]] = []

    def apply(self, assignment: DomainHomes) -> None:
        """Replace the domain homes."""
        self.is_known = True
        if assignment == self.assignment:
            return
        self.assignment = assignment
        self.shared = frozenset(assignment.shared)
        log(
            'domain_homes_changed',
            homes={
                home.failure_domain: home.member.name
                for home in assignment.homes
            },
            shared=assignment.shared,
        )
        for listener in self.on_change:
            listener(assignment)

    def home_of(self, failure_domain: str) -> Member | None:
        """Return the domain home, or None if the home dispatches alone.

        An unknown failure domain belongs to the first domain home.
        """
        homes = self.assignment.homes
        for home in homes:
            if home.failure_domain == failure_domain:
                return home.member
        return homes[0].member if homes else None

    def shared_home(self, service: str) -> Member | None:
        """Return the domain home with a shared service, None if it is split."""
        homes = self.assignment.homes
        return homes[0].member if homes and service in self.shared else None

    def others(self, name: str) -> tuple[Member, ...]:
        """Return the domain homes other than the member ``name``, once each."""
        members = {
            home.member.name: home.member for home in self.assignment.homes
        }
        members.pop(name, None)
        return tuple(members.values())
