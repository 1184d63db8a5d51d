"""Division of memory among connections that hold some of it."""

from abc import ABC, abstractmethod
from datetime import timedelta
from functools import partial
from math import inf
from typing import Any, Generic, TypeVar

BYTES_PER_MB = 1024 * 1024
#: Connections are ended until this share of the budget is held, as each search
#: looks at all of them.
_LOW_SHARE = 0.9

_Holder = TypeVar('_Holder')


class MemoryBudget(ABC, Generic[_Holder]):
    """Ends connections in the order of their rank while all hold too much.

    ``total_bytes`` is the budget and ``held_bytes`` what the noted connections
    hold together.
    """

    def __init__(self, total_bytes: float = inf) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self.ended_count = 0
        self.holders: dict[_Holder, int] = {}

    @abstractmethod
    def size_of(self, holder: _Holder) -> int:
        """Return the bytes that a connection holds."""

    @abstractmethod
    def rank(self, now: timedelta, holder: _Holder) -> Any:
        """Return a value that is the higher, the earlier one is ended."""

    @abstractmethod
    def end(self, holder: _Holder) -> None:
        """End a connection and free what it holds."""

    def may_end(self, _: _Holder) -> bool:
        """Return whether a connection may be ended."""
        return True

    def note(self, holder: _Holder, now: timedelta) -> None:
        """Note what a connection holds, and end some if all hold too much."""
        self._set(holder, self.size_of(holder))
        if self.held_bytes > self.total_bytes:
            self._end_first(now)

    def forget(self, holder: _Holder) -> None:
        """Forget a connection that holds little, or has ended."""
        self.held_bytes -= self.holders.pop(holder, 0)

    def _set(self, holder: _Holder, held_bytes: int) -> None:
        self.held_bytes += held_bytes - self.holders.get(holder, 0)
        self.holders[holder] = held_bytes

    def _end_first(self, now: timedelta) -> None:
        for holder in tuple(self.holders):
            self._set(holder, self.size_of(holder))
        ranked = sorted(
            filter(self.may_end, self.holders),
            key=partial(self.rank, now),
            reverse=True,
        )
        enough = self.total_bytes * _LOW_SHARE
        for largest in ranked:
            if self.held_bytes <= enough or not self.may_end(largest):
                return
            self.forget(largest)
            self.ended_count += 1
            self.end(largest)
