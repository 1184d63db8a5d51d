"""Homes of a service, by rendezvous hashing over the live instances.

Rendezvous hashing moves only the services of an instance that joins or leaves.
"""

import xxhash

from .view import Instance, InstanceView


def choose_homes(
    service: str,
    view: InstanceView,
    count: int,
) -> tuple[Instance, ...]:
    """Return up to ``count`` homes, at most one more per failure domain.

    The best instance of each failure domain comes first, so that one failing
    domain takes as few homes as possible.
    """
    ranked = sorted(
        view.live(),
        key=lambda instance: _weight(service, instance.name),
        reverse=True,
    )
    taken: dict[str, int] = {}
    rounds: list[tuple[int, int, Instance]] = []
    for rank, instance in enumerate(ranked):
        turn = taken.get(instance.failure_domain, 0)
        taken[instance.failure_domain] = turn + 1
        rounds.append((turn, rank, instance))
    rounds.sort(key=lambda entry: entry[:2])
    return tuple(instance for _, _, instance in rounds[:count])


def _weight(service: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{service}\0{instance}'.encode())
