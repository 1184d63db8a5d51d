"""Start-time fair queueing among accounts, within one level of a queue."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace
from itertools import count
from typing import Generic, Protocol, TypeAlias, TypeVar

#: Outdated entries of the heap of backlogs that are kept for each account.
MAX_OUTDATED_PER_ACCOUNT = 8
MIN_HEAP_LENGTH = 64


class FairItem(Protocol):
    """A queued request as far as the order is concerned."""

    @property
    def account(self) -> str:
        """Return the account."""

    @property
    def order_key(self) -> tuple[float, int]:
        """Return the unique sort key among the requests of an account."""

    @property
    def service_time(self) -> float:
        """Return the expected duration in seconds."""


OrderKey = tuple[float, int]
Item = TypeVar('Item', bound=FairItem)


@dataclass(slots=True)
class Backlog(Generic[Item]):
    """The requests of one account, by sort key.

    ``start`` is the virtual time at which its next request is due.
    """

    account: str
    weight: float
    start: float
    requests: list[tuple[OrderKey, Item]] = field(default_factory=list)

    @property
    def excess(self) -> float:
        """Return the number of requests relative to the usual use."""
        return len(self.requests) / self.weight


BacklogHeap: TypeAlias = list[tuple[float, int, Backlog[Item]]]


class FairLevel(Generic[Item]):
    """Requests of several accounts, served in proportion to their weights.

    The cost of an operation grows with the logarithm of the number of accounts.
    Heap entries become outdated when a backlog changes; they are dropped once
    they come first.
    """

    def __init__(self) -> None:
        self.backlogs: dict[str, Backlog[Item]] = {}
        self.virtual_time = float()
        self.weight_sum = float()
        self.length = 0
        self.by_start: BacklogHeap[Item] = []
        self.by_excess: BacklogHeap[Item] = []
        self.sequence = count()

    def __len__(self) -> int:
        """Return the number of requests."""
        return self.length

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the requests, by account."""
        for backlog in self.backlogs.values():
            for _, request in backlog.requests:
                yield request

    def push(self, request: Item, weight: float) -> None:
        """Add a request of an account with a weight."""
        backlog = self.backlogs.get(request.account)
        if backlog is None:
            backlog = Backlog(request.account, weight, self.virtual_time)
            self.backlogs[request.account] = backlog
            self.weight_sum += weight
            self._push_start(backlog)
        insort(backlog.requests, (request.order_key, request))
        self.length += 1
        heappush(
            self.by_excess, (-backlog.excess, next(self.sequence), backlog)
        )
        self._limit_outdated()

    def take(self) -> Item | None:
        """Remove the next request and charge it to its account."""
        while self.by_start:
            start, _, backlog = heappop(self.by_start)
            if not self._is_current(backlog) or start != backlog.start:
                continue
            self.virtual_time = max(self.virtual_time, start)
            _, request = backlog.requests.pop(0)
            self.length -= 1
            backlog.start += request.service_time / backlog.weight
            if backlog.requests:
                self._push_start(backlog)
            else:
                self._drop(backlog)
            return request
        return None

    def give_back(self, request: Item, weight: float) -> None:
        """Return a request that was taken, with its charge."""
        backlog = self.backlogs.get(request.account)
        self.push(request, weight)
        if backlog is not None:
            backlog.start -= request.service_time / backlog.weight
            self._push_start(backlog)

    def remove(self, request: Item) -> None:
        """Remove a request."""
        backlog = self.backlogs[request.account]
        index = bisect_left(backlog.requests, (request.order_key,))
        backlog.requests.pop(index)
        self.length -= 1
        if not backlog.requests:
            self._drop(backlog)

    def last(self) -> Item:
        """Return the last request of the account with the largest excess."""
        while True:
            negative_excess, _, backlog = self.by_excess[0]
            if self._is_current(backlog):
                if -negative_excess <= backlog.excess:
                    return backlog.requests[-1][1]
                entry = (-backlog.excess, next(self.sequence), backlog)
                heapreplace(self.by_excess, entry)
            else:
                heappop(self.by_excess)

    def ahead_of(self, account: str) -> float:
        """Return how many requests will be served before one more of it."""
        backlog = self.backlogs.get(account)
        if backlog is None:
            # The account is served next, apart from the others that are.
            return min(self.length, len(self.backlogs))
        fair = len(backlog.requests) * self.weight_sum / backlog.weight
        return min(self.length, fair)

    def _is_current(self, backlog: Backlog[Item]) -> bool:
        return self.backlogs.get(backlog.account) is backlog

    def _push_start(self, backlog: Backlog[Item]) -> None:
        entry = (backlog.start, next(self.sequence), backlog)
        heappush(self.by_start, entry)

    def _drop(self, backlog: Backlog[Item]) -> None:
        self.backlogs.pop(backlog.account)
        self.weight_sum -= backlog.weight
        if not self.backlogs:
            self.weight_sum = 0
            self.by_start.clear()
            self.by_excess.clear()

    def _limit_outdated(self) -> None:
        limit = MAX_OUTDATED_PER_ACCOUNT * len(self.backlogs) + MIN_HEAP_LENGTH
        if len(self.by_excess) > limit:
            self.by_excess = [
                (-backlog.excess, next(self.sequence), backlog)
                for backlog in self.backlogs.values()
            ]
            heapify(self.by_excess)
        if len(self.by_start) > limit:
            self.by_start = [
                (backlog.start, next(self.sequence), backlog)
                for backlog in self.backlogs.values()
            ]
            heapify(self.by_start)
