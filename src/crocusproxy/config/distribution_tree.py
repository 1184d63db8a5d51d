"""Tree that distributes the configuration from the platform to all instances.

A *reader* is here an instance whose daemon reads from the platform. Each
failure domain has a few; the other instances poll a reader or an instance
below one.
"""

import xxhash

from ..membership.view import Instance, InstanceView

#: Readers per failure domain; the second one covers a failure of the first.
READERS_PER_DOMAIN = 2
#: Maximum number of daemons that poll one daemon, which bounds its traffic.
FAN_OUT = 8


def ranked_instances(
    view: InstanceView, failure_domain: str
) -> tuple[Instance, ...]:
    """Return the live instances of a failure domain, ordered by name hash.

    The order of the others stays the same when an instance joins or leaves.
    """
    return tuple(
        sorted(
            (
                instance
                for instance in view.live()
                if instance.failure_domain == failure_domain
            ),
            key=lambda instance: (_name_hash(instance.name), instance.name),
            reverse=True,
        )
    )


def is_reader(view: InstanceView, name: str, failure_domain: str) -> bool:
    """Return whether an instance reads from the platform itself.

    It does if it ranks among the first of its failure domain, or if no live
    instance of this domain is listed.
    """
    readers = ranked_instances(view, failure_domain)[:READERS_PER_DOMAIN]
    return not readers or name in {reader.name for reader in readers}


def poll_addresses(
    view: InstanceView,
    name: str,
    failure_domain: str,
) -> tuple[str, ...]:
    """Return the addresses to poll, in order of preference.

    The first is the instance's parent in a tree below the readers of its
    failure domain. The readers of all failure domains follow, those of this
    domain first.
    """
    ranked = ranked_instances(view, failure_domain)
    names = [instance.name for instance in ranked]
    parent_addresses: list[str] = []
    if name in names[READERS_PER_DOMAIN:]:
        position = names.index(name) - READERS_PER_DOMAIN
        parent_addresses = [ranked[position // FAN_OUT].config]
    reader_addresses = [reader.config for reader in ranked[:READERS_PER_DOMAIN]]
    own_addresses = [one.config for one in ranked if one.name == name]
    other_addresses = [
        reader.config
        for domain in _other_domains(view, failure_domain)
        for reader in ranked_instances(view, domain)[:READERS_PER_DOMAIN]
    ]
    unique = dict.fromkeys(
        (*parent_addresses, *reader_addresses, *other_addresses)
    )
    return tuple(address for address in unique if address not in own_addresses)


def _other_domains(view: InstanceView, own_domain: str) -> list[str]:
    domains = {instance.failure_domain for instance in view.live()}
    return sorted(domains - {own_domain})


def _name_hash(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'config-reader\0{instance}'.encode())
