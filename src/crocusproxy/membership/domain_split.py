"""Which failure domains get homes of their own, and for which services.

A service with few slots in some failure domain would wait for slots there while
others are free elsewhere. One domain home dispatches such a *shared* service
for all failure domains, so that it does not keep the others from being split.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import chain

from ..protocol.home_feed import DomainHomes

#: Slots of a service that a failure domain needs for the service to be split.
MIN_SLOTS_TO_SPLIT = 32
#: A service that is split stays so with this many slots. The distance to
#: ``MIN_SLOTS_TO_SPLIT`` keeps a restart of upstreams from moving callers.
MIN_SLOTS_TO_STAY = 16
#: With fewer failure domains to split among, one home serves callers as well.
MIN_DOMAINS = 2
#: With fewer services to split, or a smaller share of all services, one home
#: serves callers as well.
MIN_SPLIT_SERVICES = 2
MIN_SPLIT_SHARE = 0.5
#: Another domain home dispatches the shared services once its failure domain
#: has this many times the slots.
MIN_SLOTS_GAIN = 1.5

#: Slots of each service, by failure domain.
SlotsByDomain = Mapping[str, Mapping[str, int]]


@dataclass(frozen=True, slots=True)
class Split:
    """The failure domains with homes of their own, and the shared services.

    The home of ``largest`` dispatches the shared services, and the requests of
    failure domains without a home of their own.
    """

    domains: tuple[str, ...]
    largest: str
    shared: tuple[str, ...] = ()


def choose_split(
    candidates: Iterable[str],
    slots: SlotsByDomain,
    current: DomainHomes,
    min_domains: int = MIN_DOMAINS,
) -> Split | None:
    """Return how to split the services, None if one home should dispatch.

    ``candidates`` are the failure domains with a member that can be home.
    ``current`` is the present assignment, empty without domain homes.
    """
    domains = tuple(candidates)
    services = frozenset(chain.from_iterable(slots.values()))
    if not services:
        return None
    return _split_all(
        domains, services, slots, current, min_domains
    ) or _split_most(domains, services, slots, current, min_domains)


def own_homes(assignment: DomainHomes) -> frozenset[str]:
    """Return the failure domains that have a home in the same domain."""
    return frozenset(
        home.failure_domain
        for home in assignment.homes
        if home.member.failure_domain == home.failure_domain
    )


def _split_all(
    candidates: Iterable[str],
    services: frozenset[str],
    slots: SlotsByDomain,
    current: DomainHomes,
    min_domains: int,
) -> Split | None:
    """Split all services among the domains with enough slots of each."""
    split_domains = {home.failure_domain for home in current.homes}
    if current.shared:
        split_domains &= own_homes(current)
    domains = [
        domain
        for domain, enough in _enough_services(
            sorted(candidates), services, slots, current, split_domains
        ).items()
        if enough == services
    ]
    if len(domains) < min_domains:
        return None
    return Split(
        tuple(domains), max(domains, key=lambda one: total_slots(slots, one))
    )


def _split_most(
    candidates: Iterable[str],
    services: frozenset[str],
    slots: SlotsByDomain,
    current: DomainHomes,
    min_domains: int,
) -> Split | None:
    """Split the services of which several domains have enough slots.

    Present domain homes are considered first, so that a choice is kept.
    """
    present = own_homes(current)
    ranked = sorted(
        candidates,
        key=lambda one: (one not in present, -total_slots(slots, one), one),
    )
    enough = _enough_services(ranked, services, slots, current, present)
    needed = max(MIN_SPLIT_SERVICES, MIN_SPLIT_SHARE * len(services))
    for first in ranked:
        domains, split_services = _extend(first, enough, needed)
        if len(domains) >= min_domains:
            return Split(
                domains,
                _largest(domains, slots, current),
                tuple(sorted(services - split_services)),
            )
    return None


def _extend(
    first: str, enough: Mapping[str, frozenset[str]], needed: float
) -> tuple[tuple[str, ...], frozenset[str]]:
    """Return domains that share enough services with ``first``, and these."""
    domains = {first}
    split_services = enough[first]
    for domain, domain_services in enough.items():
        common = split_services & domain_services
        if len(common) >= needed:
            domains.add(domain)
            split_services = common
    return tuple(sorted(domains)), split_services


def _enough_services(
    domains: Iterable[str],
    services: Collection[str],
    slots: SlotsByDomain,
    current: DomainHomes,
    split_domains: Collection[str],
) -> dict[str, frozenset[str]]:
    """Return the services of which each failure domain has enough slots."""
    stay = {service: MIN_SLOTS_TO_STAY for service in services}
    stay.update(dict.fromkeys(current.shared, MIN_SLOTS_TO_SPLIT))
    split = dict.fromkeys(services, MIN_SLOTS_TO_SPLIT)
    enough = {}
    for domain in domains:
        minimum = stay if domain in split_domains else split
        domain_slots = slots.get(domain, {})
        enough[domain] = frozenset(
            service
            for service in services
            if domain_slots.get(service, 0) >= minimum[service]
        )
    return enough


def _largest(
    domains: Iterable[str], slots: SlotsByDomain, current: DomainHomes
) -> str:
    """Return the domain with most slots, the present one if it has nearly."""
    largest = max(sorted(domains), key=lambda one: total_slots(slots, one))
    if not current.shared:
        return largest
    present = current.homes[0].member.failure_domain
    if present not in domains:
        return largest
    gain = total_slots(slots, largest) / max(total_slots(slots, present), 1)
    return largest if gain >= MIN_SLOTS_GAIN else present


def total_slots(slots: SlotsByDomain, domain: str) -> int:
    """Return the slots of all services in a failure domain."""
    return sum(slots.get(domain, {}).values())
