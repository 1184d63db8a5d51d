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


class HomeTable:
    """Homes of every service that was asked for, kept over view changes.

    A full choice costs time for each instance. A new view therefore drops only
    the choices that it can change: those with a home that is gone, and those
    that an instance that joined is now part of.
    """

    def __init__(self, view: InstanceView | None = None) -> None:
        self.view = view or InstanceView()
        self.chosen: dict[tuple[str, int], tuple[Instance, ...]] = {}

    def apply_view(self, view: InstanceView) -> None:
        """Answer from ``view`` from now on."""
        before = set(self.view.live())
        after = set(view.live())
        gone = before - after
        joined = tuple(after - before)
        self.view = view
        self.chosen = {
            choice: self._with_joined(choice, homes, joined)
            for choice, homes in self.chosen.items()
            if gone.isdisjoint(homes)
        }

    def homes(self, service: str, count: int) -> tuple[Instance, ...]:
        """Return what ``choose_homes`` returns for the newest view."""
        choice = (service, count)
        homes = self.chosen.get(choice)
        if homes is None:
            homes = choose_homes(service, self.view, count)
            self.chosen[choice] = homes
        return homes

    def _with_joined(
        self,
        choice: tuple[str, int],
        homes: tuple[Instance, ...],
        joined: tuple[Instance, ...],
    ) -> tuple[Instance, ...]:
        if not joined:
            return homes
        # An instance that loses against the homes of its own failure domain
        # loses against them in the full list too, so the others don't matter.
        service, count = choice
        candidates = InstanceView(instances=(*homes, *joined))
        return choose_homes(service, candidates, count)
