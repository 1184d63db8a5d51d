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
    def first_key(self) -> OrderKey:
        """Return the sort key of the next request."""
        return self.requests[0][0]

    @property
    def excess(self) -> float:
        """Return the number of requests divided by the account's weight."""
        return len(self.requests) / self.weight


BacklogHeap: TypeAlias = list[tuple[float, int, Backlog[Item]]]
FirstKeyHeap: TypeAlias = list[tuple[OrderKey, int, Backlog[Item]]]


class FairLevel(Generic[Item]):
    """Requests of several accounts, served in proportion to their weights.

    The cost of an operation grows with the logarithm of the number of accounts.
    Heap entries become outdated when a backlog changes; they are dropped once
    they come first.

    Without ``tolerated_excess``, each request is charged to its account, and
    the virtual time is that of the latest one. With it, an account is charged
    only while its backlog beyond one request is more than this number of times
    the mean backlog of the others. The virtual time then passes by one round
    when each account has been served once, and of the accounts that are due,
    the one with the first sort key is next. Without a tolerance, random
    differences among accounts with equal loads make those with slightly more
    requests wait for several rounds.
    """

    def __init__(self, tolerated_excess: float | None = None) -> None:
        self.tolerated_excess = tolerated_excess
        self.backlogs: dict[str, Backlog[Item]] = {}
        self.virtual_time = float()
        self.weight_sum = float()
        self.length = 0
        self.by_start: BacklogHeap[Item] = []
        self.by_excess: BacklogHeap[Item] = []
        self.by_first_key: FirstKeyHeap[Item] = []
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
        elif request.order_key < backlog.first_key:
            self._requeue_after_new_first(backlog)
        insort(backlog.requests, (request.order_key, request))
        self.length += 1
        heappush(
            self.by_excess, (-backlog.excess, next(self.sequence), backlog)
        )
        self._limit_outdated()

    def take(self) -> Item | None:
        """Remove the next request and charge it to its account."""
        backlog = self._next_backlog()
        if backlog is None:
            return None
        request = backlog.requests[0][1]
        charge = self._charge(backlog, request)
        self._advance_virtual_time(request.service_time, self.weight_sum)
        backlog.requests.pop(0)
        self.length -= 1
        backlog.start += charge
        if backlog.requests:
            self._push_start(backlog)
        else:
            self._drop(backlog)
        return request

    def give_back(self, request: Item, weight: float) -> None:
        """Return a request that was taken, with its charge.

        With ``tolerated_excess``, it must be the one that was taken last.
        """
        backlog = self.backlogs.get(request.account)
        former_weight_sum = self.weight_sum
        if backlog is None:
            former_weight_sum += weight
        self._advance_virtual_time(-request.service_time, former_weight_sum)
        self.push(request, weight)
        if backlog is not None:
            backlog.start -= self._charge(backlog, request)
            self._push_start(backlog)

    def remove(self, request: Item) -> None:
        """Remove a request."""
        backlog = self.backlogs[request.account]
        index = bisect_left(backlog.requests, (request.order_key,))
        backlog.requests.pop(index)
        self.length -= 1
        if not backlog.requests:
            self._drop(backlog)
        elif not index:
            self._requeue_after_new_first(backlog)

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

    def count_of(self, account: str) -> int:
        """Return the number of requests of an account."""
        backlog = self.backlogs.get(account)
        return 0 if backlog is None else len(backlog.requests)

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

    def _charge(self, backlog: Backlog[Item], request: Item) -> float:
        """Return the charge of a request that is in the backlog."""
        if self.tolerated_excess is not None:
            queued = len(backlog.requests)
            others = len(self.backlogs) - 1
            mean = (self.length - queued) / others if others else 0
            if queued - 1 <= self.tolerated_excess * mean:
                return 0
        return request.service_time / backlog.weight

    def _advance_virtual_time(
        self, service_time: float, weight_sum: float
    ) -> None:
        if self.tolerated_excess is not None:
            self.virtual_time += service_time / weight_sum

    def _next_backlog(self) -> Backlog[Item] | None:
        """Return the backlog that is served next, after dropping its entry."""
        while self.by_start or self.by_first_key:
            if self.tolerated_excess is not None:
                backlog = self._next_due()
                if backlog is not None:
                    return backlog
            backlog = self._next_by_start()
            if backlog is None:
                return None
            self.virtual_time = max(self.virtual_time, backlog.start)
            if self.tolerated_excess is None:
                return backlog
            self._push_start(backlog)
        return None

    def _next_by_start(self) -> Backlog[Item] | None:
        while self.by_start:
            start, _, backlog = heappop(self.by_start)
            if self._is_current(backlog) and start == backlog.start:
                return backlog
        return None

    def _next_due(self) -> Backlog[Item] | None:
        """Return the backlog with the first sort key among those due."""
        while self.by_start and self.by_start[0][0] <= self.virtual_time:
            backlog = heappop(self.by_start)[2]
            if self._is_current(backlog):
                entry = (backlog.first_key, next(self.sequence), backlog)
                heappush(self.by_first_key, entry)
        while self.by_first_key:
            key, _, backlog = heappop(self.by_first_key)
            if self._is_current(backlog) and key == backlog.first_key:
                if backlog.start <= self.virtual_time:
                    return backlog
                # An outdated entry, or a rounding error of a time given back.
                self._push_start(backlog)
        return None

    def _requeue_after_new_first(self, backlog: Backlog[Item]) -> None:
        """Enter a backlog again whose next request is another one."""
        if self.tolerated_excess is not None:
            self._push_start(backlog)

    def _push_start(self, backlog: Backlog[Item]) -> None:
        entry = (backlog.start, next(self.sequence), backlog)
        heappush(self.by_start, entry)

    def _drop(self, backlog: Backlog[Item]) -> None:
        self.backlogs.pop(backlog.account)
        self.weight_sum -= backlog.weight
        if not self.backlogs:
            self.weight_sum = 0
            self.by_start.clear()
            self.by_first_key.clear()
            self.by_excess.clear()

    def _limit_outdated(self) -> None:
        limit = MAX_OUTDATED_PER_ACCOUNT * len(self.backlogs) + MIN_HEAP_LENGTH
        if len(self.by_excess) > limit:
            self.by_excess = [
                (-backlog.excess, next(self.sequence), backlog)
                for backlog in self.backlogs.values()
            ]
            heapify(self.by_excess)
        if len(self.by_start) + len(self.by_first_key) > limit:
            self.by_first_key.clear()
            self.by_start = [
                (backlog.start, next(self.sequence), backlog)
                for backlog in self.backlogs.values()
            ]
            heapify(self.by_start)
