"""Which instances read from the platform, and whom the others poll."""

import xxhash

from ..membership.view import Instance, InstanceView

#: Readers per failure domain; a second one covers the failure of the first.
READERS_PER_DOMAIN = 2
#: Daemons that poll one daemon, so that its traffic stays bounded.
FAN_OUT = 8


def ranked(view: InstanceView, failure_domain: str) -> tuple[Instance, ...]:
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
    """Tell whether an instance reads from the platform itself."""
    readers = ranked(view, failure_domain)[:READERS_PER_DOMAIN]
    return not readers or name in {reader.name for reader in readers}


def parents(
    view: InstanceView,
    name: str,
    failure_domain: str,
) -> tuple[str, ...]:
    """Return the addresses to poll, in order of preference.

    The first is the instance's parent in a tree below the readers of its
    failure domain. Then come the readers of all failure domains.
    """
    order = ranked(view, failure_domain)
    names = [instance.name for instance in order]
    first: list[str] = []
    if name in names[READERS_PER_DOMAIN:]:
        position = names.index(name) - READERS_PER_DOMAIN
        first = [order[position // FAN_OUT].config]
    readers = [reader.config for reader in order[:READERS_PER_DOMAIN]]
    own = [one.config for one in order if one.name == name]
    others = [
        reader.config
        for domain in _other_domains(view, failure_domain)
        for reader in ranked(view, domain)[:READERS_PER_DOMAIN]
    ]
    unique = dict.fromkeys((*first, *readers, *others))
    return tuple(address for address in unique if address not in own)


def _other_domains(view: InstanceView, own: str) -> list[str]:
    domains = {instance.failure_domain for instance in view.live()}
    return sorted(domains - {own})


def _weight(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'config-reader\0{instance}'.encode())
