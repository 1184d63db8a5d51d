"""Selects the homes of a service by rendezvous hashing over live instances.

Rendezvous hashing moves only the services of an instance that joins or leaves.
"""

import xxhash

from .view import Instance, InstanceView


def choose_homes(
    service: str,
    view: InstanceView,
    count: int,
) -> tuple[Instance, ...]:
    """Return up to ``count`` homes, spread evenly over failure domains.

    The best instance of each failure domain comes first, so that the failure
    of one domain affects as few homes as possible.
    """
    ranked = sorted(
        view.live(),
        key=lambda instance: _score(service, instance.name),
        reverse=True,
    )
    domain_sizes: dict[str, int] = {}
    candidates: list[tuple[int, int, Instance]] = []
    for rank, instance in enumerate(ranked):
        rank_in_domain = domain_sizes.get(instance.failure_domain, 0)
        domain_sizes[instance.failure_domain] = rank_in_domain + 1
        candidates.append((rank_in_domain, rank, instance))
    candidates.sort(key=lambda entry: entry[:2])
    return tuple(instance for _, _, instance in candidates[:count])


def _score(service: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{service}\0{instance}'.encode())


class HomeTable:
    """Caches the homes of each requested service across view changes.

    The cost of ``choose_homes`` grows with the number of instances. A new view
    therefore drops only selections with a home that has left, and compares the
    others with just the instances that joined.
    """

    def __init__(self, view: InstanceView | None = None) -> None:
        self.view = view or InstanceView()
        self.cached_homes: dict[tuple[str, int], tuple[Instance, ...]] = {}

    def apply_view(self, view: InstanceView) -> None:
        """Replace the view and update the cached homes."""
        before = set(self.view.live())
        after = set(view.live())
        departed = before - after
        joined = tuple(after - before)
        self.view = view
        self.cached_homes = {
            cache_key: self._with_joined(cache_key, homes, joined)
            for cache_key, homes in self.cached_homes.items()
            if departed.isdisjoint(homes)
        }

    def homes(self, service: str, count: int) -> tuple[Instance, ...]:
        """Return what ``choose_homes`` returns for the newest view."""
        cache_key = (service, count)
        homes = self.cached_homes.get(cache_key)
        if homes is None:
            homes = choose_homes(service, self.view, count)
            self.cached_homes[cache_key] = homes
        return homes

    def _with_joined(
        self,
        cache_key: tuple[str, int],
        homes: tuple[Instance, ...],
        joined: tuple[Instance, ...],
    ) -> tuple[Instance, ...]:
        if not joined:
            return homes
        # An instance that was not selected is not selected either when others
        # join, so only the cached homes and the joined instances are compared.
        service, count = cache_key
        candidates = InstanceView(instances=(*homes, *joined))
        return choose_homes(service, candidates, count)
