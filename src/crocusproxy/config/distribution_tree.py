"""Tree that distributes the configuration from the platform to all instances.

A few readers of each failure domain read from the platform; the other
instances poll a reader or an instance below one.
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
    """Return the live instances of a failure domain in rendezvous order."""
    return tuple(
        sorted(
            (
                instance
                for instance in view.live()
                if instance.failure_domain == failure_domain
            ),
            key=lambda instance: (_weight(instance.name), instance.name),
            reverse=True,
        )
    )


def is_reader(view: InstanceView, name: str, failure_domain: str) -> bool:
    """Return whether an instance reads from the platform itself."""
    readers = ranked_instances(view, failure_domain)[:READERS_PER_DOMAIN]
    return not readers or name in {reader.name for reader in readers}


def poll_addresses(
    view: InstanceView,
    name: str,
    failure_domain: str,
) -> tuple[str, ...]:
    """Return the addresses to poll, in order of preference.

    The first is the instance's parent in a tree below the readers of its
    failure domain. The readers of all failure domains follow, those of the
    own domain first.
    """
    order = ranked_instances(view, failure_domain)
    names = [instance.name for instance in order]
    preferred: list[str] = []
    if name in names[READERS_PER_DOMAIN:]:
        position = names.index(name) - READERS_PER_DOMAIN
        preferred = [order[position // FAN_OUT].config]
    readers = [reader.config for reader in order[:READERS_PER_DOMAIN]]
    own_addresses = [one.config for one in order if one.name == name]
    others = [
        reader.config
        for domain in _other_domains(view, failure_domain)
        for reader in ranked_instances(view, domain)[:READERS_PER_DOMAIN]
    ]
    unique = dict.fromkeys((*preferred, *readers, *others))
    return tuple(address for address in unique if address not in own_addresses)


def _other_domains(view: InstanceView, own_domain: str) -> list[str]:
    domains = {instance.failure_domain for instance in view.live()}
    return sorted(domains - {own_domain})


def _weight(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'config-reader\0{instance}'.encode())
