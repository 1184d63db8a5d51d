"""Detection of a store that was restored from a copy."""

from collections.abc import Callable

from ..logs import log

UNKNOWN = -1


class StoreIncarnation:
    """The newest known incarnation of the store.

    It grows each time the store is restored from a copy, which lacks the latest
    writes. Responses of an earlier incarnation must not be used. ``on_restore``
    listeners are called with each newer one after the first.
    """

    def __init__(self) -> None:
        self.number = UNKNOWN
        self.on_restore: list[Callable[[int], None]] = []

    def observe(self, number: int) -> bool:
        """Record the incarnation of a response; return False if it is past."""
        previous = self.number
        if number <= previous:
            return number == previous
        self.number = number
        if previous != UNKNOWN:
            log('store_restored', incarnation=number, previous=previous)
            for listener in self.on_restore:
                listener(number)
        return True
